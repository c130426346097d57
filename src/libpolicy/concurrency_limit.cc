#include "amaranthroute/policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace amaranth {
namespace {

// In use: the calls in flight came this near to the limit, so the limit, and
// not a lack of demand, is what bounds them.
constexpr double kInUse = 0.7;
// Under this many baselines there is no queue in the server: raise quickly.
constexpr double kNoQueue = 1.15;
// A cut that brought the latency down to this is enough: less than a slot in
// four waits in the server.
constexpr double kAtKnee = 1.3;
// Between that and the tolerance: by this part, at least by one slot.
constexpr double kSlowRaise = 0.02;
// Part of the latency that congestion would have taken off which proves it.
constexpr double kProof = 0.5;
// A trial that did not lower the calls in flight by this part proves nothing.
constexpr double kLeastFall = 0.05;
// Part of the limit that long work may hold when a trial starts.
constexpr double kMostLongInTrial = 0.25;
// Baseline's step towards a lower, and towards a higher mean of a calm window.
// Unequal, so that it stays near the lower edge of the noise and a queue that
// grows slowly is not learned as normal at once.
constexpr double kBaselineDown = 0.2;
constexpr double kBaselineUp = 0.02;
// Windows without a queue past the last knee that say that it has moved.
constexpr int kCalmWindows = 5;
// Mean latencies until the calls from before a cut have left the window.
// (at 2, an eighth of them remain, the slowest ones, and hide the cut's gain).
constexpr double kSettleLatencies = 4.0;
constexpr Duration kLongestSettle = std::chrono::seconds(2);
// A baseline that crept up to this many times the last one known to be free of
// congestion has to be tried.
constexpr double kDoubt = 2.0;
// A doubt alone is worth a trial only if a window fills this quickly: with 10
// slots and 200 ms of service a trial takes 5 s, and costs more than the few
// calls that could be waiting in such a server.
constexpr Duration kQuickWindow = std::chrono::seconds(1);

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
  if (in_trial_) evidence_ += EvidenceOfGain(micros);
  if (WindowIsFull(now)) CloseWindow(now);
}

void ConcurrencyLimit::SetLongInFlight(int long_in_flight) {
  long_in_flight_ = long_in_flight;
}

void ConcurrencyLimit::SetCeiling(int ceiling) {
  options_.ceiling = std::max(ceiling, options_.floor);
  SetLimit(limit_);
}

void ConcurrencyLimit::SetAdaptive(bool adaptive) {
  // Set with each announcement of a server: twice a second it would throw away
  // the window, and leave the limit of a trial cut with nobody to judge it.
  if (adaptive == options_.adaptive) return;
  options_.adaptive = adaptive;
  if (in_trial_) SetLimit(limit_before_trial_);
  in_trial_ = false;
  window_ = Window{};
}

int ConcurrencyLimit::limit() const {
  if (!options_.adaptive) return options_.ceiling;
  const int beside_long = std::min(long_in_flight_ + 1, options_.ceiling);
  return std::max(static_cast<int>(limit_), beside_long);
}

Duration ConcurrencyLimit::baseline() const {
  return Duration(static_cast<int64_t>(baseline_));
}

double ConcurrencyLimit::EvidenceOfGain(double micros) const {
  const double vain = before_trial_.latency;
  const double cured = vain * limit_ / before_trial_.in_flight;
  return std::log(vain / cured) + micros * (1 / vain - 1 / cured);
}

bool ConcurrencyLimit::TrialIsVain() const {
  return in_trial_ && window_.samples >= options_.min_trial_samples &&
         evidence_ <= -std::log(options_.vain_odds);
}

bool ConcurrencyLimit::WindowIsFull(TimePoint now) const {
  if (TrialIsVain()) return true;
  // A verdict on a trial is worth twice the samples: wrong ones make the limit
  // wander by a quarter.
  const int windows = in_trial_ ? 2 : 1;
  const Duration age = now - window_.start;
  if (window_.samples >= options_.window_samples * windows) {
    return age >= options_.min_window;
  }
  return window_.samples >= options_.min_samples * windows &&
         age >= options_.max_window * windows;
}

