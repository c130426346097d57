#include "libnode/shared/moving_median.h"

#include <CppUTest/TestHarness.h>

#include <random>

namespace amaranth::pvt {

TEST_GROUP(MovingMedianGroup) {
  std::mt19937_64 random{1};
  MovingMedian median;

  // Adds samples with a mean of 50 ms, of which a share of `slow_share` are one
  // second.
  void AddSamples(int samples, double slow_share) {
    std::exponential_distribution<double> time(1 / 50e3);
    std::bernoulli_distribution is_slow(slow_share);
    for (int i = 0; i < samples; ++i) {
      const double micros = is_slow(random) ? 1e6 : time(random);
      median.Add(Duration(static_cast<int64_t>(micros)));
    }
  }
  double Millis() const {
    return static_cast<double>(median.value().count()) / 1e3;
  }
};

// Guards against an estimate that stays near a first sample that was too short.
TEST(MovingMedianGroup, AnOutlyingFirstSampleIsCorrectedSoon) {
  median.Add(Duration(1000));
  AddSamples(30, 0);
  CHECK(Millis() > 15);
  CHECK(Millis() < 80);
}

// Guards against slow servers that raise the typical service time, so that none
// of them is detected as slow.
TEST(MovingMedianGroup, AFewSlowServersDoNotMoveIt) {
  AddSamples(1000, 0.15);
  CHECK(Millis() > 20);
  CHECK(Millis() < 80);
}

}  // namespace amaranth::pvt
