#include "amaranthroute/policy/crash_guard.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <set>

namespace amaranth {
namespace {

using Handling = CrashGuard::Handling;
using std::chrono::minutes;

}  // namespace

TEST_GROUP(CrashGuardTest){};

// Guards against one server after another crashing: one request crashes every
// server that runs it, its caller resends it, and each time the other calls in
// flight fail.
TEST(CrashGuardTest, CauseIsFoundInTwoCrashesAndOthersAreCleared) {
  CrashGuard guard;
  const TimePoint now{};
  guard.OnCrash({1, 2, 3, 3, 0}, now);
  for (uint64_t fingerprint : {1u, 2u, 3u}) {
    CHECK(guard.HandlingOf(fingerprint, now) == Handling::kRunAlone);
  }
  CHECK(guard.HandlingOf(0, now) == Handling::kNormal);
  CHECK_EQUAL(3u, guard.TakeNewSuspects().size());
  guard.OnSurvived(1, now);
  CHECK(guard.HandlingOf(1, now) == Handling::kNormal);
  guard.OnCrash({2}, now);
  CHECK(guard.HandlingOf(2, now) == Handling::kQuarantined);
  CHECK(guard.TakeNewlyQuarantined() == std::vector<uint64_t>{2});
  CHECK(guard.TakeNewlyQuarantined().empty());
  CHECK(guard.HandlingOf(3, now) == Handling::kRunAlone);
  guard.OnSurvived(2, now);  // a late answer does not end the quarantine
  CHECK(guard.HandlingOf(2, now) == Handling::kQuarantined);
  CHECK(guard.HandlingOf(2, now + minutes(31)) == Handling::kNormal);
}

TEST(CrashGuardTest, OneCrashAloneIsNoProof) {
  CrashGuard guard;
  const TimePoint now{};
  guard.OnCrash({7}, now);
  CHECK(guard.HandlingOf(7, now) == Handling::kRunAlone);
  CHECK(guard.HandlingOf(7, now + minutes(11)) == Handling::kNormal);
}

TEST(CrashGuardTest, SuspectsOfAnotherNodeCountHere) {
  CrashGuard guard;
  const TimePoint now{};
  guard.Suspect(7, now);
  guard.OnCrash({7, 8, 9}, now);  // 7 is the only suspect in flight
  CHECK(guard.HandlingOf(7, now) == Handling::kQuarantined);
  CHECK(guard.HandlingOf(8, now) == Handling::kNormal);
  guard.Quarantine(9, now);
  CHECK(guard.HandlingOf(9, now) == Handling::kQuarantined);
}

TEST(CrashGuardTest, RequestThatCrashesEveryOtherTimeIsFound) {
  CrashGuard guard;
  const TimePoint now{};
  guard.OnCrash({7}, now);
  guard.OnSurvived(7, now);
  guard.OnCrash({7}, now);
  CHECK(guard.HandlingOf(7, now) == Handling::kQuarantined);
}

TEST(CrashGuardTest, QuarantineNeedsTwoCrashesAndMemoryIsBounded) {
  CHECK(rc::check([] {
    CrashGuardOptions options;
    options.capacity = 8;
    CrashGuard guard(options);
    std::vector<int> crashes(20, 0);
    TimePoint now{};
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += std::chrono::seconds(*rc::gen::inRange(0, 100));
      const auto fingerprints = *rc::gen::container<std::vector<uint64_t>>(
          rc::gen::inRange<uint64_t>(1, 20));
      const std::set<uint64_t> in_flight(fingerprints.begin(),
                                         fingerprints.end());
      if (*rc::gen::arbitrary<bool>()) {
        for (uint64_t fingerprint : in_flight) ++crashes[fingerprint];
        guard.OnCrash({in_flight.begin(), in_flight.end()}, now);
      } else {
        for (uint64_t fingerprint : in_flight) {
          guard.OnSurvived(fingerprint, now);
        }
      }
      RC_ASSERT(guard.size() <= options.capacity);
      for (uint64_t fingerprint : guard.TakeNewlyQuarantined()) {
        RC_ASSERT(crashes[fingerprint] >= 2);
      }
    }
  }));
}

}  // namespace amaranth
