#ifndef AMARANTHROUTE_LIBNODE_SHARED_MOVING_MEDIAN_H_
#define AMARANTHROUTE_LIBNODE_SHARED_MOVING_MEDIAN_H_

#include <algorithm>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Estimates the median of a stream of durations in constant memory. The
// estimate starts as the mean of the first samples; each later sample moves it
// a small step towards itself. Unlike a mean, it hardly changes when a few
// servers are many times slower than the rest.
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
  // Returns 0 if there was no sample.
  Duration value() const { return median_; }

 private:
  static constexpr int kSteps = 20;
  int samples_ = 0;
  Duration median_{0};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_MOVING_MEDIAN_H_
