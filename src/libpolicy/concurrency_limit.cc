#include "amaranthroute/policy/concurrency_limit.h"

#include <algorithm>

namespace amaranth {
namespace {

// In use: the calls in flight came this near to the limit, so the limit, and
// not a lack of demand, is what bounds them.
constexpr double kInUse = 0.7;
// Under this many baselines there is no queue in the server: raise quickly.
constexpr double kNoQueue = 1.15;
// Between that and the tolerance: by this part, at least by one slot.
constexpr double kSlowRaise = 0.02;
// Part of the latency that congestion would have taken off which proves it.
constexpr double kProof = 0.5;
// A trial that did not lower the calls in flight by this part proves nothing.
constexpr double kLeastFall = 0.05;
// Baseline's step towards a lower, and towards a higher mean of a calm window.
// Unequal, so that it stays near the lower edge of the noise and a queue that
// grows slowly is not learned as normal at once.
constexpr double kBaselineDown = 0.2;
constexpr double kBaselineUp = 0.02;
// Mean latencies until the calls from before a cut have left the window.
constexpr double kSettleLatencies = 2.0;
constexpr Duration kLongestSettle = std::chrono::seconds(1);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : options_(options), limit_(options.initial) {
  SetCeiling(options.ceiling);
}

void ConcurrencyLimit::OnSample(Duration latency, int in_flight, bool failed,
                                TimePoint now) {
  if (!options_.adaptive || now < settle_until_) return;
  if (window_.samples == 0) window_.start = now;
  double micros = std::max<double>(1.0, static_cast<double>(latency.count()));
  if (failed) micros = std::max(micros, baseline_ * options_.failure_penalty);
  ++window_.samples;
  window_.latency += micros;
  window_.in_flight += in_flight;
  if (WindowIsFull(now)) CloseWindow(now);
}

void ConcurrencyLimit::SetCeiling(int ceiling) {
  options_.ceiling = std::max(ceiling, options_.floor);
  SetLimit(limit_);
}

void ConcurrencyLimit::SetAdaptive(bool adaptive) {
  options_.adaptive = adaptive;
  in_trial_ = false;
  window_ = Window{};
}

int ConcurrencyLimit::limit() const {
  return options_.adaptive ? static_cast<int>(limit_) : options_.ceiling;
}

Duration ConcurrencyLimit::baseline() const {
  return Duration(static_cast<int64_t>(baseline_));
}

bool ConcurrencyLimit::WindowIsFull(TimePoint now) const {
  const Duration age = now - window_.start;
  if (window_.samples >= options_.window_samples) {
    return age >= options_.min_window;
  }
  return window_.samples >= options_.min_samples && age >= options_.max_window;
}

void ConcurrencyLimit::CloseWindow(TimePoint now) {
  const Level level{window_.latency / window_.samples,
                    window_.in_flight / window_.samples};
  window_ = Window{};
  if (in_trial_) {
    JudgeTrial(level, now);
    return;
  }
  if (baseline_ == 0) {
    baseline_ = level.latency;
    next_probe_ = now + options_.probe_period;
  }
  const bool in_use = level.in_flight >= kInUse * limit_;
  const bool congested = level.latency > options_.tolerance * baseline_;
  if (in_use && (congested || now >= next_probe_)) {
    StartTrial(level, now);
    return;
  }
  if (congested) return;
  const double step = level.latency < baseline_ ? kBaselineDown : kBaselineUp;
  baseline_ += step * (level.latency - baseline_);
  if (!in_use) return;
  const bool no_queue = level.latency <= kNoQueue * baseline_;
  const double slow = std::max(1.0, kSlowRaise * limit_);
  const double fast = std::max(1.0, (options_.raise - 1) * limit_);
  SetLimit(limit_ + (no_queue ? fast : slow));
}

void ConcurrencyLimit::StartTrial(const Level& level, TimePoint now) {
  const double before = limit_;
  SetLimit(std::min(limit_, level.in_flight) * options_.cut);
  if (static_cast<int>(limit_) == static_cast<int>(before)) {
    // At the floor: what is left of the latency is no congestion.
    in_trial_ = false;
    baseline_ = level.latency;
    next_probe_ = now + options_.probe_period;
    return;
  }
  in_trial_ = true;
  before_trial_ = level;
  limit_before_trial_ = before;
  const Duration settle(static_cast<int64_t>(kSettleLatencies * level.latency));
  settle_until_ = now + std::min(settle, kLongestSettle);
}

void ConcurrencyLimit::JudgeTrial(const Level& level, TimePoint now) {
  const double fall = 1 - level.in_flight / before_trial_.in_flight;
  const double gain = 1 - level.latency / before_trial_.latency;
  if (fall >= kLeastFall && gain >= kProof * fall) {
    baseline_ = std::min(baseline_, level.latency);
    StartTrial(level, now);  // on, down to the knee
    return;
  }
  in_trial_ = false;
  next_probe_ = now + options_.probe_period;
  if (fall >= kLeastFall) baseline_ = level.latency;
  SetLimit(limit_before_trial_);
}

void ConcurrencyLimit::SetLimit(double limit) {
  limit_ = std::clamp<double>(limit, options_.floor, options_.ceiling);
}

}  // namespace amaranth
