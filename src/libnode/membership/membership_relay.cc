// Confirmations of the settings: the nodes of a data centre that call the
// platform know that the settings in force are the newest, and tell all others.

#include <algorithm>
#include <random>

#include "libnode/membership/membership.h"
#include "libnode/membership/membership_limits.h"
#include "libnode/shared/settings_watchers.h"

namespace amaranth::pvt {

const RelayTree& Membership::SettingsRelays() const {
  if (settings_relays_stale_) {
    settings_relays_ = RelayTree(UpInDataCentre(), kSettingsDelegateKey,
                                 kSettingsWatcherCount, kRelayFanout);
    settings_rank_ = settings_relays_.RankOf(identity_.node.name);
    settings_relays_stale_ = false;
  }
  return settings_relays_;
}

// A node that leaves is not among those that are up, but needs the settings for
// the requests that it still holds. It ranks after them, as the only one if no
// other node is up.
DataCentreRank Membership::SettingsRank() const {
  const size_t nodes = SettingsRelays().size();
  return {settings_rank_, std::max(nodes, settings_rank_ + 1)};
}

// Confirmations also ride on every datagram, but probes take a number of rounds
// that grows with the data centre: with 200 nodes they arrive too old, and the
// nodes that miss them read the platform themselves.
void Membership::RelayConfirmation(Context& context) {
  if (!settings_confirmed_at) return;
  const std::optional<PlatformTime> confirmed = settings_confirmed_at();
  if (!confirmed) return;
  const SettingsWatchTimes times(identity_.rules.settings_bound);
  if (*confirmed < relayed_confirmation_ + times.RelayStep()) return;
  relayed_confirmation_ = *confirmed;
  const GossipMessage message = BuildHeader(GossipKind::kAck, 0);
  for (const std::string& child :
       SettingsRelays().ChildrenOf(identity_.node.name)) {
    context.Emit(SendGossip{Find(child)->gossip_address, message});
  }
}

// The roots of the tree get it from each other. A node further down calls the
// platform because it has heard nothing from them, so it also sends to their
// children: the roots may be down.
void Membership::AnnounceConfirmation(Context& context) {
  const RelayTree& tree = SettingsRelays();
  const size_t receivers = settings_rank_ < kSettingsWatcherCount
                               ? kSettingsWatcherCount
                               : kSettingsWatcherCount * (1 + kRelayFanout);
  const bool is_reader =
      settings_rank_ < kSettingsWatcherCount + kSettingsStandbyCount;
  if (is_reader) {
    const GossipMessage message = BuildHeader(GossipKind::kAck, 0);
    for (const std::string& name : tree.First(receivers)) {
      if (name == identity_.node.name) continue;
      context.Emit(SendGossip{Find(name)->gossip_address, message});
    }
  }
  RelayConfirmation(context);
}

// If a relay above this node is down, its branch is cut off from the tree until
// it is known to be dead, so a node whose confirmation gets old asks the roots.
void Membership::RequestConfirmation(Context& context) {
  std::vector<std::string> roots = SettingsRelays().Roots();
  std::shuffle(roots.begin(), roots.end(), context.random);
  size_t asked = 0;
  for (const std::string& name : roots) {
    if (name == identity_.node.name) continue;
    if (++asked > kConfirmationRequests) return;
    context.Emit(SendGossip{Find(name)->gossip_address,
                            BuildHeader(GossipKind::kPing, context.NextId())});
  }
}

}  // namespace amaranth::pvt
