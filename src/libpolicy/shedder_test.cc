#include "amaranthroute/policy/shedder.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "amaranthroute/policy/admission_queue.h"
#include "libpolicy/fake_node.h"

namespace amaranth {
namespace {

using pvt::FakeLoad;
using pvt::FakeNode;
using pvt::FakeNodeOptions;

constexpr double kSurgeStart = 3;
constexpr double kSurgeEnd = 8;
constexpr double kTierShares[kTierCount] = {0.1, 0.4, 0.3, 0.2};

// Returns a server with `slots` slots and a mean service time of `service`. The
// offered load is 0.4 of its capacity in the first second, then 0.8, and
// `factor` times 0.8 from kSurgeStart to kSurgeEnd.
FakeNode SurgeNode(int slots, Duration service, double factor, uint64_t seed) {
  FakeNodeOptions options;
  options.limit.ceiling = slots;
  options.limit.initial = slots;
  options.knee = slots;
  const double capacity =
      slots / std::chrono::duration<double>(service).count();
  std::vector<FakeLoad> loads;
  for (int tier = 0; tier < kTierCount; ++tier) {
    const double base = 0.8 * capacity * kTierShares[tier];
    loads.push_back({"caller", static_cast<Tier>(tier),
                     [base, factor](double seconds) {
                       if (seconds < 1) return base * 0.5;
                       const bool surge =
                           seconds >= kSurgeStart && seconds < kSurgeEnd;
                       return surge ? base * factor : base;
                     },
                     service});
  }
  return FakeNode(options, loads, seed);
}

double GoodPerSecond(const FakeNode& node, double from, double to) {
  double good = 0;
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    good += node.Tally(tier, from, to).good;
  }
  return good / (to - from);
}

struct SurgeCase {
  int slots;
  Duration service;
  double factor;
};

// Runs one surge; returns the goodput during it as a fraction of the capacity.
double RunSurge(const SurgeCase& surge, uint64_t seed) {
  FakeNode node = SurgeNode(surge.slots, surge.service, surge.factor, seed);
  node.RunUntil(12);
  const double capacity =
      surge.slots / std::chrono::duration<double>(surge.service).count();
  // Capacity goes to the tiers from the highest down; only the tier at which it
  // runs out is shed in part.
  double remaining = 1;
  for (size_t tier = kTierCount; tier-- > 0 && remaining > 0;) {
    const double demand = 0.8 * surge.factor * kTierShares[tier];
    const double good_share =
        node.Tally(tier, kSurgeStart + 0.5, kSurgeEnd).good_share();
    if (demand < remaining) CHECK(good_share >= 0.98);
    if (demand >= remaining) CHECK(good_share * demand >= remaining - 0.1);
    remaining -= demand;
  }
  // Nearly all admitted calls are run: a call refused in the queue wastes the
  // work that upstream hops have already done for it.
  double admitted = 0;
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    admitted += node.Tally(tier, kSurgeStart + 0.5, kSurgeEnd).admitted /
                (kSurgeEnd - kSurgeStart - 0.5);
  }
  const double good = GoodPerSecond(node, kSurgeStart + 0.5, kSurgeEnd);
  CHECK(admitted - good <= 0.15 * capacity);
  // One second after the surge the node has recovered.
  CHECK(GoodPerSecond(node, kSurgeEnd + 1, 11) >= 0.9 * 0.8 * capacity);
  const std::vector<uint32_t>& thresholds = node.thresholds();
  const auto end = thresholds.begin() + static_cast<int>(kSurgeEnd * 100);
  CHECK_EQUAL(0u, *std::min_element(end, end + 100));
  return good / capacity;
}

void CheckSurge(const SurgeCase& surge) {
  constexpr uint64_t kRuns = 10;
  double sum = 0;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    const double goodput = RunSurge(surge, seed);
    CHECK(goodput >= 0.9);
    sum += goodput;
  }
  CHECK(sum / kRuns >= 0.97);
}

}  // namespace

TEST_GROUP(ShedderTest){};

TEST(ShedderTest, LevelIsStableAndOrderedByTier) {
  const uint32_t browse = SheddingLevel(Tier::kBrowse, "r1");
  CHECK_EQUAL(browse, SheddingLevel(Tier::kBrowse, "r1"));
  CHECK_EQUAL(browse + 2 * kLevelsPerTier,
              SheddingLevel(Tier::kCritical, "r1"));
  for (int id = 0; id < 1000; ++id) {
    const std::string text = std::to_string(id);
    CHECK(SheddingLevel(Tier::kBackground, text) >= 1);
    CHECK(SheddingLevel(Tier::kCritical, text) <= kMaxSheddingLevel);
    CHECK(SheddingLevel(Tier::kStandard, text) >
          SheddingLevel(Tier::kBrowse, "other"));
  }
}

