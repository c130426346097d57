#include "amaranthroute/policy/caller_shares.h"

#include <CppUTest/TestHarness.h>

#include "amaranthroute/policy/shedder.h"

namespace amaranth {

TEST_GROUP(CallerShares) {
  CallerShares shares;

  // One second of calls: `hot` ones of a caller, and `quiet` of nine others.
  void Play(int hot, int quiet, int64_t from_us) {
    const TimePoint now = FromMicros(from_us);
    for (int i = 0; i < hot; ++i) shares.OnArrival("hot", now);
    for (int caller = 0; caller < 9; ++caller) {
      for (int i = 0; i < quiet; ++i) {
        shares.OnArrival("quiet" + std::to_string(caller), now);
      }
    }
  }
};

TEST(CallerShares, EqualCallersKeepAllLevels) {
  Play(10, 10, 1'000'000);
  DOUBLES_EQUAL(1.0, shares.Weight("hot"), 1e-9);
  DOUBLES_EQUAL(1.0, shares.Weight("quiet3"), 1e-9);
  DOUBLES_EQUAL(1.0, shares.Weight("never seen"), 1e-9);
}

TEST(CallerShares, AHotCallerLosesLevelsInProportionToItsSurplus) {
  Play(600, 8, 1'000'000);
  CHECK(shares.Weight("hot") < 0.2);
  CHECK(shares.Weight("hot") > 0);
  DOUBLES_EQUAL(1.0, shares.Weight("quiet0"), 1e-9);
}

TEST(CallerShares, ACallerThatCalmsDownIsForgiven) {
  Play(600, 8, 1'000'000);
  Play(8, 8, 2'000'000);
  Play(8, 8, 3'000'000);
  DOUBLES_EQUAL(1.0, shares.Weight("hot"), 1e-9);
}

TEST(CallerShares, WeightNeverLeavesTheTierAndNeverRaisesALevel) {
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    for (int tier = 0; tier < kTierCount; ++tier) {
      const Tier level_of = static_cast<Tier>(tier);
      const uint32_t full = SheddingLevel(level_of, id);
      const uint32_t weighted = WeightedSheddingLevel(level_of, id, 0.1);
      CHECK(weighted <= full);
      CHECK(weighted >= 1 + static_cast<uint32_t>(tier) * kLevelsPerTier);
      CHECK_EQUAL(full, WeightedSheddingLevel(level_of, id, 1.0));
    }
  }
}

}  // namespace amaranth
