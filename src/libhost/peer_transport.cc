#include "libhost/peer_transport.h"

#include <asio.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "amaranthroute/wire.h"
#include "libhost/peer_link.h"

namespace amaranth::pvt {
namespace {

using asio::ip::tcp;

constexpr size_t kReadBufferBytes = 64u << 10;
// Delay after a failed accept (for example, no file descriptors left): long
// enough not to spin, and shorter than the connect timeout of peers.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.ip), endpoint.port};
}

std::optional<tcp::endpoint> ParseDialAddress(const Endpoint& endpoint) {
  asio::error_code error;
  const asio::ip::address ip = asio::ip::make_address(endpoint.ip, error);
  if (error || endpoint.port == 0) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, endpoint.port);
}

// Room in a frame for what is not the body of its message.
constexpr size_t kMaxHeadBytes = 1u << 20;

// The answer to an attempt whose answer cannot be passed on.
CallAnswer FailedAnswer(AttemptId attempt, uint64_t entry_incarnation,
                        Verdict verdict, Reason reason, const char* detail) {
  CallAnswer answer;
  answer.attempt = attempt;
  answer.entry_incarnation = entry_incarnation;
  answer.failure.verdict = verdict;
  answer.failure.reason = reason;
  answer.failure.detail = detail;
  return answer;
}

}  // namespace

class PeerTransportImpl
    : public std::enable_shared_from_this<PeerTransportImpl> {
 public:
  PeerTransportImpl(asio::io_context& io, Hello self, const Endpoint& listen,
                    PeerHooks hooks, PeerLimits limits)
      : io_(io),
        self_(std::move(self)),
        hooks_(std::move(hooks)),
        limits_(std::move(limits)),
        acceptor_(io, ToAsio(listen)),
        accept_retry_timer_(io),
        buffer_(std::make_shared<PeerLink::ReadBuffer>(kReadBufferBytes)) {}

  void Accept();
  void Send(const std::string& peer, const Endpoint& address,
            PeerMessage message);
  void Close(const std::string& peer);
  bool HasUnwritten() const;
  void Stop();

  uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  using Link = std::shared_ptr<PeerLink>;
  struct Peer {
    Link dialled;
    Link accepted;
  };
  enum class NotificationKind { kMessage, kLost, kSendFailed };
  struct Notification {
    NotificationKind kind;
    NodeRef peer;
    PeerMessage message;
  };

  bool TrySend(const std::string& peer, const Endpoint& address,
               PeerMessage& message);
  std::string EncodeIfSendable(const PeerMessage& message, MemoryLease& memory);
  void OnDiscarded(PeerLink& link, const PeerMessage& message);
  void AddConnection(tcp::socket socket);
  Link NewLink(tcp::socket socket);
  Link FindOrDialLink(const std::string& peer, const Endpoint& address);
  Link Dial(const std::string& peer, const tcp::endpoint& address);
  bool OnHello(PeerLink& link, const Hello& hello);
  bool ReplaceOutdatedLinks(Peer& peer, const PeerLink& link,
                            const Hello& hello);
  bool IsAbandonedByPeer(const Peer& peer) const;
  void OnLinkDisconnected(PeerLink& link);
  void CloseOpenLinks(const std::string& name, Peer& peer);
  void ReportUnsent(const std::string& name, const Link& link);
  void Notify(NotificationKind kind, NodeRef peer, PeerMessage message);
  void DeliverNotifications();
  void CallHook(Notification& notification);
  std::map<std::string, Peer>::iterator FindPeer(const PeerLink& link);

  asio::io_context& io_;
  const Hello self_;
  PeerHooks hooks_;
  const PeerLimits limits_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  std::shared_ptr<PeerLink::ReadBuffer> buffer_;
  std::set<Link> pending_handshakes_;  // accepted, Hello not received
  std::map<std::string, Peer> peers_;
  // Pending hook calls, made in this order. on_lost for an earlier incarnation
  // thus precedes the first message of the later one, whichever socket handler
  // ran first.
  std::deque<Notification> notifications_;
  bool delivery_posted_ = false;
  bool stopped_ = false;
};

