#ifndef AMARANTHROUTE_LIBNODE_SHARED_OUTBOX_H_
#define AMARANTHROUTE_LIBNODE_SHARED_OUTBOX_H_

// Sends messages to nodes, including this one. A message of the node to itself
// uses no link: it is queued here, and the reducer delivers it before the event
// ends. So the entry and serving roles use the same protocol whether or not
// they share a host.

#include <deque>
#include <functional>
#include <string>
#include <utility>

#include "libnode/shared/context.h"

namespace amaranth::pvt {

class Outbox {
 public:
  void Send(const std::string& peer, const Endpoint& address,
            PeerMessage message, Context& context) {
    if (peer == context.identity.node.name) {
      local_.push_back(std::move(message));
      return;
    }
    if (on_send_) on_send_(peer, address, context);
    context.Emit(SendPeer{peer, address, std::move(message)});
  }

  bool HasLocal() const { return !local_.empty(); }

  PeerMessage TakeLocal() {
    PeerMessage message = std::move(local_.front());
    local_.pop_front();
    return message;
  }

  // Called for each message that is sent over a link (see peer_links.h).
  using OnSend =
      std::function<void(const std::string&, const Endpoint&, Context&)>;
  void SetOnSend(OnSend on_send) { on_send_ = std::move(on_send); }

 private:
  OnSend on_send_;
  std::deque<PeerMessage> local_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_OUTBOX_H_
