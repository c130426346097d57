#ifndef AMARANTHROUTE_LIBHOST_PEER_LINK_H_
#define AMARANTHROUTE_LIBHOST_PEER_LINK_H_

// One TCP connection to a peer: greeting, frames in, a bounded queue of frames
// out. It knows at any moment which messages the kernel has seen, since it
// writes by itself when the socket is ready and leaves no write running.

#include <asio.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/wire.h"

namespace amaranth::pvt {

class PeerLink;

// Called from the io_context only. The owner may Close() the link inside.
struct PeerLinkHooks {
  // The peer's Hello; false refuses the link.
  std::function<bool(PeerLink&, const Hello&)> on_hello;
  std::function<void(PeerLink&, PeerMessage)> on_message;
  // The connection failed or ended; not called after Close().
  std::function<void(PeerLink&)> on_end;
};

class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  // Shared by the links of a transport: one thread reads one link at a time.
  using ReadBuffer = std::vector<char>;

  PeerLink(asio::ip::tcp::socket socket, std::shared_ptr<ReadBuffer> buffer,
           size_t max_queue_bytes, PeerLinkHooks hooks);

  // For a link that this node dials: connects, then greets.
  void Dial(const asio::ip::tcp::endpoint& address, const Hello& self,
            std::chrono::milliseconds timeout);

  // For a connection that a peer made: greets at once.
  void Greet(const Hello& self, std::chrono::milliseconds timeout);

  // Queues a message with its frame; false if the queue is full. Nothing but
  // the greeting leaves before the peer's Hello has come.
  bool Queue(PeerMessage& message, std::string frame);

  // Ends the connection without a call of on_end.
  void Close();

  // Hands the kernel what it takes at once, then Close().
  void FlushAndClose();

  // The messages queued of which no byte was handed to the kernel.
  std::vector<PeerMessage> TakeUnsent();

  // The peer's Hello was accepted and the connection has not ended.
  bool open() const { return state_ == State::kOpen; }
  // As the peer's Hello said; valid once open, as is the moment when it came.
  const NodeRef& node() const { return node_; }
  std::chrono::steady_clock::time_point opened() const { return opened_; }

 private:
  enum class State { kGreeting, kOpen, kClosed };
  struct Outgoing {
    PeerMessage message;
    std::string frame;
  };

  void StartTimer(std::chrono::milliseconds timeout);
  void SendGreeting(const Hello& self);
  void Fail();
  void StartReading();
  void WaitForBytes();
  void Read();
  void TakeFrames();
  void TakePayload(const std::string& payload);
  void TakeHello(const Hello& hello);
  void FlushSoon();
  void Flush();
  bool MayWrite() const;
  size_t WriteBatch(asio::error_code& error);
  void CountWritten(size_t bytes);

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<ReadBuffer> buffer_;
  size_t max_queue_bytes_;
  PeerLinkHooks hooks_;
  State state_ = State::kGreeting;
  NodeRef node_;
  std::chrono::steady_clock::time_point opened_;
  FrameReader reader_;
  std::deque<Outgoing> queue_;
  size_t queued_bytes_ = 0;
  size_t head_written_ = 0;  // bytes of the first frame already written
  bool greeting_queued_ = false;
  bool flush_due_ = false;  // a flush is posted, or the socket is full
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_PEER_LINK_H_
