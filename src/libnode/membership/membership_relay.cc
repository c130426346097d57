// Confirmations of the settings: those nodes of a data centre that watch the
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
    settings_relays_stale_ = false;
  }
  return settings_relays_;
}

// Confirmations also ride on every datagram, but probes take a number of rounds
// that grows with the data centre: with 200 nodes they arrive too old, and the
// nodes that miss them watch the platform themselves.
void Membership::RelayConfirmation(Context& context) {
  if (!settings_confirmed) return;
  const std::optional<Duration> age = settings_confirmed(context.now);
  if (!age || *age >= kSettingsConfirmationLifetime) return;
  const TimePoint confirmed = context.now - *age;
  if (confirmed < relayed_confirmation_ + kMinRelayStep) return;
  relayed_confirmation_ = confirmed;
  const GossipMessage message = BuildHeader(GossipKind::kAck, 0);
  for (const std::string& child :
       SettingsRelays().ChildrenOf(identity_.node.name)) {
    context.Emit(SendGossip{Find(child)->gossip_address, message});
  }
}

// If a relay above this node is down, its branch is cut off from the tree until
// it is known to be dead, so a node whose confirmation gets old asks the roots.
void Membership::RequestConfirmation(Context& context) {
  if (!settings_confirmed) return;
  const std::optional<Duration> age = settings_confirmed(context.now);
  const bool is_due = age && *age >= kConfirmationRequestAge &&
                      *age < kSettingsConfirmationLifetime;
  if (!is_due) return;
  std::vector<std::string> roots = SettingsRelays().Roots();
  std::shuffle(roots.begin(), roots.end(), context.random);
  size_t asked = 0;
  for (const std::string& root : roots) {
    if (root == identity_.node.name) continue;
    if (++asked > kConfirmationRequests) return;
    context.Emit(SendGossip{Find(root)->gossip_address,
                            BuildHeader(GossipKind::kPing, context.NextId())});
  }
}

}  // namespace amaranth::pvt
