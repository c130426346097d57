#include "libhost/peer_link.h"

#include <utility>

namespace amaranth::pvt {
namespace {

// A stranger may connect and say anything: until it has greeted, it gets room
// for a Hello and no more.
constexpr size_t kMaxHelloBytes = 4096;
// So that one busy link does not keep the others waiting.
constexpr int kReadsPerTurn = 16;
constexpr size_t kBuffersPerWrite = 64;  // asio passes no more to the kernel

}  // namespace

PeerLink::PeerLink(asio::ip::tcp::socket socket,
                   std::shared_ptr<ReadBuffer> buffer, size_t max_queue_bytes,
                   PeerLinkHooks hooks)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      buffer_(std::move(buffer)),
      max_queue_bytes_(max_queue_bytes),
      hooks_(std::move(hooks)),
      reader_(kMaxHelloBytes) {}

void PeerLink::Dial(const asio::ip::tcp::endpoint& address, const Hello& self,
                    std::chrono::milliseconds timeout) {
  StartTimer(timeout);
  SendGreeting(self);
  socket_.async_connect(
      address, [link = shared_from_this()](const asio::error_code& error) {
        if (link->state_ == State::kClosed) {
          return;
        }
        if (error) {
          link->Fail();
          return;
        }
        link->StartReading();
        link->Flush();
      });
}

void PeerLink::Greet(const Hello& self, std::chrono::milliseconds timeout) {
  StartTimer(timeout);
  SendGreeting(self);
  StartReading();
  FlushSoon();
}

bool PeerLink::Queue(PeerMessage& message, std::string frame) {
  if (queued_bytes_ + frame.size() > max_queue_bytes_) {
    return false;
  }
  queued_bytes_ += frame.size();
  queue_.push_back(Outgoing{std::move(message), std::move(frame)});
  if (open()) {
    FlushSoon();
  }
  return true;
}

void PeerLink::Close() {
  state_ = State::kClosed;
  hooks_ = PeerLinkHooks();
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
}

// The last answers of a node that ends are in the queue when it is told to
// stop; closed at once they would never leave.
void PeerLink::FlushAndClose() {
  hooks_ = PeerLinkHooks();
  asio::error_code error;
  while (open() && !queue_.empty() && !error) {
    CountWritten(WriteBatch(error));
  }
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  Close();
}

std::vector<PeerMessage> PeerLink::TakeUnsent() {
  std::vector<PeerMessage> unsent;
  for (size_t i = 0; i < queue_.size(); ++i) {
    const bool is_greeting = i == 0 && greeting_queued_;
    const bool is_started = i == 0 && head_written_ > 0;
    if (!is_greeting && !is_started) {
      unsent.push_back(std::move(queue_[i].message));
    }
  }
  queue_.clear();
  queued_bytes_ = 0;
  return unsent;
}

// Covers the connection and the greeting. Without it a peer whose host is gone
// holds its callers for the kernel's two minutes.
void PeerLink::StartTimer(std::chrono::milliseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([link = shared_from_this()](const asio::error_code& error) {
    if (!error && link->state_ == State::kGreeting) {
      link->Fail();
    }
  });
}

void PeerLink::SendGreeting(const Hello& self) {
  const PeerMessage hello = self;
  std::string frame = Frame(EncodePeerMessage(hello));
  queued_bytes_ += frame.size();
  queue_.push_back(Outgoing{hello, std::move(frame)});
  greeting_queued_ = true;
}

void PeerLink::Fail() {
  if (state_ == State::kClosed) {
    return;
  }
  const std::shared_ptr<PeerLink> self = shared_from_this();
  const std::function<void(PeerLink&)> on_end = hooks_.on_end;
  on_end(*self);
}

// The options are set once a connection: at each read they would be two system
// calls of every call.
void PeerLink::StartReading() {
  asio::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  WaitForBytes();
}

void PeerLink::WaitForBytes() {
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [link = shared_from_this()](const asio::error_code& error) {
        if (link->state_ == State::kClosed) {
          return;
        }
        if (error) {
          link->Fail();
          return;
        }
        link->Read();
      });
}

