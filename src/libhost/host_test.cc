#include "libhost/host.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

#include "libhost/test_io.h"

namespace amaranth::pvt {

// Hosts with a fake reducer: each test defines its reaction to events.
TEST_GROUP(Host) {
  asio::io_context io;
  std::vector<Event> events;
  std::function<Effects(const Event&)> on_event;
  std::vector<LogLevel> logged;
  std::chrono::milliseconds flush_timeout{5000};
  std::chrono::milliseconds stop_limit{0};

  std::unique_ptr<Host> MakeHost(const std::string& name = "n1",
                                 const Effects& start_effects = {}) {
    HostOptions options;
    const Endpoint any{"127.0.0.1", 0};
    options.self = Hello{{name, 1}, "fleet", "dc"};
    options.caller_listen = any;
    options.operator_listen = any;
    options.peer_listen = any;
    options.gossip_listen = any;
    options.flush_timeout = flush_timeout;
    options.stop_limit = stop_limit;
    HostHooks hooks;
    hooks.make_reducer = [this, start_effects](const HostPorts&) {
      HostReducer reducer;
      reducer.start = [start_effects](TimePoint) { return start_effects; };
      reducer.reduce = [this](const Event& event) {
        events.push_back(event);
        return on_event ? on_event(event) : Effects{};
      };
      return reducer;
    };
    return std::make_unique<Host>(io, options, hooks);
  }

  template <typename T>
  std::vector<T> EventsOf() const {
    std::vector<T> all;
    for (const Event& event : events) {
      if (std::holds_alternative<T>(event.body)) {
        all.push_back(std::get<T>(event.body));
      }
    }
    return all;
  }

  bool Until(const std::function<bool()>& condition) {
    return RunUntil(io, condition);
  }
};

TEST(Host, CallIsSentToABackendServerAndAnswered) {
  RawServer server(io, [](RawConnection& peer) {
    peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nback");
  });
  on_event = [&](const Event& event) -> Effects {
    if (const auto* call = std::get_if<CallerRequest>(&event.body)) {
      return {SendServer{call->call + 100,
                         "s1",
                         {"127.0.0.1", server.port()},
                         call->request,
                         std::chrono::seconds(5)}};
    }
    if (const auto* reply = std::get_if<ServerReplied>(&event.body)) {
      return {AnswerCaller{reply->dispatch - 100, reply->response}};
    }
    return {};
  };
  const std::unique_ptr<Host> host = MakeHost();
  host->Start();
  const auto peer = RawConnection::Connect(io, host->ports().caller);
  peer->Write("GET /x HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return CountOf(peer->received, "back") == 1; }));
  CHECK(events[0].now <= events[1].now);
}

TEST(Host, OperatorPortProducesOperatorRequests) {
  on_event = [](const Event& event) -> Effects {
    const auto* call = std::get_if<OperatorRequest>(&event.body);
    if (call == nullptr) return {};
    return {AnswerCaller{call->call, {200, {}, Body("status")}}};
  };
  const std::unique_ptr<Host> host = MakeHost();
  host->Start();
  const auto peer = RawConnection::Connect(io, host->ports().operators);
  peer->Write("GET /status HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return CountOf(peer->received, "status") == 1; }));
}

TEST(Host, CancelledDispatchEndsInServerFailed) {
  // The reducer cancels a dispatch whose server does not answer. It must get
  // exactly one ServerFailed for it, with verdict may-have-run.
  RawServer server(io, nullptr);
  on_event = [&](const Event& event) -> Effects {
    if (std::holds_alternative<CallerRequest>(event.body)) {
      return {SendServer{
          7, "s1", {"127.0.0.1", server.port()}, {}, std::chrono::seconds(60)}};
    }
    if (std::holds_alternative<CallerGone>(event.body)) {
      return {CancelServer{7}, CancelServer{7}, CancelServer{8}};
    }
    return {};
  };
  const std::unique_ptr<Host> host = MakeHost();
  host->Start();
  const auto peer = RawConnection::Connect(io, host->ports().caller);
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] {
    return !server.peers.empty() && !server.peers[0]->received.empty();
  }));
  peer->Close();
  CHECK(Until([&] { return EventsOf<ServerFailed>().size() == 1; }));
  CHECK(EventsOf<ServerFailed>()[0].verdict == Verdict::kMayHaveRun);
  CHECK_EQUAL(7u, EventsOf<ServerFailed>()[0].dispatch);
}

