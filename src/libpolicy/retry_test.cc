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

TEST(RetryTest, RetriesStayUnderTheRatio) {
  CHECK(rc::check([] {
    const double ratio = *rc::gen::element(0.0, 0.1, 0.5);
    RetryBudget budget(ratio, 1.0);
    const double window_seconds = 2;
    double first_tries = 0;
    double retries = 0;
    TimePoint now{};
    const int steps = *rc::gen::inRange(1, 1000);
    for (int step = 0; step < steps; ++step) {
      now += Duration(*rc::gen::inRange(0, 50000));
      if (*rc::gen::inRange(0, 4) != 0) {
        ++first_tries;
        budget.OnFirstTry(now);
      }
      if (budget.TryRetry(now)) ++retries;
      // The time is covered by windows that end at a granted retry and hold at
      // most the ratio of their first tries, and the least rate for their
      // length; one is at least 19 of its 20 buckets long.
      const double elapsed =
          std::chrono::duration<double>(now.time_since_epoch()).count();
      const double windows = elapsed / (window_seconds * 19 / 20) + 1;
      RC_ASSERT(retries <= ratio * first_tries + windows * window_seconds);
    }
  }));
}

// Callers of a service that fails for a while see it fail for longer: retries
// that went unused in an hour of calm come all at once when it breaks.
TEST(RetryTest, CalmDoesNotSaveUpRetries) {
  RetryBudget budget(0.1, 0.0);
  TimePoint now{};
  for (int call = 0; call < 100000; ++call) {
    now += milliseconds(10);
    budget.OnFirstTry(now);
  }
  int retries = 0;
  while (budget.TryRetry(now)) ++retries;
  CHECK(retries <= 20);  // 0.1 of the last two seconds
  CHECK(retries >= 18);
  budget.SetRatio(0.5);
  CHECK(budget.TryRetry(now));
}

TEST(RetryTest, RareRequestsCanRetry) {
  RetryBudget budget;
  const TimePoint now = TimePoint{} + seconds(100);
  budget.OnFirstTry(now);
  CHECK(budget.TryRetry(now));
}

TEST(RetryTest, RetryAfterIsBoundedAndSpread) {
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
  const Duration wait = RetryAfter(600, 200, random);
  CHECK(wait >= seconds(3));
  CHECK(wait < seconds(6));
}

TEST(RetryTest, DrainMeterFollowsTheRate) {
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

// Callers are turned away together in a burst; each must come back while it can
// still be served in time, and not all at one moment.
TEST(RetryTest, CallersComeBackWithinTheirTargetAndSpreadOut) {
  std::mt19937_64 random(3);
  const Duration target = std::chrono::milliseconds(1200);
  Duration first = target;
  Duration last{0};
  for (int i = 0; i < 1000; ++i) {
    const Duration wait =
        RetryWithinTarget(target, std::chrono::milliseconds(200), random);
    first = std::min(first, wait);
    last = std::max(last, wait);
  }
  CHECK(first >= std::chrono::milliseconds(100));
  CHECK(last <= std::chrono::milliseconds(350));
  CHECK(last - first >= std::chrono::milliseconds(200));
  CHECK(RetryWithinTarget(target, target * 2, random) > Duration::zero());
}

}  // namespace amaranth
