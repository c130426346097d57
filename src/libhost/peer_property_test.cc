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

// A node across its incarnations, with the messages reported to its hooks.
class TestNode {
 public:
  TestNode(asio::io_context& io, std::string name)
      : io_(io), name_(std::move(name)) {
    Restart();
  }

  void Restart() {
    transport_.reset();
    ++incarnation_;
    const uint64_t incarnation = incarnation_;
    PeerHooks hooks;
    hooks.on_message = [this, incarnation](const NodeRef&,
                                           const PeerMessage& message) {
      RC_ASSERT(incarnation == incarnation_);
      received.push_back(std::get<LinkPing>(message).sequence);
    };
    hooks.on_lost = [](const std::string&) {};
    hooks.on_send_failed = [this](const std::string&,
                                  const PeerMessage& message) {
      const bool is_new =
          unsent.insert(std::get<LinkPing>(message).sequence).second;
      RC_ASSERT(is_new);
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

Step GenerateStep() {
  return *rc::gen::weightedElement<Step>({{12, Step::kSend},
                                          {4, Step::kSendWithoutAddress},
                                          {8, Step::kPoll},
                                          {1, Step::kClose},
                                          {1, Step::kRestart}});
}

void ApplyStep(Step step, TestNode& node, TestNode& peer, uint64_t& sequence,
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

// Runs handlers until none was ready in kIdlePolls consecutive polls: by then
// loopback has delivered all messages.
void RunUntilIdle(asio::io_context& io) {
  constexpr int kIdlePolls = 50;
  for (int idle_polls = 0; idle_polls < kIdlePolls; ++idle_polls) {
    io.restart();
    if (io.poll() > 0) {
      idle_polls = 0;
    }
  }
}

// Requires that no message arrived twice or was also reported as unsent.
void CheckDelivery(const TestNode& sender, const TestNode& receiver) {
  std::set<uint64_t> delivered;
  for (const uint64_t sequence : receiver.received) {
    RC_ASSERT(delivered.insert(sequence).second);
    RC_ASSERT(sender.unsent.count(sequence) == 0u);
  }
}

}  // namespace

TEST_GROUP(PeerProperty){};

// Both nodes send, close their links and restart at random times. A message
// that is reported as not sent is retried elsewhere, even if it is not
// idempotent. It must therefore never have arrived, and no message may arrive
// twice.
TEST(PeerProperty, UnsentMessagesNeverArriveAndNoneArrivesTwice) {
  CHECK(rc::check([] {
    asio::io_context io;
    TestNode one(io, "n1");
    TestNode two(io, "n2");
    uint64_t sequence = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      const bool from_one = *rc::gen::arbitrary<bool>();
      ApplyStep(GenerateStep(), from_one ? one : two, from_one ? two : one,
                sequence, io);
    }
    RunUntilIdle(io);
    CheckDelivery(one, two);
    CheckDelivery(two, one);
    RC_CLASSIFY(!one.received.empty() || !two.received.empty(), "received");
    RC_CLASSIFY(!one.unsent.empty() || !two.unsent.empty(), "unsent");
  }));
}

}  // namespace amaranth::pvt
