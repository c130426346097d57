#ifndef AMARANTHROUTE_LIBHOST_PEER_TRANSPORT_H_
#define AMARANTHROUTE_LIBHOST_PEER_TRANSPORT_H_

// TCP links to the other nodes, run by the single thread of an io_context.
//
// A message is sent on an open link to the named peer, preferring the link that
// this node dialled over one that the peer dialled. If no link is open, one is
// dialled, and messages wait for the peer's Hello. An answer therefore needs no
// address while a link to the peer is open; without one, the given address is
// dialled, or the send fails if the address is unknown.
//
// A peer is connected or lost as a whole: when one of its open links ends, the
// other open link is closed too, and on_lost is called once. Before on_lost,
// on_send_failed is called for every message on these links of which no byte
// was handed to the kernel, so that the reducer first records those as not run.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "amaranthroute/ids.h"
#include "amaranthroute/messages.h"
#include "libutil/memory_budget.h"

namespace asio {
class io_context;
}  // namespace asio

namespace amaranth::pvt {

class PeerTransportImpl;

// Called only from the io_context, never from inside Send, Close or Stop.
struct PeerHooks {
  std::function<void(const NodeRef&, PeerMessage)> on_message;
  // The link to the peer ended, was replaced or was closed by Close(), or the
  // peer connected with a later incarnation. Messages that were handed to the
  // kernel and not answered may have run.
  std::function<void(const std::string& peer)> on_lost;
  // The message was certainly not sent: no byte of it was handed to the kernel.
  std::function<void(const std::string& peer, PeerMessage)> on_send_failed;
};

struct PeerLimits {
  // Limits connecting and waiting for the peer's Hello together.
  std::chrono::milliseconds connect_timeout{1000};
  // Bytes of frames queued on one link. A message that would exceed it fails
  // with on_send_failed.
  size_t max_queue_bytes = 64u << 20;
  // Memory for messages, in both directions; if unset, there is no limit on all
  // together. A call for which there is none is refused as not run; an answer
  // is replaced by a failure.
  std::shared_ptr<MemoryBudget> budget;
  // Age from which an open link dialled by this node is replaced when its peer
  // connects: the peer would have used that link had it not closed it. A
  // younger link stays beside the new one, as both nodes may have dialled at
  // once. An open link that the peer dialled is replaced at any age.
  std::chrono::milliseconds min_replace_age{1000};
  // Accepted connections whose Hello has not arrived; further ones are closed.
  size_t max_pending_handshakes = 256;
};

class PeerTransport {
 public:
  // Starts listening. Throws std::system_error if that fails.
  PeerTransport(asio::io_context& io, Hello self, const Endpoint& listen,
                PeerHooks hooks, PeerLimits limits = {});
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // The port that the transport listens on.
  uint16_t port() const { return port_; }

  // Queues a message to the peer. An answer that is too large to be sent is
  // replaced by a failure. A failure is reported by on_send_failed, or
  // by on_lost if any of it was handed to the kernel. A port of 0 in
  // `address` means that the address is unknown: the send then fails unless a
  // link to the peer exists.
  void Send(const std::string& peer, const Endpoint& address,
            PeerMessage message);

  // Closes every link to the peer. on_lost follows even if there was none.
  void Close(const std::string& peer);

  // Returns whether bytes of messages wait for the kernel on an open link.
  bool HasUnwritten() const;

  // Writes as many queued messages as the kernel accepts without blocking and
  // closes all links. No hook is called afterwards.
  void Stop();

 private:
  std::shared_ptr<PeerTransportImpl> impl_;
  uint16_t port_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_PEER_TRANSPORT_H_
