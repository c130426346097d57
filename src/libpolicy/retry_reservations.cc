#include "amaranthroute/policy/retry_reservations.h"

#include <algorithm>
#include <cmath>

#include "libpolicy/seconds.h"

namespace amaranth {
namespace {

// Weight of the newest request in the typical latency.
constexpr double kLatencyGain = 0.1;

// Least weight of the newest reservation in the share that is used. The first
// ones have a greater weight, because a node with few requests has only some
// reservations in a shortage.
constexpr double kInTimeGain = 0.05;

// Factor on the distance of a draw from 1 for each early return. Otherwise a
// caller that retries every 20 ms is admitted as soon as the varying admitted
// share exceeds its first draw.
constexpr double kEarlyFactor = 0.5;

// After this many early returns a request is refused until its time. A few may
// be equal requests of other callers.
constexpr int kMaxEarlyReturns = 4;

// Callers of the same time are spread over this part of the shortage's age, so
// that they do not return together.
constexpr double kSpread = 0.25;

// Part of a time slot in which callers are told to return. The rest is left for
// the link and the client's timer.
constexpr double kToldPart = 0.5;

Duration CeilToMillis(Duration time) {
  const Duration unit = std::chrono::milliseconds(1);
  return (time + unit - Duration(1)) / unit * unit;
}

Duration DrawBetween(Duration from, Duration to, std::mt19937_64& random) {
  return Duration(std::uniform_int_distribution<int64_t>(
      from.count(), std::max(from, to).count())(random));
}

}  // namespace

RetryReservations::RetryReservations() : served_(kRateWindow) {}

RequestArrival RetryReservations::OnArrival(uint64_t identity, TimePoint now,
                                            std::mt19937_64& random) {
  last_used_ = now;
  Expire(now);
  RequestArrival arrival;
  arrival.draw = std::uniform_real_distribution<double>(0, 1)(random);
  arrival.share_for_new = ShareForNew(now);
  const auto found = by_identity_.find(identity);
  if (found == by_identity_.end()) return arrival;
  Remembered& remembered = found->second;
  if (now < remembered.due) {
    arrival.kind = ReturnKind::kEarly;
    ++remembered.early_returns;
    remembered.draw = 1 - (1 - remembered.draw) * kEarlyFactor;
    const bool refused =
        remembered.early_returns > kMaxEarlyReturns && ShortageAge(now);
    arrival.draw = refused ? 1 : remembered.draw;
    Release(remembered);
    return arrival;
  }
  const bool in_time = !remembered.reserved.empty() &&
                       now < remembered.due + kSlot + kArrivalTolerance;
  arrival.kind = in_time ? ReturnKind::kInTime : ReturnKind::kLate;
  EndReservation(remembered, in_time);
  Forget(found);
  return arrival;
}

void RetryReservations::OnServed(Duration latency, TimePoint now) {
  last_used_ = now;
  if (first_served_ == kNever) {
    first_served_ = now;
    typical_latency_ = latency;
  }
  served_.Add(now);
  ++served_since_refusal_;
  typical_latency_ += pvt::FromSeconds(
      kLatencyGain * pvt::ToSeconds(latency - typical_latency_));
}

RetryDecision RetryReservations::OnRefused(const RefusedRequest& refused,
                                           TimePoint now,
                                           std::mt19937_64& random) {
  last_used_ = now;
  Expire(now);
  UpdateShortage(refused.shows_shortage, now);
  RetryDecision decision;
  decision.shortage_age = ShortageAge(now).value_or(Duration(0));
  decision.expected_end = decision.shortage_age;
  const Duration spread =
      pvt::FromSeconds(kSpread * pvt::ToSeconds(decision.shortage_age));
  decision.retry_after = std::max(
      DrawBetween(decision.expected_end, decision.expected_end + spread,
                  random),
      DrawBetween(refused.shortest.earliest, refused.shortest.latest, random));
  decision.retry_after = std::min(decision.retry_after, kMaxRetryAfter);

  Remembered remembered;
  remembered.draw = refused.draw;
  const auto found = by_identity_.find(refused.identity);
  // A caller that returned early gets no reservation until its time, and is not
  // told an earlier one.
  const bool early = found != by_identity_.end();
  if (early) {
    decision.retry_after =
        std::max(decision.retry_after, found->second.due - now);
    remembered.draw = found->second.draw;
    remembered.early_returns = found->second.early_returns;
    Forget(found);
  } else if (by_identity_.size() >= kMaxRemembered) {
    decision.retry_after = CeilToMillis(decision.retry_after);
    return decision;
  } else {
    Duration latest =
        std::min(refused.target_left - typical_latency_, refused.max_wait);
    // At the start of a shortage its age says little.
    if (decision.expected_end < refused.shortest.latest) {
      latest = std::min(latest, refused.shortest.latest);
    }
    const std::optional<TimePoint> slot = Reserve(
        now + decision.retry_after, now + latest, now, remembered.reserved);
    if (slot) {
      decision.reserved = true;
      decision.slot_start = *slot - now;
      decision.retry_after = std::max(
          decision.retry_after,
          decision.slot_start +
              DrawBetween(Duration(0),
                          pvt::FromSeconds(kToldPart * pvt::ToSeconds(kSlot)),
                          random));
    }
  }
  decision.retry_after = CeilToMillis(decision.retry_after);
  remembered.due =
      now + (decision.reserved ? decision.slot_start : decision.retry_after);
  remembered.expires = remembered.due;
  if (decision.reserved) {
    remembered.expires += kSlot + kArrivalTolerance;
  }
  Remember(refused.identity, remembered);
  return decision;
}

double RetryReservations::ShareForNew(TimePoint now) const {
  const double capacity = ServedRate(now) * pvt::ToSeconds(kSlot);
  if (!ShortageAge(now) || capacity <= 0) return 1;
  const double kept = ReservedIn(SlotNumber(now)) * in_time_share_;
  return 1 - std::min(kReserve, kept / capacity);
}

std::optional<Duration> RetryReservations::ShortageAge(TimePoint now) const {
  if (!shortage_start_) return std::nullopt;
  const Duration quiet = now - last_refused_;
  const bool over =
      quiet > kMaxQuietTime ||
      (quiet > kQuietTime && served_since_refusal_ >= kQuietRequests);
  if (over) return std::nullopt;
  return now - *shortage_start_;
}

double RetryReservations::ServedRate(TimePoint now) const {
  if (first_served_ == kNever) return 0;
  // A class whose first requests have just been served has no rate yet.
  const Duration covered =
      std::clamp(now - first_served_, kRateWindow / 4, kRateWindow);
  return static_cast<double>(served_.Total(now)) / pvt::ToSeconds(covered);
}

uint64_t RetryReservations::TakeUnused(TimePoint now) {
  Expire(now);
  return std::exchange(unused_, 0);
}

int64_t RetryReservations::SlotNumber(TimePoint time) {
  return ToMicros(time) / kSlot.count();
}

double RetryReservations::ReservedIn(int64_t number) const {
  const Slot& slot = slots_.at(static_cast<size_t>(number % kSlots));
  return slot.number == number ? slot.reserved : 0;
}

double RetryReservations::CapacityOfSlot(TimePoint now) const {
  return kReserve * ServedRate(now) * pvt::ToSeconds(kSlot);
}

void RetryReservations::UpdateShortage(bool shows_shortage, TimePoint now) {
  if (!shows_shortage) return;
  if (!ShortageAge(now)) shortage_start_ = now;
  last_refused_ = now;
  served_since_refusal_ = 0;
}

std::optional<TimePoint> RetryReservations::Reserve(
    TimePoint from, TimePoint to, TimePoint now,
    std::vector<double>& reserved) {
  // Whole slots within the range: a caller is never told a time before `from`.
  const int64_t last = std::min(SlotNumber(to), SlotNumber(now) + kSlots) - 1;
  for (int64_t slot = SlotNumber(from) + 1; slot <= last; ++slot) {
    if (TakeCapacity(slot, now, reserved)) {
      return FromMicros(slot * kSlot.count());
    }
  }
  return std::nullopt;
}

bool RetryReservations::TakeCapacity(int64_t first, TimePoint now,
                                     std::vector<double>& reserved) {
  const double capacity = CapacityOfSlot(now);
  if (ReservedIn(first) >= capacity) return false;
  // One request takes the reserve of several slots of a node with few requests.
  // Those that follow directly must be nearly free: the node would otherwise
  // reserve more than its share of any short time.
  const int64_t span = static_cast<int64_t>(std::ceil(1 / capacity)) + 1;
  const int64_t end = std::min(first + span, SlotNumber(now) + kSlots);
  double needed = 1;
  for (int64_t slot = first; slot < end && needed > 0; ++slot) {
    const double free = std::max(0.0, capacity - ReservedIn(slot));
    reserved.push_back(std::min(free, needed));
    needed -= reserved.back();
  }
  if (needed > 0) {
    reserved.clear();
    return false;
  }
  int64_t number = first;
  for (const double taken : reserved) {
    Slot& slot = slots_.at(static_cast<size_t>(number % kSlots));
    if (slot.number != number) slot = Slot{number, 0};
    slot.reserved += taken;
    ++number;
  }
  return true;
}

void RetryReservations::Release(Remembered& remembered) {
  int64_t number = SlotNumber(remembered.due);
  for (const double taken : remembered.reserved) {
    Slot& slot = slots_.at(static_cast<size_t>(number % kSlots));
    if (slot.number == number) slot.reserved -= taken;
    ++number;
  }
  remembered.reserved.clear();
}

void RetryReservations::EndReservation(Remembered& remembered, bool in_time) {
  if (remembered.reserved.empty()) return;
  remembered.reserved.clear();
  ++ended_;
  const double gain =
      std::max(kInTimeGain, 1 / (static_cast<double>(ended_) + 1));
  in_time_share_ += gain * ((in_time ? 1 : 0) - in_time_share_);
  if (!in_time) ++unused_;
}

void RetryReservations::Remember(uint64_t identity,
                                 const Remembered& remembered) {
  by_identity_[identity] = remembered;
  by_expiry_.emplace(remembered.expires, identity);
}

void RetryReservations::Forget(ByIdentity::iterator found) {
  by_expiry_.erase({found->second.expires, found->first});
  by_identity_.erase(found);
}

void RetryReservations::Expire(TimePoint now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first < now) {
    const auto found = by_identity_.find(by_expiry_.begin()->second);
    const uint64_t identity = found->first;
    Remembered remembered = found->second;
    Forget(found);
    if (remembered.reserved.empty()) continue;
    EndReservation(remembered, false);
    remembered.expires += kLateTime;
    Remember(identity, remembered);
  }
}

}  // namespace amaranth