void PeerTransportImpl::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const asio::error_code& error,
                                  tcp::socket socket) {
        if (self->stopped_) {
          return;
        }
        if (!error) {
          self->AddConnection(std::move(socket));
          self->Accept();
          return;
        }
        self->accept_retry_timer_.expires_after(kAcceptRetryDelay);
        self->accept_retry_timer_.async_wait(
            [self](const asio::error_code& cancelled) {
              if (!cancelled && !self->stopped_) {
                self->Accept();
              }
            });
      });
}

void PeerTransportImpl::AddConnection(tcp::socket socket) {
  // Over the limit, the connection is closed with its socket. Connections that
  // send no Hello must not use up the file descriptors that peers need.
  if (pending_handshakes_.size() >= limits_.max_pending_handshakes) {
    return;
  }
  const Link link = NewLink(std::move(socket));
  pending_handshakes_.insert(link);
  link->StartHandshake(self_, limits_.connect_timeout);
}

PeerTransportImpl::Link PeerTransportImpl::NewLink(tcp::socket socket) {
  // The hooks capture `this` without ownership: Stop() closes every link and so
  // drops its hooks.
  PeerLinkHooks hooks;
  hooks.on_hello = [this](PeerLink& link, const Hello& hello) {
    return OnHello(link, hello);
  };
  hooks.on_message = [this](PeerLink& link, PeerMessage message) {
    Notify(NotificationKind::kMessage, link.node(), std::move(message));
  };
  hooks.on_discarded = [this](PeerLink& link, const PeerMessage& message) {
    OnDiscarded(link, message);
  };
  hooks.on_disconnected = [this](PeerLink& link) { OnLinkDisconnected(link); };
  return std::make_shared<PeerLink>(std::move(socket), buffer_,
                                    limits_.max_queue_bytes, limits_.budget,
                                    std::move(hooks));
}

void PeerTransportImpl::Send(const std::string& peer, const Endpoint& address,
                             PeerMessage message) {
  if (stopped_) {
    return;
  }
  if (TrySend(peer, address, message)) {
    return;
  }
  if (const CallAnswer* const answer = std::get_if<CallAnswer>(&message)) {
    // The entry node would otherwise wait for the answer until the deadline.
    message = FailedAnswer(answer->attempt, answer->entry_incarnation,
                           Verdict::kMayHaveRun, Reason::kServerError,
                           "the answer is too large to be passed on");
    if (TrySend(peer, address, message)) {
      return;
    }
  }
  Notify(NotificationKind::kSendFailed, NodeRef{peer, 0}, std::move(message));
}

// Returns false, leaving `message` untouched, if it cannot be sent.
bool PeerTransportImpl::TrySend(const std::string& peer,
                                const Endpoint& address, PeerMessage& message) {
  MemoryLease memory;
  std::string frame = EncodeIfSendable(message, memory);
  if (frame.empty()) {
    return false;
  }
  const Link link = FindOrDialLink(peer, address);
  return link && link->Enqueue(message, std::move(frame), std::move(memory));
}

// Returns the frame of the message, and the lease of its memory, or an empty
// frame if the message cannot be sent. Encoding copies the body, so its size
// decides beforehand.
std::string PeerTransportImpl::EncodeIfSendable(const PeerMessage& message,
                                                MemoryLease& memory) {
  const size_t body_bytes = BodyBytes(message);
  memory = MemoryLease(limits_.budget, MemoryUse::kResponse);
  if (body_bytes > kMaxFrameBytes - kMaxHeadBytes ||
      !memory.Resize(body_bytes) || !CheckPeerMessage(message)) {
    return {};
  }
  std::string frame = EncodePeerFrame(message);
  return frame.size() <= kMaxFrameBytes ? frame : std::string();
}

// Answers a call that there is no memory for, and reports an answer of that
// kind as a failure.
void PeerTransportImpl::OnDiscarded(PeerLink& link,
                                    const PeerMessage& message) {
  const NodeRef& peer = link.node();
  const char* const detail = "the node has no memory for the message";
  if (const CallForward* const forward = std::get_if<CallForward>(&message)) {
    CallAnswer refusal =
        FailedAnswer(forward->attempt, peer.incarnation, Verdict::kNotRun,
                     Reason::kQueueFull, detail);
    Send(peer.name, Endpoint(), std::move(refusal));
  } else if (const HomeForward* const home =
                 std::get_if<HomeForward>(&message)) {
    // An earlier request with the same key may have run.
    CallAnswer refusal =
        FailedAnswer(home->attempt, peer.incarnation, Verdict::kMayHaveRun,
                     Reason::kHomeUnreachable, detail);
    Send(peer.name, Endpoint(), std::move(refusal));
  } else if (const CallAnswer* const answer =
                 std::get_if<CallAnswer>(&message)) {
    Notify(NotificationKind::kMessage, peer,
           FailedAnswer(answer->attempt, answer->entry_incarnation,
                        Verdict::kMayHaveRun, Reason::kServerError, detail));
  }
}

