#ifndef AMARANTHROUTE_LIBHOST_FRONTEND_SOCKET_H_
#define AMARANTHROUTE_LIBHOST_FRONTEND_SOCKET_H_

// The socket that RESTinio is given instead of a plain TCP socket.
//
// RESTinio closes a connection at once when a request does not parse or is
// over a limit: the caller would see a bare reset and not know whether its
// request ran. RESTinio has no hook for an answer there, but it logs the error
// and then closes its socket in the same breath; the logger leaves the answer
// in Farewell::Pending() and this socket's shutdown() picks it up. RESTinio is
// used on one thread, so nothing can come in between.

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

// Sends the last words on a connection, then reads and drops what the caller
// is still sending: closing with unread bytes would reset the connection, and
// the caller would lose the answer.
class Farewell : public std::enable_shared_from_this<Farewell> {
 public:
  // Set by the logger, taken by the next FrontendSocket::shutdown.
  static std::string& Pending();

  static void Say(asio::ip::tcp::socket socket, std::string text);

  Farewell(asio::ip::tcp::socket socket, std::string text);
  ~Farewell() { --Live(); }
  Farewell(const Farewell&) = delete;
  Farewell& operator=(const Farewell&) = delete;

 private:
  static size_t& Live();

  void Start();
  void Drain();

  asio::ip::tcp::socket socket_;
  std::string text_;
  asio::steady_timer timer_;
  std::array<char, 4096> waste_{};
};

class FrontendSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit FrontendSocket(asio::io_context& io) : Base(io) {}
  FrontendSocket(FrontendSocket&&) = default;
  FrontendSocket& operator=(FrontendSocket&&) = default;
  ~FrontendSocket() { SettleParsed(); }

  // Counts what is read but not yet a whole request, so that many slow large
  // uploads cannot take more memory than the cap.
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    Base::async_read_some(
        buffers,
        [this, own_handler = std::forward<Handler>(handler)](
            const asio::error_code& error, std::size_t length) mutable {
          Current() = this;
          const bool fits = CountRead(length);
          own_handler(fits ? error : asio::error::no_buffer_space, length);
          Current() = nullptr;
        });
  }

  void shutdown(shutdown_type what, asio::error_code& error) {
    SettleParsed();
    if (Farewell::Pending().empty()) {
      Base::shutdown(what, error);
      return;
    }
    std::string text = std::exchange(Farewell::Pending(), {});
    Farewell::Say(Base(std::move(static_cast<Base&>(*this))), std::move(text));
  }

  // The bytes read so far have become whole requests, or are dropped.
  void SettleParsed() {
    if (intake_) intake_->buffered_bytes -= unparsed_;
    unparsed_ = 0;
  }

  // The socket whose read is being handled; it may be gone when the handler
  // returns, so it is only used inside the handler.
  static FrontendSocket*& Current();
  // Where sockets count. One frontend thread has one intake.
  static std::shared_ptr<HttpIntake>& ThreadIntake();

 private:
  bool CountRead(std::size_t length) {
    if (!intake_) intake_ = ThreadIntake();
    if (!intake_) return true;
    unparsed_ += length;
    intake_->buffered_bytes += length;
    return intake_->buffered_bytes <= intake_->max_buffered_bytes;
  }

  std::shared_ptr<HttpIntake> intake_;
  uint64_t unparsed_ = 0;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_FRONTEND_SOCKET_H_
