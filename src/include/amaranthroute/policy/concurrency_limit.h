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
  /// Limit before anything was measured; clamped to floor and ceiling.
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
  /// Size of one trial cut; large enough that its effect (25% less latency
  /// under congestion) stands out from the 10% spread of a window's mean.
  double cut = 0.75;
  /// Raise per calm window; 1.25 goes from 10 to 100 slots in 11 windows.
  double raise = 1.25;
  /// A failed call counts as this many baselines of latency, so that a server
  /// that refuses quickly under load does not look fast.
  double failure_penalty = 4.0;
  /// A window closes after this many samples and this long. 100 samples give
  /// the mean of exponential service times within 10%.
  int window_samples = 100;
  Duration min_window = std::chrono::milliseconds(50);
  /// A window of a slow server closes at this age with fewer samples.
  Duration max_window = std::chrono::seconds(1);
  int min_samples = 10;
  /// A trial is made this often without a sign of congestion, while the limit
  /// is in use: a baseline that was raised by a wrong verdict cannot stay.
  /// Costs a quarter of the slots for a window or two in each period.
  Duration probe_period = std::chrono::seconds(10);
};

/// The limit of one backend server. Feed it with samples of ordinary calls:
/// long work belongs to LongWorkShare and would blur the latency.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

  /// A call ended after `latency` in the server; `in_flight` counts the calls
  /// in the server while it ran, itself included.
  void OnSample(Duration latency, int in_flight, bool failed, TimePoint now);

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
  void StartTrial(const Level& level, TimePoint now);
  void JudgeTrial(const Level& level, TimePoint now);
  void SetLimit(double limit);
  bool WindowIsFull(TimePoint now) const;

  ConcurrencyLimitOptions options_;
  double limit_;
  double baseline_ = 0;  // microseconds
  Window window_;
  TimePoint settle_until_{};
  TimePoint next_probe_{};
  bool in_trial_ = false;
  Level before_trial_;
  double limit_before_trial_ = 0;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_CONCURRENCY_LIMIT_H_
