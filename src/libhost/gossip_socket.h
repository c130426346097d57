#ifndef AMARANTHROUTE_LIBHOST_GOSSIP_SOCKET_H_
#define AMARANTHROUTE_LIBHOST_GOSSIP_SOCKET_H_

// Gossip datagrams over UDP, one thread, on a given io_context. Datagrams may
// be lost, doubled or reordered; membership expects that.

#include <cstdint>
#include <functional>
#include <memory>

#include "amaranthroute/ids.h"
#include "amaranthroute/messages.h"

namespace asio {
class io_context;
}  // namespace asio

namespace amaranth::pvt {

class GossipSocketImpl;

class GossipSocket {
 public:
  using OnMessage = std::function<void(const Endpoint&, GossipMessage)>;

  // Binds at once; throws std::system_error if it cannot.
  GossipSocket(asio::io_context& io, const Endpoint& listen,
               OnMessage on_message);
  ~GossipSocket();
  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  // The port bound.
  uint16_t port() const { return port_; }

  // Sends one datagram, or none if it is over kMaxGossipBytes, the address is
  // no IP number, or the kernel has no room.
  void Send(const Endpoint& to, const GossipMessage& message);

  // Datagrams not sent, and datagrams received that did not decode.
  uint64_t unsent() const;
  uint64_t undecodable() const;

  // Closes the socket; `on_message` is not called any more.
  void Stop();

 private:
  std::shared_ptr<GossipSocketImpl> impl_;
  uint16_t port_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_GOSSIP_SOCKET_H_
