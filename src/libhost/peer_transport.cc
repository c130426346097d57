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
// After a failed accept (no file descriptors left): long enough not to spin,
// short enough that peers do not give up meanwhile.
constexpr std::chrono::milliseconds kAcceptPause{100};

tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.ip), endpoint.port};
}

std::optional<tcp::endpoint> ToDial(const Endpoint& endpoint) {
  asio::error_code error;
  const asio::ip::address ip = asio::ip::make_address(endpoint.ip, error);
  if (error || endpoint.port == 0) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, endpoint.port);
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
        limits_(limits),
        acceptor_(io, ToAsio(listen)),
        accept_pause_(io),
        buffer_(std::make_shared<PeerLink::ReadBuffer>(kReadBufferBytes)) {}

  void Accept();
  void Send(const std::string& peer, const Endpoint& address,
            PeerMessage message);
  void Close(const std::string& peer);
  void Stop();

  uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  using Link = std::shared_ptr<PeerLink>;
  struct Peer {
    Link dialled;
    Link accepted;
  };
  enum class NoticeKind { kMessage, kLost, kSendFailed };
  struct Notice {
    NoticeKind kind;
    NodeRef peer;
    PeerMessage message;
  };

  void TakeConnection(tcp::socket socket);
  Link NewLink(tcp::socket socket);
  Link LinkFor(const std::string& peer, const Endpoint& address);
  Link Dial(const std::string& peer, const tcp::endpoint& address);
  bool OnHello(PeerLink& link, const Hello& hello);
  bool MakeRoom(Peer& peer, const PeerLink& link, const Hello& hello);
  bool GivenUpByPeer(const Peer& peer) const;
  void OnEnd(PeerLink& link);
  void LoseOpenLinks(const std::string& name, Peer& peer);
  void ReportUnsent(const std::string& name, const Link& link);
  void Report(NoticeKind kind, NodeRef peer, PeerMessage message);
  void Deliver();
  void Tell(Notice& notice);
  std::map<std::string, Peer>::iterator FindPeer(const PeerLink& link);

  asio::io_context& io_;
  const Hello self_;
  PeerHooks hooks_;
  const PeerLimits limits_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_pause_;
  std::shared_ptr<PeerLink::ReadBuffer> buffer_;
  std::set<Link> greeting_;  // accepted, no Hello yet
  std::map<std::string, Peer> peers_;
  // Hooks run from here, in order: on_lost of an earlier incarnation is told
  // before the first message of the later one, whatever handler saw which.
  std::deque<Notice> notices_;
  bool delivery_posted_ = false;
  bool stopped_ = false;
};

void PeerTransportImpl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](
                             const asio::error_code& error,
                             tcp::socket socket) {
    if (self->stopped_) {
      return;
    }
    if (!error) {
      self->TakeConnection(std::move(socket));
      self->Accept();
      return;
    }
    self->accept_pause_.expires_after(kAcceptPause);
    self->accept_pause_.async_wait([self](const asio::error_code& cancelled) {
      if (!cancelled && !self->stopped_) {
        self->Accept();
      }
    });
  });
}

void PeerTransportImpl::TakeConnection(tcp::socket socket) {
  // Over the limit the connection is dropped with the socket: silent strangers
  // must not use up the file descriptors that peers need.
  if (greeting_.size() >= limits_.max_greeting_links) {
    return;
  }
  const Link link = NewLink(std::move(socket));
  greeting_.insert(link);
  link->Greet(self_, limits_.connect_timeout);
}

PeerTransportImpl::Link PeerTransportImpl::NewLink(tcp::socket socket) {
  // Plain pointers: every link is closed, and its hooks dropped, by Stop().
  PeerLinkHooks hooks;
  hooks.on_hello = [this](PeerLink& link, const Hello& hello) {
    return OnHello(link, hello);
  };
  hooks.on_message = [this](PeerLink& link, PeerMessage message) {
    Report(NoticeKind::kMessage, link.node(), std::move(message));
  };
  hooks.on_end = [this](PeerLink& link) { OnEnd(link); };
  return std::make_shared<PeerLink>(std::move(socket), buffer_,
                                    limits_.max_queue_bytes, std::move(hooks));
}

void PeerTransportImpl::Send(const std::string& peer, const Endpoint& address,
                             PeerMessage message) {
  if (stopped_) {
    return;
  }
  const bool sendable = static_cast<bool>(CheckPeerMessage(message));
  std::string payload = sendable ? EncodePeerMessage(message) : std::string();
  const bool fits = sendable && payload.size() <= kMaxFrameBytes;
  const Link link = fits ? LinkFor(peer, address) : nullptr;
  if (!link || !link->Queue(message, Frame(payload))) {
    Report(NoticeKind::kSendFailed, NodeRef{peer, 0}, std::move(message));
  }
}

