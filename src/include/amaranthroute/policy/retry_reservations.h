#ifndef AMARANTHROUTE_POLICY_RETRY_RESERVATIONS_H_
#define AMARANTHROUTE_POLICY_RETRY_RESERVATIONS_H_

/// Tells refused callers of one request class when to return to this entry
/// node, and keeps capacity for those that can return in time.
///
/// Load pattern: a surge of 2 to 20 s at 1.3 to 4 times the capacity. With
/// Retry-After drawn regardless of the capacity that will be available, callers
/// return into the same surge and are refused again.
///
/// A shortage that has lasted T is expected to last T more. A refused caller is
/// told to return then. If its request can still be served in time, the caller
/// gets a reservation: a time slot in which it is admitted before new requests,
/// which are admitted at a share reduced by what is reserved, as far as callers
/// have lately used their reservations.
///
/// A request is recognized by its identity, a hash. A caller that returns
/// before its time counts as new and loses its reservation. Its random draw
/// becomes worse with each early return, and after some of them it is refused
/// until its time: with a new draw for each resend, callers that retry
/// immediately would be admitted in place of those that wait.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "amaranthroute/policy/retry_after.h"
#include "amaranthroute/policy/sliding_count.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// How a request that arrives relates to an earlier refusal.
enum class ReturnKind {
  kNew,     ///< not refused here before, or not remembered
  kEarly,   ///< before the time that its caller was told
  kInTime,  ///< in the time slot of its reservation
  kLate,    ///< after the time that its caller was told
};

/// A request that arrived, as it takes part in admission.
struct RequestArrival {
  ReturnKind kind = ReturnKind::kNew;
  /// Random number. A request that is not in time is admitted if it is below
  /// the admitted share; with 1, it never is.
  double draw = 0;
  /// Factor on the admitted share of requests that are not in time.
  double share_for_new = 1;

  friend bool operator==(const RequestArrival& a, const RequestArrival& b) {
    return a.kind == b.kind && a.draw == b.draw &&
           a.share_for_new == b.share_for_new;
  }
  friend bool operator!=(const RequestArrival& a, const RequestArrival& b) {
    return !(a == b);
  }
};

/// A request that was refused for lack of capacity.
struct RefusedRequest {
  uint64_t identity = 0;
  double draw = 0;  ///< its RequestArrival::draw
  /// False if it was refused only to keep reserved capacity free. Such refusals
  /// do not show that the shortage lasts: reservations would prolong it.
  bool shows_shortage = true;
  /// Delays that are given without a reservation while the expected end of the
  /// shortage is nearer than that.
  RetryRange shortest;
  /// Delay after which the caller no longer waits, or the answer would be late,
  /// not counting the typical latency of the class.
  Duration target_left{0};
  /// Longest time that the caller waits.
  Duration max_wait{0};

  friend bool operator==(const RefusedRequest& a, const RefusedRequest& b) {
    return a.identity == b.identity && a.draw == b.draw &&
           a.shows_shortage == b.shows_shortage && a.shortest == b.shortest &&
           a.target_left == b.target_left && a.max_wait == b.max_wait;
  }
  friend bool operator!=(const RefusedRequest& a, const RefusedRequest& b) {
    return !(a == b);
  }
};

/// When a refused caller is to return, and why.
struct RetryDecision {
  Duration retry_after{0};  ///< in whole milliseconds
  bool reserved = false;
  /// Start of the time slot, from now; 0 without a reservation.
  Duration slot_start{0};
  Duration shortage_age{0};
  Duration expected_end{0};  ///< of the shortage, from now

  friend bool operator==(const RetryDecision& a, const RetryDecision& b) {
    return a.retry_after == b.retry_after && a.reserved == b.reserved &&
           a.slot_start == b.slot_start && a.shortage_age == b.shortage_age &&
           a.expected_end == b.expected_end;
  }
  friend bool operator!=(const RetryDecision& a, const RetryDecision& b) {
    return !(a == b);
  }
};

