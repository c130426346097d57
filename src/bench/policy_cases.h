#ifndef AMARANTHROUTE_BENCH_POLICY_CASES_H_
#define AMARANTHROUTE_BENCH_POLICY_CASES_H_

// The topologies and overload scenarios that policy_bench runs.

#include <vector>

#include "bench/policy_run.h"

namespace amaranth::bench {

/// Returns chains of 3 and 6 services, and topologies of the size of the two
/// users' deployments, arrieta and wrekin.
std::vector<Topology> Topologies();

/// Returns load surges, a slow deepest service, clients that resend at once
/// after each failure, and a combination of these.
std::vector<Scenario> Scenarios();

}  // namespace amaranth::bench

#endif  // AMARANTHROUTE_BENCH_POLICY_CASES_H_
