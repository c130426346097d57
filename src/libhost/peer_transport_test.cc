#include "libhost/peer_transport.h"

#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "amaranthroute/wire.h"

namespace amaranth::pvt {
namespace {

using asio::ip::tcp;

Endpoint AnyPort() { return {"127.0.0.1", 0}; }
Endpoint NoAddress() { return {}; }

Hello MakeHello(const std::string& name, uint64_t incarnation,
                const std::string& fleet = "fleet") {
  return {NodeRef{name, incarnation}, fleet, "dc1"};
}

// Runs the event loop until `done` returns true. Fails the test after kTimeout,
// so that it cannot hang.
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

// A transport that records its hook calls in order.
struct TestNode {
  TestNode(asio::io_context& io, const Hello& self, PeerLimits limits = {})
      : transport(io, self, AnyPort(), MakeHooks(), std::move(limits)) {}

  PeerHooks MakeHooks() {
    PeerHooks hooks;
    hooks.on_message = [this](const NodeRef& peer, const PeerMessage& message) {
      log.push_back("got from " + peer.name + "#" +
                    std::to_string(peer.incarnation));
      messages.push_back(message);
    };
    hooks.on_lost = [this](const std::string& peer) {
      log.push_back("lost " + peer);
    };
    hooks.on_send_failed = [this](const std::string& peer,
                                  const PeerMessage& message) {
      log.push_back("not sent to " + peer);
      unsent.push_back(message);
    };
    return hooks;
  }

  Endpoint address() const { return {"127.0.0.1", transport.port()}; }

  std::vector<std::string> log;
  std::vector<PeerMessage> messages;
  std::vector<PeerMessage> unsent;
  PeerTransport transport;
};

// A peer that sends exactly the bytes that the test gives it.
class RawConnection {
 public:
  explicit RawConnection(asio::io_context& io) : socket_(io), acceptor_(io) {}

  void Listen() {
    const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen();
  }
  Endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  void Accept() { acceptor_.accept(socket_); }
  void Connect(const Endpoint& to) {
    socket_.connect({asio::ip::make_address(to.ip), to.port});
  }
  void Send(const std::string& bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }
  void Send(const PeerMessage& message) {
    Send(EncodeFrame(EncodePeerMessage(message)));
  }
  void Close() { socket_.close(); }
  // Discards all received bytes; returns true once the remote end has closed
  // the connection.
  bool IsClosedByRemote() {
    char bytes[256];
    asio::error_code error;
    socket_.non_blocking(true);
    while (!error) {
      socket_.read_some(asio::buffer(bytes), error);
    }
    return error != asio::error::would_block;
  }
  // Reads all available bytes; returns true once `count` frames have arrived.
  bool HasFrames(size_t count) {
    char bytes[4096];
    asio::error_code error;
    socket_.non_blocking(true);
    while (!error) {
      const size_t size = socket_.read_some(asio::buffer(bytes), error);
      reader_.Append(std::string_view(bytes, size));
    }
    while (reader_.Next().value()) {
      ++frames_;
    }
    return frames_ >= count;
  }