/// The reservations of one request class at one entry node.
class RetryReservations {
 public:
  static constexpr Duration kSlot = std::chrono::milliseconds(100);
  /// Latest time slot that can be reserved, from now: 8 s.
  static constexpr int64_t kSlots = 80;
  /// Share of the admitted rate that is reserved at most.
  static constexpr double kReserve = 0.2;
  /// Refused requests that are remembered. At four times the capacity, a node
  /// that serves 100 requests per second refuses 2,400 in 8 s.
  static constexpr size_t kMaxRemembered = 4096;
  /// Time without a refusal after which the shortage is over.
  static constexpr Duration kQuietTime = std::chrono::seconds(1);
  /// Requests that must also be served without a refusal. A node with five
  /// requests per second, of which a quarter is refused, often sees no refusal
  /// for a second during a shortage.
  static constexpr int kQuietRequests = 8;
  /// Time after which the shortage is over with any number of requests.
  static constexpr Duration kMaxQuietTime = std::chrono::seconds(4);
  /// Delay between the time that a caller was told and its arrival, beyond the
  /// time slot: link latency and the timers of clients.
  static constexpr Duration kArrivalTolerance = std::chrono::milliseconds(100);
  /// Time for which a reserved request is recognized as late.
  static constexpr Duration kLateTime = std::chrono::seconds(2);
  /// Window of the admitted rate: at 5 requests per second it has a standard
  /// deviation of a third.
  static constexpr Duration kRateWindow = std::chrono::seconds(2);

  RetryReservations();

  /// Handles a request before its admission.
  RequestArrival OnArrival(uint64_t identity, TimePoint now,
                           std::mt19937_64& random);
  /// Records a request of the class that was served.
  void OnServed(Duration latency, TimePoint now);
  /// Handles a refusal for lack of capacity.
  RetryDecision OnRefused(const RefusedRequest& refused, TimePoint now,
                          std::mt19937_64& random);

  /// Returns the share of new requests that leaves the reserved capacity of
  /// this time slot free; 1 if there is no shortage.
  double ShareForNew(TimePoint now) const;
  /// Returns how long the shortage has lasted, if there is one.
  std::optional<Duration> ShortageAge(TimePoint now) const;
  /// Returns the requests served per second.
  double ServedRate(TimePoint now) const;
  /// Returns the number of reservations whose callers did not return in time
  /// since the last call.
  uint64_t TakeUnused(TimePoint now);
  size_t remembered() const { return by_identity_.size(); }
  /// Returns when the class was last used.
  TimePoint last_used() const { return last_used_; }

 private:
  struct Remembered {
    TimePoint due{};  // start of the time slot, or the time told
    // Capacity reserved in consecutive time slots from the one at `due`, in
    // requests; empty without a reservation.
    std::vector<double> reserved;
    double draw = 0;
    int early_returns = 0;
    TimePoint expires{};
  };
  struct Slot {
    int64_t number = -1;
    double reserved = 0;  // requests
  };
  using ByIdentity = std::map<uint64_t, Remembered>;

  static int64_t SlotNumber(TimePoint time);
  double ReservedIn(int64_t number) const;
  double CapacityOfSlot(TimePoint now) const;
  void UpdateShortage(bool shows_shortage, TimePoint now);
  // Returns the start of the first time slot in [from, to] with free capacity.
  // A request takes the free capacity of as many slots as it needs.
  std::optional<TimePoint> Reserve(TimePoint from, TimePoint to, TimePoint now,
                                   std::vector<double>& reserved);
  bool TakeCapacity(int64_t first, TimePoint now,
                    std::vector<double>& reserved);
  void Release(Remembered& remembered);
  // Records whether the caller with a reservation returned in time.
  void EndReservation(Remembered& remembered, bool in_time);
  void Remember(uint64_t identity, const Remembered& remembered);
  void Forget(ByIdentity::iterator found);
  void Expire(TimePoint now);

  SlidingCount served_;
  TimePoint first_served_ = kNever;
  Duration typical_latency_{0};
  std::optional<TimePoint> shortage_start_;
  TimePoint last_refused_{};
  int served_since_refusal_ = 0;
  std::array<Slot, static_cast<size_t>(kSlots)> slots_{};
  ByIdentity by_identity_;
  std::set<std::pair<TimePoint, uint64_t>> by_expiry_;
  uint64_t unused_ = 0;
  uint64_t ended_ = 0;        // reservations
  double in_time_share_ = 1;  // of the reservations that ended
  TimePoint last_used_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_RETRY_RESERVATIONS_H_
