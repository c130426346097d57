#include "libnode/peer_links.h"

#include <vector>

namespace amaranth::pvt {
namespace {

// How often links are checked while any has outstanding calls. Short compared
// with the 400 ms after which a link counts as unresponsive: 250 ms until it is
// pinged, and 150 ms without an answer to the ping (see ProgressWatchOptions).
constexpr Duration kCheckPeriod = std::chrono::milliseconds(100);

// A link without calls that has not answered within this time is closed, which
// costs the next call a new connection. A process that is paused after it has
// used up its CPU quota answers sooner.
constexpr Duration kIdleLinkTimeout = std::chrono::milliseconds(300);
// An unresponsive link with calls is closed after this time if its peer answers
// datagrams: the calls get the verdict "may have run". A lost segment is sent
// again at least once within this time.
constexpr Duration kBrokenLinkTimeout = std::chrono::milliseconds(600);
// Limits how often all links are pinged while some peers do not answer.
constexpr Duration kMinCheckAllInterval = std::chrono::seconds(1);

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
  if (found == links_.end()) return;
  Link& link = found->second;
  link.watch.OnReceived(context.now);
  link.checked_at = kNever;
  link.unresponsive_since = kNever;
}

void PeerLinks::OnTimer(Context& context) {
  if (context.now < next_check_) return;
  // While this process did not run, answers may have arrived that are unread.
  const bool was_paused = context.now > next_check_ + kCheckPeriod;
  next_check_ = kNever;
  std::vector<std::string> dropped;
  for (auto& [peer, link] : links_) {
    if (was_paused) Postpone(link, context.now);
    const bool outstanding = awaits_answer(peer);
    if (outstanding || link.checked_at != kNever) {
      next_check_ = context.now + kCheckPeriod;
    }
    if (IsBroken(peer, link, outstanding, context.now)) {
      dropped.push_back(peer);
      continue;
    }
    switch (link.watch.Check(context.now, outstanding)) {
      case ProgressWatch::Action::kNone:
        break;
      case ProgressWatch::Action::kProbe:
        Ping(peer, link, context);
        break;
      case ProgressWatch::Action::kAvoid:
        OnUnresponsive(peer, link, context);
        break;
      case ProgressWatch::Action::kDrop:
        dropped.push_back(peer);
        break;
    }
  }
  for (const std::string& peer : dropped) Drop(peer, context);
  if (check_all_) CheckAllLinks(context);
}

void PeerLinks::Postpone(Link& link, TimePoint now) {
  if (link.checked_at != kNever) link.checked_at = now;
  if (link.unresponsive_since != kNever) link.unresponsive_since = now;
}

void PeerLinks::Ping(const std::string& peer, Link& link, Context& context) {
  context.Emit(SendPeer{peer, link.address, LinkPing{++link.pings}});
}

void PeerLinks::OnUnresponsive(const std::string& peer, Link& link,
                               Context& context) {
  link.unresponsive_since = context.now;
  on_unresponsive(peer, context);
  ping_by_datagram(peer, context);
  check_all_ = true;
}

bool PeerLinks::IsBroken(const std::string& peer, const Link& link,
                         bool outstanding, TimePoint now) const {
  if (!outstanding) {
    return link.checked_at != kNever &&
           now - link.checked_at >= kIdleLinkTimeout && !owes_answer(peer);
  }
  return link.unresponsive_since != kNever &&
         now - link.unresponsive_since >= kBrokenLinkTimeout &&
         heard_since(peer, link.unresponsive_since);
}

void PeerLinks::CheckAllLinks(Context& context) {
  check_all_ = false;
  if (context.now < all_checked_at_ + kMinCheckAllInterval) return;
  all_checked_at_ = context.now;
  for (auto& [peer, link] : links_) {
    if (link.unresponsive_since != kNever) continue;
    link.checked_at = context.now;
    Ping(peer, link, context);
  }
  next_check_ = context.now + kCheckPeriod;
}

void PeerLinks::Drop(const std::string& peer, Context& context) {
  links_.erase(peer);
  context.Emit(ClosePeer{peer});
  context.Log(LogLevel::kWarning, "links",
              "Link to node " + peer + " unresponsive; closed.");
  on_dropped(peer, context);
}

}  // namespace amaranth::pvt
