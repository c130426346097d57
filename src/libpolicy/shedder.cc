#include "amaranthroute/policy/shedder.h"

#include <algorithm>
#include <cmath>

#include "amaranthroute/hash.h"

namespace amaranth {
namespace {

// Independent of other uses of the request id's hash.
constexpr uint64_t kLevelSeed = 0x5ed1e7e1;
// Delay, in targets, that calls for a larger step.
constexpr double kFarOver = 3.0;
// Bounds the doubling: more than 1.8 times the capacity in one window is a leap
// into the next overload.
constexpr int kMostIdleWindows = 3;
// Standard deviations of a count that chance explains.
constexpr double kChance = 4.0;
// Under this a faded threshold is none; every level is at least 1.
constexpr double kNoThreshold = 1.0;
// Weight of a new window in the wait: two windows follow a surge, one spike
// does not cut everything.
constexpr double kWaitGain = 0.5;
// A group without arrivals for this long is not in use. Longer than the few
// seconds for which it may be cut whole.
constexpr Duration kGroupMemory = std::chrono::seconds(10);

}  // namespace

uint32_t SheddingLevel(Tier tier, std::string_view request_id) {
  const uint32_t step =
      static_cast<uint32_t>(Hash64(request_id, kLevelSeed) % kLevelsPerTier);
  return 1 + static_cast<uint32_t>(tier) * kLevelsPerTier + step;
}

uint32_t LevelByCost(uint32_t level, bool makes_calls) {
  const uint32_t tier = (level - 1) / kLevelsPerTier;
  const uint32_t step = (level - 1) % kLevelsPerTier;
  const uint32_t half = makes_calls ? 0 : kLevelsPerTier / 2;
  return 1 + tier * kLevelsPerTier + half + step / 2;
}

Shedder::Shedder(ShedderOptions options) : options_(options) {}

void Shedder::SetTargetDelay(Duration target) {
  options_.target_delay = target;
}

void Shedder::OnArrival(uint32_t level, TimePoint now) {
  Roll(now);
  const uint32_t known = std::clamp<uint32_t>(level, 1, kMaxSheddingLevel);
  arrivals_[known] += 1;
  group_seen_[(known - 1) / kLevelsPerGroup] = now;
  ++window_.arrivals;
}

void Shedder::OnQueueDelay(Duration delay, TimePoint now) {
  Roll(now);
  ++window_.starts;
  window_.delay += static_cast<double>(delay.count());
}

void Shedder::OnServiceTime(Duration service) {
  service_ = static_cast<double>(service.count());
}

void Shedder::OnIdle(TimePoint now) {
  Roll(now);
  window_.idle = true;
}

uint32_t Shedder::Threshold(TimePoint now) {
  Roll(now);
  return threshold_;
}

bool Shedder::Admits(uint32_t level, TimePoint now) {
  Roll(now);
  return level >= threshold_;
}

void Shedder::Roll(TimePoint now) {
  if (!started_) {
    started_ = true;
    window_.start = now;
  }
  if (WindowIsOver(now)) CloseWindow(now);
}

bool Shedder::WindowIsOver(TimePoint now) const {
  const Duration age = now - window_.start;
  if (age < options_.window) return false;
  if (window_.idle || window_.starts >= options_.min_starts) return true;
  return age >= options_.max_window;
}

void Shedder::CloseWindow(TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - window_.start).count();
  const double delay = window_.starts == 0 ? 0 : window_.delay / window_.starts;
  if (options_.steer_by_wait) {
    SteerByWait(delay, seconds, now);
  } else {
    SteerByCounts(delay, seconds);
  }
  window_ = Window{};
  window_.start = now;
}

void Shedder::SteerByCounts(double delay, double seconds) {
  const double target =
      std::max<double>(static_cast<double>(options_.target_delay.count()),
                       service_ * options_.service_targets);
  const bool over = delay > target;
  const bool far_over = delay > kFarOver * target;
  LearnDemand(seconds);
  LearnCapacity(seconds, over);
  // One window over the target is a burst, which the queue is there for.
  if (threshold_ > 0 || far_over || (over && was_over_)) {
    double factor = options_.raise;
    if (over) factor = options_.lower;
    if (far_over) factor = options_.lower_far;
    const double allowed = capacity_ * factor;
    threshold_ =
        LevelForShare(demand_rate_ <= allowed ? 1 : allowed / demand_rate_);
  }
  was_over_ = over;
}

