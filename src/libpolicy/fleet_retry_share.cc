#include "amaranthroute/policy/fleet_retry_share.h"

#include <algorithm>

namespace amaranth {

FleetRetryShare::FleetRetryShare(const FleetRetryLimits& limits)
    : limits_(limits),
      requests_(limits.window),
      retries_(limits.window + limits.window / 10) {}

void FleetRetryShare::OnRequest(TimePoint now) { requests_.Add(now); }

bool FleetRetryShare::TryRetry(size_t nodes, TimePoint now) {
  const double slack =
      limits_.slack / static_cast<double>(std::max<size_t>(1, nodes));
  const double share =
      limits_.ratio * static_cast<double>(requests_.Total(now)) + slack;
  const double retries_after = static_cast<double>(retries_.Total(now)) + 1;
  if (retries_after > kUsableFraction * share) return false;
  retries_.Add(now);
  return true;
}

}  // namespace amaranth
