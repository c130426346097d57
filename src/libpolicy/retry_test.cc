#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>

#include "amaranthroute/policy/retry_after.h"
#include "amaranthroute/policy/retry_budget.h"

namespace amaranth {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP(RetryTest){};

TEST(RetryTest, RetriesStayWithinTheRatio) {
  CHECK(rc::check([] {
    const double ratio = *rc::gen::element(0.0, 0.1, 0.5);
    RetryBudget budget(ratio, 1.0);
    const double window_seconds = 2;
    double first_attempts = 0;
    double retries = 0;
    TimePoint now{};
    const int steps = *rc::gen::inRange(1, 1000);
    for (int step = 0; step < steps; ++step) {
      now += Duration(*rc::gen::inRange(0, 50000));
      if (*rc::gen::inRange(0, 4) != 0) {
        ++first_attempts;
        budget.OnFirstAttempt(now);
      }
      if (budget.TryRetry(now)) ++retries;
      // The elapsed time is covered by windows that end at a granted retry.
      // Each holds at most the ratio of its first attempts plus the minimum
      // rate over its length, and covers at least 19 of its 20 buckets.
      const double elapsed =
          std::chrono::duration<double>(now.time_since_epoch()).count();
      const double windows = elapsed / (window_seconds * 19 / 20) + 1;
      RC_ASSERT(retries <= ratio * first_attempts + windows * window_seconds);
    }
  }));
}

// Guards against a failure that is prolonged by retries that accumulated in an
// hour without failures and are all spent at once.
TEST(RetryTest, UnusedRetriesDoNotAccumulate) {
  RetryBudget budget(0.1, 0.0);
  TimePoint now{};
  for (int call = 0; call < 100000; ++call) {
    now += milliseconds(10);
    budget.OnFirstAttempt(now);
  }
  int retries = 0;
  while (budget.TryRetry(now)) ++retries;
  CHECK(retries <= 20);  // 0.1 of the first attempts in two seconds
  CHECK(retries >= 18);
  budget.SetRatio(0.5);
  CHECK(budget.TryRetry(now));
}

TEST(RetryTest, AServiceWithFewRequestsCanRetry) {
  RetryBudget budget;
  const TimePoint now = TimePoint{} + seconds(100);
  budget.OnFirstAttempt(now);
  CHECK(budget.TryRetry(now));
}

TEST(RetryTest, RetryAfterIsBoundedAndRandom) {
  CHECK(rc::check([] {
    std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
    const size_t backlog = *rc::gen::inRange<size_t>(0, 1000000);
    const double rate = *rc::gen::element(0.0, 0.001, 1.0, 300.0, 1e9);
    const Duration first = RetryAfter(backlog, rate, random);
    RC_ASSERT(first >= kMinRetryAfter);
    RC_ASSERT(first <= kMaxRetryAfter);
    RC_ASSERT(first != RetryAfter(backlog, rate, random));
  }));
}

TEST(RetryTest, RetryAfterIsTheDrainTime) {
  std::mt19937_64 random(1);
  const Duration delay = RetryAfter(600, 200, random);
  CHECK(delay >= seconds(3));
  CHECK(delay < seconds(6));
}

TEST(RetryTest, DrainMeterMeasuresTheRate) {
  DrainMeter meter;
  TimePoint now = TimePoint{} + seconds(1000);
  CHECK(meter.PerSecond(now) == 0);
  for (int call = 0; call < 500; ++call) {
    meter.OnDone(now);
    now += milliseconds(10);
  }
  DOUBLES_EQUAL(100, meter.PerSecond(now), 6);
  CHECK(meter.PerSecond(now + seconds(3)) == 0);
}

// Guards against a burst of refused callers that resend too late to get their
// answer in time, or all at the same moment.
TEST(RetryTest, RetryWithinTargetIsEarlyEnoughAndRandom) {
  std::mt19937_64 random(3);
  const Duration target = std::chrono::milliseconds(1200);
  Duration shortest = target;
  Duration longest{0};
  for (int i = 0; i < 1000; ++i) {
    const Duration delay =
        RetryWithinTarget(target, std::chrono::milliseconds(200), random);
    shortest = std::min(shortest, delay);
    longest = std::max(longest, delay);
  }
  CHECK(shortest >= std::chrono::milliseconds(100));
  CHECK(longest <= std::chrono::milliseconds(350));
  CHECK(longest - shortest >= std::chrono::milliseconds(200));
  CHECK(RetryWithinTarget(target, target * 2, random) > Duration::zero());
}

}  // namespace amaranth
