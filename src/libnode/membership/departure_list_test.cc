#include "libnode/membership/departure_list.h"

#include <CppUTest/TestHarness.h>

#include "libnode/membership/membership_limits.h"
#include "libnode/membership/membership_updates.h"

namespace amaranth::pvt {

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(DepartureListGroup) {
  DepartureList list;
  TimePoint now = FromMicros(5'000'000'000);
  const Departure drain{"s", 100, 7, false};
  const Departure leave{"s", 100, 7, true};
};

TEST(DepartureListGroup, ALeaveReplacesADrainAndNotTheOtherWay) {
  CHECK_TRUE(list.Add(drain, now));
  CHECK_FALSE(list.Add(drain, now));
  CHECK_TRUE(list.Add(leave, now));
  CHECK_FALSE(list.Add(drain, now));
  CHECK_EQUAL(1u, list.All(now).size());
  CHECK_TRUE(list.All(now).front().left);
}

TEST(DepartureListGroup, ProcessesOfOneServerAreKeptApart) {
  CHECK_TRUE(list.Add(leave, now));
  CHECK_TRUE(list.Add({"s", 200, 1, true}, now));
  CHECK_TRUE(list.Add({"s", std::nullopt, 0, true}, now));
  CHECK_EQUAL(3u, list.All(now).size());
}

TEST(DepartureListGroup, AgesCountOnUntilTheyExpire) {
  Departure old = leave;
  old.age = std::chrono::minutes(4);
  CHECK_TRUE(list.Add(old, now));
  now += std::chrono::minutes(5);
  CHECK(list.All(now).front().age == std::chrono::minutes(9));
  CHECK_FALSE(list.Expire(kDepartureRetention, now));
  now += std::chrono::minutes(1);
  CHECK_TRUE(list.Expire(kDepartureRetention, now));
  CHECK_TRUE(list.empty());
  old.age = kDepartureRetention;
  CHECK_FALSE(list.Add(old, now));
}

// Guards against a record that no longer fits into a datagram.
TEST(DepartureListGroup, DropsTheOldestBeyondItsSize) {
  for (uint64_t i = 0; i < 100; ++i) {
    list.Add({"server-" + std::to_string(i), i, 0, true}, now);
    now += std::chrono::seconds(1);
  }
  size_t size = 0;
  for (const Departure& departure : list.All(now)) {
    size += EncodedSize(departure);
  }
  CHECK(size <= kMaxDepartureBytes);
  STRCMP_EQUAL("server-99", list.All(now).back().server.c_str());
}

}  // namespace amaranth::pvt