TEST(ShedderTest, SurgesKeepGoodputAndTierOrderAndThenRecover) {
  const Duration short_service = std::chrono::milliseconds(10);
  const Duration long_service = std::chrono::milliseconds(50);
  for (double factor : {2.0, 5.0, 10.0}) {
    CheckSurge({10, short_service, factor});
    CheckSurge({100, long_service, factor});
  }
}

TEST(ShedderTest, OrdinaryLoadAndShortBurstsAreNotShed) {
  FakeNode ordinary = SurgeNode(100, std::chrono::milliseconds(50), 1, 3);
  ordinary.RunUntil(12);
  for (uint32_t threshold : ordinary.thresholds()) CHECK_EQUAL(0u, threshold);
  // 120 ms at three times the capacity: 200 calls wait, none is refused.
  FakeNodeOptions options;
  options.limit.ceiling = 100;
  options.limit.initial = 100;
  options.knee = 100;
  FakeLoad load{"caller", Tier::kBrowse, [](double seconds) {
                  return seconds >= 2 && seconds < 2.12 ? 30000.0 : 3000.0;
                }};
  options.queue.capacity = 4096;
  FakeNode burst(options, {load}, 3);
  burst.RunUntil(5);
  CHECK(burst.Tally(0, 1.9, 2.3).good_share() >= 0.9);
  CHECK(burst.Tally(0, 3, 4).good_share() == 1.0);
}

TEST(ShedderTest, AnyHistoryKeepsLevelOrderAndRecoversInASecond) {
  CHECK(rc::check([] {
    Shedder shedder;
    int64_t now = 0;
    const int steps = *rc::gen::inRange(1, 400);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::inRange(0, 40);
      const TimePoint at = TimePoint{} + std::chrono::milliseconds(now);
      const uint32_t level =
          *rc::gen::inRange<uint32_t>(1, kMaxSheddingLevel + 1);
      shedder.OnArrival(level, at);
      if (*rc::gen::arbitrary<bool>()) {
        shedder.OnQueueDelay(
            std::chrono::milliseconds(*rc::gen::inRange(0, 500)), at);
      }
      const uint32_t threshold = shedder.Threshold(at);
      RC_ASSERT(threshold <= kMaxSheddingLevel);
      RC_ASSERT(shedder.Admits(level, at) == (level >= threshold));
      RC_ASSERT(shedder.Admits(kMaxSheddingLevel, at));
    }
    // Then demand is far below the capacity and slots are free.
    for (int idle_step = 0; idle_step < 100; ++idle_step) {
      now += 10;
      const TimePoint at = TimePoint{} + std::chrono::milliseconds(now);
      shedder.OnArrival(1 + static_cast<uint32_t>(idle_step) * 5, at);
      shedder.OnQueueDelay(Duration(0), at);
      shedder.OnIdle(at);
    }
    const TimePoint at = TimePoint{} + std::chrono::milliseconds(now);
    RC_ASSERT(shedder.Threshold(at) == 0u);
  }));
}

TEST_GROUP(DownstreamThresholdsTest){};

// Guards against requests being refused long after a service has recovered: the
// last answer reported the highest threshold, so nothing is sent and no answer
// lowers it.
TEST(DownstreamThresholdsTest, ThresholdWithoutAnswersDecaysToZero) {
  DownstreamThresholds thresholds;
  TimePoint now{};
  for (int answer = 0; answer < 50; ++answer) {
    thresholds.Learn("proofing", kMaxSheddingLevel, now);
  }
  CHECK(thresholds.ThresholdFor("proofing", now) >= kMaxSheddingLevel - 1);
  CHECK_EQUAL(0u, thresholds.ThresholdFor("imagery", now));
  uint32_t last = kMaxSheddingLevel;
  for (int step = 0; step < 80; ++step) {
    now += std::chrono::milliseconds(10);
    const uint32_t threshold = thresholds.ThresholdFor("proofing", now);
    CHECK(threshold <= last);
    last = threshold;
  }
  CHECK_EQUAL(0u, last);
}

