#include "amaranthroute/policy/caller_shares.h"

#include <CppUTest/TestHarness.h>

#include "amaranthroute/policy/shedder.h"

namespace amaranth {

TEST_GROUP(CallerShares) {
  CallerShares shares;

  // Records one second of requests: `heavy_requests` of the caller "heavy", and
  // `light_requests` of each of nine others.
  void OfferOneSecond(int heavy_requests, int light_requests, int64_t from_us) {
    const TimePoint now = FromMicros(from_us);
    for (int i = 0; i < heavy_requests; ++i) shares.OnArrival("heavy", now);
    for (int caller = 0; caller < 9; ++caller) {
      for (int i = 0; i < light_requests; ++i) {
        shares.OnArrival("light" + std::to_string(caller), now);
      }
    }
  }
};

TEST(CallerShares, EqualCallersKeepAllLevels) {
  OfferOneSecond(10, 10, 1'000'000);
  DOUBLES_EQUAL(1.0, shares.Weight("heavy"), 1e-9);
  DOUBLES_EQUAL(1.0, shares.Weight("light3"), 1e-9);
  DOUBLES_EQUAL(1.0, shares.Weight("never seen"), 1e-9);
}

TEST(CallerShares, HeavyCallerLosesLevelsInProportionToItsSurplus) {
  OfferOneSecond(600, 8, 1'000'000);
  CHECK(shares.Weight("heavy") < 0.2);
  CHECK(shares.Weight("heavy") > 0);
  DOUBLES_EQUAL(1.0, shares.Weight("light0"), 1e-9);
}

TEST(CallerShares, CallerRegainsItsWeightAfterLoweringItsDemand) {
  OfferOneSecond(600, 8, 1'000'000);
  OfferOneSecond(8, 8, 2'000'000);
  OfferOneSecond(8, 8, 3'000'000);
  DOUBLES_EQUAL(1.0, shares.Weight("heavy"), 1e-9);
}

TEST(CallerShares, WeightNeverLeavesTheTierAndNeverRaisesALevel) {
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    for (int tier = 0; tier < kTierCount; ++tier) {
      const Tier tier_value = static_cast<Tier>(tier);
      const uint32_t unweighted = SheddingLevel(tier_value, id);
      const uint32_t weighted = WeightedSheddingLevel(tier_value, id, 0.1);
      CHECK(weighted <= unweighted);
      CHECK(weighted >= 1 + static_cast<uint32_t>(tier) * kLevelsPerTier);
      CHECK_EQUAL(unweighted, WeightedSheddingLevel(tier_value, id, 1.0));
    }
  }
}

}  // namespace amaranth
