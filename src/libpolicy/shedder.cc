#include "amaranthroute/policy/shedder.h"

#include <algorithm>
#include <cmath>

#include "amaranthroute/hash.h"

namespace amaranth {
namespace {

// Makes the level independent of other hashes of the request id.
constexpr uint64_t kLevelSeed = 0x5ed1e7e1;
// Delay, in multiples of the target, above which severe_decrease applies.
constexpr double kSevereOverload = 3.0;
// Limits the doubling of idle_increase: admitting more than 1.8 times the
// capacity in one window would cause the next overload.
constexpr int kMaxIdleWindows = 3;
// Deviation of a count, in standard deviations, that counts as noise.
constexpr double kNoiseDeviations = 4.0;
// A decayed threshold below this is treated as 0; every level is at least 1.
constexpr double kMinThreshold = 1.0;
// Weight of a new window in the smoothed wait: two windows follow a surge, and
// a single spike does not shed everything.
constexpr double kWaitGain = 0.5;
// A group without arrivals for this long is not in use. Longer than the few
// seconds during which it may be shed completely.
constexpr Duration kGroupIdleTimeout = std::chrono::seconds(10);

}  // namespace

uint32_t SheddingLevel(Tier tier, std::string_view request_id) {
  const uint32_t step =
      static_cast<uint32_t>(Hash64(request_id, kLevelSeed) % kLevelsPerTier);
  return 1 + static_cast<uint32_t>(tier) * kLevelsPerTier + step;
}

uint32_t LevelByCost(uint32_t level, bool makes_nested_calls) {
  const uint32_t tier = (level - 1) / kLevelsPerTier;
  const uint32_t step = (level - 1) % kLevelsPerTier;
  const uint32_t half = makes_nested_calls ? 0 : kLevelsPerTier / 2;
  return 1 + tier * kLevelsPerTier + half + step / 2;
}

uint32_t LevelByClass(uint32_t level, Tier class_tier) {
  constexpr uint32_t kLevelsPerClass = kLevelsPerTier / kTierCount;
  const uint32_t tier = (level - 1) / kLevelsPerTier;
  const uint32_t step = (level - 1) % kLevelsPerTier;
  return 1 + tier * kLevelsPerTier +
         static_cast<uint32_t>(class_tier) * kLevelsPerClass +
         step / kTierCount;
}

Shedder::Shedder(ShedderOptions options) : options_(options) {}

void Shedder::SetTargetDelay(Duration target) {
  options_.target_delay = target;
}

void Shedder::OnArrival(uint32_t level, TimePoint now) {
  CloseWindowIfOver(now);
  const uint32_t clamped = std::clamp<uint32_t>(level, 1, kMaxSheddingLevel);
  arrivals_[clamped] += 1;
  last_group_arrival_[(clamped - 1) / kLevelsPerGroup] = now;
  ++window_.arrivals;
}

void Shedder::OnQueueDelay(Duration delay, TimePoint now) {
  CloseWindowIfOver(now);
  ++window_.starts;
  window_.delay += static_cast<double>(delay.count());
}

void Shedder::OnServiceTime(Duration service) {
  service_ = static_cast<double>(service.count());
}

void Shedder::OnIdle(TimePoint now) {
  CloseWindowIfOver(now);
  window_.idle = true;
}

uint32_t Shedder::Threshold(TimePoint now) {
  CloseWindowIfOver(now);
  return threshold_;
}

bool Shedder::Admits(uint32_t level, TimePoint now) {
  CloseWindowIfOver(now);
  return level >= threshold_;
}

void Shedder::CloseWindowIfOver(TimePoint now) {
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
  if (options_.threshold_from_wait) {
    UpdateThresholdByWait(delay, seconds, now);
  } else {
    UpdateThresholdByCounts(delay, seconds);
  }
  window_ = Window{};
  window_.start = now;
}

void Shedder::UpdateThresholdByCounts(double delay, double seconds) {
  const double target =
      std::max<double>(static_cast<double>(options_.target_delay.count()),
                       service_ * options_.target_service_times);
  const bool overloaded = delay > target;
  const bool severely_overloaded = delay > kSevereOverload * target;
  UpdateDemand(seconds);
  UpdateCapacity(seconds, overloaded);
  // A single window over the target is a burst, which the queue absorbs.
  if (threshold_ > 0 || severely_overloaded ||
      (overloaded && was_overloaded_)) {
    double factor = options_.increase;
    if (overloaded) factor = options_.decrease;
    if (severely_overloaded) factor = options_.severe_decrease;
    const double allowed = capacity_ * factor;
    threshold_ =
        LevelForShare(demand_rate_ <= allowed ? 1 : allowed / demand_rate_);
  }
  was_overloaded_ = overloaded;
}

void Shedder::UpdateThresholdByWait(double delay, double seconds,
                                    TimePoint now) {
  // Nothing was started and no slot was free, so the current wait is unknown.
  if (window_.starts == 0 && !window_.idle) return;
  const double before = smoothed_wait_;
  smoothed_wait_ += kWaitGain * (delay - smoothed_wait_);
  const double windows_ahead =
      std::chrono::duration<double>(options_.prediction_horizon).count() /
      seconds;
  const double predicted =
      smoothed_wait_ + windows_ahead * (smoothed_wait_ - before);
  const double excess_wait =
      predicted - static_cast<double>(options_.tolerated_wait.count());
  if (excess_wait <= 0) {
    threshold_ = 0;
    return;
  }
  const double groups =
      excess_wait / static_cast<double>(options_.wait_per_group.count());
  const double groups_shed =
      groups <= 1 ? groups : 1 + (groups - 1) / options_.further_group_factor;
  const double levels = groups_shed * kLevelsPerGroup;
  const double threshold = LowestLevelInUse(now) + levels;
  threshold_ =
      static_cast<uint32_t>(std::min<double>(threshold, kMaxSheddingLevel));
}

uint32_t Shedder::LowestLevelInUse(TimePoint now) const {
  for (uint32_t group = 0; group < kLevelGroups; ++group) {
    const TimePoint seen = last_group_arrival_[group];
    const bool in_use = seen != TimePoint{} && now - seen < kGroupIdleTimeout;
    if (in_use) return 1 + group * kLevelsPerGroup;
  }
  return 1;
}

void Shedder::UpdateDemand(double seconds) {
  const double before = demand_rate_;
  demand_rate_ = Smoothed(demand_rate_, window_.arrivals, seconds);
  // Uses the same weight as for the rate, so that a change in the mix of tiers
  // is detected as quickly as a change in the total demand.
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

void Shedder::UpdateCapacity(double seconds, bool overloaded) {
  // Nothing was started and no slot was free: the server is stuck, and its
  // capacity is unknown.
  if (window_.starts == 0 && !window_.idle) return;
  if (overloaded || !window_.idle) {
    idle_windows_ = 0;
    capacity_ = Smoothed(capacity_, window_.starts, seconds);
    return;
  }
  capacity_ = std::max(capacity_, window_.starts / seconds);
  if (threshold_ == 0) return;
  const double excess = (options_.idle_increase - 1) * (1 << idle_windows_);
  capacity_ *= 1 + excess;
  idle_windows_ = std::min(idle_windows_ + 1, kMaxIdleWindows);
}

double Shedder::Smoothed(double rate, double count, double seconds) const {
  const double expected = rate * seconds;
  const bool within_noise =
      std::abs(count - expected) <= kNoiseDeviations * std::sqrt(expected);
  if (!within_noise) return count / seconds;
  return rate + options_.gain * (count / seconds - rate);
}

uint32_t Shedder::LevelForShare(double share) const {
  if (share >= 1.0) return 0;
  double admitted = 0;
  uint32_t level = kMaxSheddingLevel;
  while (level > 1) {
    admitted += demand_[level];
    if (admitted + demand_[level - 1] > share) break;
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
      is_new ? 0 : Decayed(entry.threshold, entry.updated, now);
  entry.threshold = current + kGain * (threshold - current);
  entry.updated = now;
  if (entry.threshold < kMinThreshold) entries_.erase(found);
}

uint32_t DownstreamThresholds::ThresholdFor(const std::string& service,
                                            TimePoint now) const {
  const auto found = entries_.find(service);
  if (found == entries_.end()) return 0;
  const Entry& entry = found->second;
  const double threshold = Decayed(entry.threshold, entry.updated, now);
  return threshold < kMinThreshold ? 0 : static_cast<uint32_t>(threshold);
}

double DownstreamThresholds::Decayed(double threshold, TimePoint updated,
                                     TimePoint now) {
  const Duration age = now - updated;
  if (age <= kDecayDelay) return threshold;
  const double decayed = static_cast<double>((age - kDecayDelay).count()) /
                         static_cast<double>(kDecayTime.count());
  return threshold * std::max(0.0, 1.0 - decayed);
}

}  // namespace amaranth
