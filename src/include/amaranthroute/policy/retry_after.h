#ifndef AMARANTHROUTE_POLICY_RETRY_AFTER_H_
#define AMARANTHROUTE_POLICY_RETRY_AFTER_H_

/// When a caller that was turned away should come back.
///
/// Load pattern: a surge is shed and all its callers come back together. A
/// fixed time sends the same surge again, in step; no time at all makes hard
/// retries the clients' default. The time is what the backlog needs to drain
/// at the measured rate, spread over as long again.

#include <cstddef>
#include <random>

#include "amaranthroute/policy/sliding_count.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Never less: a client's round trip must not become the retry interval.
inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
/// Never more: nobody waits longer, and a stalled meter must not say "never".
inline constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

/// Time for `backlog` calls to drain at `drained_per_second`, with a random
/// factor of 1 to 2; within kMinRetryAfter and kMaxRetryAfter. With a rate of
/// zero (nothing measured) about a second.
Duration RetryAfter(size_t backlog, double drained_per_second,
                    std::mt19937_64& random);

/// When a caller that was turned away at once should come back while its answer
/// is still worth its full value.
///
/// Load pattern: an overload of seconds in which a part of the requests is let
/// in, drawn anew at each sending. Told to come back after the second that an
/// overload may take, a caller that is then served is served late; told a part
/// of what is left of the `target` for its latency, as many are served and most
/// in time. Spread over a quarter of it, so that a burst does not come back as
/// one.
Duration RetryWithinTarget(Duration target, Duration held,
                           std::mt19937_64& random);

/// Measures the rate at which calls of a service are done.
class DrainMeter {
 public:
  /// 2 s smooth a rate of 10 a second to about a quarter.
  static constexpr Duration kWindow = std::chrono::seconds(2);

  DrainMeter();

  /// A call was done.
  void OnDone(TimePoint now);
  /// Calls done per second in the last window (or since the first, if later).
  double PerSecond(TimePoint now) const;

 private:
  SlidingCount done_;
  TimePoint first_ = kNever;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_RETRY_AFTER_H_
