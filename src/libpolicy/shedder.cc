#include "amaranthroute/policy/shedder.h"

#include <algorithm>

#include "amaranthroute/hash.h"

namespace amaranth {
namespace {

// Independent of other uses of the request id's hash.
constexpr uint64_t kLevelSeed = 0x5ed1e7e1;
// Under this a faded threshold is none; every level is at least 1.
constexpr double kNoThreshold = 1.0;

}  // namespace

uint32_t SheddingLevel(Tier tier, std::string_view request_id) {
  const uint32_t step =
      static_cast<uint32_t>(Hash64(request_id, kLevelSeed) % kLevelsPerTier);
  return 1 + static_cast<uint32_t>(tier) * kLevelsPerTier + step;
}

Shedder::Shedder(ShedderOptions options) : options_(options) {}

void Shedder::OnArrival(uint32_t level, TimePoint now) {
  Roll(now);
  const uint32_t known = std::clamp<uint32_t>(level, 1, kMaxSheddingLevel);
  histogram_[known] += 1;
  ++window_.arrivals;
  if (known >= threshold_) ++window_.admitted;
}

void Shedder::OnQueueDelay(Duration delay, TimePoint now) {
  Roll(now);
  ++window_.starts;
  window_.delay += static_cast<double>(delay.count());
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
  share_ = AllowedShare();
  threshold_ = LevelForShare(share_);
  for (double& count : histogram_) count *= options_.histogram_memory;
  window_ = Window{};
  window_.start = now;
}

double Shedder::AllowedShare() const {
  if (window_.arrivals == 0) return 1.0;
  const double target = static_cast<double>(options_.target_delay.count());
  const double delay = window_.starts == 0 ? 0 : window_.delay / window_.starts;
  const bool over = delay > target;
  if (!over && threshold_ == 0) return 1.0;
  // Nothing was started and no slot was free: the server is stuck, and what it
  // could take is not known.
  if (window_.starts == 0 && !window_.idle) return share_;
  const double done = std::min<double>(window_.starts, window_.admitted);
  double factor = window_.idle ? options_.raise_idle : options_.raise;
  if (over) factor = options_.lower;
  const double allowed = std::max(1.0, done * factor);
  return std::min(1.0, allowed / window_.arrivals);
}

uint32_t Shedder::LevelForShare(double share) const {
  if (share >= 1.0) return 0;
  double total = 0;
  for (double count : histogram_) total += count;
  const double allowed = share * total;
  double let_in = 0;
  uint32_t level = kMaxSheddingLevel;
  while (level > 1) {
    let_in += histogram_[level];
    if (let_in + histogram_[level - 1] > allowed) break;
    --level;
  }
  return level;
}

void DownstreamThresholds::Learn(const std::string& service, uint32_t threshold,
                                 TimePoint now) {
  if (threshold == 0 && entries_.count(service) == 0) return;
  const auto [found, is_new] = entries_.try_emplace(service);
  Entry& entry = found->second;
  const double current = is_new ? 0 : Faded(entry, now);
  entry.threshold = current + kGain * (threshold - current);
  entry.learned = now;
  if (entry.threshold < kNoThreshold) entries_.erase(found);
}

uint32_t DownstreamThresholds::ThresholdFor(const std::string& service,
                                            TimePoint now) const {
  const auto found = entries_.find(service);
  if (found == entries_.end()) return 0;
  const double faded = Faded(found->second, now);
  return faded < kNoThreshold ? 0 : static_cast<uint32_t>(faded);
}

double DownstreamThresholds::Faded(const Entry& entry, TimePoint now) {
  const Duration age = now - entry.learned;
  if (age <= kHold) return entry.threshold;
  const double fallen = static_cast<double>((age - kHold).count()) /
                        static_cast<double>(kFall.count());
  return entry.threshold * std::max(0.0, 1.0 - fallen);
}

}  // namespace amaranth
