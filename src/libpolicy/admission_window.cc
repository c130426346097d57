#include "amaranthroute/policy/admission_window.h"

#include <algorithm>

namespace amaranth {
namespace {

// A limit this many times what is under way limits nothing.
constexpr double kSlack = 2.0;
// Weight of the newest request in the share that requests waited: the last ten
// or so count.
constexpr double kShareWeight = 0.1;

}  // namespace

AdmissionWindow::AdmissionWindow(AdmissionWindowOptions options)
    : options_(options) {}

bool AdmissionWindow::HasRoom(std::mt19937_64& random) const {
  if (!limited_) return true;
  const double room = limit_ - static_cast<double>(under_way_);
  if (room >= 1) return true;
  if (room <= 0) return false;
  return std::bernoulli_distribution(room)(random);
}

void AdmissionWindow::OnBegin() { ++under_way_; }

void AdmissionWindow::OnAbandoned() {
  if (under_way_ > 0) --under_way_;
}

bool AdmissionWindow::OnEnd(const EndedRequest& ended, Duration target) {
  const double with_it = static_cast<double>(under_way_);
  OnAbandoned();
  if (target <= Duration::zero()) return false;
  LearnWaitShare(ended);
  if (IsOverload(ended, target)) return true;
  if (ended.served) Grow(with_it);
  return false;
}

bool AdmissionWindow::CanGiveWay() const {
  const bool above_least =
      static_cast<double>(under_way_) > options_.smallest &&
      (!limited_ || limit_ > options_.smallest);
  return above_least && wait_share_ >= options_.least_wait;
}

void AdmissionWindow::LearnWaitShare(const EndedRequest& ended) {
  if (ended.latency <= Duration::zero()) return;
  const double share = static_cast<double>(ended.waited.count()) /
                       static_cast<double>(ended.latency.count());
  wait_share_ += kShareWeight * (share - wait_share_);
}

bool AdmissionWindow::IsOverload(const EndedRequest& ended,
                                 Duration target) const {
  const double whole = static_cast<double>(target.count());
  const bool waited =
      static_cast<double>(ended.waited.count()) >= options_.least_wait * whole;
  if (!waited) return false;
  return !ended.served ||
         static_cast<double>(ended.latency.count()) > options_.goal * whole;
}

void AdmissionWindow::Shrink(Duration latency, TimePoint now) {
  if (now < next_shrink_) return;
  const double under_way = static_cast<double>(under_way_ + 1);
  const double size = limited_ ? std::min(limit_, under_way) : under_way;
  last_size_ = size;
  limit_ = std::max(options_.smallest, size * options_.shrink);
  limited_ = true;
  next_shrink_ = now + latency;
}

void AdmissionWindow::Grow(double under_way) {
  if (!limited_) return;
  if (limit_ > kSlack * under_way && limit_ > last_size_) {
    limited_ = false;
    return;
  }
  const double step =
      limit_ < last_size_ ? options_.grow : options_.probe / limit_;
  limit_ += step;
}

}  // namespace amaranth
