#include "amaranthroute/policy/rate_gate.h"

#include <algorithm>
#include <cmath>

namespace amaranth {

void RateGate::SetLimit(std::optional<double> per_second, TimePoint now) {
  if (limit_ == per_second) return;
  limit_ = per_second;
  if (!limit_) {
    interval_ = Duration(0);
    return;
  }
  const double rate = std::max(*limit_, kMinRate);
  interval_ = Duration(std::max<int64_t>(1, std::llround(1e6 / rate)));
  // Without the bound, the last call at a very low limit would delay the next
  // one long after the limit has risen.
  paid_until_ = std::min(paid_until_, now + interval_);
}

TimePoint RateGate::next_start() const {
  return limit_ ? paid_until_ - kBurst : TimePoint{};
}

void RateGate::OnStarted(TimePoint now) {
  if (!limit_) return;
  paid_until_ = std::max(paid_until_, now) + interval_;
}

}  // namespace amaranth
