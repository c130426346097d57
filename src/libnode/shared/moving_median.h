#ifndef AMARANTHROUTE_LIBNODE_SHARED_MOVING_MEDIAN_H_
#define AMARANTHROUTE_LIBNODE_SHARED_MOVING_MEDIAN_H_

#include <algorithm>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// The median of a stream of durations, kept in two numbers. It begins as the
// mean of the first samples; then each sample moves it a small step to its
// side. A few servers that are many times slower than the rest, which would
// raise a mean for good, leave it where it is.
class MovingMedian {
 public:
  void Add(Duration sample) {
    if (samples_ < kSteps) {
      ++samples_;
      median_ += (sample - median_) / samples_;
      return;
    }
    const Duration step = std::max(median_ / kSteps, Duration(1));
    if (sample > median_) median_ += step;
    if (sample < median_) median_ -= step;
  }
  // 0 if there was no sample.
  Duration value() const { return median_; }

 private:
  static constexpr int kSteps = 20;
  int samples_ = 0;
  Duration median_{0};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_MOVING_MEDIAN_H_