void ConcurrencyLimit::CloseWindow(TimePoint now) {
  const Level level{window_.latency / window_.samples,
                    window_.in_flight / window_.samples};
  const bool quick = now - window_.start <= kQuickWindow;
  window_ = Window{};
  if (in_trial_) {
    JudgeTrial(level, now);
    return;
  }
  const bool in_use = level.in_flight >= kInUse * limit_;
  if (baseline_ == 0) {
    if (settle_until_ == TimePoint{}) {
      // The calls that end first are the short ones: wait for the others.
      Settle(level, now);
      return;
    }
    baseline_ = trusted_ = level.latency;
    // Under load from the first call on, the baseline may hold a queue.
    next_probe_ = in_use ? now + options_.recheck_period : kNever;
  }
  if (next_probe_ == kNever && baseline_ > kDoubt * trusted_) {
    next_probe_ = now;
  }
  const bool congested = level.latency > options_.tolerance * baseline_;
  const bool confirmed = congested && was_congested_;
  was_congested_ = congested;
  const bool doubtful = now >= next_probe_ && quick;
  const bool few_long = long_in_flight_ <= kMostLongInTrial * limit_;
  if (in_use && few_long && (confirmed || doubtful)) {
    probing_ = doubtful;
    if (doubtful) next_probe_ = now + options_.recheck_period;
    trial_cuts_ = 0;
    StartTrial(confirmed ? MeanOf(last_, level) : level, now);
    return;
  }
  last_ = level;
  if (congested) return;
  const bool no_queue = level.latency <= kNoQueue * baseline_;
  if (no_queue) {
    const double step = level.latency < baseline_ ? kBaselineDown : kBaselineUp;
    baseline_ += step * (level.latency - baseline_);
    trusted_ = std::min(trusted_, baseline_);
  }
  if (!in_use) return;
  // Past the last knee the limit feels its way, so that it spends most of its
  // time near the knee; a long calm says that the knee has moved.
  const bool past_knee = knee_ > 0 && limit_ >= knee_;
  calm_windows_ = past_knee && no_queue ? calm_windows_ + 1 : 0;
  if (calm_windows_ >= kCalmWindows) knee_ = 0;
  const double slow = std::max(1.0, kSlowRaise * limit_);
  const double fast = std::max(1.0, (options_.raise - 1) * limit_);
  SetLimit(limit_ + (no_queue && !past_knee ? fast : slow));
}

ConcurrencyLimit::Level ConcurrencyLimit::MeanOf(const Level& a,
                                                 const Level& b) {
  return Level{(a.latency + b.latency) / 2, (a.in_flight + b.in_flight) / 2};
}

void ConcurrencyLimit::StartTrial(const Level& level, TimePoint now) {
  const double before = limit_;
  SetLimit(std::min(limit_, level.in_flight) * options_.cut);
  if (static_cast<int>(limit_) == static_cast<int>(before)) {
    // At the floor: what is left of the latency is no congestion.
    in_trial_ = false;
    baseline_ = trusted_ = level.latency;
    next_probe_ = kNever;
    return;
  }
  in_trial_ = true;
  evidence_ = 0;
  was_congested_ = false;
  ++trial_cuts_;
  before_trial_ = level;
  limit_before_trial_ = before;
  Settle(level, now);
}

void ConcurrencyLimit::Settle(const Level& level, TimePoint now) {
  const Duration settle(static_cast<int64_t>(kSettleLatencies * level.latency));
  settle_until_ = now + std::min(settle, kLongestSettle);
}

void ConcurrencyLimit::JudgeTrial(const Level& level, TimePoint now) {
  const double fall = 1 - level.in_flight / before_trial_.in_flight;
  const double gain = 1 - level.latency / before_trial_.latency;
  if (fall >= kLeastFall && gain >= kProof * fall) {
    const bool at_knee = !probing_ && level.latency <= kAtKnee * baseline_;
    baseline_ = std::min(baseline_, level.latency);
    trusted_ = std::min(trusted_, baseline_);
    if (!at_knee) {
      StartTrial(level, now);
      return;
    }
    in_trial_ = false;
    knee_ = limit_;
    return;
  }
  in_trial_ = false;
  if (fall >= kLeastFall) {
    // A verdict that raised the baseline is checked once more: a wrong one
    // would let a queue in the server stay for good.
    // Nothing changed, so the samples from before count as well: a trial that
    // ended early has few, and those that ended it are the slow ones.
    const bool raised = before_trial_.latency > options_.tolerance * baseline_;
    baseline_ = before_trial_.latency;
    if (raised) {
      next_probe_ = now + options_.recheck_period;
    } else if (probing_) {
      next_probe_ = kNever;
      trusted_ = baseline_;
    }
  }
  SetLimit(limit_before_trial_);
  knee_ = trial_cuts_ > 1 ? limit_ : 0;
}

void ConcurrencyLimit::SetLimit(double limit) {
  limit_ = std::clamp<double>(limit, options_.floor, options_.ceiling);
}

}  // namespace amaranth
