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
#include "amaranthroute/time.h"

namespace amaranth {

/// Where a node learns of new settings.
enum class SettingsSource : uint8_t {
  kHeadRow = 0,  ///< polls the head row that amaranthctl's changes move
  kWatch = 1,    ///< waits for a document that operators write elsewhere
};

/// What a deployment promises of its callers and backend servers.
struct DeploymentRules {
  SettingsSource settings_source = SettingsSource::kHeadRow;
  /// Every sending of a request has an id of its own, also a caller's resend.
  /// An id is then no idempotency key: claiming it in the platform's table
  /// would cost a write a request and protect nothing, and so would tickets.
  bool ids_name_sendings = false;
  /// Announcements come to a port of their own; on the callers' port their
  /// paths are paths like any other.
  bool announce_port = false;
  /// Callers send a failed idempotent request again by themselves, so a try of
  /// theirs that may have run is not repeated here: each repeat of a whole call
  /// tree would load the deepest service many times over.
  bool callers_repeat = false;
  /// Requests are let in or turned away where they enter; the calls that their
  /// backend servers make then go through. A call that is turned away deep in a
  /// chain has wasted all that its request cost before.
  bool admit_at_edge = false;
  /// How long a leaving backend server still takes calls that were queued for
  /// it before it told; 0 for as long as they wait. What is left then is
  /// refused as not run, so that nothing reaches the server after its drain.
  Duration drain_limit{0};
  /// How long a stopping node still takes new calls: until others and callers
  /// have heard of it.
  Duration leave_grace = std::chrono::seconds(2);
  /// How long a stopping node still guards its backend server before it tells
  /// others to send it no more calls. The server works on while its node is
  /// replaced, but nobody reaches it: each second less is one of its slots.
  Duration leave_delay{0};
  /// Silence after which a backend server counts as gone: four of its
  /// announcements, which come every half second by default.
  Duration server_lease = std::chrono::seconds(2);
  /// Time over which the nodes of a fleet that starts as a whole write their
  /// rows in the platform's table: 1,600 rows over 16 s are 100 writes a
  /// second.
  Duration peer_row_spread = std::chrono::seconds(16);
  /// Retries of all nodes together, per service and sliding window: this share
  /// of the requests, and as many on top; 0 leaves each node to its own ratio.
  double fleet_retry_ratio = 0;
  uint32_t fleet_retry_slack = 0;
  Duration fleet_retry_window = std::chrono::seconds(10);
};

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
  DeploymentRules rules;
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
