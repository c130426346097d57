#include "amaranthroute/policy/progress_watch.h"

#include <algorithm>

namespace amaranth {

ProgressWatch::ProgressWatch(ProgressWatchOptions options)
    : options_(options) {}

void ProgressWatch::OnSent(TimePoint now) {
  if (waiting_since_ == kNever) waiting_since_ = now;
}

void ProgressWatch::OnReceived(TimePoint) {
  // The waiting time restarts with the next send or check, not here: an idle
  // link is not unresponsive.
  waiting_since_ = kNever;
  probed_at_ = kNever;
  avoided_ = false;
}

ProgressWatch::Action ProgressWatch::Check(TimePoint now, bool outstanding) {
  if (!outstanding) {
    waiting_since_ = kNever;
    probed_at_ = kNever;
    return Action::kNone;
  }
  if (waiting_since_ == kNever) waiting_since_ = now;
  if (probed_at_ != kNever) return CheckAfterProbe(now);
  if (now - waiting_since_ < options_.probe_after) return Action::kNone;
  probed_at_ = now;
  avoided_ = false;
  return Action::kProbe;
}

ProgressWatch::Action ProgressWatch::CheckAfterProbe(TimePoint now) {
  const Duration unanswered = now - probed_at_;
  if (unanswered >= options_.drop_after) return Action::kDrop;
  if (avoided_ || unanswered < options_.avoid_after) return Action::kNone;
  avoided_ = true;
  return Action::kAvoid;
}

TimePoint ProgressWatch::next_check(bool outstanding) const {
  if (!outstanding) return kNever;
  if (probed_at_ != kNever) {
    return probed_at_ + (avoided_ ? options_.drop_after : options_.avoid_after);
  }
  if (waiting_since_ == kNever) return TimePoint{};
  return waiting_since_ + options_.probe_after;
}

Duration AttemptTimeout(Duration latency, Duration remaining) {
  if (latency <= Duration::zero()) return remaining;
  const Duration timeout =
      std::max(kMinAttemptTimeout, latency * kAttemptTimeoutFactor);
  return std::min(timeout, remaining);
}

}  // namespace amaranth
