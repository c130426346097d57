#include "libhost/gossip_socket.h"

#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <vector>

#include "amaranthroute/wire.h"

namespace amaranth::pvt {
namespace {

Endpoint AnyPort() { return {"127.0.0.1", 0}; }

// Loopback loses no datagram here; the limit only ends a test that would hang.
void RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  constexpr std::chrono::seconds kHang{20};
  const std::chrono::steady_clock::time_point give_up =
      std::chrono::steady_clock::now() + kHang;
  io.restart();
  while (!done()) {
    io.run_one_until(give_up);
    if (std::chrono::steady_clock::now() > give_up) {
      FAIL("condition not reached");
    }
  }
}

}  // namespace

TEST_GROUP(GossipSocket) {
  asio::io_context io;
  std::vector<GossipMessage> messages;
  std::vector<Endpoint> senders;

  GossipSocket::OnMessage Keep() {
    return [this](const Endpoint& from, const GossipMessage& message) {
      senders.push_back(from);
      messages.push_back(message);
    };
  }
};

TEST(GossipSocket, MessagesArriveWithTheirSender) {
  GossipSocket one(io, AnyPort(), Keep());
  GossipSocket two(io, AnyPort(), Keep());
  GossipMessage message;
  message.from = NodeRef{"n1", 3};
  message.sequence = 9;
  one.Send(Endpoint{"127.0.0.1", two.port()}, message);
  RunUntil(io, [&] { return messages.size() == 1; });
  CHECK(messages[0] == message);
  CHECK(senders[0] == (Endpoint{"127.0.0.1", one.port()}));
}

// Anybody can send to a UDP port. What does not decode is counted and dropped;
// the next datagram is read as if nothing had happened.
TEST(GossipSocket, UndecodableDatagramsAreCountedAndDropped) {
  GossipSocket one(io, AnyPort(), Keep());
  asio::ip::udp::socket stranger(io, asio::ip::udp::v4());
  const asio::ip::udp::endpoint target(asio::ip::address_v4::loopback(),
                                       one.port());
  stranger.send_to(asio::buffer(std::string("hello")), target);
  stranger.send_to(asio::buffer(std::string()), target);
  stranger.send_to(asio::buffer(EncodeGossip(GossipMessage())), target);
  RunUntil(io, [&] { return messages.size() == 1; });
  CHECK_EQUAL(2u, one.undecodable());
}

TEST(GossipSocket, OverlongMessagesAndNamesAreNotSent) {
  GossipSocket one(io, AnyPort(), Keep());
  GossipMessage message;
  message.target = std::string(kMaxGossipBytes, 't');
  one.Send(Endpoint{"127.0.0.1", one.port()}, message);
  one.Send(Endpoint{"localhost", one.port()}, GossipMessage());
  CHECK_EQUAL(2u, one.unsent());
  one.Send(Endpoint{"127.0.0.1", one.port()}, GossipMessage());
  RunUntil(io, [&] { return messages.size() == 1; });
}

// A member is gone: the kernel reports "port unreachable" on our socket. The
// socket must go on receiving from the others.
TEST(GossipSocket, UnreachableMemberDoesNotStopReceiving) {
  uint16_t gone = 0;
  {
    GossipSocket two(io, AnyPort(), Keep());
    gone = two.port();
  }
  GossipSocket one(io, AnyPort(), Keep());
  one.Send(Endpoint{"127.0.0.1", gone}, GossipMessage());
  one.Send(Endpoint{"127.0.0.1", gone}, GossipMessage());
  GossipSocket three(io, AnyPort(), Keep());
  three.Send(Endpoint{"127.0.0.1", one.port()}, GossipMessage());
  RunUntil(io, [&] { return messages.size() == 1; });
}

}  // namespace amaranth::pvt
