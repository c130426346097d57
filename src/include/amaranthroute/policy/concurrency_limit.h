#ifndef AMARANTHROUTE_POLICY_CONCURRENCY_LIMIT_H_
#define AMARANTHROUTE_POLICY_CONCURRENCY_LIMIT_H_

/// How many calls may run at one backend server at once.
///
/// Load pattern: a server slows down or announces more slots than it can serve,
/// and work piles up inside it, where no tier, deadline or cancellation of ours
/// reaches. Without a measured limit every call pays that hidden queue, so all
/// tiers miss their deadlines together.
///
/// Two causes look the same in the latency. Congestion: the server is past its
/// knee, and fewer calls at once would each be faster at the same throughput.
/// Waiting: the server itself waits for a slow service below it, and fewer
/// calls at once would only lower the throughput. A limiter that follows the
/// latency alone starves the second kind. So a cut is a trial: it stays only
/// if the latency fell by at least half of what congestion would give, and is
/// taken back (with a new baseline) if it did not.
///
/// The thresholds' reasons stand beside each option; the tests named there
/// measure them.

#include "amaranthroute/time.h"

namespace amaranth {

/// Bounds and steps of a ConcurrencyLimit.
struct ConcurrencyLimitOptions {
  /// Limit before the first window; clamped to floor and ceiling.
  int initial = 20;
  /// Never below: one call at a time is what a measurement needs.
  int floor = 1;
  /// Slots that the backend server announced.
  int ceiling = 100;
  /// False keeps the limit at the ceiling.
  bool adaptive = true;
  /// Latency over `tolerance` times the baseline starts a trial cut. Below 1.5
  /// the spread of means of 100 exponential service times (10%) starts
  /// trials at no load (ConcurrencyLimitTest, SteadyServerKeepsItsSlots).
  double tolerance = 1.5;
  /// Size of one trial cut. Under congestion it takes 35% off the latency and
  /// otherwise nothing; the bound between, 17%, is nearly two spreads of the
  /// difference of two means of 200 samples (10%) from either.
  double cut = 0.65;
  /// Raise per calm window; 1.25 goes from 10 to 100 slots in 11 windows.
  double raise = 1.25;
  /// A failed call counts as this many baselines of latency, so that a server
  /// that refuses quickly under load does not look fast.
  double failure_penalty = 4.0;
  /// A window closes after this many samples and this long. 100 samples give
  /// the mean of exponential service times within 10%.
  int window_samples = 100;
  Duration min_window = std::chrono::milliseconds(50);
  /// A window of a slow server closes at this age with fewer samples. Sooner, a
  /// server with few slots would be judged by chance.
  Duration max_window = std::chrono::seconds(5);
  int min_samples = 10;
  /// A trial ends early, after this many samples or more, once they are this
  /// many times likelier if nothing was gained than if the cut had cured
  /// congestion (Wald's sequential test, for exponential times): a vain trial
  /// costs a third of the slots while it lasts. Error: one in 33, tried again
  /// after recheck_period.
  int min_trial_samples = 20;
  double vain_odds = 33;
  /// A baseline that may hold a queue (first measured under load, raised by a
  /// verdict, or crept up) is checked by one more trial after this long. It
  /// costs a third of the slots for a window or two, so it is not made without
  /// such a reason.
  Duration recheck_period = std::chrono::seconds(2);
};

/// The limit of one backend server. Feed it with samples of ordinary calls:
/// long work belongs to LongWorkShare and would blur the latency.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

  /// A call ended after `latency` in the server; `in_flight` counts the calls
  /// in the server while it ran, itself included.
  void OnSample(Duration latency, int in_flight, bool failed, TimePoint now);

  /// Calls of long work now in the server. They hold their slots however low
  /// the limit is, so the limit leaves room for one call beside them, and no
  /// trial is made while they are many: what a cut would leave for ordinary
  /// calls might be nothing, and then nothing is measured that could end the
  /// trial.
  void SetLongInFlight(int long_in_flight);

  /// The server announced another number of slots.
  void SetCeiling(int ceiling);
  /// Off: the limit is the ceiling.
  void SetAdaptive(bool adaptive);

  /// Calls that may be in the server at once; within floor and ceiling.
  int limit() const;
  /// Mean latency without congestion; zero before the first window.
  Duration baseline() const;

 private:
  // Sums over the samples of one window.
  struct Window {
    TimePoint start{};
    int samples = 0;
    double latency = 0;
    double in_flight = 0;
  };
  // What a closed window says.
  struct Level {
    double latency = 0;
    double in_flight = 0;
  };

  void CloseWindow(TimePoint now);
  static Level MeanOf(const Level& a, const Level& b);
  void StartTrial(const Level& level, TimePoint now);
  void JudgeTrial(const Level& level, TimePoint now);
  void Settle(const Level& level, TimePoint now);
  void SetLimit(double limit);
  bool WindowIsFull(TimePoint now) const;
  double EvidenceOfGain(double micros) const;
  bool TrialIsVain() const;

  ConcurrencyLimitOptions options_;
  double limit_;
  int long_in_flight_ = 0;
  double baseline_ = 0;  // microseconds
  double trusted_ = 0;   // last baseline known to hold no queue
  Window window_;
  TimePoint settle_until_{};
  TimePoint next_probe_ = kNever;
  // One window over the tolerance may be chance, and a trial that starts from
  // a chance high sees the latency fall whatever its cause; so two in a row.
  bool was_congested_ = false;
  Level last_;
  bool in_trial_ = false;
  Level before_trial_;
  double limit_before_trial_ = 0;
  int trial_cuts_ = 0;
  double evidence_ = 0;   // log of the odds that the trial gained something
  bool probing_ = false;  // the trial was made to check the baseline
  double knee_ = 0;       // where the last cuts stopped helping; 0 unknown
  int calm_windows_ = 0;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_CONCURRENCY_LIMIT_H_
