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

constexpr double kFrom = 3;
constexpr double kTo = 8;
constexpr double kTierShares[kTierCount] = {0.1, 0.4, 0.3, 0.2};

// A server with `slots` of `service`, offered 0.8 of its capacity after a quiet
// start, and `factor` times that from kFrom to kTo.
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
                       const bool surge = seconds >= kFrom && seconds < kTo;
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

// Plays one surge; gives the part of the capacity that became good answers.
double PlaySurge(const SurgeCase& surge, uint64_t seed) {
  FakeNode node = SurgeNode(surge.slots, surge.service, surge.factor, seed);
  node.RunUntil(12);
  const double capacity =
      surge.slots / std::chrono::duration<double>(surge.service).count();
  // Tiers from the top down get what they ask for while it lasts; the tier that
  // the line goes through bears all the noise.
  double left = 1;
  for (size_t tier = kTierCount; tier-- > 0 && left > 0;) {
    const double asked = 0.8 * surge.factor * kTierShares[tier];
    const double got = node.Tally(tier, kFrom + 0.5, kTo).good_share();
    if (asked < left) CHECK(got >= 0.98);
    if (asked >= left) CHECK(got * asked >= left - 0.1);
    left -= asked;
  }
  // What is let in is run: little of it is turned away in the queue, where the
  // hops above have worked for it already.
  double let_in = 0;
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    let_in += node.Tally(tier, kFrom + 0.5, kTo).let_in / (kTo - kFrom - 0.5);
  }
  const double good = GoodPerSecond(node, kFrom + 0.5, kTo);
  CHECK(let_in - good <= 0.15 * capacity);
  // A second after its end nothing is left of it.
  CHECK(GoodPerSecond(node, kTo + 1, 11) >= 0.9 * 0.8 * capacity);
  const std::vector<uint32_t>& thresholds = node.thresholds();
  const auto end = thresholds.begin() + static_cast<int>(kTo * 100);
  CHECK_EQUAL(0u, *std::min_element(end, end + 100));
  return good / capacity;
}

void CheckSurge(const SurgeCase& surge) {
  constexpr uint64_t kRuns = 10;
  double sum = 0;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    const double used = PlaySurge(surge, seed);
    CHECK(used >= 0.9);
    sum += used;
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

TEST(ShedderTest, SurgesLeaveGoodputAndOrderAndNoTrace) {
  const Duration quick = std::chrono::milliseconds(10);
  const Duration slow = std::chrono::milliseconds(50);
  for (double factor : {2.0, 5.0, 10.0}) {
    CheckSurge({10, quick, factor});
    CheckSurge({100, slow, factor});
  }
}

TEST(ShedderTest, OrdinaryLoadAndShortBurstsAreNotShed) {
  FakeNode calm = SurgeNode(100, std::chrono::milliseconds(50), 1, 3);
  calm.RunUntil(12);
  for (uint32_t threshold : calm.thresholds()) CHECK_EQUAL(0u, threshold);
  // 120 ms at three times the capacity: 200 calls wait, none is turned away.
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

TEST(ShedderTest, AnyHistoryKeepsOrderAndEndsInASecond) {
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
    // Then demand far under the capacity, every slot soon free.
    for (int calm = 0; calm < 100; ++calm) {
      now += 10;
      const TimePoint at = TimePoint{} + std::chrono::milliseconds(now);
      shedder.OnArrival(1 + static_cast<uint32_t>(calm) * 5, at);
      shedder.OnQueueDelay(Duration(0), at);
      shedder.OnIdle(at);
    }
    const TimePoint at = TimePoint{} + std::chrono::milliseconds(now);
    RC_ASSERT(shedder.Threshold(at) == 0u);
  }));
}

TEST_GROUP(DownstreamThresholdsTest){};

