#ifndef AMARANTHROUTE_POLICY_CONCURRENCY_LIMIT_H_
#define AMARANTHROUTE_POLICY_CONCURRENCY_LIMIT_H_

/// Limits the number of calls in flight at one backend server.
///
/// Load pattern: a server slows down or announces more slots than it can serve,
/// and a backlog builds up inside it, where tiers, deadlines and cancellation
/// have no effect. Without a measured limit every call waits in that hidden
/// queue, and all tiers miss their deadlines together.
///
/// Two causes raise the latency in the same way. Congestion: the server is past
/// the knee of its throughput curve, and fewer concurrent calls would each be
/// faster at the same throughput. Waiting: the server itself waits for a slow
/// downstream service, and fewer concurrent calls would only lower the
/// throughput. A limiter that follows the latency alone starves such a server.
/// Each cut of the limit is therefore a trial: it is kept only if the latency
/// fell by at least half of what congestion predicts, and is otherwise reverted
/// and the baseline updated.
///
/// The reason for each threshold is given at its option.

#include "amaranthroute/time.h"

namespace amaranth {

/// Bounds and step sizes of a ConcurrencyLimit.
struct ConcurrencyLimitOptions {
  /// Limit before the first window; clamped to floor and ceiling.
  int initial = 20;
  /// Lower bound of the limit. At least one call at a time is needed to
  /// measure.
  int floor = 1;
  /// Upper bound of the limit: the slots that the backend server announced.
  int ceiling = 100;
  /// Whether the limit follows the latency; if false it equals the ceiling.
  bool adaptive = true;
  /// A latency over `tolerance` times the baseline starts a trial. Below 1.5
  /// the standard deviation of the mean of 100 exponential service times (10%)
  /// starts trials without load (ConcurrencyLimitTest,
  /// SteadyServerKeepsItsSlots).
  double tolerance = 1.5;
  /// Factor on the limit in a trial. It lowers the latency by 35% under
  /// congestion and by nothing otherwise. The bound between the two, 17%, is
  /// nearly two standard deviations (10%) of the difference of two means of 200
  /// samples from either.
  double trial_cut = 0.65;
  /// Factor on the limit per window without congestion; 1.25 increases it from
  /// 10 to 100 slots in 11 windows.
  double increase = 1.25;
  /// Minimum latency of a failed call, in baselines, so that a server that
  /// refuses quickly under load does not appear fast.
  double failure_penalty = 4.0;
  /// A window closes once it has this many samples and is at least min_window
  /// old. 100 samples give the mean of exponential service times within 10%.
  int window_samples = 100;
  Duration min_window = std::chrono::milliseconds(50);
  /// A window of a slow server closes at this age with at least min_samples
  /// samples. Closing it earlier would judge a server with few slots by noise.
  Duration max_window = std::chrono::seconds(5);
  int min_samples = 10;
  /// A trial ends early, after at least min_trial_samples samples, once they
  /// are no_gain_odds times more likely without a gain than if the cut had
  /// removed congestion (Wald's sequential test for exponential times). A trial
  /// without a gain costs a third of the slots while it lasts. One in 33
  /// decisions is wrong; if it raised the baseline it is rechecked after
  /// recheck_period.
  int min_trial_samples = 20;
  double no_gain_odds = 33;
  /// Time after which one more trial checks a baseline that may include a queue
  /// (first measured under load, raised after a trial, or drifted upward). A
  /// recheck costs a third of the slots for one or two windows, so it is made
  /// only for these reasons.
  Duration recheck_period = std::chrono::seconds(2);
};

/// The concurrency limit of one backend server. Samples must come from short
/// calls: long work is limited by LongWorkShare and would distort the latency.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

  /// Records a call that ended after `latency` in the server. `in_flight` is
  /// the number of calls in the server while it ran, itself included.
  void OnSample(Duration latency, int in_flight, bool failed, TimePoint now);

  /// Sets the number of long-work calls in the server. They hold their slots
  /// however low the limit is, so the limit always leaves room for one more
  /// call, and no trial starts while they are many: a cut could leave no slot
  /// for short calls, and without samples the trial would never end.
  void SetLongInFlight(int long_in_flight);

  /// Sets the number of slots that the server announced.
  void SetCeiling(int ceiling);
  /// Enables or disables adaptation. While disabled, the limit equals the
  /// ceiling. Disabling it during a trial reverts the trial.
  void SetAdaptive(bool adaptive);

  /// Returns the number of calls that may be in flight at the server; within
  /// floor and ceiling.
  int limit() const;
  /// Returns the mean latency without congestion; zero until it is measured.
  Duration baseline() const;

 private:
  // Sums over the samples of one window.
  struct Window {
    TimePoint start{};
    int samples = 0;
    double latency = 0;
    double in_flight = 0;
  };
  // Means over the samples of a closed window.
  struct WindowMeans {
    double latency = 0;
    double in_flight = 0;
  };

  void CloseWindow(TimePoint now);
  static WindowMeans AverageOf(const WindowMeans& a, const WindowMeans& b);
  void StartTrial(const WindowMeans& means, TimePoint now);
  void EvaluateTrial(const WindowMeans& means, TimePoint now);
  void StartSettling(const WindowMeans& means, TimePoint now);
  void SetLimit(double limit);
  bool WindowIsFull(TimePoint now) const;
  double GainLogLikelihoodRatio(double micros) const;
  bool TrialIsFutile() const;

  ConcurrencyLimitOptions options_;
  double limit_;
  int long_in_flight_ = 0;
  double baseline_ = 0;              // in microseconds
  double uncongested_baseline_ = 0;  // last baseline known to include no queue
  Window window_;
  TimePoint settle_until_{};
  TimePoint next_recheck_ = kNever;
  // One window over the tolerance may be noise, and after a noise peak a trial
  // sees the latency fall whatever its cause. A trial needs two in a row.
  bool was_congested_ = false;
  WindowMeans last_means_;
  bool in_trial_ = false;
  WindowMeans before_trial_;
  double limit_before_trial_ = 0;
  int trial_cuts_ = 0;
  double gain_log_odds_ = 0;  // of the trial, see GainLogLikelihoodRatio
  bool is_recheck_ = false;   // the trial checks the baseline
  double knee_ = 0;           // limit at which the last cuts ended; 0: unknown
  int no_queue_windows_ = 0;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_CONCURRENCY_LIMIT_H_
