#include "amaranthroute/policy/quota_bucket.h"

#include <algorithm>
#include <cmath>

#include "libpolicy/seconds.h"

namespace amaranth {
namespace {

// A part of less than one token could never give out any.
constexpr double kMinCapacity = 1;

}  // namespace

void QuotaBucket::Refill(const Quota& part, TimePoint owned_since,
                         TimePoint now) {
  const TimePoint since = started_ ? refilled_ : owned_since;
  const double added = part.rate * std::max(0.0, pvt::ToSeconds(now - since));
  const double capacity = std::max(kMinCapacity, part.burst);
  tokens_ = std::min(capacity, tokens_ + added);
  part_ = part;
  started_ = true;
  refilled_ = now;
}

bool QuotaBucket::TryTake() {
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

double QuotaBucket::TakeForLoan(double wanted) {
  if (tokens_ < 1) return 0;
  const double given = std::floor(std::min(wanted, std::max(1.0, tokens_ / 2)));
  tokens_ -= given;
  return given;
}

void QuotaBucket::Charge(double tokens) { tokens_ -= tokens; }

Duration QuotaBucket::TimeToToken() const {
  if (tokens_ >= 1) return Duration(0);
  if (part_.rate <= 0) return kMaxReservation;
  return std::min(kMaxReservation,
                  pvt::FromSeconds((1 - tokens_) / part_.rate));
}

Duration QuotaBucket::Reserve(TimePoint now) {
  const TimePoint earliest = now + TimeToToken();
  const Duration step =
      part_.rate <= 0 ? kMaxReservation : pvt::FromSeconds(1 / part_.rate);
  reserved_until_ =
      std::clamp(reserved_until_ + step, earliest, now + kMaxReservation);
  return reserved_until_ - now;
}

}  // namespace amaranth
