#ifndef AMARANTHROUTE_LIBNODE_SHARED_RANDOM_SAMPLE_H_
#define AMARANTHROUTE_LIBNODE_SHARED_RANDOM_SAMPLE_H_

#include <algorithm>
#include <iterator>
#include <vector>

#include "libnode/shared/context.h"

namespace amaranth::pvt {

// Returns at most `count` of the items, chosen at random, in random order.
template <typename T>
std::vector<T> RandomSample(const std::vector<T>& items, size_t count,
                            Random& random) {
  std::vector<T> chosen;
  std::sample(items.begin(), items.end(), std::back_inserter(chosen), count,
              random);
  std::shuffle(chosen.begin(), chosen.end(), random);
  return chosen;
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_RANDOM_SAMPLE_H_
