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

FakeLoad SteadyLoad(double per_second) {
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
  FakeNode node(options, {SteadyLoad(9000)}, 1);  // capacity 10000
  node.RunUntil(25);
  CHECK(MeanLimit(node, 1, 24) >= 95);
  CHECK(node.Tally(0, 1, 24).good_share() >= 0.995);
}

// Guards against five times the normal latency: the server announced 100 slots
// but can run only 20 calls at full speed, and the others queue inside it.
TEST(ConcurrencyLimitTest, ServerThatAnnouncesTooManySlotsIsLimitedToItsKnee) {
  FakeNodeOptions options;
  options.limit.ceiling = 100;
  options.limit.initial = 100;
  options.knee = 20;
  FakeNode node(options, {SteadyLoad(4000)}, 1);  // capacity 2000
  node.RunUntil(21);
  CHECK(MeanLimit(node, 5, 20) <= 32);
  CHECK(MeanLimit(node, 5, 20) >= 18);
  CHECK(node.Tally(0, 5, 20).good >= 0.9 * 2000 * 15);
}

// Guards against a service at a third of its speed reaching far less than a
// third of its throughput. It waits for a slow downstream service, so its
// latency is high however few calls it has; a limit that follows the latency
// alone would drop to the floor.
TEST(ConcurrencyLimitTest, ServerThatWaitsForDownstreamIsNotStarved) {
  FakeNodeOptions options;
  options.limit.ceiling = 100;
  options.limit.initial = 100;
  options.knee = 100;
  options.slowness = [](double s) { return s >= 3 && s < 13 ? 3.0 : 1.0; };
  FakeNode node(options, {SteadyLoad(6000)}, 1);
  node.RunUntil(20);
  CHECK(node.Tally(0, 4, 13).good >= 0.95 * 3333 * 9);
  CHECK(node.Tally(0, 14, 19).good_share() >= 0.99);
}

TEST(ConcurrencyLimitTest, LimitGrowsToTheSlotsOfAFastServer) {
  FakeNodeOptions options;
  options.limit.ceiling = 100;
  options.limit.initial = 10;
  options.knee = 100;
  FakeNode node(options, {SteadyLoad(8000)}, 1);
  node.RunUntil(5);
  CHECK(node.Tally(0, 3, 4).good_share() >= 0.99);
}

TEST(ConcurrencyLimitTest, QuickRefusalsDoNotAppearFast) {
  ConcurrencyLimitOptions options;
  options.ceiling = options.initial = 50;
  ConcurrencyLimit limit(options);
  TimePoint now{};
  const Duration service_time = std::chrono::milliseconds(10);
  for (int sample = 0; sample < 1000; ++sample) {
    now += std::chrono::milliseconds(1);
    limit.OnSample(service_time, limit.limit(), false, now);
  }
  CHECK_EQUAL(50, limit.limit());
  // The server refuses calls beyond 20 at once.
  int max_limit = 0;
  for (int sample = 0; sample < 5000; ++sample) {
    now += std::chrono::milliseconds(1);
    const bool refused = sample % limit.limit() >= 20;
    limit.OnSample(refused ? Duration(100) : service_time, limit.limit(),
                   refused, now);
    if (sample > 2000) max_limit = std::max(max_limit, limit.limit());
  }
  CHECK(max_limit < 40);
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

// Guards against a slowed server staying limited to a part of its slots
// forever. Each announcement sets the mode again, twice a second; if that
// discarded the samples, no window would fill and no trial would be evaluated.
TEST(ConcurrencyLimitTest, SettingTheSameModeAgainKeepsTheState) {
  ConcurrencyLimitOptions options;
  options.initial = options.ceiling = 10;
  ConcurrencyLimit limit(options);
  TimePoint now{};
  int min_limit = options.ceiling;
  for (int sample = 0; sample < 6000; ++sample) {
    now += std::chrono::milliseconds(10);
    if (sample % 50 == 0) limit.SetAdaptive(true);
    // From the middle on three times slower at any number in flight, as when
    // the server waits for a downstream service.
    const Duration latency =
        std::chrono::milliseconds(sample < 3000 ? 50 : 150);
    limit.OnSample(latency, limit.limit(), false, now);
    min_limit = std::min(min_limit, limit.limit());
  }
  CHECK(limit.baseline() > Duration(0));
  CHECK(min_limit < options.ceiling);
  CHECK_EQUAL(options.ceiling, limit.limit());
}

TEST(ConcurrencyLimitTest, DisablingDuringATrialRestoresTheLimit) {
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

TEST(ConcurrencyLimitTest, DisabledLimitIsTheCeiling) {
  ConcurrencyLimit limit;
  limit.SetAdaptive(false);
  CHECK_EQUAL(100, limit.limit());
}

}  // namespace amaranth
