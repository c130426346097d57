#ifndef AMARANTHROUTE_LIBNODE_NODE_STATE_H_
#define AMARANTHROUTE_LIBNODE_NODE_STATE_H_

// The state of a node, the wiring of its modules and the dispatch of events to
// them.

#include <random>

#include "amaranthroute/reducer.h"
#include "libnode/customers/quota_keeper.h"
#include "libnode/entry/claim_coordinator.h"
#include "libnode/entry/entry_role.h"
#include "libnode/membership/membership.h"
#include "libnode/peer_links.h"
#include "libnode/serving/serving_role.h"
#include "libnode/settings/settings_cache.h"
#include "libnode/settings/settings_store.h"
#include "libnode/shared/context.h"
#include "libnode/shared/outbox.h"
#include "libnode/shared/records.h"
#include "libnode/shared/stats.h"

namespace amaranth::pvt {

// Progress of a graceful shutdown.
struct StopState {
  bool requested = false;
  TimePoint since{};
  bool withdrew_waiting = false;
  bool exited = false;
};

class NodeState {
 public:
  explicit NodeState(NodeIdentity identity);
  NodeState(const NodeState&) = delete;
  NodeState& operator=(const NodeState&) = delete;

  Effects Start(TimePoint now);
  Effects Reduce(const Event& event);

  void RequestStop(Context& context);
  bool ready() const { return settings.ready() && !stop.requested; }

  const NodeIdentity identity;
  Random random;
  uint64_t next_id = 1;
  Stats stats;
  Records records;
  Outbox outbox;
  Membership membership;
  SettingsStore settings;
  SettingsCache settings_cache;
  QuotaKeeper quotas;
  ServingRole serving;
  ClaimCoordinator claims;
  EntryRole entry;
  PeerLinks links;
  StopState stop;

 private:
  void ConnectModules();
  void Apply(const EventBody& body, Context& context);
  void ApplyOne(const CallerRequest& event, Context& context);
  void ApplyOne(const CallerGone& event, Context& context);
  void ApplyOne(const OperatorRequest& event, Context& context);
  void ApplyOne(const PeerReceived& event, Context& context);
  void ApplyOne(const PeerLost& event, Context& context);
  void ApplyOne(const PeerSendFailed& event, Context& context);
  void ApplyOne(const GossipReceived& event, Context& context);
  void ApplyOne(const ServerReplied& event, Context& context);
  void ApplyOne(const ServerFailed& event, Context& context);
  void ApplyOne(const PlatformReplied& event, Context& context);
  void ApplyOne(const Tick& event, Context& context);
  void ApplyOne(const StopRequested& event, Context& context);

  void Deliver(const NodeRef& from, const PeerMessage& message,
               Context& context);
  void DeliverLocal(Context& context);
  void HandlePeerLost(const std::string& peer, Context& context);
  void RunTimers(Context& context);
  void ExitIfDrained(Context& context);
  void RequestWake(Context& context);
  // Counts the platform calls among `effects` for the metrics.
  void CountPlatformCalls(const Effects& effects);
  TimePoint NextTimer() const;
  void RefuseCaller(const CallerRequest& event, Reason reason,
                    Context& context);

  TimePoint requested_wake_ = kNever;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_NODE_STATE_H_
