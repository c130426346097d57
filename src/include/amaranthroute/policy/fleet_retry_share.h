#ifndef AMARANTHROUTE_POLICY_FLEET_RETRY_SHARE_H_
#define AMARANTHROUTE_POLICY_FLEET_RETRY_SHARE_H_

/// A node's share of a retry budget that applies to the whole fleet.
///
/// Load pattern: many nodes send to one service, and it fails for all of them
/// at once. With a separate limit per node the service receives that limit
/// times the number of nodes. The operators' budget limits the sum over any
/// period of the window's length: a ratio of the requests plus a fixed number.
///
/// Each node applies the ratio to its own requests and gets an equal part of
/// the fixed number. Both are safe without communication between nodes, also
/// during a network partition. The part that a node does not use is lost. With
/// 13 nodes and a fixed number of 47, each node has a part of 3.6, of which
/// kUsableFraction allows 2 retries.

#include <cstddef>

#include "amaranthroute/policy/sliding_count.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// The fleet's budget for one service.
struct FleetRetryLimits {
  double ratio = 0;  ///< retries per request
  double slack = 0;  ///< fixed number of retries per window, in addition
  Duration window{0};
};

/// Limits the retries to one service that one node may send.
class FleetRetryShare {
 public:
  explicit FleetRetryShare(const FleetRetryLimits& limits);

  /// Records a request for the service at this node.
  void OnRequest(TimePoint now);
  /// Takes one retry from this node's share of a fleet of `nodes` nodes.
  /// Returns false, and takes nothing, if the share is used up.
  bool TryRetry(size_t nodes, TimePoint now);

 private:
  /// Fraction of the share that may be used. The rest is a reserve: requests
  /// are counted at the moment they arrive, but retries reach the service later
  /// than they are sent, and are counted there by another clock.
  static constexpr double kUsableFraction = 0.8;

  FleetRetryLimits limits_;
  SlidingCount requests_;
  SlidingCount retries_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_FLEET_RETRY_SHARE_H_