PeerTransportImpl::Link PeerTransportImpl::LinkFor(const std::string& peer,
                                                   const Endpoint& address) {
  const std::map<std::string, Peer>::iterator found = peers_.find(peer);
  if (found != peers_.end()) {
    const Peer& links = found->second;
    const bool use_accepted =
        links.accepted && !(links.dialled && links.dialled->open());
    return use_accepted ? links.accepted : links.dialled;
  }
  const std::optional<tcp::endpoint> target = ToDial(address);
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
  const bool accepted = greeting_.count(shared) > 0;
  // A node other than the one dialled (an address given to a new host) must
  // not get that one's messages.
  if (!accepted) {
    const std::map<std::string, Peer>::iterator dialled = FindPeer(link);
    if (dialled == peers_.end() || dialled->first != name) {
      return false;
    }
  }
  Peer& peer = peers_[name];
  if (!MakeRoom(peer, link, hello)) {
    return false;
  }
  if (accepted) {
    greeting_.erase(shared);
    peer.accepted = shared;
  }
  return true;
}

// Of two processes under one name only the later one lives: its Hello ends the
// links to the earlier one, and an earlier one's comes too late.
bool PeerTransportImpl::MakeRoom(Peer& peer, const PeerLink& link,
                                 const Hello& hello) {
  const bool dialled_open = peer.dialled && peer.dialled->open();
  if (!dialled_open && !peer.accepted) {
    return true;
  }
  const uint64_t known =
      (dialled_open ? peer.dialled : peer.accepted)->node().incarnation;
  if (hello.node.incarnation < known) {
    return false;
  }
  const bool newer = hello.node.incarnation > known;
  const bool accepted = peer.dialled.get() != &link;
  if (newer || (accepted && GivenUpByPeer(peer))) {
    LoseOpenLinks(hello.node.name, peer);
  }
  return true;
}

// A peer that connects has no link to us that it would use. After a cut we may
// still hold one that it closed: when the first packet sent there is answered
// by a reset, the new link would be lost along with it.
bool PeerTransportImpl::GivenUpByPeer(const Peer& peer) const {
  if (peer.accepted) {
    return true;
  }
  const std::chrono::steady_clock::duration age =
      std::chrono::steady_clock::now() - peer.dialled->opened();
  return age >= limits_.replace_after;
}

void PeerTransportImpl::OnEnd(PeerLink& link) {
  const Link shared = link.shared_from_this();
  const std::map<std::string, Peer>::iterator found = FindPeer(link);
  if (found == peers_.end()) {
    link.Close();
    greeting_.erase(shared);
    return;
  }
  const std::string name = found->first;
  Peer& peer = found->second;
  if (link.open()) {
    LoseOpenLinks(name, peer);
  } else {
    peer.dialled.reset();
    link.Close();
    ReportUnsent(name, shared);
  }
  if (!peer.dialled && !peer.accepted) {
    peers_.erase(found);
  }
}

// Leaves a link that is still being dialled: nothing was sent on it.
void PeerTransportImpl::LoseOpenLinks(const std::string& name, Peer& peer) {
  for (Link* place : {&peer.dialled, &peer.accepted}) {
    const Link link = *place;
    if (link && link->open()) {
      place->reset();
      link->Close();
      ReportUnsent(name, link);
    }
  }
  Report(NoticeKind::kLost, NodeRef{name, 0}, LinkPing{});
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
  Report(NoticeKind::kLost, NodeRef{name, 0}, LinkPing{});
}

void PeerTransportImpl::ReportUnsent(const std::string& name,
                                     const Link& link) {
  for (PeerMessage& message : link->TakeUnsent()) {
    Report(NoticeKind::kSendFailed, NodeRef{name, 0}, std::move(message));
  }
}

void PeerTransportImpl::Report(NoticeKind kind, NodeRef peer,
                               PeerMessage message) {
  notices_.push_back(Notice{kind, std::move(peer), std::move(message)});
  if (delivery_posted_) {
    return;
  }
  delivery_posted_ = true;
  asio::post(io_, [self = shared_from_this()] { self->Deliver(); });
}

void PeerTransportImpl::Deliver() {
  delivery_posted_ = false;
  // Only what is there now: a hook that sends to itself would else starve the
  // sockets.
  for (size_t left = notices_.size(); left > 0 && !stopped_; --left) {
    Notice notice = std::move(notices_.front());
    notices_.pop_front();
    Tell(notice);
  }
}

void PeerTransportImpl::Tell(Notice& notice) {
  switch (notice.kind) {
    case NoticeKind::kMessage:
      hooks_.on_message(notice.peer, std::move(notice.message));
      break;
    case NoticeKind::kLost:
      hooks_.on_lost(notice.peer.name);
      break;
    case NoticeKind::kSendFailed:
      hooks_.on_send_failed(notice.peer.name, std::move(notice.message));
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

void PeerTransportImpl::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  notices_.clear();
  asio::error_code ignored;
  acceptor_.close(ignored);
  accept_pause_.cancel();
  for (const Link& link : greeting_) {
    link->Close();
  }
  greeting_.clear();
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
    : impl_(std::make_shared<PeerTransportImpl>(io, std::move(self), listen,
                                                std::move(hooks), limits)),
      port_(impl_->port()) {
  impl_->Accept();
}

PeerTransport::~PeerTransport() { Stop(); }

void PeerTransport::Send(const std::string& peer, const Endpoint& address,
                         PeerMessage message) {
  impl_->Send(peer, address, std::move(message));
}

void PeerTransport::Close(const std::string& peer) { impl_->Close(peer); }

void PeerTransport::Stop() { impl_->Stop(); }

}  // namespace amaranth::pvt
