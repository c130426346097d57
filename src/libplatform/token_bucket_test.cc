#include "libplatform/token_bucket.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

namespace amaranth::pvt {

TEST_GROUP(TokenBucket){};

// The platform throttles the whole fleet once the sum of the nodes' calls
// exceeds its rate. So whatever the sizes and times of the calls, a node must
// keep to its share: the rate plus a burst of one second's worth, exceeded by
// at most one batch.
TEST(TokenBucket, MeanRateHoldsForAnySequence) {
  const bool ok = rc::check([](const std::vector<uint8_t>& steps) {
    constexpr double kRate = 40;
    constexpr double kMaxBatch = 100;
    TimePoint now = FromMicros(0);
    TokenBucket bucket(kRate, now);
    double taken = 0;
    for (const uint8_t step : steps) {
      now += std::chrono::milliseconds(step);
      const double count = 1 + step % static_cast<int>(kMaxBatch);
      if (bucket.Take(count, now)) taken += count;
      const double seconds = static_cast<double>(ToMicros(now)) / 1e6;
      RC_ASSERT(taken <= kRate * (seconds + 1) + kMaxBatch);
    }
  });
  CHECK(ok);
}

TEST(TokenBucket, NegativeBalanceIsRefilledBeforeTheNextTake) {
  TokenBucket bucket(10, FromMicros(0));
  CHECK(bucket.Take(30, FromMicros(0)));
  CHECK_FALSE(bucket.Take(1, FromMicros(1'900'000)));
  CHECK(bucket.Take(1, FromMicros(2'100'000)));
}

}  // namespace amaranth::pvt
