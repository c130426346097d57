#include "libnode/reservations/reservation_keeper.h"

#include <algorithm>

#include "amaranthroute/hash.h"

namespace amaranth::pvt {
namespace {

// Time after which an unused class makes room for another one.
constexpr Duration kClassTimeout = std::chrono::minutes(1);

// Draw of a request that was refused after its admission. If it returns before
// its time, it is admitted only where nothing is refused.
constexpr double kAdmittedDraw = 0.999;

const char* OutcomeOf(ReturnKind kind) {
  switch (kind) {
    case ReturnKind::kEarly:
      return "returned-early";
    case ReturnKind::kInTime:
      return "returned-in-time";
    case ReturnKind::kLate:
      return "returned-late";
    case ReturnKind::kNew:
      break;
  }
  return "unknown";
}

std::string DetailOf(const RetryDecision& decision) {
  std::string text =
      "shortage_age_ms=" + std::to_string(ToMillis(decision.shortage_age)) +
      " expected_end_ms=" + std::to_string(ToMillis(decision.expected_end)) +
      " reserved=" + (decision.reserved ? "yes" : "no");
  if (decision.reserved) {
    const Duration end = decision.slot_start + RetryReservations::kSlot;
    text += " slot_ms=" + std::to_string(ToMillis(decision.slot_start)) + "-" +
            std::to_string(ToMillis(end));
  }
  return text +
         " retry_after_ms=" + std::to_string(ToMillis(decision.retry_after));
}

}  // namespace

ReservableRequest ReservationKeeper::OnArrival(const std::string& class_key,
                                               const CallContext& call,
                                               const std::string& customer,
                                               TimePoint now,
                                               std::mt19937_64& random) {
  ReservableRequest request;
  RetryReservations* reservations = Of(class_key, now);
  if (reservations == nullptr) return request;
  request.class_key = class_key;
  request.identity = Hash64(customer, call.fingerprint);
  request.arrival = reservations->OnArrival(request.identity, now, random);
  CountUnused(class_key, *reservations, now);
  // Outside of a shortage, all requests are new.
  const bool is_return = request.arrival->kind != ReturnKind::kNew;
  if (is_return || reservations->ShortageAge(now)) {
    Count(class_key, OutcomeOf(request.arrival->kind));
  }
  return request;
}

bool ReservationKeeper::LeavesReservedCapacity(const ReservableRequest& request,
                                               TimePoint now,
                                               Failure& refusal) const {
  if (!request.arrival || request.ReturnedInTime()) return true;
  if (request.arrival->draw < request.ShareForNew()) return true;
  refusal.detail =
      request.arrival->draw >= 1
          ? "returned repeatedly before the time that it was told"
          : "capacity is reserved for returning requests of its class:"
            " admitted_share=" +
                std::to_string(request.ShareForNew()) + " served_per_s=" +
                std::to_string(classes_.at(request.class_key).ServedRate(now));
  return false;
}

void ReservationKeeper::OnServed(const ReservableRequest& request,
                                 Duration latency, TimePoint now) {
  if (!request.arrival) return;
  RetryReservations* reservations = Of(request.class_key, now);
  if (reservations != nullptr) reservations->OnServed(latency, now);
}

void ReservationKeeper::OnRefused(const ReservableRequest& request,
                                  const RefusalFacts& facts, Failure& failure,
                                  TimePoint now, std::mt19937_64& random) {
  if (!request.arrival) return;
  RetryReservations* reservations = Of(request.class_key, now);
  if (reservations == nullptr) return;
  RefusedRequest refused;
  refused.identity = request.identity;
  refused.draw = facts.admitted ? kAdmittedDraw : request.arrival->draw;
  refused.shows_shortage = !facts.for_reserved_capacity;
  refused.shortest = facts.shortest;
  refused.target_left = facts.target_left;
  refused.max_wait = facts.deadline_left / kWaitPart;
  const RetryDecision decision = reservations->OnRefused(refused, now, random);
  CountUnused(request.class_key, *reservations, now);
  Count(request.class_key, decision.reserved ? "reserved" : "not-reserved");
  failure.retry_after = decision.retry_after;
  if (!failure.detail.empty()) failure.detail += "; ";
  failure.detail += DetailOf(decision);
}

RetryReservations* ReservationKeeper::Of(const std::string& class_key,
                                         TimePoint now) {
  const auto found = classes_.find(class_key);
  if (found != classes_.end()) return &found->second;
  if (classes_.size() >= kMaxClasses) {
    const auto unused = std::find_if(
        classes_.begin(), classes_.end(), [now](const auto& entry) {
          return now - entry.second.last_used() > kClassTimeout;
        });
    if (unused == classes_.end()) return nullptr;
    classes_.erase(unused);
  }
  return &classes_[class_key];
}

void ReservationKeeper::Count(const std::string& class_key, const char* outcome,
                              uint64_t amount) {
  stats_.Count("amaranth_retry_reservations_total",
               "class=\"" + class_key + "\",outcome=\"" + outcome + "\"",
               amount);
}

void ReservationKeeper::CountUnused(const std::string& class_key,
                                    RetryReservations& reservations,
                                    TimePoint now) {
  const uint64_t unused = reservations.TakeUnused(now);
  if (unused > 0) Count(class_key, "unused", unused);
}

}  // namespace amaranth::pvt
