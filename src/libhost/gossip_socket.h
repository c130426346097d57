#ifndef AMARANTHROUTE_LIBHOST_GOSSIP_SOCKET_H_
#define AMARANTHROUTE_LIBHOST_GOSSIP_SOCKET_H_

// Gossip datagrams over UDP, run by the single thread of an io_context.
// Datagrams may be lost, duplicated or reordered; membership tolerates that.

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

  // Binds the socket and starts receiving. Throws std::system_error if that
  // fails.
  GossipSocket(asio::io_context& io, const Endpoint& listen,
               OnMessage on_message);
  ~GossipSocket();
  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  // The port that the socket is bound to.
  uint16_t port() const { return port_; }

  // Sends one datagram. Drops it, and counts it as unsent, if it exceeds
  // kMaxGossipBytes, if the address is not an IP address, or if the kernel does
  // not accept it. After Stop() it is dropped without being counted.
  void Send(const Endpoint& to, const GossipMessage& message);

  // Number of datagrams that could not be sent, and of received datagrams that
  // could not be decoded.
  uint64_t unsent() const;
  uint64_t undecodable() const;

  // Closes the socket. `on_message` is not called afterwards.
  void Stop();

 private:
  std::shared_ptr<GossipSocketImpl> impl_;
  uint16_t port_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_GOSSIP_SOCKET_H_