// The caller sees a service refused long after it has recovered: the last
// answer said "shed everything", so nothing is sent, and no answer corrects it.
TEST(DownstreamThresholdsTest, OldNewsFadesSoThatNothingLocksIn) {
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

TEST(DownstreamThresholdsTest, AnswersOfRecoveredServersEndItSooner) {
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

// Requests that each make four calls at one server, one after the other, let in
// where they enter by the server's threshold of 200 ms ago.
class ChainLoad {
 public:
  explicit ChainLoad(const ShedderOptions& options, size_t slots = 15,
                     int service_ms = 15, size_t queue = 100'000)
      : slots_(slots),
        service_ms_(service_ms),
        queue_(queue),
        shedder_(options) {}

  // Requests that failed as a call of theirs found the queue full.
  int refused() const { return refused_; }

  // Offers `per_second` requests for `seconds`; returns the mean time of those
  // that ended in the last half of it, in milliseconds, and their number.
  std::pair<double, int> Run(int per_second, int seconds) {
    double total_ms = 0;
    int ended = 0;
    for (int ms = 0; ms < seconds * 1000; ++ms) {
      const TimePoint now = FromMicros(int64_t{ms} * 1000);
      if (ms % 100 == 0) told_.push_back(shedder_.Threshold(now));
      const uint32_t threshold = told_.size() > 2 ? told_[told_.size() - 3] : 0;
      due_ += per_second / 1000.0;
      for (; due_ >= 1; due_ -= 1) {
        const uint32_t level = LevelByCost(
            SheddingLevel(Tier::kBrowse, std::to_string(++requests_)), true);
        if (level >= threshold) Call(level, ms, kCalls, now);
      }
      for (const Ended& call : Step(now, ms)) {
        if (call.calls_left > 1) {
          Call(call.level, call.began, call.calls_left - 1, now);
        } else if (ms >= seconds * 500) {
          total_ms += ms - call.began;
          ++ended;
        }
      }
    }
    return {ended == 0 ? 0 : total_ms / ended, ended};
  }

  static constexpr int kCalls = 4;

 private:
  struct Ended {
    uint32_t level;
    int began;
    int calls_left;
    int at;  // waiting: since; running: ends
  };

  void Call(uint32_t level, int began, int calls, TimePoint now) {
    shedder_.OnArrival(level, now);
    if (waiting_.size() >= queue_) {
      ++refused_;
      return;
    }
    waiting_.push_back(
        {level, began, calls, static_cast<int>(ToMicros(now) / 1000)});
  }

  std::vector<Ended> Step(TimePoint now, int ms) {
    std::vector<Ended> ended;
    for (size_t i = 0; i < running_.size();) {
      if (running_[i].at > ms) {
        ++i;
        continue;
      }
      ended.push_back(running_[i]);
      running_.erase(running_.begin() + static_cast<ptrdiff_t>(i));
    }
    while (running_.size() < slots_ && !waiting_.empty()) {
      const std::chrono::milliseconds oldest(ms - waiting_.front().at);
      shedder_.OnQueueDelay(oldest, now);
      running_.push_back(waiting_.front());
      running_.back().at = ms + service_ms_;
      waiting_.pop_front();
    }
    if (running_.size() < slots_) shedder_.OnIdle(now);
    return ended;
  }

  size_t slots_;
  int service_ms_;
  size_t queue_;
  int refused_ = 0;
  Shedder shedder_;
  std::deque<Ended> waiting_;
  std::vector<Ended> running_;
  std::vector<uint32_t> told_;
  double due_ = 0;
  int requests_ = 0;
};

}  // namespace

// Browsing at twice what the deepest service can do: each request makes four
// calls there, so a backlog feeds itself and every request ends late, although
// the slots are never idle. Steered by the wait, most of the capacity becomes
// answers within a second; by counts, hardly any of them are in time.
TEST(ShedderTest, ABacklogOfChainsDoesNotStand) {
  constexpr int kCapacity = 250;  // requests a second: 15 slots / 15 ms / 4
  ShedderOptions by_wait;
  by_wait.steer_by_wait = true;
  const auto [millis, ended] = ChainLoad(by_wait).Run(2 * kCapacity, 20);
  CHECK(millis < 900);
  CHECK(ended > 0.85 * kCapacity * 10);
  const auto [counted_millis, counted_ended] =
      ChainLoad(ShedderOptions()).Run(2 * kCapacity, 20);
  CHECK(counted_millis > 2 * millis);
  CHECK(counted_ended > 0);
}

// Seen: browsing refused while the servers that it was refused for stood idle
// by turns, a tenth to an eighth of the time. The threshold turned callers away
// at so short a wait that the queue was empty again before a change of it was
// felt, three hops and a second later, and swung between nothing and all.
// Proved by the load line: 0 calls waiting in one second, 460 in the next.
TEST(ShedderTest, SlotsDoNotStandIdleByTurns) {
  ShedderOptions options;
  options.steer_by_wait = true;
  for (const auto& [slots, service_ms] :
       {std::pair<int, int>{15, 15}, {110, 24}, {110, 17}}) {
    for (const double load : {1.3, 1.7, 2.0}) {
      const int capacity = slots * 1000 / service_ms / ChainLoad::kCalls;
      ChainLoad chain(options, static_cast<size_t>(slots), service_ms);
      const auto [millis, ended] =
          chain.Run(static_cast<int>(load * capacity), 20);
      CHECK(ended >= 0.95 * capacity * 10);
      CHECK(millis < 800);
    }
  }
}

// Callers get 500 for half of what was let in: with 110 slots the 256 places of
// the queue are 56 ms of work, so the wait never reaches what cuts the lowest
// group, and calls are turned away in mid-chain. A queue that is measured by
// time lets the wait speak.
TEST(ShedderTest, AQueueShorterThanTheWaitRefusesWhatWasLetIn) {
  constexpr int kSlots = 110;
  constexpr int kServiceMs = 24;
  constexpr int kOffered = 2 * kSlots * 1000 / kServiceMs / 4;
  ShedderOptions by_wait;
  by_wait.steer_by_wait = true;
  ChainLoad by_count(by_wait, kSlots, kServiceMs, 256);
  by_count.Run(kOffered, 10);
  const size_t capacity = AdmissionQueue::CapacityForWait(
      256, kSlots, std::chrono::milliseconds(kServiceMs));
  ChainLoad by_time(by_wait, kSlots, kServiceMs, capacity);
  const auto [millis, ended] = by_time.Run(kOffered, 10);
  CHECK(by_count.refused() > kOffered);
  CHECK(by_time.refused() < kOffered / 10);
  CHECK(millis < 900);
  CHECK(ended > 0.85 * 5 * kOffered / 2);
}

TEST(ShedderTest, RequestsThatCostMoreGoFirstWithinTheirTier) {
  for (uint32_t level = 129; level <= 256; ++level) {
    CHECK(LevelByCost(level, true) <= 192);
    CHECK(LevelByCost(level, false) > 192);
    CHECK(LevelByCost(level, true) >= 129);
    CHECK(LevelByCost(level, false) <= 256);
  }
}

}  // namespace amaranth
