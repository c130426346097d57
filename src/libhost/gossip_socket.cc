#include "libhost/gossip_socket.h"

#include <array>
#include <asio.hpp>
#include <utility>

#include "amaranthroute/wire.h"

namespace amaranth::pvt {
namespace {

using asio::ip::udp;

constexpr size_t kMaxDatagramBytes = 64u << 10;

udp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.ip), endpoint.port};
}

Endpoint FromAsio(const udp::endpoint& endpoint) {
  return {endpoint.address().to_string(), endpoint.port()};
}

}  // namespace

class GossipSocketImpl : public std::enable_shared_from_this<GossipSocketImpl> {
 public:
  GossipSocketImpl(asio::io_context& io, const Endpoint& listen,
                   GossipSocket::OnMessage on_message)
      : socket_(io, ToAsio(listen)), on_message_(std::move(on_message)) {
    socket_.non_blocking(true);
  }

  void Receive();
  void Send(const Endpoint& to, const GossipMessage& message);
  void Stop();

  uint16_t port() const { return socket_.local_endpoint().port(); }
  uint64_t unsent() const { return unsent_; }
  uint64_t undecodable() const { return undecodable_; }

 private:
  void HandleDatagram(size_t size);

  udp::socket socket_;
  GossipSocket::OnMessage on_message_;
  std::array<char, kMaxDatagramBytes> buffer_;
  udp::endpoint from_;
  uint64_t unsent_ = 0;
  uint64_t undecodable_ = 0;
  bool stopped_ = false;
};

void GossipSocketImpl::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_,
      [self = shared_from_this()](const asio::error_code& error, size_t size) {
        if (self->stopped_) {
          return;
        }
        // An error reports an earlier send (for example, port unreachable);
        // the socket can still receive.
        if (!error) {
          self->HandleDatagram(size);
        }
        if (!self->stopped_) {
          self->Receive();
        }
      });
}

void GossipSocketImpl::HandleDatagram(size_t size) {
  Outcome<GossipMessage> message =
      DecodeGossip(std::string_view(buffer_.data(), size));
  if (!message) {
    ++undecodable_;
    return;
  }
  on_message_(FromAsio(from_), std::move(message).value());
}

void GossipSocketImpl::Send(const Endpoint& to, const GossipMessage& message) {
  if (stopped_) {
    return;
  }
  asio::error_code error;
  const asio::ip::address ip = asio::ip::make_address(to.ip, error);
  const std::string payload = EncodeGossip(message);
  if (error || payload.size() > kMaxGossipBytes) {
    ++unsent_;
    return;
  }
  socket_.send_to(asio::buffer(payload), udp::endpoint(ip, to.port), 0, error);
  if (error) {
    ++unsent_;
  }
}

void GossipSocketImpl::Stop() {
  stopped_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
}

GossipSocket::GossipSocket(asio::io_context& io, const Endpoint& listen,
                           OnMessage on_message)
    : impl_(std::make_shared<GossipSocketImpl>(io, listen,
                                               std::move(on_message))),
      port_(impl_->port()) {
  impl_->Receive();
}

GossipSocket::~GossipSocket() { Stop(); }

void GossipSocket::Send(const Endpoint& to, const GossipMessage& message) {
  impl_->Send(to, message);
}

uint64_t GossipSocket::unsent() const { return impl_->unsent(); }

uint64_t GossipSocket::undecodable() const { return impl_->undecodable(); }

void GossipSocket::Stop() { impl_->Stop(); }

}  // namespace amaranth::pvt
