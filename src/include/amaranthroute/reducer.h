#ifndef AMARANTHROUTE_REDUCER_H_
#define AMARANTHROUTE_REDUCER_H_

/// The heart of a node: events in, effects out, no I/O, no clock.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "amaranthroute/effect.h"
#include "amaranthroute/event.h"
#include "amaranthroute/ids.h"

namespace amaranth {

/// Who a node is and where its peers are; from flags, fixed for its life.
struct NodeIdentity {
  NodeRef node;
  std::string fleet = "default";
  std::string mesh = "default";
  std::string data_centre;
  std::string region;
  Endpoint peer_address;
  Endpoint gossip_address;
  std::vector<Endpoint> seeds;  ///< gossip addresses of some nodes
  bool use_platform = true;
  uint64_t random_seed = 1;
  /// Operators' changes need this token when it is not empty.
  std::string operator_token;
  uint64_t max_body_bytes = 8ull << 20;
  uint64_t max_buffered_bytes = 64ull << 20;
};

namespace pvt {
class NodeState;
}

/// A node. Reduce is deterministic: the same identity and the same events give
/// the same effects, which is what replay relies on.
class Node {
 public:
  explicit Node(NodeIdentity identity);
  Node(Node&&) noexcept;
  Node& operator=(Node&&) noexcept;
  ~Node();

  /// Effects of starting (timers, first probes). Call once, before Reduce.
  Effects Start(TimePoint now);

  /// Applies one event.
  Effects Reduce(const Event& event);

  const NodeIdentity& identity() const;
  /// Prometheus text of this node's counters and histograms.
  std::string MetricsText() const;
  /// True once the node has settings and has not begun to stop.
  bool ready() const;

 private:
  std::unique_ptr<pvt::NodeState> state_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_REDUCER_H_