TEST(Host, LatestWakeAtReplacesEarlierOnes) {
  const TimePoint soon = FromMicros(1);
  const Effects start_effects = {WakeAt{kNever}, WakeAt{soon}};
  const std::unique_ptr<Host> host = MakeHost("n1", start_effects);
  host->Start();
  CHECK(Until([&] { return EventsOf<Tick>().size() == 1; }));
}

TEST(Host, PostponedAlarmFiresOnceAtTheLaterTime) {
  on_event = [&](const Event& event) -> Effects {
    if (std::holds_alternative<StopRequested>(event.body)) {
      return {WakeAt{event.now + std::chrono::milliseconds(5)},
              WakeAt{event.now + std::chrono::milliseconds(30)}};
    }
    return {};
  };
  const std::unique_ptr<Host> host = MakeHost();
  host->Start();
  host->RequestStop();
  CHECK(Until([&] { return EventsOf<Tick>().size() == 1; }));
  CHECK(events[1].now >= events[0].now + std::chrono::milliseconds(30));
}

TEST(Host, UnsetPlatformAnswersUnreachable) {
  const Effects start_effects = {SendPlatform{5, TableReadHead{}}};
  const std::unique_ptr<Host> host = MakeHost("n1", start_effects);
  host->Start();
  CHECK(Until([&] { return EventsOf<PlatformReplied>().size() == 1; }));
  CHECK(EventsOf<PlatformReplied>()[0].reply.status ==
        PlatformStatus::kUnreachable);
}

TEST(Host, PeerMessagesAndGossipAreDelivered) {
  const std::unique_ptr<Host> one = MakeHost("n1");
  const std::unique_ptr<Host> two = MakeHost("n2");
  two->Start();
  on_event = [&](const Event& event) -> Effects {
    if (std::holds_alternative<CallerRequest>(event.body)) {
      return {SendPeer{"n2", {"127.0.0.1", two->ports().peer}, LinkPing{3}},
              SendGossip{{"127.0.0.1", two->ports().gossip}, GossipMessage{}}};
    }
    return {};
  };
  one->Start();
  const auto peer = RawConnection::Connect(io, one->ports().caller);
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return EventsOf<GossipReceived>().size() == 1; }));
  CHECK(Until([&] { return EventsOf<PeerReceived>().size() == 1; }));
  CHECK(EventsOf<PeerReceived>()[0].message == PeerMessage(LinkPing{3}));
}

TEST(Host, ExitWaitsUntilAnswersAreWritten) {
  // A drain answers the last call and ends the process in the same turn. The
  // answer is too large for the kernel to accept at once, so the process must
  // wait until it is written, or the caller gets a truncated body.
  const std::string large(8u << 20, 'w');
  on_event = [&](const Event& event) -> Effects {
    const auto* call = std::get_if<CallerRequest>(&event.body);
    if (call == nullptr) return {};
    return {AnswerCaller{call->call, {200, {}, Body(large)}}, ExitProcess{}};
  };
  const std::unique_ptr<Host> host = MakeHost();
  host->Start();
  const auto peer = RawConnection::Connect(io, host->ports().caller);
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return host->exited(); }));
  CHECK(Until([&] { return peer->received.size() > large.size(); }));
  CHECK_EQUAL(large.size(), CountOf(peer->received, "w"));
}