void PeerLink::Read() {
  for (int i = 0; i < kReadsPerTurn; ++i) {
    asio::error_code error;
    const size_t size = socket_.read_some(asio::buffer(*buffer_), error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      Fail();
      return;
    }
    reader_.Append(std::string_view(buffer_->data(), size));
    TakeFrames();
    if (state_ == State::kClosed) {
      return;
    }
    if (size < buffer_->size()) {
      break;
    }
  }
  WaitForBytes();
}

void PeerLink::TakeFrames() {
  while (state_ != State::kClosed) {
    const Outcome<std::optional<std::string>> payload = reader_.Next();
    if (!payload) {
      Fail();
      return;
    }
    if (!payload.value()) {
      return;
    }
    TakePayload(*payload.value());
  }
}

// Bytes that are no message of ours mean that the two ends no longer agree on
// anything: no later frame can be trusted, so the link ends.
void PeerLink::TakePayload(const std::string& payload) {
  Outcome<PeerMessage> message = DecodePeerMessage(payload);
  if (!message) {
    Fail();
    return;
  }
  const Hello* hello = std::get_if<Hello>(&message.value());
  const bool hello_due = state_ == State::kGreeting;
  if ((hello != nullptr) != hello_due) {
    Fail();
    return;
  }
  if (hello_due) {
    TakeHello(*hello);
    return;
  }
  hooks_.on_message(*this, std::move(message).value());
}

void PeerLink::TakeHello(const Hello& hello) {
  const std::function<bool(PeerLink&, const Hello&)> on_hello = hooks_.on_hello;
  if (!on_hello(*this, hello)) {
    Fail();
    return;
  }
  node_ = hello.node;
  state_ = State::kOpen;
  opened_ = std::chrono::steady_clock::now();
  timer_.cancel();
  reader_.set_max_payload(kMaxFrameBytes);
  FlushSoon();
}

// At the end of this turn of the loop, so that what one burst of events sends
// leaves in one write.
void PeerLink::FlushSoon() {
  if (flush_due_) {
    return;
  }
  flush_due_ = true;
  asio::post(socket_.get_executor(), [link = shared_from_this()] {
    link->flush_due_ = false;
    link->Flush();
  });
}

void PeerLink::Flush() {
  while (MayWrite()) {
    asio::error_code error;
    CountWritten(WriteBatch(error));
    if (error == asio::error::would_block) {
      flush_due_ = true;
      socket_.async_wait(asio::ip::tcp::socket::wait_write,
                         [link = shared_from_this()](const asio::error_code&) {
                           link->flush_due_ = false;
                           link->Flush();
                         });
      return;
    }
    if (error) {
      // What the peer answered before it went is still in the socket.
      Read();
      Fail();
      return;
    }
  }
}

bool PeerLink::MayWrite() const {
  const bool writable = open() || (state_ == State::kGreeting &&
                                   greeting_queued_ && !queue_.empty());
  return writable && !queue_.empty();
}

size_t PeerLink::WriteBatch(asio::error_code& error) {
  const size_t frames = open() ? queue_.size() : 1;
  std::vector<asio::const_buffer> batch;
  for (size_t i = 0; i < frames && i < kBuffersPerWrite; ++i) {
    batch.push_back(asio::buffer(queue_[i].frame));
  }
  batch[0] += head_written_;
  return socket_.write_some(batch, error);
}

void PeerLink::CountWritten(size_t bytes) {
  head_written_ += bytes;
  while (!queue_.empty() && head_written_ >= queue_.front().frame.size()) {
    head_written_ -= queue_.front().frame.size();
    queued_bytes_ -= queue_.front().frame.size();
    queue_.pop_front();
    greeting_queued_ = false;
  }
}

}  // namespace amaranth::pvt