void Shedder::SteerByWait(double delay, double seconds, TimePoint now) {
  // Nothing was started and no slot was free: how long the next one waits is
  // not known.
  if (window_.starts == 0 && !window_.idle) return;
  const double before = wait_;
  wait_ += kWaitGain * (delay - wait_);
  const double lead =
      std::chrono::duration<double>(options_.wait_lead).count() / seconds;
  const double coming = wait_ + lead * (wait_ - before);
  const double over = coming - static_cast<double>(options_.calm_wait.count());
  if (over <= 0) {
    threshold_ = 0;
    return;
  }
  const double groups = over / static_cast<double>(options_.group_wait.count());
  const double cut =
      groups <= 1 ? groups : 1 + (groups - 1) / options_.next_groups;
  const double levels = cut * kLevelsPerGroup;
  const double threshold = LowestLevelInUse(now) + levels;
  threshold_ =
      static_cast<uint32_t>(std::min<double>(threshold, kMaxSheddingLevel));
}

uint32_t Shedder::LowestLevelInUse(TimePoint now) const {
  for (uint32_t group = 0; group < kLevelGroups; ++group) {
    const TimePoint seen = group_seen_[group];
    const bool in_use = seen != TimePoint{} && now - seen < kGroupMemory;
    if (in_use) return 1 + group * kLevelsPerGroup;
  }
  return 1;
}

void Shedder::LearnDemand(double seconds) {
  const double before = demand_rate_;
  demand_rate_ = Smoothed(demand_rate_, window_.arrivals, seconds);
  // As much weight as the rate gave to this window, so that a surge of another
  // mix of tiers is seen as quickly as its size.
  const double measured = window_.arrivals / seconds;
  const bool replaced = before == 0 || demand_rate_ == measured;
  const double gain = replaced ? 1.0 : options_.gain;
  for (size_t level = 0; level < demand_.size(); ++level) {
    const double share =
        window_.arrivals == 0 ? 0 : arrivals_[level] / window_.arrivals;
    if (window_.arrivals > 0) demand_[level] += gain * (share - demand_[level]);
    arrivals_[level] = 0;
  }
}

void Shedder::LearnCapacity(double seconds, bool over) {
  // Nothing was started and no slot was free: the server is stuck, and what it
  // could take is not known.
  if (window_.starts == 0 && !window_.idle) return;
  if (over || !window_.idle) {
    idle_windows_ = 0;
    capacity_ = Smoothed(capacity_, window_.starts, seconds);
    return;
  }
  capacity_ = std::max(capacity_, window_.starts / seconds);
  if (threshold_ == 0) return;
  const double excess = (options_.raise_idle - 1) * (1 << idle_windows_);
  capacity_ *= 1 + excess;
  idle_windows_ = std::min(idle_windows_ + 1, kMostIdleWindows);
}

double Shedder::Smoothed(double rate, double count, double seconds) const {
  const double expected = rate * seconds;
  const bool by_chance =
      std::abs(count - expected) <= kChance * std::sqrt(expected);
  if (!by_chance) return count / seconds;
  return rate + options_.gain * (count / seconds - rate);
}

uint32_t Shedder::LevelForShare(double share) const {
  if (share >= 1.0) return 0;
  double let_in = 0;
  uint32_t level = kMaxSheddingLevel;
  while (level > 1) {
    let_in += demand_[level];
    if (let_in + demand_[level - 1] > share) break;
    --level;
  }
  return level;
}

void DownstreamThresholds::Learn(const std::string& service, uint32_t threshold,
                                 TimePoint now) {
  if (threshold == 0 && entries_.count(service) == 0) return;
  const auto [found, is_new] = entries_.try_emplace(service);
  Entry& entry = found->second;
  const double current =
      is_new ? 0 : Faded(entry.threshold, entry.learned, now);
  entry.threshold = current + kGain * (threshold - current);
  entry.learned = now;
  if (entry.threshold < kNoThreshold) entries_.erase(found);
}

uint32_t DownstreamThresholds::ThresholdFor(const std::string& service,
                                            TimePoint now) const {
  const auto found = entries_.find(service);
  if (found == entries_.end()) return 0;
  const Entry& entry = found->second;
  const double faded = Faded(entry.threshold, entry.learned, now);
  return faded < kNoThreshold ? 0 : static_cast<uint32_t>(faded);
}

double DownstreamThresholds::Faded(double threshold, TimePoint learned,
                                   TimePoint now) {
  const Duration age = now - learned;
  if (age <= kHold) return threshold;
  const double fallen = static_cast<double>((age - kHold).count()) /
                        static_cast<double>(kFall.count());
  return threshold * std::max(0.0, 1.0 - fallen);
}

}  // namespace amaranth
