#ifndef AMARANTHROUTE_LIBNODE_SHARED_DURATIONS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_DURATIONS_H_

// Arithmetic on durations that entry and serving nodes share.

#include <algorithm>
#include <cstdint>
#include <limits>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// An exponential moving average after `sample`, the weight of which is
// `weight`; the first sample is the average (a mean of zero: none was seen).
inline Duration MovingAverage(Duration mean, Duration sample, double weight) {
  if (mean == Duration::zero()) return sample;
  const double before = static_cast<double>(mean.count());
  const double newest = static_cast<double>(sample.count());
  return Duration(static_cast<int64_t>(before + weight * (newest - before)));
}

// As messages carry it: microseconds, clamped to their 32 bits.
inline uint32_t ToWireMicros(Duration time) {
  return static_cast<uint32_t>(std::clamp<int64_t>(
      time.count(), 0, std::numeric_limits<uint32_t>::max()));
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_DURATIONS_H_
