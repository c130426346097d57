#ifndef AMARANTHROUTE_LIBNODE_SHARED_DURATIONS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_DURATIONS_H_

// Arithmetic on durations for the entry and serving roles.

#include <algorithm>
#include <cstdint>
#include <limits>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Returns the exponential moving average `mean` after adding `sample` with
// `weight`. A mean of zero stands for no sample: then returns `sample`.
inline Duration MovingAverage(Duration mean, Duration sample, double weight) {
  if (mean == Duration::zero()) return sample;
  const double before = static_cast<double>(mean.count());
  const double newest = static_cast<double>(sample.count());
  return Duration(static_cast<int64_t>(before + weight * (newest - before)));
}

// Returns a duration in microseconds as messages carry it, clamped to 32 bits.
inline uint32_t ToWireMicros(Duration time) {
  return static_cast<uint32_t>(std::clamp<int64_t>(
      time.count(), 0, std::numeric_limits<uint32_t>::max()));
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_DURATIONS_H_
