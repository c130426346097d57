#ifndef AMARANTHROUTE_LIBHOST_PEER_LINK_H_
#define AMARANTHROUTE_LIBHOST_PEER_LINK_H_

// One TCP connection to a peer: handshake, incoming frames, and a bounded queue
// of outgoing frames. Writes are synchronous and non-blocking, made when the
// socket is writable, so that the link always knows which messages have been
// handed to the kernel. An asynchronous write would hide that.

#include <asio.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/wire.h"
#include "libutil/memory_budget.h"

namespace amaranth::pvt {

class PeerLink;

// Called only from the io_context. on_disconnected may Close() the link.
struct PeerLinkHooks {
  // Called with the peer's Hello; returning false rejects the link.
  std::function<bool(PeerLink&, const Hello&)> on_hello;
  std::function<void(PeerLink&, PeerMessage)> on_message;
  // Called in place of on_message if there is no memory for the message. Only
  // its kind and ids may be used.
  std::function<void(PeerLink&, const PeerMessage&)> on_discarded;
  // Called when the connection fails or ends; not called after Close().
  std::function<void(PeerLink&)> on_disconnected;
};

class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  // Shared by all links of a transport, whose single thread reads one link at a
  // time.
  using ReadBuffer = std::vector<char>;

  // Messages are received into memory of `budget`; if it is null, there is no
  // limit on all together.
  PeerLink(asio::ip::tcp::socket socket, std::shared_ptr<ReadBuffer> buffer,
           size_t max_queue_bytes, std::shared_ptr<MemoryBudget> budget,
           PeerLinkHooks hooks);

  // Connects to the peer and starts the handshake. `timeout` covers both.
  void Dial(const asio::ip::tcp::endpoint& address, const Hello& self,
            std::chrono::milliseconds timeout);

  // Starts the handshake on a connection accepted from a peer.
  void StartHandshake(const Hello& self, std::chrono::milliseconds timeout);

  // Queues a message and its encoded frame, for which `memory` is leased.
  // Returns false, leaving `message` untouched, if the queue is full. Only this
  // node's Hello is sent before the peer's Hello has been accepted.
  bool Enqueue(PeerMessage& message, std::string frame, MemoryLease memory);

  // Closes the connection without calling on_disconnected.
  void Close();

  // Writes as much of the queue as the kernel accepts without blocking, then
  // closes the connection.
  void FlushAndClose();

  // Empties the queue and returns the messages of which no byte was handed to
  // the kernel.
  std::vector<PeerMessage> TakeUnsent();

  // True once the peer's Hello was accepted, until Close().
  bool open() const { return state_ == State::kOpen; }
  bool has_unwritten() const { return open() && queued_bytes_ > 0; }
  // The peer's identity from its Hello, and the time when the Hello was
  // accepted. Both are valid once the link is open.
  const NodeRef& node() const { return node_; }
  std::chrono::steady_clock::time_point opened() const { return opened_; }

 private:
  enum class State { kHandshake, kOpen, kClosed };
  struct Outgoing {
    PeerMessage message;
    std::string frame;
    MemoryLease memory;
  };

  void StartHandshakeTimer(std::chrono::milliseconds timeout);
  void EnqueueHello(const Hello& self);
  void Fail();
  void StartReading();
  void WaitReadable();
  void ReadAvailable();
  void HandleFrames();
  void HandlePayload(std::string_view payload);
  void HandleMessage(PeerMessage message);
  std::string_view SkipDiscarded(std::string_view bytes);
  void ReviewIncomplete();
  void HandleHello(const Hello& hello);
  void ScheduleFlush();
  void Flush();
  bool HasWritableFrame() const;
  size_t WriteBatch(asio::error_code& error);
  void RemoveWritten(size_t bytes);

  asio::ip::tcp::socket socket_;
  asio::steady_timer handshake_timer_;
  std::shared_ptr<ReadBuffer> buffer_;
  size_t max_queue_bytes_;
  PeerLinkHooks hooks_;
  State state_ = State::kHandshake;
  NodeRef node_;
  std::chrono::steady_clock::time_point opened_;
  FrameReader reader_;
  std::shared_ptr<MemoryBudget> budget_;
  MemoryLease frame_memory_;   // of a large frame that is being read
  size_t discarded_left_ = 0;  // bytes of a discarded frame still to arrive
  std::deque<Outgoing> queue_;
  size_t queued_bytes_ = 0;
  size_t head_written_ = 0;  // bytes of the first frame already written
  bool hello_queued_ = false;
  // A flush is posted, or will run when the socket is writable.
  bool flush_pending_ = false;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_PEER_LINK_H_
