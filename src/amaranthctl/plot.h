#ifndef AMARANTHROUTE_AMARANTHCTL_PLOT_H_
#define AMARANTHROUTE_AMARANTHCTL_PLOT_H_

// A histogram drawn with characters.

#include <cstdint>
#include <string>
#include <vector>

namespace amaranth::pvt {

// `count` answers took up to `le_us`, and more than the bucket before.
struct PlotBucket {
  int64_t le_us = 0;
  uint64_t count = 0;
};

// One line a bucket, in order; more than fit a screen are put together.
std::string PlotText(const std::vector<PlotBucket>& buckets);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_PLOT_H_
