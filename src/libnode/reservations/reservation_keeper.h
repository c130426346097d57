#ifndef AMARANTHROUTE_LIBNODE_RESERVATIONS_RESERVATION_KEEPER_H_
#define AMARANTHROUTE_LIBNODE_RESERVATIONS_RESERVATION_KEEPER_H_

// Keeps the retry reservations of the request classes that enter at this node,
// and counts their outcomes. Used for classes with the setting
// `retry_reservations` only.

#include <map>
#include <optional>
#include <random>
#include <string>

#include "amaranthroute/messages.h"
#include "amaranthroute/policy/retry_reservations.h"
#include "amaranthroute/verdict.h"
#include "libnode/shared/stats.h"

namespace amaranth::pvt {

// A caller's request, as the reservations know it.
struct ReservableRequest {
  std::string class_key;
  uint64_t identity = 0;
  // Nothing if the request has not been through admission with reservations.
  std::optional<RequestArrival> arrival;

  bool ReturnedInTime() const {
    return arrival && arrival->kind == ReturnKind::kInTime;
  }
  // Returns the factor on the admitted share of the request.
  double ShareForNew() const {
    return arrival && !ReturnedInTime() ? arrival->share_for_new : 1;
  }
};

// What the entry node knows of a refusal for lack of capacity.
struct RefusalFacts {
  RetryRange shortest;  // delays without a reservation
  Duration target_left{0};
  Duration deadline_left{0};
  // It passed admission and was refused after that.
  bool admitted = false;
  // It was refused only to keep reserved capacity free.
  bool for_reserved_capacity = false;
};

class ReservationKeeper {
 public:
  // Callers choose class names: the table must not grow without bound. With
  // 4096 remembered requests of some 150 bytes each, it takes 40 MB at most.
  static constexpr size_t kMaxClasses = 64;
  // Part of the time left of its deadline that a caller waits at most.
  static constexpr int kWaitPart = 3;

  explicit ReservationKeeper(Stats& stats) : stats_(stats) {}

  // Handles a request of a class before its admission.
  ReservableRequest OnArrival(const std::string& class_key,
                              const CallContext& call,
                              const std::string& customer, TimePoint now,
                              std::mt19937_64& random);
  // Returns whether a request that the admission by rank has let pass leaves
  // the reserved capacity free; sets the detail of `refusal` otherwise.
  bool LeavesReservedCapacity(const ReservableRequest& request, TimePoint now,
                              Failure& refusal) const;
  // Records a request that was served.
  void OnServed(const ReservableRequest& request, Duration latency,
                TimePoint now);
  // Handles a refusal for lack of capacity: sets the retry delay of `failure`
  // and adds to its detail.
  void OnRefused(const ReservableRequest& request, const RefusalFacts& facts,
                 Failure& failure, TimePoint now, std::mt19937_64& random);

  size_t classes() const { return classes_.size(); }

 private:
  // Returns null if the table is full.
  RetryReservations* Of(const std::string& class_key, TimePoint now);
  void Count(const std::string& class_key, const char* outcome,
             uint64_t amount = 1);
  void CountUnused(const std::string& class_key,
                   RetryReservations& reservations, TimePoint now);

  Stats& stats_;
  std::map<std::string, RetryReservations> classes_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_RESERVATIONS_RESERVATION_KEEPER_H_
