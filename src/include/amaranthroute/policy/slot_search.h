#ifndef AMARANTHROUTE_POLICY_SLOT_SEARCH_H_
#define AMARANTHROUTE_POLICY_SLOT_SEARCH_H_

/// Searches for the concurrency limit, up to the announced slots, at which a
/// backend server has the highest throughput.
///
/// Load pattern: a service is overloaded for many seconds, and its servers slow
/// down when they are nearly full. With every slot in use, the additional
/// service time of all calls costs more throughput than the last slots add, so
/// capacity is lowest under peak load and requests are refused for the
/// difference. A latency-based limit (ConcurrencyLimit) does not detect this:
/// such a slowdown is smaller than the variation that it has to tolerate.
///
/// While calls are queued for the server, its throughput is its capacity. The
/// search alternates between two limits and keeps the one with the higher
/// throughput. Because the phases alternate, a change of server speed or of the
/// mix of calls affects both limits and is not mistaken for an effect of
/// either.

#include <cstddef>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth {

/// Step sizes, phase lengths and intervals of a SlotSearch.
struct SlotSearchOptions {
  /// Step of the first downward trial, as a fraction of the announced slots.
  /// Upward trials start with half of it.
  double initial_step = 1.0 / 12;
  /// A downward trial without a gain is followed by one with twice the step, up
  /// to this fraction, then `initial_step` again: a server may slow down long
  /// before it is full.
  double max_step = 1.0 / 3;
  /// A phase lasts for this many completed calls, and at least `min_phase`: a
  /// node that lacks processor time reads answers in batches, which would
  /// distort the throughput of a shorter phase.
  int phase_calls = 150;
  Duration min_phase = std::chrono::milliseconds(100);
  /// A trial is abandoned if a phase is still incomplete after this time.
  Duration max_phase = std::chrono::seconds(1);
  /// Phases at each of the two limits. The median gain of the pairs decides, so
  /// that one pair that coincides with a change of speed has no effect.
  int pairs = 3;
  /// The limit is lowered if throughput then grows by more than this fraction.
  double min_gain = 0.05;
  /// Time between searches, doubled after each search while the limit equals
  /// the announced slots.
  Duration recheck_interval = std::chrono::seconds(4);
  Duration max_recheck_interval = std::chrono::seconds(30);
};

/// Searches for the concurrency limit of one backend server.
class SlotSearch {
 public:
  explicit SlotSearch(SlotSearchOptions options = {});

  /// Sets the announced slots, at least 1. A changed number becomes the limit
  /// and abandons a trial.
  void SetSlots(int slots);

  /// Records that the server answered a call. `service_time`: without the time
  /// of nested calls. `has_backlog`: another call is queued for the freed slot.
  void OnServed(Duration service_time, bool has_backlog, TimePoint now);

  /// Returns how many calls may be in flight at the server, from 1 to the
  /// announced slots.
  int limit() const;

 private:
  // Compares another limit with limit_.
  struct Trial {
    int candidate = 0;
    std::vector<double> rates;  // calls per second, by completed phase
  };

  bool InTrial() const { return trial_.candidate != 0; }
  bool IsCandidatePhase() const { return trial_.rates.size() % 2 == 1; }
  int ToSlots(double share) const;
  void CheckForBacklog(bool has_backlog, TimePoint now);
  void MeasurePhase(bool has_backlog, TimePoint now);
  void BeginTrial(int candidate, TimePoint now);
  void BeginPhase(TimePoint now);
  void EndPhase(TimePoint now);
  void ConcludeTrial(TimePoint now);
  // `step`: candidate minus current limit.
  void AdoptCandidate(int step, TimePoint now);
  void KeepCurrentLimit(int step, TimePoint now);
  bool CandidateIsBetter() const;
  void AbandonTrial();
  void EndSearch(TimePoint now);

  SlotSearchOptions options_;
  int slots_ = 1;
  int limit_ = 1;
  double mean_service_time_ = 0;  // microseconds, exponential moving average
  Trial trial_;
  double down_step_;  // of the next downward trial, fraction of slots_
  bool last_search_up_ = false;  // last search went upwards
  Duration recheck_interval_;
  TimePoint next_search_{};
  TimePoint measured_since_{};  // kNever until the first call after settled_at_
  TimePoint settled_at_{};
  int completed_ = 0;        // in this phase, or in a row with a backlog
  int without_backlog_ = 0;  // of completed_, calls with no backlog
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SLOT_SEARCH_H_
