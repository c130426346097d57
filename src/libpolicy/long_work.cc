#include "amaranthroute/policy/long_work.h"

#include <algorithm>

namespace amaranth {

LongWorkShare::LongWorkShare(double share)
    : share_(std::clamp(share, 0.0, 1.0)) {}

bool LongWorkShare::Allows(int long_in_flight, int limit) const {
  return long_in_flight < Slots(limit);
}

int LongWorkShare::Slots(int limit) const {
  const int max_slots = std::max(1, limit - 1);
  return std::clamp(static_cast<int>(share_ * limit), 1, max_slots);
}

}  // namespace amaranth
