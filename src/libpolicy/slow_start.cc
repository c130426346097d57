#include "amaranthroute/policy/slow_start.h"

#include <algorithm>

namespace amaranth {

double SlowStartWeight(TimePoint first_seen, TimePoint now, Duration ramp) {
  if (ramp <= Duration::zero()) return 1.0;
  const double age = static_cast<double>((now - first_seen).count());
  const double fraction = age / static_cast<double>(ramp.count());
  return std::clamp(fraction, kMinSlowStartWeight, 1.0);
}

}  // namespace amaranth
