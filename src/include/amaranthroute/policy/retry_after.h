#ifndef AMARANTHROUTE_POLICY_RETRY_AFTER_H_
#define AMARANTHROUTE_POLICY_RETRY_AFTER_H_

/// Computes when a caller whose request was refused should resend it.
///
/// Load pattern: a surge is shed and all its callers resend together. A fixed
/// delay repeats the same surge in step; without a delay clients default to
/// immediate resends. The delay is the time in which the backlog drains at the
/// measured rate, with jitter of up to the same time again.

#include <cstddef>
#include <random>

#include "amaranthroute/policy/sliding_count.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Minimum delay: otherwise a client's round trip becomes its resend interval.
inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
/// Maximum delay: no client waits longer, and a measured rate near zero must
/// not give an unbounded delay.
inline constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

/// Returns the time for `backlog` calls to drain at `drained_per_second`, times
/// a random factor of 1 to 2; from kMinRetryAfter to kMaxRetryAfter. With a
/// rate of zero (nothing measured), returns 1 to 2 seconds.
Duration RetryAfter(size_t backlog, double drained_per_second,
                    std::mt19937_64& random);

/// Shortest and longest delay until a resend.
struct RetryRange {
  Duration earliest{0};
  Duration latest{0};

  friend bool operator==(const RetryRange& a, const RetryRange& b) {
    return a.earliest == b.earliest && a.latest == b.latest;
  }
  friend bool operator!=(const RetryRange& a, const RetryRange& b) {
    return !(a == b);
  }
};

/// Returns the range of the delays that RetryWithinTarget() draws.
RetryRange RangeWithinTarget(Duration target, Duration elapsed);

/// Returns when a caller whose request was refused early should resend it so
/// that the answer still meets the latency `target`.
///
/// Load pattern: an overload of a few seconds in which a fraction of the
/// requests is admitted, with a new random draw for each resend. With a delay
/// of a second, the duration of a typical overload, a caller that is then
/// admitted gets its answer too late. With a fraction of the time left of the
/// target (`target` less `elapsed`), as many are admitted and most get their
/// answer in time. The delay is random within a quarter of the time left, so
/// that a burst is not resent as a burst. Never less than 20 ms.
Duration RetryWithinTarget(Duration target, Duration elapsed,
                           std::mt19937_64& random);

/// Measures the rate at which the calls of a backend server complete.
class DrainMeter {
 public:
  /// Within 2 s a rate of 10 per second is measured with a standard deviation
  /// of about a quarter.
  static constexpr Duration kWindow = std::chrono::seconds(2);

  DrainMeter();

  /// Records a completed call.
  void OnDone(TimePoint now);
  /// Returns the calls completed per second in the last window, or since the
  /// first call if that is later; 0 before the first.
  double PerSecond(TimePoint now) const;

 private:
  SlidingCount done_;
  TimePoint first_ = kNever;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_RETRY_AFTER_H_
