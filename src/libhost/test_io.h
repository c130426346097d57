#ifndef AMARANTHROUTE_LIBHOST_TEST_IO_H_
#define AMARANTHROUTE_LIBHOST_TEST_IO_H_

// Test helpers: a raw caller and a raw backend server on loopback, and waiting
// for a condition instead of a fixed time.

#include <CppUTest/TestHarness.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace amaranth::pvt {

// Runs the event loop until the condition holds. Returns false after 20 s,
// which only ends a test that hangs.
inline bool RunUntil(asio::io_context& io,
                     const std::function<bool()>& condition) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    if (io.stopped()) io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

inline size_t CountOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

// A TCP connection that collects everything it reads.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  static std::shared_ptr<RawConnection> Connect(asio::io_context& io,
                                                uint16_t port) {
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    auto peer = std::make_shared<RawConnection>(std::move(socket));
    peer->Read();
    return peer;
  }

  void Read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](
                                const asio::error_code& error, size_t size) {
                              if (error) {
                                self->ended = true;
                                return;
                              }
                              self->received.append(self->buffer_.data(), size);
                              if (self->on_data) self->on_data(*self);
                              self->Read();
                            });
  }

  void Write(const std::string& text) {
    auto buffer = std::make_shared<std::string>(text);
    asio::async_write(socket_, asio::buffer(*buffer),
                      [buffer](const asio::error_code&, size_t) {});
  }

  // Returns once the text can be read at the other end.
  void WriteNow(const std::string& text) {
    socket_.set_option(asio::ip::tcp::no_delay(true));
    asio::write(socket_, asio::buffer(text));
  }

  void Close() {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

  std::string received;
  bool ended = false;
  std::function<void(RawConnection&)> on_data;

 private:
  asio::ip::tcp::socket socket_;
  std::array<char, 65536> buffer_{};
};

// Accepts connections. `on_data` is called with a connection each time it has
// received more.
class RawServer {
 public:
  RawServer(asio::io_context& io, std::function<void(RawConnection&)> on_data)
      : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}),
        on_data_(std::move(on_data)) {
    Accept();
  }

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void Close() { acceptor_.close(); }

  std::vector<std::shared_ptr<RawConnection>> peers;

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (error) return;
          peers.push_back(std::make_shared<RawConnection>(std::move(socket)));
          peers.back()->on_data = on_data_;
          peers.back()->Read();
          Accept();
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::function<void(RawConnection&)> on_data_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_TEST_IO_H_
