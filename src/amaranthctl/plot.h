#ifndef AMARANTHROUTE_AMARANTHCTL_PLOT_H_
#define AMARANTHROUTE_AMARANTHCTL_PLOT_H_

// Draws a histogram as text.

#include <cstdint>
#include <string>
#include <vector>

namespace amaranth::pvt {

// `count` values are at most `le_us` microseconds and greater than the bound of
// the previous bucket.
struct PlotBucket {
  int64_t le_us = 0;
  uint64_t count = 0;
};

// Returns one line per bucket, in the given order. Merges adjacent buckets to
// at most 24 lines, so that the plot fits a screen.
std::string PlotText(const std::vector<PlotBucket>& buckets);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_PLOT_H_
