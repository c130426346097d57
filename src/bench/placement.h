#ifndef AMARANTHROUTE_BENCH_PLACEMENT_H_
#define AMARANTHROUTE_BENCH_PLACEMENT_H_

#include <ostream>

namespace amaranth::bench {

/// Balance, movement and cost of rendezvous hashing beside random disk
/// labelling (double hashing over P slots, a weight as that many slots), as
/// CSV; see docs/design/placement.md.
void MeasurePlacement(std::ostream& out);

}  // namespace amaranth::bench

#endif  // AMARANTHROUTE_BENCH_PLACEMENT_H_