// Guards against an answer that is cut although its caller reads it, slowly,
// within the time that a planned stop has.
TEST(Host, APlannedStopWaitsForASlowReader) {
  const std::string large(32u << 20, 'w');
  flush_timeout = std::chrono::milliseconds(20);
  stop_limit = std::chrono::seconds(15);
  on_event = [&](const Event& event) -> Effects {
    if (std::holds_alternative<StopRequested>(event.body)) {
      return {ExitProcess{}};
    }
    const auto* call = std::get_if<CallerRequest>(&event.body);
    if (call == nullptr) return {};
    return {AnswerCaller{call->call, {200, {}, Body(large)}}};
  };
  const std::unique_ptr<Host> host = MakeHost();
  host->Start();
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), host->ports().caller});
  const auto peer = std::make_shared<RawConnection>(std::move(socket));
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return !events.empty(); }));
  host->RequestStop();
  const auto reads_from =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
  CHECK(Until([&] { return std::chrono::steady_clock::now() > reads_from; }));
  CHECK(!host->exited());
  peer->Read();
  CHECK(Until([&] { return host->exited(); }));
  CHECK(Until([&] { return peer->received.size() > large.size(); }));
}

// Guards against an answer to another node that is cut by the exit of this one.
TEST(Host, ExitWaitsUntilAnswersToPeersAreWritten) {
  CallAnswer answer;
  answer.response.body = Body(std::string(16u << 20, 'w'));
  std::unique_ptr<Host> two = MakeHost("n2");
  two->Start();
  on_event = [&](const Event& event) -> Effects {
    if (std::holds_alternative<CallerRequest>(event.body)) {
      return {SendPeer{"n2", {"127.0.0.1", two->ports().peer}, LinkPing{3}}};
    }
    const auto* received = std::get_if<PeerReceived>(&event.body);
    if (received == nullptr) return {};
    if (!std::holds_alternative<LinkPing>(received->message)) return {};
    return {SendPeer{"n1", {}, answer}, ExitProcess{}};
  };
  const std::unique_ptr<Host> one = MakeHost("n1");
  one->Start();
  const auto peer = RawConnection::Connect(io, one->ports().caller);
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return two->exited(); }));
  two.reset();
  CHECK(Until([&] {
    const std::vector<PeerReceived> received = EventsOf<PeerReceived>();
    return std::any_of(received.begin(), received.end(), [](const auto& each) {
      const auto* whole = std::get_if<CallAnswer>(&each.message);
      return whole != nullptr && whole->response.body.size() == 16u << 20;
    });
  }));
}

TEST(Host, SecondStopRequestStopsTheLoopImmediately) {
  const std::unique_ptr<Host> host = MakeHost();
  host->Start();
  host->RequestStop();
  CHECK(Until([&] { return EventsOf<StopRequested>().size() == 1; }));
  CHECK(!io.stopped());
  host->RequestStop();
  CHECK(io.stopped());
  CHECK_EQUAL(1u, EventsOf<StopRequested>().size());
}

TEST(Host, ErrorNamesThePortInUse) {
  RawServer taken(io, nullptr);
  HostOptions options;
  options.caller_listen = {"127.0.0.1", taken.port()};
  std::string message;
  try {
    const Host host(io, options, {});
  } catch (const std::exception& error) {
    message = error.what();
  }
  CHECK(message.find("callers on 127.0.0.1:") != std::string::npos);
}

// Operators send SIGHUP to all nodes when a settings file has changed. If the
// signal were not handled, it would end the process and cut the connections of
// callers.
TEST(Host, HangupSignalDoesNotStopTheHost) {
  const std::unique_ptr<Host> host = MakeHost();
  host->HandleSignals();
  host->Start();
  std::raise(SIGHUP);
  std::raise(SIGTERM);
  CHECK(Until([this] { return !EventsOf<StopRequested>().empty(); }));
  CHECK_EQUAL(1u, EventsOf<StopRequested>().size());
}

}  // namespace amaranth::pvt
