#ifndef AMARANTHROUTE_POLICY_SLOT_SEARCH_H_
#define AMARANTHROUTE_POLICY_SLOT_SEARCH_H_

/// How many of its announced slots a backend server is given at once: as many
/// as make it end the most calls.
///
/// Load pattern: a service that is short of capacity for many seconds, and
/// whose servers slow down when they are nearly full. With every slot taken
/// each call takes longer by more than the last slots bring, so the service
/// gives least when it is needed most, and requests are turned away for the
/// difference. A latency limit (ConcurrencyLimit) does not see it: such a
/// slowdown is smaller than the spread that it has to tolerate.
///
/// While calls wait for the server, what it ends in a second is its capacity.
/// The search gives it two numbers of slots by turns and keeps the one at which
/// it ends more. Turns alternate, so that a change of speed or of the mix of
/// calls, which falls into both, is not taken for the gain of either.

#include <cstddef>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth {

/// Steps and bounds of a SlotSearch.
struct SlotSearchOptions {
  /// Part of the slots that a trial takes away or gives back, at first.
  double first_step = 1.0 / 12;
  /// A trial that gained nothing is followed by one of a larger step, up to
  /// this: a server may be crowded long before its last slots.
  double largest_step = 1.0 / 3;
  /// A turn lasts for this many ended calls, and no less than `least_turn`: a
  /// node that is short of processor time takes answers in batches.
  int turn_calls = 150;
  Duration least_turn = std::chrono::milliseconds(100);
  /// A server that ends too few calls for a turn of this length is not judged.
  Duration longest_turn = std::chrono::seconds(1);
  /// Turns at each of the two numbers. The middle one of what the pairs say
  /// counts, so that one that fell into a change of speed decides nothing.
  int pairs = 3;
  /// Slots are taken away if the server then ends this much more.
  double least_gain = 0.05;
  /// Time between searches, doubled while they change nothing.
  Duration recheck = std::chrono::seconds(4);
  Duration longest_recheck = std::chrono::seconds(30);
};

/// The slots in use of one backend server.
class SlotSearch {
 public:
  explicit SlotSearch(SlotSearchOptions options = {});

  /// The server announced `slots`.
  void SetSlots(int slots);

  /// The server answered a call after `own_time`, without its waits for
  /// services below. `calls_wait`: another call waits for the freed slot.
  void OnServed(Duration own_time, bool calls_wait, TimePoint now);

  /// Calls that may be in the server at once; 1 to the announced slots.
  int limit() const;

 private:
  // Another number of slots, compared with limit_.
  struct Trial {
    int candidate = 0;
    std::vector<double> rates;  // of the turns so far, calls a second
  };

  bool InTrial() const { return trial_.candidate != 0; }
  bool IsCandidatesTurn() const { return trial_.rates.size() % 2 == 1; }
  int StepOf(double share) const;
  void Watch(bool calls_wait, TimePoint now);
  void Measure(bool calls_wait, TimePoint now);
  void BeginTrial(int candidate, TimePoint now);
  void BeginTurn(TimePoint now);
  void EndTurn(TimePoint now);
  void Judge(TimePoint now);
  // `step`: slots that the trial gave back, or took away (negative).
  void AfterGain(int step, TimePoint now);
  void AfterLoss(int step, TimePoint now);
  bool CandidateIsBetter() const;
  void AbandonTrial();
  void Rest(TimePoint now);

  SlotSearchOptions options_;
  int slots_ = 1;
  int limit_ = 1;
  double mean_own_time_ = 0;  // microseconds
  Trial trial_;
  double down_step_;        // part of the slots that the next trial takes away
  bool looked_up_ = false;  // in the last search
  Duration recheck_;
  TimePoint next_search_{};
  TimePoint measured_since_{};  // kNever while the turn settles
  TimePoint settled_at_{};
  int ended_ = 0;     // in this turn, or while watched
  int unwaited_ = 0;  // of this turn, calls that left a free slot
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SLOT_SEARCH_H_
