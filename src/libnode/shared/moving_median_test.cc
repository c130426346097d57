#include "libnode/shared/moving_median.h"

#include <CppUTest/TestHarness.h>

#include <random>

namespace amaranth::pvt {

TEST_GROUP(MovingMedianGroup) {
  std::mt19937_64 random{1};
  MovingMedian median;

  // Samples around 50 ms, of which `slow` are a second.
  void Feed(int samples, double slow) {
    std::exponential_distribution<double> time(1 / 50e3);
    std::bernoulli_distribution is_slow(slow);
    for (int i = 0; i < samples; ++i) {
      const double micros = is_slow(random) ? 1e6 : time(random);
      median.Add(Duration(static_cast<int64_t>(micros)));
    }
  }
  double Millis() const {
    return static_cast<double>(median.value().count()) / 1e3;
  }
};

// Guards against verdicts by a first sample that happened to be short.
TEST(MovingMedianGroup, AnUnluckyFirstSampleIsSoonForgotten) {
  median.Add(Duration(1000));
  Feed(30, 0);
  CHECK(Millis() > 15);
  CHECK(Millis() < 80);
}

// Guards against slow servers that make each other look usual.
TEST(MovingMedianGroup, AFewSlowServersLeaveItWhereItIs) {
  Feed(1000, 0.15);
  CHECK(Millis() > 20);
  CHECK(Millis() < 80);
}

}  // namespace amaranth::pvt