PeerTransportImpl::Link PeerTransportImpl::FindOrDialLink(
    const std::string& peer, const Endpoint& address) {
  const std::map<std::string, Peer>::iterator found = peers_.find(peer);
  if (found != peers_.end()) {
    const Peer& links = found->second;
    const bool use_accepted =
        links.accepted && !(links.dialled && links.dialled->open());
    return use_accepted ? links.accepted : links.dialled;
  }
  const std::optional<tcp::endpoint> target = ParseDialAddress(address);
  return target ? Dial(peer, *target) : nullptr;
}

PeerTransportImpl::Link PeerTransportImpl::Dial(const std::string& peer,
                                                const tcp::endpoint& address) {
  Link link = NewLink(tcp::socket(io_));
  peers_[peer].dialled = link;
  link->Dial(address, self_, limits_.connect_timeout);
  return link;
}

bool PeerTransportImpl::OnHello(PeerLink& link, const Hello& hello) {
  const std::string& name = hello.node.name;
  if (hello.fleet != self_.fleet || name.empty()) {
    return false;
  }
  const Link shared = link.shared_from_this();
  const bool accepted = pending_handshakes_.count(shared) > 0;
  // The address may since belong to another node, which must not receive the
  // messages queued for the dialled one.
  if (!accepted) {
    const std::map<std::string, Peer>::iterator dialled = FindPeer(link);
    if (dialled == peers_.end() || dialled->first != name) {
      return false;
    }
  }
  Peer& peer = peers_[name];
  if (!ReplaceOutdatedLinks(peer, link, hello)) {
    return false;
  }
  if (accepted) {
    pending_handshakes_.erase(shared);
    peer.accepted = shared;
  }
  return true;
}

// Closes the peer's open links that the new link makes obsolete. Returns false
// if the new link belongs to an earlier incarnation than the open links: of two
// processes with one name, only the later one is running.
bool PeerTransportImpl::ReplaceOutdatedLinks(Peer& peer, const PeerLink& link,
                                             const Hello& hello) {
  const bool dialled_open = peer.dialled && peer.dialled->open();
  if (!dialled_open && !peer.accepted) {
    return true;
  }
  const uint64_t known_incarnation =
      (dialled_open ? peer.dialled : peer.accepted)->node().incarnation;
  if (hello.node.incarnation < known_incarnation) {
    return false;
  }
  const bool newer = hello.node.incarnation > known_incarnation;
  const bool accepted = peer.dialled.get() != &link;
  if (newer || (accepted && IsAbandonedByPeer(peer))) {
    CloseOpenLinks(hello.node.name, peer);
  }
  return true;
}

// Returns whether a peer that connects anew must already have closed its open
// links. After a network failure this node may still hold a link that the peer
// closed. The first packet sent on it is answered by a reset, which would close
// the new link too.
bool PeerTransportImpl::IsAbandonedByPeer(const Peer& peer) const {
  if (peer.accepted) {
    return true;
  }
  const std::chrono::steady_clock::duration age =
      std::chrono::steady_clock::now() - peer.dialled->opened();
  return age >= limits_.min_replace_age;
}

void PeerTransportImpl::OnLinkDisconnected(PeerLink& link) {
  const Link shared = link.shared_from_this();
  const std::map<std::string, Peer>::iterator found = FindPeer(link);
  if (found == peers_.end()) {
    link.Close();
    pending_handshakes_.erase(shared);
    return;
  }
  const std::string name = found->first;
  Peer& peer = found->second;
  if (link.open()) {
    CloseOpenLinks(name, peer);
  } else {
    peer.dialled.reset();
    link.Close();
    ReportUnsent(name, shared);
  }
  if (!peer.dialled && !peer.accepted) {
    peers_.erase(found);
  }
}

