#ifndef AMARANTHROUTE_LIBHOST_PEER_TRANSPORT_H_
#define AMARANTHROUTE_LIBHOST_PEER_TRANSPORT_H_

// TCP links to the other nodes, one thread, on a given io_context.
//
// Which link a message takes: any open link to that peer's name, the one that
// this node dialled first; with none open, a link is dialled and messages wait
// for the peer's Hello. So an answer goes back on the link its request came on,
// and if that link is gone it dials the address, or fails if there is none.
//
// A peer is connected or lost as a whole: when one of its links ends, the
// others are closed too and on_lost comes once. Before on_lost comes
// on_send_failed for every message of which no byte was handed to the kernel,
// so that the reducer can settle those as not run first.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "amaranthroute/ids.h"
#include "amaranthroute/messages.h"

namespace asio {
class io_context;
}  // namespace asio

namespace amaranth::pvt {

class PeerTransportImpl;

// Called from the io_context only, never from inside Send, Close or Stop.
struct PeerHooks {
  std::function<void(const NodeRef&, PeerMessage)> on_message;
  // The link to the peer ended, or the peer came back with a new incarnation.
  // Whatever was handed to the link and not answered may have run.
  std::function<void(const std::string& peer)> on_lost;
  // Proved not sent: no byte of it was handed to the kernel.
  std::function<void(const std::string& peer, PeerMessage)> on_send_failed;
};

struct PeerLimits {
  // For the connection and the peer's Hello together.
  std::chrono::milliseconds connect_timeout{1000};
  // Queued on one link, in bytes; over it a message is refused as not sent.
  size_t max_queue_bytes = 64u << 20;
  // A peer that connects to us this long after our own link to it opened has
  // given that link up, as it would else have used it. Sooner, both may have
  // dialled at once, and both links stay.
  std::chrono::milliseconds replace_after{1000};
  // Connections accepted that have not yet said Hello.
  size_t max_greeting_links = 256;
};

class PeerTransport {
 public:
  // Listens at once; throws std::system_error if it cannot.
  PeerTransport(asio::io_context& io, Hello self, const Endpoint& listen,
                PeerHooks hooks, PeerLimits limits = {});
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // The port listened on.
  uint16_t port() const { return port_; }

  // Ends in nothing, on_send_failed or on_lost. A port of 0 in `address` means
  // that the address is unknown: without an open link the send fails.
  void Send(const std::string& peer, const Endpoint& address,
            PeerMessage message);

  // Drops every link to the peer; on_lost follows in any case.
  void Close(const std::string& peer);

  // Hands the kernel what it takes at once of what was sent, and closes
  // everything; no hook is called any more.
  void Stop();

 private:
  std::shared_ptr<PeerTransportImpl> impl_;
  uint16_t port_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_PEER_TRANSPORT_H_
