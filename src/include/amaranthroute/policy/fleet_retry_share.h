#ifndef AMARANTHROUTE_POLICY_FLEET_RETRY_SHARE_H_
#define AMARANTHROUTE_POLICY_FLEET_RETRY_SHARE_H_

/// A node's part of a retry budget that all nodes share.
///
/// Load pattern: many nodes send to one service, and it fails at all of them at
/// once. A limit for each node lets the service meet that limit times the
/// number of nodes. The operators' budget is for the sum, over any span of the
/// window's length: a ratio of the requests and a fixed number on top.
///
/// The ratio splits by itself, each node applying it to its own requests; the
/// fixed number is split evenly. Both shares are safe without a word between
/// nodes, also while they are cut off from each other. What one node does not
/// use is lost: with 13 nodes and 47 retries a node has 3 for itself.

#include <cstddef>

#include "amaranthroute/policy/sliding_count.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// The fleet's budget for one service.
struct FleetRetryLimits {
  double ratio = 0;  ///< retries per request
  double slack = 0;  ///< retries on top, in one window
  Duration window{0};
};

/// Retries of one service that one node may send.
class FleetRetryShare {
 public:
  explicit FleetRetryShare(const FleetRetryLimits& limits);

  /// A request for the service came to this node.
  void OnRequest(TimePoint now);
  /// Takes one retry, if this node's share with `nodes` nodes has one left.
  bool TryRetry(size_t nodes, TimePoint now);

 private:
  /// Requests are counted to the moment, retries are judged by others' clocks
  /// and arrive later than they are sent: this part of the share is kept free.
  static constexpr double kUsable = 0.8;

  FleetRetryLimits limits_;
  SlidingCount requests_;
  SlidingCount retries_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_FLEET_RETRY_SHARE_H_
