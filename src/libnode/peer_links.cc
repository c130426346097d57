#include "libnode/peer_links.h"

#include <vector>

namespace amaranth::pvt {
namespace {

// How often links are checked while any has outstanding calls. Short compared
// with the 400 ms after which a link counts as unresponsive: 250 ms until it is
// pinged, and 150 ms without an answer to the ping (see ProgressWatchOptions).
constexpr Duration kCheckPeriod = std::chrono::milliseconds(100);

}  // namespace

void PeerLinks::OnSent(const std::string& peer, const Endpoint& address,
                       Context& context) {
  Link& link = links_[peer];
  link.address = address;
  link.watch.OnSent(context.now);
  if (next_check_ == kNever) next_check_ = context.now + kCheckPeriod;
}

void PeerLinks::OnReceived(const std::string& peer, Context& context) {
  const auto found = links_.find(peer);
  if (found != links_.end()) found->second.watch.OnReceived(context.now);
}

void PeerLinks::OnTimer(Context& context) {
  if (context.now < next_check_) return;
  next_check_ = kNever;
  std::vector<std::string> dropped;
  for (auto& [peer, link] : links_) {
    const bool outstanding = awaits_answer(peer);
    if (outstanding) next_check_ = context.now + kCheckPeriod;
    switch (link.watch.Check(context.now, outstanding)) {
      case ProgressWatch::Action::kNone:
        break;
      case ProgressWatch::Action::kProbe:
        context.Emit(SendPeer{peer, link.address, LinkPing{++link.pings}});
        break;
      case ProgressWatch::Action::kAvoid:
        on_unresponsive(peer, context);
        break;
      case ProgressWatch::Action::kDrop:
        dropped.push_back(peer);
        break;
    }
  }
  for (const std::string& peer : dropped) {
    links_.erase(peer);
    context.Emit(ClosePeer{peer});
    context.Log(LogLevel::kWarning, "links",
                "Link to node " + peer + " unresponsive; closed.");
    on_dropped(peer, context);
  }
}

}  // namespace amaranth::pvt
