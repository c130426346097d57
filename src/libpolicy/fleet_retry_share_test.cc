#include "amaranthroute/policy/fleet_retry_share.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace amaranth {
namespace {

constexpr FleetRetryLimits kLimits{0.2, 47, std::chrono::seconds(10)};

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(FleetRetryShare){};

// Guards against the service receiving many times the budget: all 13 nodes see
// it fail in the same second, and each has enough failed requests to retry at
// any rate.
TEST(FleetRetryShare, NodesThatSeeOneFailureStayWithinTheFleetBudget) {
  constexpr size_t kNodes = 13;
  std::vector<FleetRetryShare> nodes(kNodes, FleetRetryShare(kLimits));
  int requests = 0;
  int retries = 0;
  for (int millis = 0; millis < 9'000; millis += 100) {
    const TimePoint now = FromMicros(int64_t{millis} * 1000);
    for (FleetRetryShare& node : nodes) {
      node.OnRequest(now);
      ++requests;
      for (int i = 0; i < 5; ++i) retries += node.TryRetry(kNodes, now) ? 1 : 0;
    }
  }
  CHECK(retries > 0);
  CHECK(retries <= 0.2 * requests + 47);
}

TEST(FleetRetryShare, IdleNodeHasItsPartOfTheFixedNumber) {
  FleetRetryShare share(kLimits);
  const TimePoint now = FromMicros(0);
  CHECK(share.TryRetry(13, now));
  CHECK(share.TryRetry(13, now));
  CHECK_FALSE(share.TryRetry(13, now));
  CHECK(share.TryRetry(13, now + std::chrono::seconds(11)));
}

}  // namespace amaranth
