#ifndef AMARANTHROUTE_POLICY_RANK_DEMAND_H_
#define AMARANTHROUTE_POLICY_RANK_DEMAND_H_

/// Computes which of the requests that need a backend server fit its capacity,
/// by rank and cost.
///
/// Load pattern: three request classes ask for 1.2 to 3 times the capacity of
/// the service at the end of a call chain. The least important one calls it
/// directly, once and for a long time, and is never late; the others make four
/// or eight short calls in a row, wait at each of them, and are late. Control
/// by lateness alone therefore limits the important classes and admits the
/// least important one.
///
/// The serving node knows what is offered: each call that arrives stands for
/// those that its entry node refused (CallContext::admit_share). The offered
/// slot time, summed from the most important position down, reaches the
/// capacity at the cut. Entry nodes admit by the cut (RankAdmission). Because
/// offered load does not depend on what is admitted, one round trip finds the
/// cut, without the oscillation of a control by queueing delay.
///
/// A request that fails at its deadline never makes its later calls, and one
/// that waits makes them late. The calls that arrive would therefore understate
/// the demand of exactly the class that is admitted in part. Demand is counted
/// in requests instead, by their first calls, with the slot time per request
/// that was measured while calls of the position hardly waited.

#include <array>
#include <cstdint>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Costs of requests are compared in steps of a factor of kCostStep.
inline constexpr int kCostBuckets = 8;
inline constexpr double kCostStep = 1.414;
/// Slot time, in microseconds, up to which a request is in the cheapest bucket.
inline constexpr double kCheapestBucketMicros = 64'000;
/// Number of ranks: tier, then tier of the class.
inline constexpr int kRanks = kTierCount * kTierCount;
/// Number of positions; the highest is admitted first.
inline constexpr int kPositions = kRanks * kCostBuckets;

/// Returns the cost bucket of a request that needs `slot_us` microseconds of
/// slot time at its bottleneck service.
uint8_t CostBucketOf(double slot_us);

/// Returns the position of a request: by tier, then by the tier of its class,
/// then cheaper ones first, so that the slot time of a rank serves the most
/// requests.
int PositionOf(Tier tier, Tier class_tier, uint8_t cost_bucket);

/// Returns the share of the requests at `position` that is admitted: none below
/// the cut, all above it, a fraction at its position.
double AdmittedShare(double cut, int position);

/// Returns the position that `cut` divides; -1 if it admits everything.
int CutPosition(double cut);

/// Returns the number of offered calls that an arrived one stands for.
double OfferedCalls(uint16_t admit_share);

/// Window, weights and limits of a RankDemand.
struct RankDemandOptions {
  /// Length of the windows in which demand is measured. Two windows and a round
  /// trip pass before a surge is cut, within the recovery target of a second.
  Duration window = std::chrono::milliseconds(200);
  /// Weight of the newest window in the demand.
  double gain = 0.4;
  /// The same for the slot time per request. It changes rarely; over two
  /// seconds even a class with few requests has enough of them.
  double cost_gain = 0.1;
  /// Time in which waiting calls are to be worked off. The waits of a request
  /// with four calls then stay within a target of a second.
  Duration drain_time = std::chrono::milliseconds(250);
  /// Waiting work, as a time of all slots, from which a cut begins. Without it,
  /// statistical noise of a well-used server would be taken for excess demand.
  Duration min_wait = std::chrono::milliseconds(20);
  /// If the calls of an admitted position need longer than this for their
  /// waiting work, in the slots that higher positions leave, for more than
  /// `patience` windows, the demand is underestimated.
  Duration max_wait = std::chrono::milliseconds(150);
  int patience = 5;
  /// Changes of the correction for each window after that, and for each window
  /// with an idle slot while requests are refused, as shares of the capacity
  /// that the position of the cut gets. As shares of all capacity, one step
  /// would admit none or twice as many where that position gets a tenth of it.
  double decrease = 0.05;
  double increase = 0.03;
  /// Limits of the correction, a factor on the capacity.
  double min_correction = 0.5;
  double max_correction = 1.2;
};

/// Work that waits at a position.
struct WaitingWork {
  int position = 0;
  Duration slot_time{0};

  friend bool operator==(const WaitingWork& a, const WaitingWork& b) {
    return a.position == b.position && a.slot_time == b.slot_time;
  }
  friend bool operator!=(const WaitingWork& a, const WaitingWork& b) {
    return !(a == b);
  }
};

/// Offered load of one backend server by position, and the resulting cut.
class RankDemand {
 public:
  explicit RankDemand(RankDemandOptions options = {});

  /// Records a call that arrived. `cost` is the expected time for which it
  /// holds a slot; `is_first` is false if the request has made calls before.
  void OnArrival(int position, Duration cost, uint16_t admit_share,
                 bool is_first, TimePoint now);
  /// Records that a slot is free and no call waits.
  void OnIdle() { was_idle_ = true; }

  /// Returns whether Close() is due.
  bool WindowIsOver(TimePoint now) const;
  /// Ends a window and computes the cut for a server that runs `limit` calls at
  /// a time. `waiting` are the calls in its queue.
  void Close(int limit, const std::vector<WaitingWork>& waiting, TimePoint now);

  /// Returns the cut; 0 admits everything.
  double cut() const { return cut_; }
  /// Returns the factor on the estimated capacity.
  double correction() const { return correction_; }
  /// Returns the offered load in slots.
  double offered_slots() const;

 private:
  using ByPosition = std::array<double, kPositions>;

  // Offered calls and their slot time, without those of failed requests.
  struct Offered {
    ByPosition calls{};
    ByPosition first_calls{};
    ByPosition micros{};
  };

  void UpdateDemand(double seconds, const ByPosition& waiting_calls);
  void UpdateRequestCost(size_t position, double waiting_calls);
  void UpdateCorrection(int limit, const ByPosition& waiting_slots);
  double FindCut(double capacity, const ByPosition& waiting_slots);

  RankDemandOptions options_;
  Offered window_;           // sums of this window
  Offered recent_;           // per second, smoothed with `gain`
  Offered lasting_;          // per second, smoothed with `cost_gain`
  ByPosition request_us_{};  // slot time of a request per first call
  ByPosition slots_{};       // offered by all requests
  TimePoint window_start_{};
  bool started_ = false;
  int long_waits_ = 0;     // windows in a row
  bool was_idle_ = false;  // in this window
  double correction_ = 1;
  double cut_ = 0;
  double share_at_cut_ = 1;  // of the capacity, that the cut's position gets
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_RANK_DEMAND_H_
