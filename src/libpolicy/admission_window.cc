#include "amaranthroute/policy/admission_window.h"

#include <algorithm>

namespace amaranth {
namespace {

// A limit over this many times the requests in flight restricts nothing. It is
// removed if it also exceeds the limit before the last shrink.
constexpr double kUnusedLimitFactor = 2.0;
// Weight of a new request in the wait share; the average covers about the last
// ten requests.
constexpr double kShareWeight = 0.1;

}  // namespace

AdmissionWindow::AdmissionWindow(AdmissionWindowOptions options)
    : options_(options) {}

bool AdmissionWindow::HasRoom(std::mt19937_64& random) const {
  if (!limited_) return true;
  const double room = limit_ - static_cast<double>(in_flight_);
  if (room >= 1) return true;
  if (room <= 0) return false;
  return std::bernoulli_distribution(room)(random);
}

void AdmissionWindow::OnBegin() { ++in_flight_; }

void AdmissionWindow::OnAbandoned() {
  if (in_flight_ > 0) --in_flight_;
}

bool AdmissionWindow::OnEnd(const EndedRequest& ended, Duration target) {
  const double in_flight_before_end = static_cast<double>(in_flight_);
  OnAbandoned();
  if (target <= Duration::zero()) return false;
  UpdateWaitShare(ended);
  if (IsOverload(ended, target)) return true;
  if (ended.served) Grow(in_flight_before_end);
  return false;
}

bool AdmissionWindow::CanShrink() const {
  const bool above_minimum =
      static_cast<double>(in_flight_) > options_.min_limit &&
      (!limited_ || limit_ > options_.min_limit);
  return above_minimum && wait_share_ >= options_.min_wait_fraction;
}

void AdmissionWindow::UpdateWaitShare(const EndedRequest& ended) {
  if (ended.latency <= Duration::zero()) return;
  const double share = static_cast<double>(ended.waited.count()) /
                       static_cast<double>(ended.latency.count());
  wait_share_ += kShareWeight * (share - wait_share_);
}

bool AdmissionWindow::IsOverload(const EndedRequest& ended,
                                 Duration target) const {
  const double target_micros = static_cast<double>(target.count());
  const bool waited = static_cast<double>(ended.waited.count()) >=
                      options_.min_wait_fraction * target_micros;
  if (!waited) return false;
  return !ended.served || static_cast<double>(ended.latency.count()) >
                              options_.late_fraction * target_micros;
}

void AdmissionWindow::Shrink(Duration latency, TimePoint now) {
  if (now < next_shrink_) return;
  const double in_flight = static_cast<double>(in_flight_ + 1);
  const double old_limit = limited_ ? std::min(limit_, in_flight) : in_flight;
  limit_before_shrink_ = old_limit;
  limit_ = std::max(options_.min_limit, old_limit * options_.shrink_factor);
  limited_ = true;
  next_shrink_ = now + latency;
}

void AdmissionWindow::Grow(double in_flight) {
  if (!limited_) return;
  if (limit_ > kUnusedLimitFactor * in_flight &&
      limit_ > limit_before_shrink_) {
    limited_ = false;
    return;
  }
  const double step = limit_ < limit_before_shrink_
                          ? options_.growth_per_request
                          : options_.probe_growth / limit_;
  limit_ += step;
}

}  // namespace amaranth
