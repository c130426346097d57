#include "amaranthroute/policy/cost_profile.h"

#include <CppUTest/TestHarness.h>

namespace amaranth {
namespace {

const TimePoint kStart = FromMicros(1'000'000);

}  // namespace

TEST_GROUP(CostProfiles) {
  CostProfiles profiles;

  double SlotMillis(const std::string& service) {
    const CostProfile* profile = profiles.Find("view", kStart);
    CHECK(profile != nullptr);
    const auto found = profile->by_service.find(service);
    return found == profile->by_service.end() ? 0
                                              : found->second.slot_us / 1000;
  }
};

TEST(CostProfiles, SumsTheCostsOfTheCallsOfOneRequest) {
  std::vector<ServiceCost> costs{{"rates", 1, 15'000}};
  AddCosts(costs, {{"schedules", 1, 38'000}, {"rates", 1, 5'000}});
  AddCosts(costs, {{"schedules", 1, 40'000}});
  CHECK(costs == (std::vector<ServiceCost>{{"rates", 2, 20'000},
                                           {"schedules", 2, 78'000}}));
}

// Guards against a profile that stays wrong after a release of a service that
// makes its requests call twice as often.
TEST(CostProfiles, FollowsAClassThatMakesTwiceItsCalls) {
  for (int i = 0; i < 20; ++i) {
    profiles.Record("view", {{"schedules", 4, 150'000}}, kStart);
  }
  DOUBLES_EQUAL(150, SlotMillis("schedules"), 1);
  for (int i = 0; i < 30; ++i) {
    profiles.Record("view", {{"schedules", 8, 300'000}}, kStart);
  }
  DOUBLES_EQUAL(300, SlotMillis("schedules"), 10);
}

// Guards against admission by a service that a class no longer calls.
TEST(CostProfiles, DropsAServiceThatIsNoLongerCalled) {
  profiles.Record("view", {{"schedules", 4, 150'000}}, kStart);
  for (int i = 0; i < 60; ++i) {
    profiles.Record("view", {{"rates", 1, 15'000}}, kStart);
  }
  DOUBLES_EQUAL(0, SlotMillis("schedules"), 0.0);
}

// Guards against decisions by a profile that nothing has confirmed for long.
TEST(CostProfiles, AnOldProfileIsNotUsed) {
  profiles.Record("view", {{"schedules", 4, 150'000}}, kStart);
  CHECK(profiles.Find("view", kStart + CostProfiles::kMaxAge) != nullptr);
  CHECK(profiles.Find("view", kStart + CostProfiles::kMaxAge + Duration(1)) ==
        nullptr);
  CHECK(profiles.Find("browse", kStart) == nullptr);
}

// Guards against memory that grows with the class names that callers invent.
TEST(CostProfiles, TheNumberOfClassesIsLimited) {
  for (size_t i = 0; i <= CostProfiles::kMaxClasses; ++i) {
    profiles.Record("class-" + std::to_string(i), {{"rates", 1, 1}}, kStart);
  }
  const std::string last = "class-" + std::to_string(CostProfiles::kMaxClasses);
  CHECK(profiles.Find(last, kStart) == nullptr);
  CHECK(profiles.Find("class-0", kStart) != nullptr);
}

}  // namespace amaranth
