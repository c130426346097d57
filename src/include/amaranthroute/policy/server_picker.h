#ifndef AMARANTHROUTE_POLICY_SERVER_PICKER_H_
#define AMARANTHROUTE_POLICY_SERVER_PICKER_H_

/// Selects the backend server for an attempt.
///
/// Load pattern: servers of unequal speed, load reports that are as old as the
/// last answer, and several data centres of which one is at capacity. With
/// round robin a slow server gets its full share and holds most of the calls in
/// flight. With the least loaded server by stale reports, all entry nodes
/// select the same server at once (herding). With unlimited spill, a data
/// centre at capacity overloads the next one.
///
/// Of two random servers the one with the shorter expected wait is selected
/// (power of two choices): nearly as even as the true least loaded server, and
/// without herding, as each entry node compares another pair. Expected wait is
/// (in flight + queued + 1) / limit * latency * penalty, from the entry node's
/// own calls and the load reports of serving nodes; the servers' health and
/// load endpoints are not used. Local servers come first while one of them has
/// a free slot. When all are at capacity, at most `spill_share` of the calls go
/// to other data centres, so that a surge in one data centre takes a bounded
/// part of the others.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth {

/// State of one backend server as an entry node sees it.
struct ServerView {
  uint32_t in_flight = 0;  ///< own calls, or an estimate from the load report
  uint32_t limit = 0;      ///< from the load report; 0 unknown
  uint32_t queued = 0;     ///< from the load report
  /// Moving average of own calls, or an estimate from the load report; 0
  /// unknown.
  Duration latency{0};
  /// Factor on the expected wait, from the verdict of the serving node; 1 if
  /// healthy.
  double penalty = 1.0;
  bool local = true;      ///< in the entry node's data centre
  double weight = 1.0;    ///< ramp-up, 0 to 1; less than 0.01 counts as 0.01
  bool ejected = false;   ///< by OutlierDetector
  bool suspect = false;   ///< its node is suspect or unreachable
  bool excluded = false;  ///< attempted already, or would shed the call
};

/// Limits of the selection.
struct PickOptions {
  /// Fraction of the calls that may leave the data centre while its servers are
  /// usable but at capacity. With 0.2, a data centre with an offered load of
  /// twice its capacity sends 0.4 of its capacity to all others together.
  /// From 1.0 on, local servers at capacity and remote ones are compared by
  /// their expected wait instead.
  double spill_share = 0.2;
};

/// Returns the index of the selected server, or nothing if all are excluded or
/// there are none. Prefers servers that are neither ejected nor suspect, then
/// those that are not suspect, then all; within each group local ones come
/// first.
std::optional<size_t> PickServer(const std::vector<ServerView>& servers,
                                 const PickOptions& options,
                                 std::mt19937_64& random);

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SERVER_PICKER_H_