TEST(DownstreamThresholdsTest, AnswersOfRecoveredServersLowerThreshold) {
  DownstreamThresholds thresholds;
  const TimePoint now{};
  for (int answer = 0; answer < 10; ++answer) {
    thresholds.Learn("proofing", 300, now);
  }
  CHECK(thresholds.ThresholdFor("proofing", now) > 270);
  for (int answer = 0; answer < 25; ++answer) {
    thresholds.Learn("proofing", 0, now);
  }
  CHECK_EQUAL(0u, thresholds.ThresholdFor("proofing", now));
}

namespace {

// Simulates requests that each make four sequential calls to one server. They
// are admitted at their entry by the server's threshold of 200 ms earlier.
class ChainLoad {
 public:
  explicit ChainLoad(const ShedderOptions& options, size_t slots = 15,
                     int service_ms = 15, size_t queue_capacity = 100'000)
      : slots_(slots),
        service_ms_(service_ms),
        queue_capacity_(queue_capacity),
        shedder_(options) {}

  // Number of calls refused because the queue was full.
  int refused_calls() const { return refused_calls_; }

  // Offers `per_second` requests for `seconds`. Returns the mean latency in
  // milliseconds and the number of the requests that ended in the second half.
  std::pair<double, int> Run(int per_second, int seconds) {
    double total_millis = 0;
    int completed = 0;
    for (int ms = 0; ms < seconds * 1000; ++ms) {
      const TimePoint now = FromMicros(int64_t{ms} * 1000);
      if (ms % 100 == 0) reported_.push_back(shedder_.Threshold(now));
      const uint32_t threshold =
          reported_.size() > 2 ? reported_[reported_.size() - 3] : 0;
      arrivals_due_ += per_second / 1000.0;
      for (; arrivals_due_ >= 1; arrivals_due_ -= 1) {
        const uint32_t level = LevelByCost(
            SheddingLevel(Tier::kBrowse, std::to_string(++requests_)), true);
        if (level >= threshold) EnqueueCall(level, ms, kCalls, now);
      }
      for (const ChainCall& call : FinishAndStartCalls(now, ms)) {
        if (call.calls_left > 1) {
          EnqueueCall(call.level, call.arrived_ms, call.calls_left - 1, now);
        } else if (ms >= seconds * 500) {
          total_millis += ms - call.arrived_ms;
          ++completed;
        }
      }
    }
    return {completed == 0 ? 0 : total_millis / completed, completed};
  }

  static constexpr int kCalls = 4;

 private:
  struct ChainCall {
    uint32_t level;
    int arrived_ms;
    int calls_left;
    int time_ms;  // waiting: enqueued at; running: ends at
  };

  void EnqueueCall(uint32_t level, int arrived_ms, int calls, TimePoint now) {
    shedder_.OnArrival(level, now);
    if (waiting_.size() >= queue_capacity_) {
      ++refused_calls_;
      return;
    }
    waiting_.push_back(
        {level, arrived_ms, calls, static_cast<int>(ToMicros(now) / 1000)});
  }

  std::vector<ChainCall> FinishAndStartCalls(TimePoint now, int ms) {
    std::vector<ChainCall> completed;
    for (size_t i = 0; i < running_.size();) {
      if (running_[i].time_ms > ms) {
        ++i;
        continue;
      }
      completed.push_back(running_[i]);
      running_.erase(running_.begin() + static_cast<ptrdiff_t>(i));
    }
    while (running_.size() < slots_ && !waiting_.empty()) {
      const std::chrono::milliseconds oldest(ms - waiting_.front().time_ms);
      shedder_.OnQueueDelay(oldest, now);
      running_.push_back(waiting_.front());
      running_.back().time_ms = ms + service_ms_;
      waiting_.pop_front();
    }
    if (running_.size() < slots_) shedder_.OnIdle(now);
    return completed;
  }

  size_t slots_;
  int service_ms_;
  size_t queue_capacity_;
  int refused_calls_ = 0;
  Shedder shedder_;
  std::deque<ChainCall> waiting_;
  std::vector<ChainCall> running_;
  std::vector<uint32_t> reported_;
  double arrivals_due_ = 0;
  int requests_ = 0;
};

}  // namespace

// Guards against a permanent backlog at twice the capacity of the deepest
// service. Each request makes four calls there, so the backlog sustains itself
// and every request ends late although the slots are never idle. With a
// threshold computed from the wait most of the capacity becomes answers within
// a second; with one computed from counts hardly any answer is in time.
TEST(ShedderTest, BacklogOfRequestChainsDrains) {
  constexpr int kCapacity = 250;  // requests a second: 15 slots / 15 ms / 4
  ShedderOptions by_wait;
  by_wait.threshold_from_wait = true;
  const auto [millis, completed] = ChainLoad(by_wait).Run(2 * kCapacity, 20);
  CHECK(millis < 900);
  CHECK(completed > 0.85 * kCapacity * 10);
  const auto [millis_by_counts, completed_by_counts] =
      ChainLoad(ShedderOptions()).Run(2 * kCapacity, 20);
  CHECK(millis_by_counts > 2 * millis);
  CHECK(completed_by_counts > 0);
}

// Guards against browsing requests being refused while the servers are idle for
// a tenth to an eighth of the time. If the threshold rises at too short a wait,
// the queue is empty again before the change takes effect three hops and a
// second later, and the threshold oscillates between admitting everything and
// nothing: 0 calls waiting in one second, 460 in the next.
TEST(ShedderTest, ThresholdOscillationDoesNotIdleSlots) {
  ShedderOptions options;
  options.threshold_from_wait = true;
  for (const auto& [slots, service_ms] :
       {std::pair<int, int>{15, 15}, {110, 24}, {110, 17}}) {
    for (const double load : {1.3, 1.7, 2.0}) {
      const int capacity = slots * 1000 / service_ms / ChainLoad::kCalls;
      ChainLoad chain(options, static_cast<size_t>(slots), service_ms);
      const auto [millis, completed] =
          chain.Run(static_cast<int>(load * capacity), 20);
      CHECK(completed >= 0.95 * capacity * 10);
      CHECK(millis < 800);
    }
  }
}

// Guards against status 500 for half of the admitted requests. With 110 slots
// the queue's 256 places hold 56 ms of work, so the wait never becomes long
// enough to shed the lowest group, and calls are refused in the middle of their
// request. A queue capacity derived from a wait avoids this.
TEST(ShedderTest, QueueShorterThanTheWaitRefusesAdmittedRequests) {
  constexpr int kSlots = 110;
  constexpr int kServiceMs = 24;
  constexpr int kOffered = 2 * kSlots * 1000 / kServiceMs / 4;
  ShedderOptions by_wait;
  by_wait.threshold_from_wait = true;
  ChainLoad by_count(by_wait, kSlots, kServiceMs, 256);
  by_count.Run(kOffered, 10);
  const size_t capacity = AdmissionQueue::CapacityForWait(
      256, kSlots, std::chrono::milliseconds(kServiceMs));
  ChainLoad by_time(by_wait, kSlots, kServiceMs, capacity);
  const auto [millis, completed] = by_time.Run(kOffered, 10);
  CHECK(by_count.refused_calls() > kOffered);
  CHECK(by_time.refused_calls() < kOffered / 10);
  CHECK(millis < 900);
  CHECK(completed > 0.85 * 5 * kOffered / 2);
}

TEST(ShedderTest, RequestsWithNestedCallsHaveLowerLevelsInTheirTier) {
  for (uint32_t level = 129; level <= 256; ++level) {
    CHECK(LevelByCost(level, true) <= 192);
    CHECK(LevelByCost(level, false) > 192);
    CHECK(LevelByCost(level, true) >= 129);
    CHECK(LevelByCost(level, false) <= 256);
  }
}

// Guards against a threshold that sheds renewals and browsing alike because
// customers' tiers, which go before those of classes, are all the same.
TEST(ShedderTest, OfOneTierLessImportantClassesHaveLowerLevels) {
  const uint32_t lowest = 1 + kLevelsPerTier * 2;
  for (uint32_t level = lowest; level < lowest + kLevelsPerTier; ++level) {
    const uint32_t browse = LevelByClass(level, Tier::kBrowse);
    const uint32_t critical = LevelByClass(level, Tier::kCritical);
    CHECK(browse >= lowest && critical < lowest + kLevelsPerTier);
    for (uint32_t other = lowest; other < lowest + kLevelsPerTier; ++other) {
      CHECK(LevelByClass(other, Tier::kBrowse) < critical);
    }
    if (level > lowest) {
      CHECK(browse >= LevelByClass(level - 1, Tier::kBrowse));
    }
  }
}

}  // namespace amaranth
