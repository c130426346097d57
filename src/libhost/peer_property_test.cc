#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libhost/peer_transport.h"

namespace amaranth::pvt {
namespace {

// One node over its incarnations, and what its hooks were told.
class Node {
 public:
  Node(asio::io_context& io, std::string name)
      : io_(io), name_(std::move(name)) {
    Restart();
  }

  void Restart() {
    transport_.reset();
    ++incarnation_;
    const uint64_t now = incarnation_;
    PeerHooks hooks;
    hooks.on_message = [this, now](const NodeRef&, const PeerMessage& message) {
      RC_ASSERT(now == incarnation_);
      received.push_back(std::get<LinkPing>(message).sequence);
    };
    hooks.on_lost = [](const std::string&) {};
    hooks.on_send_failed = [this](const std::string&,
                                  const PeerMessage& message) {
      const bool first =
          unsent.insert(std::get<LinkPing>(message).sequence).second;
      RC_ASSERT(first);
    };
    transport_ = std::make_unique<PeerTransport>(
        io_, Hello{NodeRef{name_, incarnation_}, "fleet", "dc1"},
        Endpoint{"127.0.0.1", 0}, hooks);
  }

  Endpoint address() const { return {"127.0.0.1", transport_->port()}; }
  PeerTransport& transport() { return *transport_; }
  const std::string& name() const { return name_; }

  std::vector<uint64_t> received;
  std::set<uint64_t> unsent;

 private:
  asio::io_context& io_;
  const std::string name_;
  uint64_t incarnation_ = 0;
  std::unique_ptr<PeerTransport> transport_;
};

enum class Step { kSend, kSendWithoutAddress, kPoll, kClose, kRestart };

Step AnyStep() {
  return *rc::gen::weightedElement<Step>({{12, Step::kSend},
                                          {4, Step::kSendWithoutAddress},
                                          {8, Step::kPoll},
                                          {1, Step::kClose},
                                          {1, Step::kRestart}});
}

void Do(Step step, Node& node, Node& peer, uint64_t& sequence,
        asio::io_context& io) {
  switch (step) {
    case Step::kSend:
      node.transport().Send(peer.name(), peer.address(), LinkPing{++sequence});
      break;
    case Step::kSendWithoutAddress:
      node.transport().Send(peer.name(), Endpoint(), LinkPing{++sequence});
      break;
    case Step::kPoll:
      io.restart();
      io.poll_one();
      break;
    case Step::kClose:
      node.transport().Close(peer.name());
      break;
    case Step::kRestart:
      node.Restart();
      break;
  }
}

// Until no handler is ready for some turns: what loopback delivers has come.
void Settle(asio::io_context& io) {
  constexpr int kIdleTurns = 50;
  for (int idle = 0; idle < kIdleTurns; ++idle) {
    io.restart();
    if (io.poll() > 0) {
      idle = 0;
    }
  }
}

void RequireHonest(const Node& sender, const Node& receiver) {
  std::set<uint64_t> seen;
  for (const uint64_t sequence : receiver.received) {
    RC_ASSERT(seen.insert(sequence).second);
    RC_ASSERT(sender.unsent.count(sequence) == 0u);
  }
}

}  // namespace

TEST_GROUP(PeerProperty){};

// Both nodes send, drop their links and restart at any moment. A message that a
// sender is told was not sent is retried elsewhere, even if it is not
// idempotent: so it must never have arrived, and none may arrive twice.
TEST(PeerProperty, UnsentMessagesNeverArriveAndNoneArrivesTwice) {
  CHECK(rc::check([] {
    asio::io_context io;
    Node one(io, "n1");
    Node two(io, "n2");
    uint64_t sequence = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      const bool first = *rc::gen::arbitrary<bool>();
      Do(AnyStep(), first ? one : two, first ? two : one, sequence, io);
    }
    Settle(io);
    RequireHonest(one, two);
    RequireHonest(two, one);
    RC_CLASSIFY(!one.received.empty() || !two.received.empty(), "received");
    RC_CLASSIFY(!one.unsent.empty() || !two.unsent.empty(), "unsent");
  }));
}

}  // namespace amaranth::pvt
