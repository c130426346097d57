#ifndef AMARANTHROUTE_POLICY_SLOW_START_H_
#define AMARANTHROUTE_POLICY_SLOW_START_H_

/// Ramps up the load of a backend server that is new or has returned.
///
/// Load pattern: a server announces itself during a surge. It has no calls in
/// flight, so every entry node prefers it at once, and it is overloaded while
/// its caches are cold: it slows down, is ejected, returns and is overloaded
/// again. A ramp lets it warm up under little load.

#include "amaranthroute/time.h"

namespace amaranth {

/// The minimum weight: a server without any calls would never warm up.
inline constexpr double kMinSlowStartWeight = 0.1;

/// Returns the fraction of its full share that a server gets at `now`: the time
/// since `first_seen` divided by `ramp`, clamped to kMinSlowStartWeight and 1.
/// It is 1 if `ramp` is zero.
double SlowStartWeight(TimePoint first_seen, TimePoint now, Duration ramp);

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SLOW_START_H_
