#include "libhost/gossip_socket.h"

#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <vector>

#include "amaranthroute/wire.h"

namespace amaranth::pvt {
namespace {

Endpoint AnyPort() { return {"127.0.0.1", 0}; }

// Runs the event loop until `done` returns true. Fails the test after kTimeout,
// so that it cannot hang. Loopback loses no datagram here.
void RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  constexpr std::chrono::seconds kTimeout{20};
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + kTimeout;
  io.restart();
  while (!done()) {
    io.run_one_until(deadline);
    if (std::chrono::steady_clock::now() > deadline) {
      FAIL("condition not reached");
    }
  }
}

}  // namespace

TEST_GROUP(GossipSocket) {
  asio::io_context io;
  std::vector<GossipMessage> messages;
  std::vector<Endpoint> senders;

  GossipSocket::OnMessage RecordMessages() {
    return [this](const Endpoint& from, const GossipMessage& message) {
      senders.push_back(from);
      messages.push_back(message);
    };
  }
};

TEST(GossipSocket, MessagesArriveWithTheirSender) {
  GossipSocket one(io, AnyPort(), RecordMessages());
  GossipSocket two(io, AnyPort(), RecordMessages());
  GossipMessage message;
  message.from = NodeRef{"n1", 3};
  message.sequence = 9;
  one.Send(Endpoint{"127.0.0.1", two.port()}, message);
  RunUntil(io, [&] { return messages.size() == 1; });
  CHECK(messages[0] == message);
  CHECK(senders[0] == (Endpoint{"127.0.0.1", one.port()}));
}

// Any host can send to a UDP port. A datagram that cannot be decoded is counted
// and dropped, and the next datagram is received normally.
TEST(GossipSocket, UndecodableDatagramsAreCountedAndDropped) {
  GossipSocket one(io, AnyPort(), RecordMessages());
  asio::ip::udp::socket client(io, asio::ip::udp::v4());
  const asio::ip::udp::endpoint target(asio::ip::address_v4::loopback(),
                                       one.port());
  client.send_to(asio::buffer(std::string("hello")), target);
  client.send_to(asio::buffer(std::string()), target);
  client.send_to(asio::buffer(EncodeGossip(GossipMessage())), target);
  RunUntil(io, [&] { return messages.size() == 1; });
  CHECK_EQUAL(2u, one.undecodable());
}

TEST(GossipSocket, OversizedMessagesAndHostNamesAreNotSent) {
  GossipSocket one(io, AnyPort(), RecordMessages());
  GossipMessage message;
  message.target = std::string(kMaxGossipBytes, 't');
  one.Send(Endpoint{"127.0.0.1", one.port()}, message);
  one.Send(Endpoint{"localhost", one.port()}, GossipMessage());
  CHECK_EQUAL(2u, one.unsent());
  one.Send(Endpoint{"127.0.0.1", one.port()}, GossipMessage());
  RunUntil(io, [&] { return messages.size() == 1; });
}

// A member has ended, so the kernel reports "port unreachable" on the sender's
// socket. The socket must keep receiving from other members.
TEST(GossipSocket, UnreachableMemberDoesNotStopReceiving) {
  uint16_t closed_port = 0;
  {
    GossipSocket two(io, AnyPort(), RecordMessages());
    closed_port = two.port();
  }
  GossipSocket one(io, AnyPort(), RecordMessages());
  one.Send(Endpoint{"127.0.0.1", closed_port}, GossipMessage());
  one.Send(Endpoint{"127.0.0.1", closed_port}, GossipMessage());
  GossipSocket three(io, AnyPort(), RecordMessages());
  three.Send(Endpoint{"127.0.0.1", one.port()}, GossipMessage());
  RunUntil(io, [&] { return messages.size() == 1; });
}

}  // namespace amaranth::pvt
