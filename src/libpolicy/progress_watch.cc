#include "amaranthroute/policy/progress_watch.h"

#include <algorithm>

namespace amaranth {

ProgressWatch::ProgressWatch(ProgressWatchOptions options)
    : options_(options) {}

void ProgressWatch::OnSent(TimePoint now) {
  if (silent_since_ == kNever) silent_since_ = now;
}

void ProgressWatch::OnReceived(TimePoint) {
  // The silence starts anew at the next send or check, not here: a link with
  // nothing to say is not silent.
  silent_since_ = kNever;
  probed_ = kNever;
  doubted_ = false;
}

ProgressWatch::Action ProgressWatch::Check(TimePoint now, bool outstanding) {
  if (!outstanding) {
    silent_since_ = kNever;
    probed_ = kNever;
    return Action::kNone;
  }
  if (silent_since_ == kNever) silent_since_ = now;
  if (probed_ != kNever) return CheckProbed(now);
  if (now - silent_since_ < options_.probe_after) return Action::kNone;
  probed_ = now;
  doubted_ = false;
  return Action::kProbe;
}

ProgressWatch::Action ProgressWatch::CheckProbed(TimePoint now) {
  const Duration unanswered = now - probed_;
  if (unanswered >= options_.drop_after) return Action::kDrop;
  if (doubted_ || unanswered < options_.doubt_after) return Action::kNone;
  doubted_ = true;
  return Action::kDoubt;
}

TimePoint ProgressWatch::next_check(bool outstanding) const {
  if (!outstanding) return kNever;
  if (probed_ != kNever) {
    return probed_ + (doubted_ ? options_.drop_after : options_.doubt_after);
  }
  if (silent_since_ == kNever) return TimePoint{};
  return silent_since_ + options_.probe_after;
}

Duration AttemptTimeout(Duration latency, Duration remaining) {
  if (latency <= Duration::zero()) return remaining;
  const Duration usual =
      std::max(kMinAttemptTimeout, latency * kAttemptTimeoutLatencies);
  return std::min(usual, remaining);
}

}  // namespace amaranth
