#ifndef AMARANTHROUTE_REDUCER_H_
#define AMARANTHROUTE_REDUCER_H_

/// The reducer of a node: a deterministic state machine that takes events and
/// returns effects. It does no I/O and reads no clock.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "amaranthroute/effect.h"
#include "amaranthroute/event.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Source from which a node learns of new settings.
enum class SettingsSource : uint8_t {
  kHeadRow = 0,  ///< polls the head row, which changes by amaranthctl move
  kWatch = 1,    ///< watches a document that operators maintain elsewhere
};

/// Periods of announcements in DeploymentRules::server_lease.
inline constexpr int kAnnouncementsPerLease = 4;

/// Properties of a deployment: behaviour of its callers and backend servers,
/// and limits that follow from it.
struct DeploymentRules {
  SettingsSource settings_source = SettingsSource::kHeadRow;
  /// Every sending of a request has an id of its own, also a caller's resend,
  /// so ids are not idempotency keys. They are not claimed in the platform's
  /// table: that would cost one write per request and prevent no repeated run.
  /// The same holds for tickets.
  bool request_id_per_send = false;
  /// Announcements arrive on a separate port. On the callers' port their paths
  /// have no special meaning then.
  bool announce_port = false;
  /// Callers resend failed idempotent requests themselves. An attempt of a
  /// caller's request that may have run is then not retried here: each retry
  /// repeats the whole call tree and would multiply the load of the deepest
  /// service.
  bool callers_resend = false;
  /// Requests are admitted or shed at their entry node only; their nested calls
  /// are not shed. Shedding a call deep in a chain wastes all the work already
  /// done for its request.
  bool admit_at_edge = false;
  /// Time for which calls already queued for a backend server are still sent to
  /// it once it is draining; 0 sets no limit. Calls still queued after this
  /// time are refused as not run, so that none reaches the server after its
  /// drain.
  Duration drain_limit{0};
  /// Time for which a stopping node still accepts new requests, until callers
  /// and the other nodes have learned of the stop.
  Duration leave_grace = std::chrono::seconds(2);
  /// Time between the stop of a node and its announcement that it leaves, after
  /// which others send it no more calls. Its backend server keeps running while
  /// the node is replaced but receives no calls then, so its slots stay idle:
  /// the later the announcement, the shorter that time.
  Duration leave_delay{0};
  /// Time without an announcement after which a backend server is removed:
  /// kAnnouncementsPerLease periods, which are 500 ms by default.
  Duration server_lease = std::chrono::seconds(2);
  /// Time within which a settings document that the platform has acknowledged
  /// must be in force on every node that reaches the platform. Used with
  /// SettingsSource::kWatch.
  Duration settings_bound = std::chrono::seconds(2);
  /// Period over which the nodes of a fleet that starts all at once spread the
  /// writes of their peer rows to the platform's table: 1,600 rows over 16 s
  /// are 100 writes per second.
  Duration peer_row_spread = std::chrono::seconds(16);
  /// Limit on the retries of all nodes together, per service and sliding
  /// window: this share of the requests, plus a fixed number (slack). A slack
  /// of 0 disables the limit; each node then uses its own retry ratio.
  double fleet_retry_ratio = 0;
  uint32_t fleet_retry_slack = 0;
  Duration fleet_retry_window = std::chrono::seconds(10);
};

/// Identity and configuration of a node, set by flags and constant for the life
/// of the process.
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
  /// Unix time of the start of the process; 0 if unknown. A backend server that
  /// started later cannot have left before.
  uint64_t started_ms = 0;
  /// Token required for changes by operators; none is required if it is empty.
  std::string operator_token;
  uint64_t max_body_bytes = 8ull << 20;
  uint64_t max_buffered_bytes = 64ull << 20;
  DeploymentRules rules;
};

namespace pvt {
class NodeState;
}

/// A node. Reduce is deterministic: the same identity and the same events yield
/// the same effects. Replay relies on this.
class Node {
 public:
  explicit Node(NodeIdentity identity);
  Node(Node&&) noexcept;
  Node& operator=(Node&&) noexcept;
  ~Node();

  /// Returns the effects of starting (timers, first probes). Must be called
  /// once, before Reduce.
  Effects Start(TimePoint now);

  /// Applies an event and returns its effects.
  Effects Reduce(const Event& event);

  const NodeIdentity& identity() const;
  /// Returns the counters and histograms of this node in the Prometheus text
  /// format.
  std::string MetricsText() const;
  /// Returns whether the node has settings and has not begun to stop.
  bool ready() const;

 private:
  std::unique_ptr<pvt::NodeState> state_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_REDUCER_H_
