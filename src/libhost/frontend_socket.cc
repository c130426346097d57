#include "libhost/frontend_socket.h"

#include <asio/write.hpp>
#include <chrono>

namespace amaranth::pvt {
namespace {

// Limits the time for sending the response and discarding input. A caller that
// keeps sending for longer may lose the response.
constexpr std::chrono::seconds kLingerTimeout{2};
// Above this count, connections are closed without a response, so that
// lingering connections hold only a bounded number of sockets beyond the
// connection limit.
constexpr size_t kMaxLingering = 256;

}  // namespace

// Thread-local variables are accessed through functions because the undefined
// behaviour sanitizer of g++ 12 reports a store to a thread-local variable of
// another source file as a store to a null pointer.
std::string& LingeringClose::PendingResponse() {
  thread_local std::string pending;
  return pending;
}

size_t& LingeringClose::LiveCount() {
  thread_local size_t live = 0;
  return live;
}

FrontendSocket*& FrontendSocket::Current() {
  thread_local FrontendSocket* current = nullptr;
  return current;
}

std::shared_ptr<MemoryBudget>& FrontendSocket::ThreadBudget() {
  thread_local std::shared_ptr<MemoryBudget> budget;
  return budget;
}

void LingeringClose::Send(asio::ip::tcp::socket socket, std::string response) {
  if (LiveCount() >= kMaxLingering) return;
  std::make_shared<LingeringClose>(std::move(socket), std::move(response))
      ->Start();
}

LingeringClose::LingeringClose(asio::ip::tcp::socket socket,
                               std::string response)
    : socket_(std::move(socket)),
      response_(std::move(response)),
      timer_(socket_.get_executor()) {
  ++LiveCount();
}

void LingeringClose::Start() {
  timer_.expires_after(kLingerTimeout);
  timer_.async_wait([self = shared_from_this()](const asio::error_code&) {
    asio::error_code ignored;
    self->socket_.close(ignored);
  });
  asio::async_write(
      socket_, asio::buffer(response_),
      [self = shared_from_this()](const asio::error_code& error, size_t) {
        if (error) {
          self->timer_.cancel();
          return;
        }
        asio::error_code ignored;
        self->socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        self->Drain();
      });
}

void LingeringClose::Drain() {
  socket_.async_read_some(
      asio::buffer(discarded_),
      [self = shared_from_this()](const asio::error_code& error, size_t) {
        if (error) {
          self->timer_.cancel();
          return;
        }
        self->Drain();
      });
}

}  // namespace amaranth::pvt
