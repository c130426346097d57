#include "libhost/peer_link.h"

#include <algorithm>
#include <utility>

namespace amaranth::pvt {
namespace {

// Largest frame accepted before the peer's Hello. Any host can connect, so a
// connection without a Hello must not make the node buffer more.
constexpr size_t kMaxHelloBytes = 4096;
// Limits how long one busy link delays the others.
constexpr int kMaxReadsPerWakeup = 16;
// asio passes at most this many buffers to the kernel in one write.
constexpr size_t kMaxBuffersPerWrite = 64;
// A frame over this size is read only if there is memory for it. A smaller one
// arrives whole with one or two reads.
constexpr size_t kLargeFrameBytes = 64u << 10;
// While a large frame is read, its bytes are held twice: in the read buffer and
// in the decoded message.
constexpr size_t kCopiesWhileRead = 2;

// Bytes of the next frames that may be read with the end of a large one.
constexpr size_t kReadAheadBytes = 64u << 10;

Body* BodyOf(PeerMessage& message) {
  if (auto* const forward = std::get_if<CallForward>(&message)) {
    return &forward->request.body;
  }
  if (auto* const answer = std::get_if<CallAnswer>(&message)) {
    return &answer->response.body;
  }
  if (auto* const home = std::get_if<HomeForward>(&message)) {
    return &home->request.body;
  }
  return nullptr;
}

}  // namespace

PeerLink::PeerLink(asio::ip::tcp::socket socket,
                   std::shared_ptr<ReadBuffer> buffer, size_t max_queue_bytes,
                   std::shared_ptr<MemoryBudget> budget, PeerLinkHooks hooks)
    : socket_(std::move(socket)),
      handshake_timer_(socket_.get_executor()),
      buffer_(std::move(buffer)),
      max_queue_bytes_(max_queue_bytes),
      hooks_(std::move(hooks)),
      reader_(kMaxHelloBytes),
      budget_(std::move(budget)) {}

void PeerLink::Dial(const asio::ip::tcp::endpoint& address, const Hello& self,
                    std::chrono::milliseconds timeout) {
  StartHandshakeTimer(timeout);
  EnqueueHello(self);
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

void PeerLink::StartHandshake(const Hello& self,
                              std::chrono::milliseconds timeout) {
  StartHandshakeTimer(timeout);
  EnqueueHello(self);
  StartReading();
  ScheduleFlush();
}

bool PeerLink::Enqueue(PeerMessage& message, std::string frame,
                       MemoryLease memory) {
  if (queued_bytes_ + frame.size() > max_queue_bytes_) {
    return false;
  }
  queued_bytes_ += frame.size();
  queue_.push_back(
      Outgoing{std::move(message), std::move(frame), std::move(memory)});
  if (open()) {
    ScheduleFlush();
  }
  return true;
}

void PeerLink::Close() {
  state_ = State::kClosed;
  hooks_ = PeerLinkHooks();
  handshake_timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
}

// When a node stops, its last answers are still in the queue. Closing the
// connection without a flush would lose them.
void PeerLink::FlushAndClose() {
  hooks_ = PeerLinkHooks();
  asio::error_code error;
  while (open() && !queue_.empty() && !error) {
    RemoveWritten(WriteBatch(error));
  }
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  Close();
}

std::vector<PeerMessage> PeerLink::TakeUnsent() {
  std::vector<PeerMessage> unsent;
  for (size_t i = 0; i < queue_.size(); ++i) {
    const bool is_hello = i == 0 && hello_queued_;
    const bool is_started = i == 0 && head_written_ > 0;
    if (!is_hello && !is_started) {
      unsent.push_back(std::move(queue_[i].message));
    }
  }
  queue_.clear();
  queued_bytes_ = 0;
  return unsent;
}

// Limits the time for connecting and for receiving the peer's Hello. Without
// it, calls to a peer whose host is gone wait for the kernel's connect timeout
// of two minutes.
void PeerLink::StartHandshakeTimer(std::chrono::milliseconds timeout) {
  handshake_timer_.expires_after(timeout);
  handshake_timer_.async_wait(
      [link = shared_from_this()](const asio::error_code& error) {
        if (!error && link->state_ == State::kHandshake) {
          link->Fail();
        }
      });
}

void PeerLink::EnqueueHello(const Hello& self) {
  const PeerMessage hello = self;
  std::string frame = EncodePeerFrame(hello);
  queued_bytes_ += frame.size();
  queue_.push_back(Outgoing{hello, std::move(frame), MemoryLease()});
  hello_queued_ = true;
}

void PeerLink::Fail() {
  if (state_ == State::kClosed) {
    return;
  }
  const std::shared_ptr<PeerLink> self = shared_from_this();
  const std::function<void(PeerLink&)> on_disconnected = hooks_.on_disconnected;
  on_disconnected(*self);
}

// Sets the socket options once per connection. Setting them on each read would
// cost two system calls per call.
void PeerLink::StartReading() {
  asio::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  WaitReadable();
}

void PeerLink::WaitReadable() {
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
        link->ReadAvailable();
      });
}

void PeerLink::ReadAvailable() {
  for (int i = 0; i < kMaxReadsPerWakeup; ++i) {
    asio::error_code error;
    const size_t size = socket_.read_some(asio::buffer(*buffer_), error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      Fail();
      return;
    }
    reader_.Append(SkipDiscarded(std::string_view(buffer_->data(), size)));
    HandleFrames();
    if (state_ == State::kClosed) {
      return;
    }
    ReviewIncomplete();
    if (size < buffer_->size()) {
      break;
    }
  }
  WaitReadable();
}

