#include "amaranthroute/policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace amaranth {
namespace {

// The limit is in use if the mean calls in flight reach this fraction of it;
// below, the demand and not the limit bounds them.
constexpr double kInUseFraction = 0.7;
// Latency, in baselines, up to which the server has no queue and the limit
// increases by ConcurrencyLimitOptions::increase.
constexpr double kNoQueueFactor = 1.15;
// Latency, in baselines, up to which a successful trial is not followed by
// another cut unless it was a recheck: fewer than one call in four waits inside
// the server.
constexpr double kAtKneeFactor = 1.3;
// Increase of the limit, at least one slot, while the latency is between
// kNoQueueFactor and the tolerance, or the limit has reached the last knee.
constexpr double kSlowIncrease = 0.02;
// Fraction of the gain predicted by congestion that a trial must reach.
constexpr double kRequiredGain = 0.5;
// A trial that lowered the calls in flight by less than this fraction is
// inconclusive.
constexpr double kMinFall = 0.05;
// Maximum fraction of the limit held by long work when a trial starts.
constexpr double kMaxLongInTrial = 0.25;
// Weight of a window without a queue in the baseline if its mean is lower, or
// higher, than the baseline. The weights differ so that the baseline stays near
// the lower edge of the noise and adapts to a slowly growing queue only slowly.
constexpr double kBaselineDown = 0.2;
constexpr double kBaselineUp = 0.02;
// Consecutive windows without a queue at or above the last knee after which the
// knee is considered to have moved.
constexpr int kNoQueueWindows = 5;
// Time, in mean latencies, during which samples are ignored after a cut, until
// the calls from before it have ended. After 2 an eighth of them, the slowest
// ones, remain and hide the gain of the cut.
constexpr double kSettleLatencies = 4.0;
constexpr Duration kMaxSettleTime = std::chrono::seconds(2);
// A baseline over this many times the last one known to be free of congestion
// is rechecked.
constexpr double kMaxBaselineDrift = 2.0;
// A recheck starts only if the window filled within this time. With 10 slots
// and a service time of 200 ms a trial takes 5 s and costs more than the few
// calls that could be waiting in such a server.
constexpr Duration kMaxRecheckWindow = std::chrono::seconds(1);

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
  if (in_trial_) gain_log_odds_ += GainLogLikelihoodRatio(micros);
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
  // The mode is set again with each announcement of a server, twice a second.
  // Resetting the state each time would discard every window and leave the cut
  // of a trial in place without an evaluation.
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

double ConcurrencyLimit::GainLogLikelihoodRatio(double micros) const {
  const double without_gain = before_trial_.latency;
  const double with_gain = without_gain * limit_ / before_trial_.in_flight;
  return std::log(without_gain / with_gain) +
         micros * (1 / without_gain - 1 / with_gain);
}

bool ConcurrencyLimit::TrialIsFutile() const {
  return in_trial_ && window_.samples >= options_.min_trial_samples &&
         gain_log_odds_ <= -std::log(options_.no_gain_odds);
}

bool ConcurrencyLimit::WindowIsFull(TimePoint now) const {
  if (TrialIsFutile()) return true;
  // The evaluation of a trial uses twice the samples, because wrong decisions
  // make the limit vary by a quarter.
  const int windows = in_trial_ ? 2 : 1;
  const Duration age = now - window_.start;
  if (window_.samples >= options_.window_samples * windows) {
    return age >= options_.min_window;
  }
  return window_.samples >= options_.min_samples * windows &&
         age >= options_.max_window * windows;
}

void ConcurrencyLimit::CloseWindow(TimePoint now) {
  const WindowMeans means{window_.latency / window_.samples,
                          window_.in_flight / window_.samples};
  const bool short_window = now - window_.start <= kMaxRecheckWindow;
  window_ = Window{};
  if (in_trial_) {
    EvaluateTrial(means, now);
    return;
  }
  const bool in_use = means.in_flight >= kInUseFraction * limit_;
  if (baseline_ == 0) {
    if (settle_until_ == TimePoint{}) {
      // The calls that end first are the short ones; wait for the others.
      StartSettling(means, now);
      return;
    }
    baseline_ = uncongested_baseline_ = means.latency;
    // Under load from the first call on, the baseline may include a queue.
    next_recheck_ = in_use ? now + options_.recheck_period : kNever;
  }
  if (next_recheck_ == kNever &&
      baseline_ > kMaxBaselineDrift * uncongested_baseline_) {
    next_recheck_ = now;
  }
  const bool congested = means.latency > options_.tolerance * baseline_;
  const bool confirmed = congested && was_congested_;
  was_congested_ = congested;
  const bool recheck_due = now >= next_recheck_ && short_window;
  const bool few_long = long_in_flight_ <= kMaxLongInTrial * limit_;
  if (in_use && few_long && (confirmed || recheck_due)) {
    is_recheck_ = recheck_due;
    if (recheck_due) next_recheck_ = now + options_.recheck_period;
    trial_cuts_ = 0;
    StartTrial(confirmed ? AverageOf(last_means_, means) : means, now);
    return;
  }
  last_means_ = means;
  if (congested) return;
  const bool no_queue = means.latency <= kNoQueueFactor * baseline_;
  if (no_queue) {
    const double step = means.latency < baseline_ ? kBaselineDown : kBaselineUp;
    baseline_ += step * (means.latency - baseline_);
    uncongested_baseline_ = std::min(uncongested_baseline_, baseline_);
  }
  if (!in_use) return;
  // At or above the last knee the limit increases slowly, so that it stays near
  // the knee most of the time. kNoQueueWindows windows without a queue show
  // that the knee has moved.
  const bool past_knee = knee_ > 0 && limit_ >= knee_;
  no_queue_windows_ = past_knee && no_queue ? no_queue_windows_ + 1 : 0;
  if (no_queue_windows_ >= kNoQueueWindows) knee_ = 0;
  const double slow_step = std::max(1.0, kSlowIncrease * limit_);
  const double fast_step = std::max(1.0, (options_.increase - 1) * limit_);
  SetLimit(limit_ + (no_queue && !past_knee ? fast_step : slow_step));
}

ConcurrencyLimit::WindowMeans ConcurrencyLimit::AverageOf(
    const WindowMeans& a, const WindowMeans& b) {
  return WindowMeans{(a.latency + b.latency) / 2,
                     (a.in_flight + b.in_flight) / 2};
}

void ConcurrencyLimit::StartTrial(const WindowMeans& means, TimePoint now) {
  const double before = limit_;
  SetLimit(std::min(limit_, means.in_flight) * options_.trial_cut);
  if (static_cast<int>(limit_) == static_cast<int>(before)) {
    // At the floor the remaining latency is not caused by congestion.
    in_trial_ = false;
    baseline_ = uncongested_baseline_ = means.latency;
    next_recheck_ = kNever;
    return;
  }
  in_trial_ = true;
  gain_log_odds_ = 0;
  was_congested_ = false;
  ++trial_cuts_;
  before_trial_ = means;
  limit_before_trial_ = before;
  StartSettling(means, now);
}

void ConcurrencyLimit::StartSettling(const WindowMeans& means, TimePoint now) {
  const Duration settle_time(
      static_cast<int64_t>(kSettleLatencies * means.latency));
  settle_until_ = now + std::min(settle_time, kMaxSettleTime);
}

void ConcurrencyLimit::EvaluateTrial(const WindowMeans& means, TimePoint now) {
  const double fall = 1 - means.in_flight / before_trial_.in_flight;
  const double gain = 1 - means.latency / before_trial_.latency;
  if (fall >= kMinFall && gain >= kRequiredGain * fall) {
    const bool at_knee =
        !is_recheck_ && means.latency <= kAtKneeFactor * baseline_;
    baseline_ = std::min(baseline_, means.latency);
    uncongested_baseline_ = std::min(uncongested_baseline_, baseline_);
    if (!at_knee) {
      StartTrial(means, now);
      return;
    }
    in_trial_ = false;
    knee_ = limit_;
    return;
  }
  in_trial_ = false;
  if (fall >= kMinFall) {
    // A raised baseline is rechecked, because a wrong one would keep a queue in
    // the server forever. The cut had no effect, so the baseline is taken from
    // the samples before the trial: a trial that ended early has only a few
    // samples, biased towards slow ones.
    const bool raised = before_trial_.latency > options_.tolerance * baseline_;
    baseline_ = before_trial_.latency;
    if (raised) {
      next_recheck_ = now + options_.recheck_period;
    } else if (is_recheck_) {
      next_recheck_ = kNever;
      uncongested_baseline_ = baseline_;
    }
  }
  SetLimit(limit_before_trial_);
  knee_ = trial_cuts_ > 1 ? limit_ : 0;
}

void ConcurrencyLimit::SetLimit(double limit) {
  limit_ = std::clamp<double>(limit, options_.floor, options_.ceiling);
}

}  // namespace amaranth