 private:
  tcp::socket socket_;
  tcp::acceptor acceptor_;
  FrameReader reader_;
  size_t frames_ = 0;
};

// Like RunUntil, but checks `done` every millisecond, as the event loop has no
// handler for the sockets of a RawConnection.
void PollUntil(asio::io_context& io, const std::function<bool()>& done) {
  asio::steady_timer timer(io);
  std::function<void()> poll_again = [&] {
    timer.expires_after(std::chrono::milliseconds(1));
    timer.async_wait([&](const asio::error_code& error) {
      if (!error) {
        poll_again();
      }
    });
  };
  poll_again();
  RunUntil(io, done);
}

}  // namespace

TEST_GROUP(PeerTransport) { asio::io_context io; };

TEST(PeerTransport, MessagesArriveInOrderAndAnswersNeedNoAddress) {
  TestNode one(io, MakeHello("n1", 4));
  TestNode two(io, MakeHello("n2", 5));
  for (uint64_t i = 0; i < 200; ++i) {
    one.transport.Send("n2", two.address(), LinkPing{i});
  }
  RunUntil(io, [&] { return two.messages.size() == 200; });
  CHECK(two.log.front() == "got from n1#4");
  for (uint64_t i = 0; i < 200; ++i) {
    CHECK(two.messages[i] == PeerMessage(LinkPing{i}));
  }
  two.transport.Send("n1", NoAddress(), LinkPong{7});
  RunUntil(io, [&] { return !one.messages.empty(); });
  CHECK(one.messages[0] == PeerMessage(LinkPong{7}));
  CHECK(one.log.front() == "got from n2#5");
}

TEST(PeerTransport, LargeBodiesArriveIntact) {
  TestNode one(io, MakeHello("n1", 1));
  TestNode two(io, MakeHello("n2", 1));
  CallForward forward;
  forward.request.body = Body(std::string(8u << 20, 'b'));
  one.transport.Send("n2", two.address(), forward);
  one.transport.Send("n2", two.address(), LinkPing{1});
  RunUntil(io, [&] { return two.messages.size() == 2; });
  CHECK(two.messages[0] == PeerMessage(forward));
}

TEST(PeerTransport, SimultaneousDialsDeliverBothMessages) {
  TestNode one(io, MakeHello("n1", 1));
  TestNode two(io, MakeHello("n2", 1));
  one.transport.Send("n2", two.address(), LinkPing{1});
  two.transport.Send("n1", one.address(), LinkPing{2});
  RunUntil(io, [&] { return !one.messages.empty() && !two.messages.empty(); });
  CHECK(one.messages[0] == PeerMessage(LinkPing{2}));
  CHECK(two.messages[0] == PeerMessage(LinkPing{1}));
}

// The peer's process has ended and its port refuses connections. Each message
// must be reported as not sent, so that its call can be answered "not run", and
// no loss of the peer is reported.
TEST(PeerTransport, ConnectRefusedMeansNotSent) {
  Endpoint closed_address;
  {
    TestNode two(io, MakeHello("n2", 1));
    closed_address = two.address();
  }
  TestNode one(io, MakeHello("n1", 1));
  one.transport.Send("n2", closed_address, LinkPing{1});
  one.transport.Send("n2", closed_address, LinkPing{2});
  RunUntil(io, [&] { return one.unsent.size() == 2; });
  CHECK(one.unsent[0] == PeerMessage(LinkPing{1}));
  CHECK(one.unsent[1] == PeerMessage(LinkPing{2}));
  CHECK(one.log ==
        std::vector<std::string>({"not sent to n2", "not sent to n2"}));
}

TEST(PeerTransport, UnknownAddressOrHostNameMeansNotSent) {
  TestNode one(io, MakeHello("n1", 1));
  one.transport.Send("n2", NoAddress(), LinkPing{1});
  one.transport.Send("n2", Endpoint{"localhost", 9}, LinkPing{2});
  CHECK(one.log.empty());  // no hook is called from inside Send
  RunUntil(io, [&] { return one.unsent.size() == 2; });
}

// The peer's process hangs: its kernel accepts the connection, but no Hello
// arrives. The queued messages are reported as not sent after the connect
// timeout.
TEST(PeerTransport, UnresponsivePeerMeansNotSent) {
  PeerLimits limits;
  limits.connect_timeout = std::chrono::milliseconds(20);
  TestNode one(io, MakeHello("n1", 1), limits);
  RawConnection unresponsive(io);
  unresponsive.Listen();
  one.transport.Send("n2", unresponsive.address(), LinkPing{1});
  RunUntil(io, [&] { return one.unsent.size() == 1; });
  unresponsive.Accept();
  CHECK(unresponsive.HasFrames(1));  // the Hello
  CHECK(!unresponsive.HasFrames(2));
}

// The peer crashes after receiving a message. The message may have run, so it
// must not be reported as unsent, and the peer is reported lost once.
TEST(PeerTransport, PeerClosingAfterReceivingAMessageMeansLost) {
  TestNode one(io, MakeHello("n1", 1));
  RawConnection peer(io);
  peer.Listen();
  one.transport.Send("n2", peer.address(), LinkPing{1});
  peer.Accept();
  peer.Send(MakeHello("n2", 1));
  PollUntil(io, [&] { return peer.HasFrames(2); });
  peer.Send(LinkPong{1});
  peer.Send(EncodeFrame(EncodePeerMessage(LinkPong{2})).substr(0, 5));
  peer.Close();
  RunUntil(io, [&] { return one.log.size() == 2; });
  CHECK(one.log == std::vector<std::string>({"got from n2#1", "lost n2"}));
}

// The peer stops reading until the kernel's buffers are full, then crashes.
// Messages never handed to the kernel must be reported as not sent before the
// loss of the peer is reported.
TEST(PeerTransport, UnsentMessagesAreReportedBeforeTheLoss) {
  constexpr size_t kMessages = 64;
  TestNode one(io, MakeHello("n1", 1));
  RawConnection peer(io);
  peer.Listen();
  SettingsSnapshot snapshot;
  snapshot.text = std::string(512u << 10, 's');
  for (snapshot.version = 0; snapshot.version < kMessages; ++snapshot.version) {
    one.transport.Send("n2", peer.address(), snapshot);
  }
  peer.Accept();
  peer.Send(MakeHello("n2", 1));
  peer.Send(LinkPing{1});
  RunUntil(io, [&] { return !one.messages.empty(); });
  peer.Close();
  RunUntil(io, [&] { return one.log.back() == "lost n2"; });
  CHECK(one.unsent.size() > 0);
  CHECK(one.unsent.size() < kMessages);
  CHECK_EQUAL(one.unsent.size() + 2, one.log.size());
  // The unsent messages are the last ones, in order; earlier ones may have run.
  uint64_t version = kMessages - one.unsent.size();
  for (const PeerMessage& message : one.unsent) {
    CHECK_EQUAL(version, std::get<SettingsSnapshot>(message).version);
    ++version;
  }
}

// A node restarts and dials again before the loss of its old link is
// noticed. The loss must be reported before the new process's first message.
// Otherwise the reducer takes calls of the old process for calls of the new
// one.
TEST(PeerTransport, NewIncarnationClosesTheOldLinkFirst) {
  TestNode one(io, MakeHello("n1", 1));
  RawConnection old_process(io);
  old_process.Connect(one.address());
  old_process.Send(MakeHello("n2", 5));
  old_process.Send(LinkPing{1});
  RunUntil(io, [&] { return one.log.size() == 1; });
  RawConnection new_process(io);
  new_process.Connect(one.address());
  new_process.Send(MakeHello("n2", 6));
  new_process.Send(LinkPing{2});
  RunUntil(io, [&] { return one.log.size() == 3; });
  CHECK(one.log == std::vector<std::string>(
                       {"got from n2#5", "lost n2", "got from n2#6"}));
  PollUntil(io, [&] { return old_process.IsClosedByRemote(); });
}

// After a network failure the peer has closed the link dialled by this node,
// which has not noticed, and connects again. The first packet sent on the
// stale link would be answered by a reset, which would close the new link too.
// So the new connection must replace the stale link at once.
TEST(PeerTransport, ReconnectingPeerReplacesTheStaleLink) {
  PeerLimits limits;
  limits.min_replace_age = std::chrono::milliseconds(0);
  TestNode one(io, MakeHello("n1", 1), limits);
  RawConnection stale(io);
  stale.Listen();
  one.transport.Send("n2", stale.address(), LinkPing{1});
  stale.Accept();
  stale.Send(MakeHello("n2", 5));
  PollUntil(io, [&] { return stale.HasFrames(2); });
  RawConnection reconnected(io);
  reconnected.Connect(one.address());
  reconnected.Send(MakeHello("n2", 5));
  reconnected.Send(LinkPing{2});
  RunUntil(io, [&] { return one.log.size() == 2; });
  CHECK(one.log == std::vector<std::string>({"lost n2", "got from n2#5"}));
  stale.Close();
  reconnected.Send(LinkPing{3});
  RunUntil(io, [&] { return one.log.size() == 3; });
  CHECK(one.log[2] == "got from n2#5");
}

// The peer connects before the dialled link has reached min_replace_age, as
// when both nodes dial at the same time. Both links stay open and no loss is
// reported.
TEST(PeerTransport, SimultaneouslyDialledLinksBothStayOpen) {
  PeerLimits limits;
  limits.min_replace_age = std::chrono::hours(1);
  TestNode one(io, MakeHello("n1", 1), limits);
  RawConnection dialled(io);
  dialled.Listen();
  one.transport.Send("n2", dialled.address(), LinkPing{1});
  dialled.Accept();
  dialled.Send(MakeHello("n2", 5));
  PollUntil(io, [&] { return dialled.HasFrames(2); });
  RawConnection accepted(io);
  accepted.Connect(one.address());
  accepted.Send(MakeHello("n2", 5));
  accepted.Send(LinkPing{2});
  dialled.Send(LinkPing{3});
  RunUntil(io, [&] { return one.messages.size() == 2; });
  CHECK_EQUAL(2u, one.log.size());
}

TEST(PeerTransport, EarlierIncarnationIsRejectedWhileTheLaterIsConnected) {
  TestNode one(io, MakeHello("n1", 1));
  RawConnection new_process(io);
  new_process.Connect(one.address());
  new_process.Send(MakeHello("n2", 6));
  new_process.Send(LinkPing{1});
  RunUntil(io, [&] { return one.log.size() == 1; });
  RawConnection old_process(io);
  old_process.Connect(one.address());
  old_process.Send(MakeHello("n2", 5));
  old_process.Send(LinkPing{2});
  PollUntil(io, [&] { return old_process.IsClosedByRemote(); });
  new_process.Send(LinkPing{3});
  RunUntil(io, [&] { return one.log.size() == 2; });
  CHECK(one.log ==
        std::vector<std::string>({"got from n2#6", "got from n2#6"}));
}

// The address now belongs to another node. It must not receive messages for the
// previous one; they are reported as not sent.
TEST(PeerTransport, AnotherNodeAtTheAddressReceivesNothing) {
  TestNode one(io, MakeHello("n1", 1));
  TestNode three(io, MakeHello("n3", 1));
  one.transport.Send("n2", three.address(), LinkPing{1});
  RunUntil(io, [&] { return one.unsent.size() == 1; });
  CHECK(three.messages.empty());
}

TEST(PeerTransport, NodesOfDifferentFleetsRejectEachOther) {
  TestNode one(io, MakeHello("n1", 1));
  TestNode two(io, MakeHello("n2", 1, "other"));
  one.transport.Send("n2", two.address(), LinkPing{1});
  two.transport.Send("n1", one.address(), LinkPing{2});
  RunUntil(io, [&] { return !one.unsent.empty() && !two.unsent.empty(); });
  CHECK(one.messages.empty());
  CHECK(two.messages.empty());
}

// A client that is no peer, a peer of another version or a hostile one sends an
// invalid first frame. Only its own link is closed; the node keeps running, and
// other links stay open.
TEST(PeerTransport, InvalidFirstFramesCloseOnlyTheirLink) {
  TestNode one(io, MakeHello("n1", 1));
  RawConnection established(io);
  established.Connect(one.address());
  established.Send(MakeHello("n2", 1));
  const std::vector<std::string> invalid_openings = {
      "GET / HTTP/1.1\r\n\r\n",
      std::string("\xff\xff\xff\xff", 4),
      EncodeFrame("not a message"),
      EncodeFrame(""),
      EncodeFrame(EncodePeerMessage(LinkPing{1})),
      EncodeFrame(EncodePeerMessage(MakeHello("n3", 1, "other"))),
      EncodeFrame(EncodePeerMessage(MakeHello("", 1))),
      EncodeFrame(EncodePeerMessage(MakeHello(std::string(8192, 'n'), 1))),
      EncodeFrame(EncodePeerMessage(MakeHello("n3", 1))) +
          EncodeFrame(EncodePeerMessage(MakeHello("n3", 1))),
  };
  for (const std::string& first_bytes : invalid_openings) {
    RawConnection client(io);
    client.Connect(one.address());
    client.Send(first_bytes);
    PollUntil(io, [&] { return client.IsClosedByRemote(); });
  }
  established.Send(LinkPing{1});
  RunUntil(io, [&] { return one.messages.size() == 1; });
}

TEST(PeerTransport, ConnectionsWithoutHelloAreLimitedAndTimeOut) {
  PeerLimits limits;
  limits.max_pending_handshakes = 1;
  limits.connect_timeout = std::chrono::milliseconds(50);
  TestNode one(io, MakeHello("n1", 1), limits);
  RawConnection first(io);
  first.Connect(one.address());
  RawConnection second(io);
  second.Connect(one.address());
  PollUntil(io, [&] {
    return second.IsClosedByRemote() && first.IsClosedByRemote();
  });
}

TEST(PeerTransport, FullQueueMeansNotSent) {
  PeerLimits limits;
  limits.max_queue_bytes = 1000;
  TestNode one(io, MakeHello("n1", 1), limits);
  TestNode two(io, MakeHello("n2", 1));
  SettingsSnapshot snapshot{1, 2, std::string(600, 's')};
  one.transport.Send("n2", two.address(), snapshot);
  one.transport.Send("n2", two.address(), snapshot);
  RunUntil(io, [&] { return !one.unsent.empty() && !two.messages.empty(); });
  CHECK_EQUAL(1u, one.unsent.size());
}

TEST(PeerTransport, InvalidAndOversizedMessagesAreNotSent) {
  TestNode one(io, MakeHello("n1", 1));
  TestNode two(io, MakeHello("n2", 1));
  CallForward forward;
  forward.request.headers = {{"X", "a\r\nb"}};
  one.transport.Send("n2", two.address(), forward);
  SettingsSnapshot snapshot{1, 2, std::string(kMaxFrameBytes, 's')};
  one.transport.Send("n2", two.address(), snapshot);
  one.transport.Send("n2", two.address(), LinkPing{1});
  RunUntil(io, [&] { return one.unsent.size() == 2 && !two.messages.empty(); });
  CHECK(two.messages[0] == PeerMessage(LinkPing{1}));
}

// Guards against large messages on many links that together take more memory
// than the process has, and against senders that wait for the answer to one
// that was dropped.
TEST(PeerTransport, MessagesWithoutMemoryAreRefused) {
  PeerLimits limits;
  limits.budget = std::make_shared<MemoryBudget>(600'000);
  TestNode sender(io, MakeHello("n1", 1));
  TestNode receiver(io, MakeHello("n2", 1), limits);
  CallForward forward;
  forward.request.body = Body(std::string(1'000'000, 'f'));
  CallAnswer answer;
  answer.entry_incarnation = 7;
  answer.response.body = Body(std::string(1'000'000, 'a'));
  for (const AttemptId attempt : {1, 2}) {
    forward.attempt = attempt;
    sender.transport.Send("n2", receiver.address(), forward);
    answer.attempt = attempt + 100;
    sender.transport.Send("n2", receiver.address(), answer);
  }
  sender.transport.Send("n2", receiver.address(), LinkPing{5});
  RunUntil(io, [&] {
    return receiver.messages.size() == 3 && sender.messages.size() == 2;
  });
  for (size_t i = 0; i < 2; ++i) {
    const CallAnswer& refusal = std::get<CallAnswer>(sender.messages[i]);
    CHECK_EQUAL(i + 1, refusal.attempt);
    CHECK_EQUAL(1u, refusal.entry_incarnation);
    CHECK(refusal.failure.verdict == Verdict::kNotRun);
    const CallAnswer& failed = std::get<CallAnswer>(receiver.messages[i]);
    CHECK_EQUAL(i + 101, failed.attempt);
    CHECK_EQUAL(7u, failed.entry_incarnation);
    CHECK(failed.failure.verdict == Verdict::kMayHaveRun);
    CHECK(failed.response.body.size() == 0);
  }
  CHECK(receiver.messages[2] == PeerMessage(LinkPing{5}));
  CHECK_EQUAL(0u, limits.budget->used());
}

// Guards against an entry node that waits until the deadline for an answer that
// is too large to be passed on.
TEST(PeerTransport, AnAnswerTooLargeToBeSentBecomesAFailure) {
  TestNode one(io, MakeHello("n1", 1));
  TestNode two(io, MakeHello("n2", 1));
  CallAnswer answer;
  answer.attempt = 9;
  answer.entry_incarnation = 1;
  answer.response.body = Body(std::string(kMaxFrameBytes, 'a'));
  one.transport.Send("n2", two.address(), answer);
  RunUntil(io, [&] { return !two.messages.empty(); });
  const CallAnswer& failed = std::get<CallAnswer>(two.messages[0]);
  CHECK_EQUAL(9u, failed.attempt);
  CHECK(failed.failure.verdict == Verdict::kMayHaveRun);
}

TEST(PeerTransport, CloseReportsTheLossAndTheNextSendRedials) {
  TestNode one(io, MakeHello("n1", 1));
  TestNode two(io, MakeHello("n2", 1));
  one.transport.Send("n2", two.address(), LinkPing{1});
  RunUntil(io, [&] { return two.messages.size() == 1; });
  one.transport.Close("n2");
  RunUntil(io, [&] { return one.log.size() == 1 && two.log.size() == 2; });
  CHECK(one.log[0] == "lost n2");
  CHECK(two.log[1] == "lost n1");
  one.transport.Send("n2", two.address(), LinkPing{2});
  RunUntil(io, [&] { return two.messages.size() == 2; });
}

TEST(PeerTransport, CloseBeforeConnectingMeansNotSentThenLost) {
  TestNode one(io, MakeHello("n1", 1));
  TestNode two(io, MakeHello("n2", 1));
  one.transport.Send("n2", two.address(), LinkPing{1});
  one.transport.Close("n2");
  RunUntil(io, [&] { return one.log.size() == 2; });
  CHECK(one.log == std::vector<std::string>({"not sent to n2", "lost n2"}));
}

// A node answers its last call and stops. The answer was sent before the stop,
// so the peer must receive it.
TEST(PeerTransport, StopFlushesQueuedMessages) {
  TestNode one(io, MakeHello("n1", 1));
  TestNode two(io, MakeHello("n2", 1));
  one.transport.Send("n2", two.address(), LinkPing{1});
  RunUntil(io, [&] { return two.messages.size() == 1; });
  two.transport.Send("n1", NoAddress(), LinkPong{1});
  two.transport.Send("n1", NoAddress(), LinkPong{2});
  two.transport.Stop();
  RunUntil(io, [&] { return one.log.size() == 3; });
  CHECK(one.log == std::vector<std::string>(
                       {"got from n2#1", "got from n2#1", "lost n2"}));
}

TEST(PeerTransport, StoppedTransportCallsNoHooks) {
  TestNode one(io, MakeHello("n1", 1));
  TestNode two(io, MakeHello("n2", 1));
  one.transport.Send("n2", two.address(), LinkPing{1});
  one.transport.Stop();
  one.transport.Send("n2", two.address(), LinkPing{2});
  two.transport.Stop();
  io.run();
  CHECK(one.log.empty());
  CHECK(two.log.empty());
}

}  // namespace amaranth::pvt
