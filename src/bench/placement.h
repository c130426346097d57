#ifndef AMARANTHROUTE_BENCH_PLACEMENT_H_
#define AMARANTHROUTE_BENCH_PLACEMENT_H_

#include <ostream>

namespace amaranth::bench {

/// Writes the balance, key movement and CPU cost of rendezvous hashing and of
/// random disk labelling as CSV. Random disk labelling is double hashing over a
/// prime number of slots, of which each name owns `weight`. See
/// docs/design/placement.md.
void MeasurePlacement(std::ostream& out);

}  // namespace amaranth::bench

#endif  // AMARANTHROUTE_BENCH_PLACEMENT_H_
