#ifndef AMARANTHROUTE_BENCH_POLICY_CASES_H_
#define AMARANTHROUTE_BENCH_POLICY_CASES_H_

// The call graphs and the troubles that the policy bench plays.

#include <vector>

#include "bench/policy_run.h"

namespace amaranth::bench {

/// Chains 3 and 6 deep, and the sizes of both firms.
std::vector<Topology> Topologies();

/// Surges, a slow deep service, clients that retry hard, and all at once.
std::vector<Scenario> Scenarios();

}  // namespace amaranth::bench

#endif  // AMARANTHROUTE_BENCH_POLICY_CASES_H_