// Returns `bytes` without those that belong to a discarded frame.
std::string_view PeerLink::SkipDiscarded(std::string_view bytes) {
  const size_t skipped = std::min(discarded_left_, bytes.size());
  discarded_left_ -= skipped;
  bytes.remove_prefix(skipped);
  return bytes;
}

// Discards a large frame for which there is no memory, as soon as its ids have
// arrived. The link must not wait for memory instead: all other calls between
// the two nodes are on it.
void PeerLink::ReviewIncomplete() {
  const size_t size = reader_.announced();
  if (size <= kLargeFrameBytes || reader_.buffered() < kPeerMessageIdsBytes ||
      frame_memory_.bytes() > 0) {
    return;
  }
  frame_memory_ = MemoryLease(budget_, MemoryUse::kResponse);
  if (frame_memory_.Resize(size * kCopiesWhileRead)) {
    reader_.Reserve(size + kReadAheadBytes);
    return;
  }
  const std::string first_bytes = reader_.TakeIncomplete();
  discarded_left_ = size - first_bytes.size();
  const std::optional<PeerMessage> ids = DecodePeerMessageIds(first_bytes);
  if (ids) {
    hooks_.on_discarded(*this, *ids);
  }
}

void PeerLink::HandleFrames() {
  while (state_ != State::kClosed) {
    const Outcome<std::optional<std::string_view>> payload = reader_.Next();
    if (!payload) {
      Fail();
      return;
    }
    if (!payload.value()) {
      return;
    }
    HandlePayload(*payload.value());
  }
}

// A payload that does not decode, or a Hello missing or out of place, means
// that the two ends disagree about the protocol. No later frame can be trusted,
// so the link is closed.
void PeerLink::HandlePayload(std::string_view payload) {
  Outcome<PeerMessage> message = DecodePeerMessage(payload);
  if (!message) {
    Fail();
    return;
  }
  const Hello* hello = std::get_if<Hello>(&message.value());
  const bool hello_expected = state_ == State::kHandshake;
  if ((hello != nullptr) != hello_expected) {
    Fail();
    return;
  }
  if (hello_expected) {
    HandleHello(*hello);
    return;
  }
  HandleMessage(std::move(message).value());
}

void PeerLink::HandleMessage(PeerMessage message) {
  Body* const body = BodyOf(message);
  if (body != nullptr && body->size() > 0) {
    MemoryLease memory = frame_memory_.bytes() > 0
                             ? std::move(frame_memory_)
                             : MemoryLease(budget_, MemoryUse::kResponse);
    if (!memory.Resize(body->size())) {
      hooks_.on_discarded(*this, message);
      return;
    }
    *body =
        body->WithOwner(std::make_shared<const MemoryLease>(std::move(memory)));
  }
  frame_memory_.Release();
  hooks_.on_message(*this, std::move(message));
}

void PeerLink::HandleHello(const Hello& hello) {
  const std::function<bool(PeerLink&, const Hello&)> on_hello = hooks_.on_hello;
  if (!on_hello(*this, hello)) {
    Fail();
    return;
  }
  node_ = hello.node;
  state_ = State::kOpen;
  opened_ = std::chrono::steady_clock::now();
  handshake_timer_.cancel();
  reader_.set_max_payload(kMaxFrameBytes);
  ScheduleFlush();
}

// Posts one flush to the event loop, so that the messages which a burst of
// events sends leave in one write.
void PeerLink::ScheduleFlush() {
  if (flush_pending_) {
    return;
  }
  flush_pending_ = true;
  asio::post(socket_.get_executor(), [link = shared_from_this()] {
    link->flush_pending_ = false;
    link->Flush();
  });
}

void PeerLink::Flush() {
  while (HasWritableFrame()) {
    asio::error_code error;
    RemoveWritten(WriteBatch(error));
    if (error == asio::error::would_block) {
      flush_pending_ = true;
      socket_.async_wait(asio::ip::tcp::socket::wait_write,
                         [link = shared_from_this()](const asio::error_code&) {
                           link->flush_pending_ = false;
                           link->Flush();
                         });
      return;
    }
    if (error) {
      // The receive buffer may still hold answers that the peer sent before
      // the connection ended.
      ReadAvailable();
      Fail();
      return;
    }
  }
}

bool PeerLink::HasWritableFrame() const {
  const bool writable = open() || (state_ == State::kHandshake &&
                                   hello_queued_ && !queue_.empty());
  return writable && !queue_.empty();
}

size_t PeerLink::WriteBatch(asio::error_code& error) {
  const size_t frames = open() ? queue_.size() : 1;
  std::vector<asio::const_buffer> batch;
  for (size_t i = 0; i < frames && i < kMaxBuffersPerWrite; ++i) {
    batch.push_back(asio::buffer(queue_[i].frame));
  }
  batch[0] += head_written_;
  return socket_.write_some(batch, error);
}

void PeerLink::RemoveWritten(size_t bytes) {
  head_written_ += bytes;
  while (!queue_.empty() && head_written_ >= queue_.front().frame.size()) {
    head_written_ -= queue_.front().frame.size();
    queued_bytes_ -= queue_.front().frame.size();
    queue_.pop_front();
    hello_queued_ = false;
  }
}

}  // namespace amaranth::pvt