// Keeps a link that is still being dialled: no message was sent on it.
void PeerTransportImpl::CloseOpenLinks(const std::string& name, Peer& peer) {
  for (Link* slot : {&peer.dialled, &peer.accepted}) {
    const Link link = *slot;
    if (link && link->open()) {
      slot->reset();
      link->Close();
      ReportUnsent(name, link);
    }
  }
  Notify(NotificationKind::kLost, NodeRef{name, 0}, LinkPing{});
}

void PeerTransportImpl::Close(const std::string& name) {
  const std::map<std::string, Peer>::iterator found = peers_.find(name);
  if (found != peers_.end()) {
    const Peer peer = found->second;
    peers_.erase(found);
    for (const Link& link : {peer.dialled, peer.accepted}) {
      if (link) {
        link->Close();
        ReportUnsent(name, link);
      }
    }
  }
  Notify(NotificationKind::kLost, NodeRef{name, 0}, LinkPing{});
}

void PeerTransportImpl::ReportUnsent(const std::string& name,
                                     const Link& link) {
  for (PeerMessage& message : link->TakeUnsent()) {
    Notify(NotificationKind::kSendFailed, NodeRef{name, 0}, std::move(message));
  }
}

void PeerTransportImpl::Notify(NotificationKind kind, NodeRef peer,
                               PeerMessage message) {
  notifications_.push_back(
      Notification{kind, std::move(peer), std::move(message)});
  if (delivery_posted_) {
    return;
  }
  delivery_posted_ = true;
  asio::post(io_,
             [self = shared_from_this()] { self->DeliverNotifications(); });
}

void PeerTransportImpl::DeliverNotifications() {
  delivery_posted_ = false;
  // Delivers only what is queued now. A hook that causes further notifications
  // would otherwise starve the sockets.
  for (size_t left = notifications_.size(); left > 0 && !stopped_; --left) {
    Notification notification = std::move(notifications_.front());
    notifications_.pop_front();
    CallHook(notification);
  }
}

void PeerTransportImpl::CallHook(Notification& notification) {
  switch (notification.kind) {
    case NotificationKind::kMessage:
      hooks_.on_message(notification.peer, std::move(notification.message));
      break;
    case NotificationKind::kLost:
      hooks_.on_lost(notification.peer.name);
      break;
    case NotificationKind::kSendFailed:
      hooks_.on_send_failed(notification.peer.name,
                            std::move(notification.message));
      break;
  }
}

std::map<std::string, PeerTransportImpl::Peer>::iterator
PeerTransportImpl::FindPeer(const PeerLink& link) {
  std::map<std::string, Peer>::iterator it = peers_.begin();
  while (it != peers_.end() && it->second.dialled.get() != &link &&
         it->second.accepted.get() != &link) {
    ++it;
  }
  return it;
}

bool PeerTransportImpl::HasUnwritten() const {
  return std::any_of(peers_.begin(), peers_.end(), [](const auto& entry) {
    const Link& dialled = entry.second.dialled;
    const Link& accepted = entry.second.accepted;
    return (dialled && dialled->has_unwritten()) ||
           (accepted && accepted->has_unwritten());
  });
}

void PeerTransportImpl::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  notifications_.clear();
  asio::error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  for (const Link& link : pending_handshakes_) {
    link->Close();
  }
  pending_handshakes_.clear();
  for (const auto& [name, peer] : peers_) {
    for (const Link& link : {peer.dialled, peer.accepted}) {
      if (link) {
        link->FlushAndClose();
      }
    }
  }
  peers_.clear();
}

PeerTransport::PeerTransport(asio::io_context& io, Hello self,
                             const Endpoint& listen, PeerHooks hooks,
                             PeerLimits limits)
    : impl_(std::make_shared<PeerTransportImpl>(
          io, std::move(self), listen, std::move(hooks), std::move(limits))),
      port_(impl_->port()) {
  impl_->Accept();
}

PeerTransport::~PeerTransport() { Stop(); }

void PeerTransport::Send(const std::string& peer, const Endpoint& address,
                         PeerMessage message) {
  impl_->Send(peer, address, std::move(message));
}

void PeerTransport::Close(const std::string& peer) { impl_->Close(peer); }

bool PeerTransport::HasUnwritten() const { return impl_->HasUnwritten(); }

void PeerTransport::Stop() { impl_->Stop(); }

}  // namespace amaranth::pvt
