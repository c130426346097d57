#include "libhost/frontend_socket.h"

#include <asio/write.hpp>
#include <chrono>

namespace amaranth::pvt {
namespace {

// A caller that goes on sending for longer loses the answer.
constexpr std::chrono::seconds kFarewellLimit{2};
// Over it connections are just closed: last words are a courtesy, and must not
// hold more sockets than the connection limit allows for by much.
constexpr size_t kMaxFarewells = 256;

}  // namespace

// Behind functions, as g++ 12's undefined behaviour sanitizer takes a store to
// a thread's variable of another source file for a store to a null pointer.
std::string& Farewell::Pending() {
  thread_local std::string pending;
  return pending;
}

size_t& Farewell::Live() {
  thread_local size_t live = 0;
  return live;
}

FrontendSocket*& FrontendSocket::Current() {
  thread_local FrontendSocket* current = nullptr;
  return current;
}

std::shared_ptr<HttpIntake>& FrontendSocket::ThreadIntake() {
  thread_local std::shared_ptr<HttpIntake> intake;
  return intake;
}

void Farewell::Say(asio::ip::tcp::socket socket, std::string text) {
  if (Live() >= kMaxFarewells) return;
  std::make_shared<Farewell>(std::move(socket), std::move(text))->Start();
}

Farewell::Farewell(asio::ip::tcp::socket socket, std::string text)
    : socket_(std::move(socket)),
      text_(std::move(text)),
      timer_(socket_.get_executor()) {
  ++Live();
}

void Farewell::Start() {
  timer_.expires_after(kFarewellLimit);
  timer_.async_wait([self = shared_from_this()](const asio::error_code&) {
    asio::error_code ignored;
    self->socket_.close(ignored);
  });
  asio::async_write(
      socket_, asio::buffer(text_),
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

void Farewell::Drain() {
  socket_.async_read_some(
      asio::buffer(waste_),
      [self = shared_from_this()](const asio::error_code& error, size_t) {
        if (error) {
          self->timer_.cancel();
          return;
        }
        self->Drain();
      });
}

}  // namespace amaranth::pvt
