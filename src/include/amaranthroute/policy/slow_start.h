#ifndef AMARANTHROUTE_POLICY_SLOW_START_H_
#define AMARANTHROUTE_POLICY_SLOW_START_H_

/// How fast load moves to a server that is new, cold or back.
///
/// Load pattern: a server announces itself in the middle of a surge. It has no
/// calls in flight, so it looks the best to every entry node at once, and is
/// flooded while its caches are cold: it slows, is ejected, comes back and is
/// flooded again. A ramp gives it time to warm up under little load.

#include "amaranthroute/time.h"

namespace amaranth {

/// The least weight: some calls must flow, or nothing ever warms up.
inline constexpr double kMinSlowStartWeight = 0.1;

/// Part of its full share that a server gets: linear from kMinSlowStartWeight
/// at `first_seen` to 1 after `ramp` (1 at once if `ramp` is zero).
double SlowStartWeight(TimePoint first_seen, TimePoint now, Duration ramp);

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SLOW_START_H_
