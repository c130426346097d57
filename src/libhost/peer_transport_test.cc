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

Hello HelloOf(const std::string& name, uint64_t incarnation,
              const std::string& fleet = "fleet") {
  return {NodeRef{name, incarnation}, fleet, "dc1"};
}

// Runs the loop until `done`. The limit only ends a test that would hang.
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

// A transport that writes down what its hooks were told, in order.
struct TestNode {
  TestNode(asio::io_context& io, const Hello& self, PeerLimits limits = {})
      : transport(io, self, AnyPort(), Hooks(), limits) {}

  PeerHooks Hooks() {
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

// A peer that says what the test wants, byte by byte.
class RawPeer {
 public:
  explicit RawPeer(asio::io_context& io) : socket_(io), acceptor_(io) {}

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
  void Say(const std::string& bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }
  void Say(const PeerMessage& message) {
    Say(Frame(EncodePeerMessage(message)));
  }
  void Close() { socket_.close(); }
  // The other side closed: everything before that is read away.
  bool Ended() {
    char bytes[256];
    asio::error_code error;
    socket_.non_blocking(true);
    while (!error) {
      socket_.read_some(asio::buffer(bytes), error);
    }
    return error != asio::error::would_block;
  }
  // Takes everything there is to read; true once `count` frames have come.
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

// Polls what no handler of the loop tells: sockets of a RawPeer.
void PollUntil(asio::io_context& io, const std::function<bool()>& done) {
  asio::steady_timer timer(io);
  std::function<void()> again = [&] {
    timer.expires_after(std::chrono::milliseconds(1));
    timer.async_wait([&](const asio::error_code& error) {
      if (!error) {
        again();
      }
    });
  };
  again();
  RunUntil(io, done);
}

}  // namespace

TEST_GROUP(PeerTransport) { asio::io_context io; };

TEST(PeerTransport, MessagesArriveInOrderAndAnswersNeedNoAddress) {
  TestNode one(io, HelloOf("n1", 4));
  TestNode two(io, HelloOf("n2", 5));
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

TEST(PeerTransport, LargeBodiesPassWhole) {
  TestNode one(io, HelloOf("n1", 1));
  TestNode two(io, HelloOf("n2", 1));
  CallForward forward;
  forward.request.body = Body(std::string(8u << 20, 'b'));
  one.transport.Send("n2", two.address(), forward);
  one.transport.Send("n2", two.address(), LinkPing{1});
  RunUntil(io, [&] { return two.messages.size() == 2; });
  CHECK(two.messages[0] == PeerMessage(forward));
}

TEST(PeerTransport, BothDialAtOnceAndBothAreHeard) {
  TestNode one(io, HelloOf("n1", 1));
  TestNode two(io, HelloOf("n2", 1));
  one.transport.Send("n2", two.address(), LinkPing{1});
  two.transport.Send("n1", one.address(), LinkPing{2});
  RunUntil(io, [&] { return !one.messages.empty() && !two.messages.empty(); });
  CHECK(one.messages[0] == PeerMessage(LinkPing{2}));
  CHECK(two.messages[0] == PeerMessage(LinkPing{1}));
}

// The peer's process is gone and its port refuses. The caller can be told "not
// run": each message comes back as proved not sent, and nothing is "lost".
TEST(PeerTransport, ConnectRefusedMeansNotSent) {
  Endpoint gone;
  {
    TestNode two(io, HelloOf("n2", 1));
    gone = two.address();
  }
  TestNode one(io, HelloOf("n1", 1));
  one.transport.Send("n2", gone, LinkPing{1});
  one.transport.Send("n2", gone, LinkPing{2});
  RunUntil(io, [&] { return one.unsent.size() == 2; });
  CHECK(one.unsent[0] == PeerMessage(LinkPing{1}));
  CHECK(one.unsent[1] == PeerMessage(LinkPing{2}));
  CHECK(one.log ==
        std::vector<std::string>({"not sent to n2", "not sent to n2"}));
}

TEST(PeerTransport, NoAddressOrNoIpNumberMeansNotSent) {
  TestNode one(io, HelloOf("n1", 1));
  one.transport.Send("n2", NoAddress(), LinkPing{1});
  one.transport.Send("n2", Endpoint{"localhost", 9}, LinkPing{2});
  CHECK(one.log.empty());  // never told from inside Send
  RunUntil(io, [&] { return one.unsent.size() == 2; });
}

// The peer accepts and then says nothing: its process hangs. The messages wait
// for its Hello, and come back as not sent after the connect timeout.
TEST(PeerTransport, SilentPeerMeansNotSent) {
  PeerLimits limits;
  limits.connect_timeout = std::chrono::milliseconds(20);
  TestNode one(io, HelloOf("n1", 1), limits);
  RawPeer silent(io);
  silent.Listen();
  one.transport.Send("n2", silent.address(), LinkPing{1});
  RunUntil(io, [&] { return one.unsent.size() == 1; });
  silent.Accept();
  CHECK(silent.HasFrames(1));  // the Hello
  CHECK(!silent.HasFrames(2));
}

// The peer dies after it took a message: the message may have run, so it is not
// reported as unsent, and the link is reported lost once.
TEST(PeerTransport, PeerClosingAfterTakingAMessageMeansLost) {
  TestNode one(io, HelloOf("n1", 1));
  RawPeer peer(io);
  peer.Listen();
  one.transport.Send("n2", peer.address(), LinkPing{1});
  peer.Accept();
  peer.Say(HelloOf("n2", 1));
  PollUntil(io, [&] { return peer.HasFrames(2); });
  peer.Say(LinkPong{1});
  peer.Say(Frame(EncodePeerMessage(LinkPong{2})).substr(0, 5));
  peer.Close();
  RunUntil(io, [&] { return one.log.size() == 2; });
  CHECK(one.log == std::vector<std::string>({"got from n2#1", "lost n2"}));
}

// The peer stops reading, so the kernel's buffers fill, and then dies. What the
// kernel never saw is told first, and as not sent; only then is the link lost.
TEST(PeerTransport, UnsentMessagesAreToldBeforeTheLoss) {
  constexpr size_t kMessages = 64;
  TestNode one(io, HelloOf("n1", 1));
  RawPeer peer(io);
  peer.Listen();
  SettingsSnapshot snapshot;
  snapshot.text = std::string(512u << 10, 's');
  for (snapshot.version = 0; snapshot.version < kMessages; ++snapshot.version) {
    one.transport.Send("n2", peer.address(), snapshot);
  }
  peer.Accept();
  peer.Say(HelloOf("n2", 1));
  peer.Say(LinkPing{1});
  RunUntil(io, [&] { return !one.messages.empty(); });
  peer.Close();
  RunUntil(io, [&] { return one.log.back() == "lost n2"; });
  CHECK(one.unsent.size() > 0);
  CHECK(one.unsent.size() < kMessages);
  CHECK_EQUAL(one.unsent.size() + 2, one.log.size());
  // The last ones, whole and in order; those before may have run.
  uint64_t version = kMessages - one.unsent.size();
  for (const PeerMessage& message : one.unsent) {
    CHECK_EQUAL(version, std::get<SettingsSnapshot>(message).version);
    ++version;
  }
}

// A node restarts and dials again before the loss of its old link is noticed.
// The reducer hears of the loss before the new process's first message; calls
// of the old one are never taken for calls of the new one.
TEST(PeerTransport, NewIncarnationEndsTheOldLinkFirst) {
  TestNode one(io, HelloOf("n1", 1));
  RawPeer old_process(io);
  old_process.Connect(one.address());
  old_process.Say(HelloOf("n2", 5));
  old_process.Say(LinkPing{1});
  RunUntil(io, [&] { return one.log.size() == 1; });
  RawPeer new_process(io);
  new_process.Connect(one.address());
  new_process.Say(HelloOf("n2", 6));
  new_process.Say(LinkPing{2});
  RunUntil(io, [&] { return one.log.size() == 3; });
  CHECK(one.log == std::vector<std::string>(
                       {"got from n2#5", "lost n2", "got from n2#6"}));
  PollUntil(io, [&] { return old_process.Ended(); });
}

// A cut in the network: the peer closed our link to it, we did not hear of it,
// and it connects again. Our link would be reset by the first packet sent on
// it, and take the new one along: so the new connection replaces it, at once.
TEST(PeerTransport, PeerThatConnectsAgainHasGivenUpOurLink) {
  PeerLimits limits;
  limits.replace_after = std::chrono::milliseconds(0);
  TestNode one(io, HelloOf("n1", 1), limits);
  RawPeer cut_off(io);
  cut_off.Listen();
  one.transport.Send("n2", cut_off.address(), LinkPing{1});
  cut_off.Accept();
  cut_off.Say(HelloOf("n2", 5));
  PollUntil(io, [&] { return cut_off.HasFrames(2); });
  RawPeer back(io);
  back.Connect(one.address());
  back.Say(HelloOf("n2", 5));
  back.Say(LinkPing{2});
  RunUntil(io, [&] { return one.log.size() == 2; });
  CHECK(one.log == std::vector<std::string>({"lost n2", "got from n2#5"}));
  cut_off.Close();
  back.Say(LinkPing{3});
  RunUntil(io, [&] { return one.log.size() == 3; });
  CHECK(one.log[2] == "got from n2#5");
}

// Without time between them the two links may have been dialled at once: each
// side keeps both, and nothing is lost.
TEST(PeerTransport, LinksDialledAtOnceBothStay) {
  PeerLimits limits;
  limits.replace_after = std::chrono::hours(1);
  TestNode one(io, HelloOf("n1", 1), limits);
  RawPeer dialled(io);
  dialled.Listen();
  one.transport.Send("n2", dialled.address(), LinkPing{1});
  dialled.Accept();
  dialled.Say(HelloOf("n2", 5));
  PollUntil(io, [&] { return dialled.HasFrames(2); });
  RawPeer dialling(io);
  dialling.Connect(one.address());
  dialling.Say(HelloOf("n2", 5));
  dialling.Say(LinkPing{2});
  dialled.Say(LinkPing{3});
  RunUntil(io, [&] { return one.messages.size() == 2; });
  CHECK_EQUAL(2u, one.log.size());
}

TEST(PeerTransport, EarlierIncarnationIsRefusedWhileTheLaterIsConnected) {
  TestNode one(io, HelloOf("n1", 1));
  RawPeer new_process(io);
  new_process.Connect(one.address());
  new_process.Say(HelloOf("n2", 6));
  new_process.Say(LinkPing{1});
  RunUntil(io, [&] { return one.log.size() == 1; });
  RawPeer old_process(io);
  old_process.Connect(one.address());
  old_process.Say(HelloOf("n2", 5));
  old_process.Say(LinkPing{2});
  PollUntil(io, [&] { return old_process.Ended(); });
  new_process.Say(LinkPing{3});
  RunUntil(io, [&] { return one.log.size() == 2; });
  CHECK(one.log ==
        std::vector<std::string>({"got from n2#6", "got from n2#6"}));
}

// An address was given to another node. Messages for the old one must not reach
// it: they come back as not sent.
TEST(PeerTransport, AnotherNodeAtTheAddressGetsNothing) {
  TestNode one(io, HelloOf("n1", 1));
  TestNode three(io, HelloOf("n3", 1));
  one.transport.Send("n2", three.address(), LinkPing{1});
  RunUntil(io, [&] { return one.unsent.size() == 1; });
  CHECK(three.messages.empty());
}

TEST(PeerTransport, AnotherFleetIsRefusedFromBothSides) {
  TestNode one(io, HelloOf("n1", 1));
  TestNode two(io, HelloOf("n2", 1, "other"));
  one.transport.Send("n2", two.address(), LinkPing{1});
  two.transport.Send("n1", one.address(), LinkPing{2});
  RunUntil(io, [&] { return !one.unsent.empty() && !two.unsent.empty(); });
  CHECK(one.messages.empty());
  CHECK(two.messages.empty());
}

// A stranger, a peer of another version or a hostile one. Its link ends; the
// node lives, and links of others are not touched.
TEST(PeerTransport, BadFirstFramesEndTheLinkOnly) {
  TestNode one(io, HelloOf("n1", 1));
  RawPeer good(io);
  good.Connect(one.address());
  good.Say(HelloOf("n2", 1));
  const std::vector<std::string> openings = {
      "GET / HTTP/1.1\r\n\r\n",
      std::string("\xff\xff\xff\xff", 4),
      Frame("not a message"),
      Frame(""),
      Frame(EncodePeerMessage(LinkPing{1})),
      Frame(EncodePeerMessage(HelloOf("n3", 1, "other"))),
      Frame(EncodePeerMessage(HelloOf("", 1))),
      Frame(EncodePeerMessage(HelloOf(std::string(8192, 'n'), 1))),
      Frame(EncodePeerMessage(HelloOf("n3", 1))) +
          Frame(EncodePeerMessage(HelloOf("n3", 1))),
  };
  for (const std::string& opening : openings) {
    RawPeer hostile(io);
    hostile.Connect(one.address());
    hostile.Say(opening);
    PollUntil(io, [&] { return hostile.Ended(); });
  }
  good.Say(LinkPing{1});
  RunUntil(io, [&] { return one.messages.size() == 1; });
}

TEST(PeerTransport, SilentConnectionsAreBoundedAndEnd) {
  PeerLimits limits;
  limits.max_greeting_links = 1;
  limits.connect_timeout = std::chrono::milliseconds(50);
  TestNode one(io, HelloOf("n1", 1), limits);
  RawPeer first(io);
  first.Connect(one.address());
  RawPeer second(io);
  second.Connect(one.address());
  PollUntil(io, [&] { return second.Ended() && first.Ended(); });
}

TEST(PeerTransport, FullQueueMeansNotSent) {
  PeerLimits limits;
  limits.max_queue_bytes = 1000;
  TestNode one(io, HelloOf("n1", 1), limits);
  TestNode two(io, HelloOf("n2", 1));
  SettingsSnapshot snapshot{1, 2, std::string(600, 's')};
  one.transport.Send("n2", two.address(), snapshot);
  one.transport.Send("n2", two.address(), snapshot);
  RunUntil(io, [&] { return !one.unsent.empty() && !two.messages.empty(); });
  CHECK_EQUAL(1u, one.unsent.size());
}

TEST(PeerTransport, MessagesThatThePeerWouldRefuseAreNotSent) {
  TestNode one(io, HelloOf("n1", 1));
  TestNode two(io, HelloOf("n2", 1));
  CallForward forward;
  forward.request.headers = {{"X", "a\r\nb"}};
  one.transport.Send("n2", two.address(), forward);
  SettingsSnapshot snapshot{1, 2, std::string(kMaxFrameBytes, 's')};
  one.transport.Send("n2", two.address(), snapshot);
  one.transport.Send("n2", two.address(), LinkPing{1});
  RunUntil(io, [&] { return one.unsent.size() == 2 && !two.messages.empty(); });
  CHECK(two.messages[0] == PeerMessage(LinkPing{1}));
}

TEST(PeerTransport, CloseLosesThePeerAndTheNextSendDialsAgain) {
  TestNode one(io, HelloOf("n1", 1));
  TestNode two(io, HelloOf("n2", 1));
  one.transport.Send("n2", two.address(), LinkPing{1});
  RunUntil(io, [&] { return two.messages.size() == 1; });
  one.transport.Close("n2");
  RunUntil(io, [&] { return one.log.size() == 1 && two.log.size() == 2; });
  CHECK(one.log[0] == "lost n2");
  CHECK(two.log[1] == "lost n1");
  one.transport.Send("n2", two.address(), LinkPing{2});
  RunUntil(io, [&] { return two.messages.size() == 2; });
}

TEST(PeerTransport, CloseBeforeTheConnectionMeansNotSentThenLost) {
  TestNode one(io, HelloOf("n1", 1));
  TestNode two(io, HelloOf("n2", 1));
  one.transport.Send("n2", two.address(), LinkPing{1});
  one.transport.Close("n2");
  RunUntil(io, [&] { return one.log.size() == 2; });
  CHECK(one.log == std::vector<std::string>({"not sent to n2", "lost n2"}));
}

// A node answers its last call and ends. The answer was sent before the stop,
// so the peer must get it.
TEST(PeerTransport, StopHandsOverWhatWasSent) {
  TestNode one(io, HelloOf("n1", 1));
  TestNode two(io, HelloOf("n2", 1));
  one.transport.Send("n2", two.address(), LinkPing{1});
  RunUntil(io, [&] { return two.messages.size() == 1; });
  two.transport.Send("n1", NoAddress(), LinkPong{1});
  two.transport.Send("n1", NoAddress(), LinkPong{2});
  two.transport.Stop();
  RunUntil(io, [&] { return one.log.size() == 3; });
  CHECK(one.log == std::vector<std::string>(
                       {"got from n2#1", "got from n2#1", "lost n2"}));
}

TEST(PeerTransport, StoppedTransportTellsNothingMore) {
  TestNode one(io, HelloOf("n1", 1));
  TestNode two(io, HelloOf("n2", 1));
  one.transport.Send("n2", two.address(), LinkPing{1});
  one.transport.Stop();
  one.transport.Send("n2", two.address(), LinkPing{2});
  two.transport.Stop();
  io.run();
  CHECK(one.log.empty());
  CHECK(two.log.empty());
}

}  // namespace amaranth::pvt
