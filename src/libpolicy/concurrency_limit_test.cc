#include "amaranthroute/policy/concurrency_limit.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

#include "libpolicy/fake_node.h"

namespace amaranth {
namespace {

using pvt::FakeLoad;
using pvt::FakeNode;
using pvt::FakeNodeOptions;

FakeLoad Steady(double per_second) {
  return {"caller", Tier::kStandard,
          [per_second](double) { return per_second; }};
}

double MeanLimit(const FakeNode& node, double from, double to) {
  const std::vector<int>& limits = node.limits();
  const auto begin = limits.begin() + static_cast<int>(from * 100);
  const auto end = limits.begin() + static_cast<int>(to * 100);
  return std::accumulate(begin, end, 0.0) / static_cast<double>(end - begin);
}

}  // namespace

TEST_GROUP(ConcurrencyLimitTest){};

TEST(ConcurrencyLimitTest, SteadyServerKeepsItsSlots) {
  FakeNodeOptions options;
  options.limit.ceiling = 100;
  options.limit.initial = 100;
  options.knee = 100;
  FakeNode node(options, {Steady(9000)}, 1);  // of 10000
  node.RunUntil(25);
  CHECK(MeanLimit(node, 1, 24) >= 95);
  CHECK(node.Tally(0, 1, 24).good_share() >= 0.995);
}

// Callers see five times the usual latency. The server announced 100 slots and
// has power for 20 calls at once; the others wait inside it, out of reach.
TEST(ConcurrencyLimitTest, ServerThatAnnouncesTooManySlotsIsHeldAtItsKnee) {
  FakeNodeOptions options;
  options.limit.ceiling = 100;
  options.limit.initial = 100;
  options.knee = 20;
  FakeNode node(options, {Steady(4000)}, 1);  // of 2000
  node.RunUntil(21);
  CHECK(MeanLimit(node, 5, 20) <= 32);
  CHECK(MeanLimit(node, 5, 20) >= 18);
  CHECK(node.Tally(0, 5, 20).good >= 0.9 * 2000 * 15);
}

// Callers see a service at a third of its speed give far less than a third. It
// waits for a slow service below it, so its latency is high however few calls
// it has; a limit that follows the latency is cut down to nothing.
TEST(ConcurrencyLimitTest, ServerThatWaitsForAnotherIsNotStarved) {
  FakeNodeOptions options;
  options.limit.ceiling = 100;
  options.limit.initial = 100;
  options.knee = 100;
  options.slowness = [](double s) { return s >= 3 && s < 13 ? 3.0 : 1.0; };
  FakeNode node(options, {Steady(6000)}, 1);
  node.RunUntil(20);
  CHECK(node.Tally(0, 4, 13).good >= 0.95 * 3333 * 9);
  CHECK(node.Tally(0, 14, 19).good_share() >= 0.99);
}

TEST(ConcurrencyLimitTest, LimitGrowsBackOnceTheServerIsQuickAgain) {
  FakeNodeOptions options;
  options.limit.ceiling = 100;
  options.limit.initial = 10;
  options.knee = 100;
  FakeNode node(options, {Steady(8000)}, 1);
  node.RunUntil(5);
  CHECK(node.Tally(0, 3, 4).good_share() >= 0.99);
}

TEST(ConcurrencyLimitTest, QuickRefusalsDoNotLookFast) {
  ConcurrencyLimitOptions options;
  options.ceiling = options.initial = 50;
  ConcurrencyLimit limit(options);
  TimePoint now{};
  const Duration usual = std::chrono::milliseconds(10);
  for (int sample = 0; sample < 1000; ++sample) {
    now += std::chrono::milliseconds(1);
    limit.OnSample(usual, limit.limit(), false, now);
  }
  CHECK_EQUAL(50, limit.limit());
  // Past 20 calls at once the server refuses what it cannot take.
  int highest = 0;
  for (int sample = 0; sample < 5000; ++sample) {
    now += std::chrono::milliseconds(1);
    const bool refused = sample % limit.limit() >= 20;
    limit.OnSample(refused ? Duration(100) : usual, limit.limit(), refused,
                   now);
    if (sample > 2000) highest = std::max(highest, limit.limit());
  }
  CHECK(highest < 40);
}

TEST(ConcurrencyLimitTest, AlwaysWithinFloorAndCeiling) {
  CHECK(rc::check([] {
    ConcurrencyLimitOptions options;
    options.floor = *rc::gen::inRange(1, 4);
    options.initial = *rc::gen::inRange(0, 300);
    ConcurrencyLimit limit(options);
    int ceiling = options.ceiling;
    TimePoint now{};
    const int phases = *rc::gen::inRange(1, 20);
    for (int phase = 0; phase < phases; ++phase) {
      if (*rc::gen::inRange(0, 4) == 0) {
        ceiling = *rc::gen::inRange(1, 200);
        limit.SetCeiling(ceiling);
      }
      const Duration latency(*rc::gen::inRange(0, 1000000));
      const bool failed = *rc::gen::arbitrary<bool>();
      const int in_flight = *rc::gen::inRange(1, 200);
      for (int sample = 0; sample < 150; ++sample) {
        now += std::chrono::milliseconds(1);
        limit.OnSample(latency, in_flight, failed, now);
        RC_ASSERT(limit.limit() >= options.floor);
        RC_ASSERT(limit.limit() <= std::max(ceiling, options.floor));
      }
    }
  }));
}

// Callers of a slowed server see it held at part of its slots for good. Each
// announcement sets the mode again, twice a second; when that threw away what
// was measured, no window ever filled and a trial's cut was never judged.
TEST(ConcurrencyLimitTest, SettingTheSameModeAgainLosesNothing) {
  ConcurrencyLimitOptions options;
  options.initial = options.ceiling = 10;
  ConcurrencyLimit limit(options);
  TimePoint now{};
  int lowest = options.ceiling;
  for (int sample = 0; sample < 6000; ++sample) {
    now += std::chrono::milliseconds(10);
    if (sample % 50 == 0) limit.SetAdaptive(true);
    // Three times slower from the middle on, at any number in flight: waiting.
    const Duration latency =
        std::chrono::milliseconds(sample < 3000 ? 50 : 150);
    limit.OnSample(latency, limit.limit(), false, now);
    lowest = std::min(lowest, limit.limit());
  }
  CHECK(limit.baseline() > Duration(0));
  CHECK(lowest < options.ceiling);
  CHECK_EQUAL(options.ceiling, limit.limit());
}

TEST(ConcurrencyLimitTest, SwitchedOffInATrialItReturnsToItsLimit) {
  ConcurrencyLimitOptions options;
  options.initial = options.ceiling = 10;
  ConcurrencyLimit limit(options);
  TimePoint now{};
  for (int sample = 0; sample < 6000 && limit.limit() == 10; ++sample) {
    now += std::chrono::milliseconds(10);
    limit.OnSample(std::chrono::milliseconds(sample < 3000 ? 50 : 150), 10,
                   false, now);
  }
  CHECK(limit.limit() < 10);
  limit.SetAdaptive(false);
  limit.SetAdaptive(true);
  CHECK_EQUAL(10, limit.limit());
}

TEST(ConcurrencyLimitTest, SwitchedOffItIsTheCeiling) {
  ConcurrencyLimit limit;
  limit.SetAdaptive(false);
  CHECK_EQUAL(100, limit.limit());
}

}  // namespace amaranth
