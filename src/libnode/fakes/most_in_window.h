#ifndef AMARANTHROUTE_LIBNODE_FAKES_MOST_IN_WINDOW_H_
#define AMARANTHROUTE_LIBNODE_FAKES_MOST_IN_WINDOW_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Returns the largest number of `times` (in order) at or after `since` in any
// sliding window of the length `window`.
inline size_t MostInWindow(const std::vector<TimePoint>& times, Duration window,
                           TimePoint since) {
  size_t most = 0;
  for (auto first = std::lower_bound(times.begin(), times.end(), since);
       first != times.end(); ++first) {
    const auto end = std::lower_bound(first, times.end(), *first + window);
    most = std::max(most, static_cast<size_t>(end - first));
  }
  return most;
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_FAKES_MOST_IN_WINDOW_H_
