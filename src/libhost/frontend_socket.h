#ifndef AMARANTHROUTE_LIBHOST_FRONTEND_SOCKET_H_
#define AMARANTHROUTE_LIBHOST_FRONTEND_SOCKET_H_

// The socket type that RESTinio uses in place of a plain TCP socket.
//
// RESTinio closes a connection immediately when a request does not parse or
// exceeds a limit: the caller would see only a connection reset and could not
// tell whether its request ran. RESTinio has no hook for a response in that
// case, but it logs the error and then closes the socket in the same call
// chain. The logger stores the response in LingeringClose::PendingResponse(),
// and shutdown() of this socket sends it. RESTinio runs on one thread, so
// nothing can happen between the two steps.

#include <array>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "libhost/http_frontend.h"

namespace amaranth::pvt {

// Sends a final response on a connection, then reads and discards what the
// caller is still sending. Closing with unread bytes would reset the
// connection, and the caller would lose the response.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
 public:
  // The response for the next FrontendSocket::shutdown to send, which also
  // clears it. Set by the logger; empty if there is none.
  static std::string& PendingResponse();

  static void Send(asio::ip::tcp::socket socket, std::string response);

  LingeringClose(asio::ip::tcp::socket socket, std::string response);
  ~LingeringClose() { --LiveCount(); }
  LingeringClose(const LingeringClose&) = delete;
  LingeringClose& operator=(const LingeringClose&) = delete;

 private:
  static size_t& LiveCount();

  void Start();
  void Drain();

  asio::ip::tcp::socket socket_;
  std::string response_;
  asio::steady_timer timer_;
  std::array<char, 4096> discarded_{};
};

class FrontendSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit FrontendSocket(asio::io_context& io) : Base(io) {}
  FrontendSocket(FrontendSocket&&) = default;
  FrontendSocket& operator=(FrontendSocket&&) = default;

  // Leases memory for the bytes that are read but not yet part of a whole
  // request, so that many slow, large uploads cannot use more than the limit.
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    Base::async_read_some(
        buffers,
        [this, on_read = std::forward<Handler>(handler)](
            const asio::error_code& error, std::size_t length) mutable {
          Current() = this;
          const bool fits = LeaseRead(length);
          on_read(fits ? error : asio::error::no_buffer_space, length);
          Current() = nullptr;
        });
  }

  void shutdown(shutdown_type what, asio::error_code& error) {
    unparsed_.Release();
    if (LingeringClose::PendingResponse().empty()) {
      Base::shutdown(what, error);
      return;
    }
    std::string response = std::exchange(LingeringClose::PendingResponse(), {});
    LingeringClose::Send(Base(std::move(static_cast<Base&>(*this))),
                         std::move(response));
  }

  // Returns the lease of the bytes read so far, which have become a whole
  // request.
  MemoryLease TakeUnparsed() { return std::move(unparsed_); }

  // The socket whose read is being handled. It may be destroyed before the
  // handler returns, so it is only used inside the handler.
  static FrontendSocket*& Current();
  // The budget shared by the sockets of this thread. A frontend thread has one.
  static std::shared_ptr<MemoryBudget>& ThreadBudget();

 private:
  bool LeaseRead(std::size_t length) {
    return unparsed_.Resize(unparsed_.bytes() + length);
  }

  MemoryLease unparsed_{ThreadBudget(), MemoryUse::kRequest};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_FRONTEND_SOCKET_H_
