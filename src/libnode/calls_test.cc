// End-to-end tests of calls through several nodes in virtual time: the answers
// that callers get.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {

namespace {

constexpr Duration kSettleTime = std::chrono::seconds(3);
constexpr Duration kAnswerTimeout = std::chrono::seconds(10);

size_t RunsOf(const FakeFleet& fleet, const std::string& request_id) {
  size_t runs = 0;
  for (const FakeServerRun& effect : fleet.runs()) {
    if (effect.request_id == request_id) ++runs;
  }
  return runs;
}

FakeServerOptions MakeServer(const std::string& name,
                             const std::string& service,
                             std::vector<std::string> nested = {}) {
  FakeServerOptions options;
  options.name = name;
  options.service = service;
  options.nested = std::move(nested);
  return options;
}

std::optional<ExitProcess> FindExit(const Effects& effects) {
  for (const Effect& effect : effects) {
    const ExitProcess* exit = std::get_if<ExitProcess>(&effect);
    if (exit != nullptr) return *exit;
  }
  return std::nullopt;
}

}  // namespace

TEST_GROUP(Calls) {
  FakeFleet fleet{7};

  // a1 is the entry node; a2 and a3 have one server each.
  void StartTwoServers() {
    fleet.AddNode("a1", "bilbao-a");
    fleet.AddNode("a2", "bilbao-a");
    fleet.AddNode("a3", "bilbao-a");
    fleet.AddServer("a2", MakeServer("s2", "subscriptions"));
    fleet.AddServer("a3", MakeServer("s3", "subscriptions"));
    fleet.RunFor(kSettleTime);
  }

  // Three hosts with one server each: catalogue calls subscriptions, which
  // calls progress.
  void StartChain() {
    fleet.AddNode("a1", "bilbao-a");
    fleet.AddNode("a2", "bilbao-a");
    fleet.AddNode("d1", "donostia");
    fleet.AddServer("a1", MakeServer("c1", "catalogue", {"subscriptions"}));
    fleet.AddServer("a2", MakeServer("s1", "subscriptions", {"progress"}));
    fleet.AddServer("d1", MakeServer("p1", "progress"));
    fleet.RunFor(kSettleTime);
  }

  const FakeAnswer& AnswerTo(const std::string& node, HttpRequest request) {
    const uint64_t call = fleet.Call(node, std::move(request));
    CHECK(fleet.RunUntil([&] { return fleet.AnswerOf(call) != nullptr; },
                         kAnswerTimeout));
    return *fleet.AnswerOf(call);
  }
};

TEST(Calls, AChainOfThreeServicesIsAnswered) {
  StartChain();
  const FakeAnswer& answer =
      AnswerTo("d1", MakeRequest("GET", "catalogue", "browse", "r1"));
  CHECK_EQUAL(200, answer.response.status);
  CHECK_EQUAL(3u, RunsOf(fleet, "r1"));
  STRCMP_EQUAL("ran", answer.Verdict().c_str());
}

TEST(Calls, AnUnknownServiceIsRefusedAsNotRun) {
  StartChain();
  const FakeAnswer& answer = AnswerTo("a1", MakeRequest("GET", "nowhere"));
  CHECK_EQUAL(404, answer.response.status);
  STRCMP_EQUAL("not-run", answer.Verdict().c_str());
}

TEST(Calls, AContextOfNoHopIsRejected) {
  StartChain();
  HttpRequest request = MakeRequest("GET", "progress");
  request.headers.push_back({"X-Amaranth-Context", "c1.1.1"});
  const FakeAnswer& answer = AnswerTo("a1", std::move(request));
  CHECK_EQUAL(400, answer.response.status);
}

// Both serving nodes crash with calls in flight; the entry node sees the lost
// links. An idempotent call may be retried, but a POST may have run and must be
// answered so.
TEST(Calls, ACallAtACrashedHostIsRetriedOnlyIfIdempotent) {
  fleet.AddNode("a1", "bilbao-a");
  fleet.AddNode("a2", "bilbao-a");
  fleet.AddNode("a3", "bilbao-a");
  FakeServerOptions slow = MakeServer("s2", "subscriptions");
  slow.service_time = std::chrono::milliseconds(300);
  fleet.AddServer("a2", slow);
  slow.name = "s3";
  fleet.AddServer("a3", slow);
  fleet.RunFor(kSettleTime);
  const uint64_t get =
      fleet.Call("a1", MakeRequest("GET", "subscriptions", "x", "get"));
  const uint64_t post =
      fleet.Call("a1", MakeRequest("POST", "subscriptions", "x"));
  fleet.RunFor(std::chrono::milliseconds(100));
  fleet.Kill("a2");
  fleet.Kill("a3");
  fleet.Restart("a3");
  CHECK(fleet.RunUntil(
      [&] {
        return fleet.AnswerOf(get) != nullptr &&
               fleet.AnswerOf(post) != nullptr;
      },
      kAnswerTimeout));
  STRCMP_EQUAL("may-have-run", fleet.AnswerOf(post)->Verdict().c_str());
}

// Guards against a charge that runs twice. A caller that lost its answer
// resends the request under the same key through another node of the data
// centre. The claim in the platform's table names the first node, so the caller
// gets the same answer.
TEST(Calls, AKeyResentThroughAnotherNodeRunsOnce) {
  fleet.AddNode("a1", "bilbao-a", true);
  fleet.AddNode("a2", "bilbao-a", true);
  fleet.AddServer("a1", MakeServer("s1", "subscriptions"));
  fleet.AddServer("a2", MakeServer("s2", "subscriptions"));
  fleet.RunFor(kSettleTime);
  const FakeAnswer first = AnswerTo(
      "a1", MakeRequest("POST", "subscriptions", "renewal", "r1", "k"));
  const FakeAnswer second = AnswerTo(
      "a2", MakeRequest("POST", "subscriptions", "renewal", "r1", "k"));
  CHECK_EQUAL(200, first.response.status);
  CHECK_EQUAL(200, second.response.status);
  CHECK(first.response.body == second.response.body);
  CHECK_EQUAL(1u, RunsOf(fleet, "r1"));
}

// While the platform is down, no node can know whether another one has run a
// key. The caller is told without delay that the outcome is unknown, and when
// to retry; the request is not run. A request with a ticket from an earlier
// answer needs no claim and is served.
TEST(Calls, WithoutPlatformATicketIsServedAndAKeyIsNot) {
  fleet.AddNode("a1", "bilbao-a", true);
  fleet.AddNode("a2", "bilbao-a", true);
  fleet.AddServer("a1", MakeServer("s1", "subscriptions"));
  fleet.RunFor(kSettleTime);
  const FakeAnswer page = AnswerTo("a1", MakeRequest("GET", "subscriptions"));
  const std::string ticket(
      FindHeader(page.response.headers, "X-Amaranth-Ticket"));
  fleet.SetPlatform(PlatformMode::kDown);
  const FakeAnswer keyed = AnswerTo(
      "a2", MakeRequest("POST", "subscriptions", "renewal", "r1", "k"));
  STRCMP_EQUAL("may-have-run", keyed.Verdict().c_str());
  STRCMP_EQUAL("platform-down", keyed.Reason().c_str());
  CHECK(!FindHeader(keyed.response.headers, "Retry-After").empty());
  CHECK(keyed.at - keyed.sent_at < std::chrono::milliseconds(200));
  for (int resend = 0; resend < 2; ++resend) {
    const FakeAnswer ticketed = AnswerTo(
        "a2", MakeRequest("POST", "subscriptions", "renewal", "r2", ticket));
    CHECK_EQUAL(200, ticketed.response.status);
  }
  CHECK_EQUAL(0u, RunsOf(fleet, "r1"));
  CHECK_EQUAL(1u, RunsOf(fleet, "r2"));
}

// Guards against a second charge. The home node of a ticket crashes after the
// request ran; no node may run that ticket again, the restarted home included.
TEST(Calls, ATicketIsNotRunAgainAfterItsHomeCrashed) {
  fleet.AddNode("a1", "bilbao-a");
  fleet.AddNode("a2", "bilbao-a");
  fleet.AddServer("a2", MakeServer("s2", "subscriptions"));
  fleet.RunFor(kSettleTime);
  const FakeAnswer page = AnswerTo("a1", MakeRequest("GET", "subscriptions"));
  const std::string ticket(
      FindHeader(page.response.headers, "X-Amaranth-Ticket"));
  const HttpRequest renewal =
      MakeRequest("POST", "subscriptions", "renewal", "r1", ticket);
  CHECK_EQUAL(200, AnswerTo("a2", renewal).response.status);
  fleet.Kill("a1");
  fleet.Restart("a1");
  fleet.RunFor(kSettleTime);
  for (const char* node : {"a1", "a2"}) {
    const FakeAnswer repeated = AnswerTo(node, renewal);
    STRCMP_EQUAL("may-have-run", repeated.Verdict().c_str());
  }
  CHECK_EQUAL(1u, RunsOf(fleet, "r1"));
}

// A call is sent over a link that is unresponsive for 1.9 s, which is shorter
// than the time after which a link is dropped. The entry node must not fail the
// call meanwhile; it is answered once the link recovers.
TEST(Calls, ACallOnAnUnresponsiveLinkIsAnsweredWhenItRecovers) {
  fleet.AddNode("a1", "bilbao-a");
  fleet.AddNode("a2", "bilbao-a");
  fleet.AddServer("a2", MakeServer("s2", "subscriptions"));
  fleet.RunFor(kSettleTime);
  CHECK_EQUAL(
      200, AnswerTo("a1", MakeRequest("GET", "subscriptions")).response.status);
  fleet.Cut("a1", "a2");
  HttpRequest request = MakeRequest("GET", "subscriptions");
  request.headers.push_back({"X-Amaranth-Deadline-Ms", "8000"});
  const uint64_t call = fleet.Call("a1", std::move(request));
  fleet.RunFor(std::chrono::milliseconds(1900));
  CHECK(fleet.AnswerOf(call) == nullptr);
  fleet.At(Duration(100), [this] { fleet.Heal(); });
  CHECK(fleet.RunUntil([&] { return fleet.AnswerOf(call) != nullptr; },
                       kAnswerTimeout));
  CHECK_EQUAL(200, fleet.AnswerOf(call)->response.status);
}

// An unresponsive host delays new calls for half a second, not for the two
// until its link is dropped. When the ping stays unanswered, new calls go to
// the other server; the link is kept, because a host that is only slow may
// still answer.
TEST(Calls, CallsAvoidAnUnresponsiveHostBeforeItsLinkIsDropped) {
  StartTwoServers();
  fleet.Cut("a1", "a2");
  std::vector<uint64_t> calls;
  for (int i = 0; i < 200; ++i) {
    fleet.At(std::chrono::milliseconds(5) * i, [&] {
      calls.push_back(fleet.Call("a1", MakeRequest("POST", "subscriptions")));
    });
  }
  fleet.RunFor(std::chrono::milliseconds(1200));
  int unanswered = 0;
  for (size_t i = 110; i < calls.size(); ++i) {
    if (fleet.AnswerOf(calls[i]) == nullptr) ++unanswered;
  }
  CHECK_EQUAL(0, unanswered);
}

// All requests are answered during a graceful shutdown of a node: it announces
// the shutdown to the others, completes its calls, and exits.
TEST(Calls, AGracefulShutdownFailsNoRequest) {
  StartTwoServers();
  std::vector<uint64_t> calls;
  for (int i = 0; i < 600; ++i) {
    fleet.At(std::chrono::milliseconds(5) * i, [&] {
      calls.push_back(fleet.Call(
          "a1",
          MakeRequest(calls.size() % 2 ? "GET" : "POST", "subscriptions")));
    });
  }
  fleet.RunFor(std::chrono::milliseconds(500));
  fleet.Stop("a2");
  fleet.RunFor(std::chrono::seconds(5));
  CHECK(fleet.Exited("a2"));
  CHECK_EQUAL(600u, calls.size());
  for (const uint64_t call : calls) {
    CHECK(fleet.AnswerOf(call) != nullptr);
    CHECK_EQUAL(200, fleet.AnswerOf(call)->response.status);
  }
}

// Guards against calls that a stopping node has accepted and that end without
// an answer, because they wait in the queue of another node at its exit.
TEST(Calls, AStoppingNodeAnswersCallsThatWaitAtAnotherNode) {
  fleet.rules.admit_at_edge = true;  // calls wait until their deadlines
  fleet.AddNode("a1", "bilbao-a", true);
  fleet.AddNode("a2", "bilbao-a", true);
  FakeServerOptions server = MakeServer("s2", "subscriptions");
  server.slots = 1;
  server.service_time = std::chrono::seconds(2);
  fleet.AddServer("a2", server);
  fleet.RunFor(kSettleTime);
  HttpRequest change;
  change.method = "POST";
  change.target = "/settings";
  change.body = Body(
      R"({"changes":[{"path":"","name":"drain_timeout_ms","value":"3000"}]})");
  CHECK_EQUAL(200, fleet.CallOperatorApi("a1", change).status);
  fleet.RunFor(std::chrono::seconds(5));
  std::vector<uint64_t> calls;
  for (int i = 0; i < 4; ++i) {
    HttpRequest request =
        MakeRequest("GET", "subscriptions", "browse", "r" + std::to_string(i));
    SetHeader(request.headers, "X-Amaranth-Deadline-Ms", "20000");
    calls.push_back(fleet.Call("a1", request));
  }
  fleet.RunFor(std::chrono::milliseconds(100));
  fleet.Stop("a1");
  CHECK(fleet.RunUntil([&] { return fleet.Exited("a1"); },
                       std::chrono::milliseconds(3500)));
  std::map<std::string, int> verdicts;
  for (const uint64_t call : calls) {
    CHECK(fleet.AnswerOf(call) != nullptr);
    ++verdicts[fleet.AnswerOf(call)->Verdict()];
  }
  CHECK_EQUAL(1, verdicts["ran"]);
  CHECK_EQUAL(1, verdicts["may-have-run"]);
  CHECK_EQUAL(2, verdicts["not-run"]);
  fleet.RunFor(std::chrono::seconds(10));
  CHECK_EQUAL(2u, fleet.runs().size());
}

// A request that crashes its server runs at two servers at most: at the first
// among other calls, at the second alone as a suspect. It is then quarantined
// and refused with that reason; other requests are served.
TEST(Calls, ARequestThatCrashesServersReachesOnlyTwo) {
  for (const char* name : {"a1", "a2", "a3", "a4", "a5"}) {
    fleet.AddNode(name, "bilbao-a");
  }
  for (const char* host : {"2", "3", "4", "5"}) {
    FakeServerOptions options =
        MakeServer(std::string("s") + host, "subscriptions");
    options.crash_body = "boom";
    fleet.AddServer(std::string("a") + host, options);
  }
  fleet.RunFor(kSettleTime);
  HttpRequest poison = MakeRequest("GET", "subscriptions", "x", "poison");
  poison.body = Body("boom");
  std::string reason;
  for (int resend = 0; resend < 6; ++resend) {
    for (int i = 0; i < 20; ++i) {
      HttpRequest harmless = MakeRequest("GET", "subscriptions");
      harmless.target = "/" + std::to_string(i);
      fleet.Call("a1", harmless);
    }
    reason = AnswerTo("a1", poison).Reason();
    fleet.RunFor(std::chrono::milliseconds(300));
  }
  STRCMP_EQUAL("quarantined", reason.c_str());
  CHECK_EQUAL(2u, RunsOf(fleet, "poison"));
  const FakeAnswer after = AnswerTo("a1", MakeRequest("GET", "subscriptions"));
  CHECK_EQUAL(200, after.response.status);
}

// Guards against the verdict "not run" for a request that ran. The first
// attempt ran, but its nested call failed and the server answered 503; the
// retry is refused before it runs, and the verdict of that refusal must not
// replace the first one. Regression test for seed 899 of the Promises group.
TEST(Calls, ARefusedRetryDoesNotHideThatTheFirstAttemptRan) {
  fleet.AddNode("a1", "bilbao-a");
  FakeServerOptions side = MakeServer("s1", "side");
  side.crash_body = "boom";
  side.restart_after = std::chrono::hours(1);
  fleet.AddServer("a1", side);
  FakeServerOptions front = MakeServer("f1", "front", {"side"});
  front.service_time = std::chrono::milliseconds(200);
  fleet.AddServer("a1", front);
  fleet.RunFor(kSettleTime);
  HttpRequest poison = MakeRequest("POST", "side");
  poison.body = Body("boom");
  AnswerTo("a1", std::move(poison));
  fleet.RunFor(kSettleTime);  // side has no server left
  // From a first answer the node learns the service time, so that it refuses
  // the retry, whose remaining time is too short.
  AnswerTo("a1", MakeRequest("POST", "front"));
  // One call a second with too little time left is run as a probe: this one.
  HttpRequest probe = MakeRequest("POST", "front");
  probe.headers.push_back({"X-Amaranth-Deadline-Ms", "100"});
  fleet.Call("a1", std::move(probe));
  HttpRequest request = MakeRequest("GET", "front", "x", "r1");
  request.headers.push_back({"X-Amaranth-Deadline-Ms", "390"});
  const FakeAnswer& answer = AnswerTo("a1", std::move(request));
  CHECK_EQUAL(1u, RunsOf(fleet, "r1"));
  STRCMP_EQUAL("may-have-run", answer.Verdict().c_str());
}

// A host crashes with forty reads in flight and more arriving. All are retried
// at once, far above the retry ratio, at servers that are not overloaded. A
// retry budget that counted these retries would fail most of them.
TEST(Calls, ReadsOfACrashedHostAreAllRetriedBelowCapacity) {
  for (const char* name : {"a1", "a2", "a3", "a4"}) {
    fleet.AddNode(name, "bilbao-a");
  }
  for (const char* host : {"2", "3", "4"}) {
    FakeServerOptions options =
        MakeServer(std::string("s") + host, "subscriptions");
    options.slots = 100;
    options.service_time = std::chrono::milliseconds(50);
    fleet.AddServer(std::string("a") + host, options);
  }
  fleet.RunFor(kSettleTime);
  std::vector<uint64_t> calls;
  for (int i = 0; i < 300; ++i) {
    fleet.At(std::chrono::milliseconds(2) * i, [&] {
      calls.push_back(fleet.Call("a1", MakeRequest("GET", "subscriptions")));
    });
  }
  fleet.RunFor(std::chrono::milliseconds(300));
  fleet.Kill("a2");
  fleet.RunFor(std::chrono::seconds(4));
  CHECK_EQUAL(300u, calls.size());
  for (const uint64_t call : calls) {
    CHECK(fleet.AnswerOf(call) != nullptr);
    CHECK_EQUAL(200, fleet.AnswerOf(call)->response.status);
  }
}

// Guards against the quarantine of a popular page that is in flight at each
// crash caused by another request. It was answered recently, so it is no
// suspect: it is neither run one at a time nor quarantined.
TEST(Calls, APopularPageIsNoCrashSuspect) {
  for (const char* name : {"a1", "a2", "a3"}) fleet.AddNode(name, "bilbao-a");
  for (const char* host : {"2", "3"}) {
    FakeServerOptions options =
        MakeServer(std::string("s") + host, "subscriptions");
    options.crash_body = "boom";
    options.restart_after = std::chrono::milliseconds(100);
    fleet.AddServer(std::string("a") + host, options);
  }
  fleet.RunFor(kSettleTime);
  size_t pages = 0;
  for (int i = 0; i < 1000; ++i) {
    fleet.At(std::chrono::milliseconds(3) * i, [&] {
      fleet.Call("a1", MakeRequest("GET", "subscriptions", "page"));
    });
  }
  size_t quarantined = 0;
  fleet.on_answer = [&](uint64_t, const FakeAnswer& answer) {
    if (answer.response.status == 200) ++pages;
    if (answer.Reason() == "quarantined") ++quarantined;
  };
  for (int i = 0; i < 3; ++i) {
    fleet.At(std::chrono::milliseconds(500) * (i + 1), [&] {
      HttpRequest poison = MakeRequest("POST", "subscriptions");
      poison.body = Body("boom");
      fleet.Call("a1", std::move(poison));
    });
  }
  fleet.RunFor(std::chrono::seconds(6));
  CHECK(pages > 950);
  CHECK(quarantined <= 1);
}

// Guards against the quarantine of harmless requests. They are in flight at a
// first crash and therefore suspects; a second request that crashes its server
// arrives as an ordinary call while they are resent. If a suspect ran beside
// it, the wrong request would be the only suspect in flight at the second
// crash.
TEST(Calls, AHarmlessSuspectIsNotQuarantinedForAnotherRequest) {
  fleet.AddNode("a1", "bilbao-a");
  for (const char* host : {"2", "3", "4", "5", "6", "7"}) {
    fleet.AddNode(std::string("a") + host, "bilbao-a");
    FakeServerOptions options =
        MakeServer(std::string("s") + host, "subscriptions");
    options.service_time = std::chrono::milliseconds(40);
    options.crash_body = "boom";
    options.restart_after = std::chrono::milliseconds(300);
    fleet.AddServer(std::string("a") + host, options);
  }
  fleet.RunFor(kSettleTime);
  const auto harmless = [](int number) {
    HttpRequest request = MakeRequest("GET", "subscriptions");
    request.target = "/harmless/" + std::to_string(number);
    return request;
  };
  const auto poison = [](int number) {
    HttpRequest request = MakeRequest("GET", "subscriptions");
    request.target = "/poison/" + std::to_string(number);
    request.body = Body("boom");
    return request;
  };
  constexpr int kHarmlessRequests = 24;
  for (int wave = 0; wave < 6; ++wave) {
    for (int i = 0; i < kHarmlessRequests; ++i) fleet.Call("a1", harmless(i));
    fleet.Call("a1", poison(wave));
    fleet.RunFor(std::chrono::milliseconds(60));
    for (int i = 0; i < kHarmlessRequests; ++i) fleet.Call("a1", harmless(i));
    fleet.Call("a1", poison(wave + 100));
    fleet.RunFor(std::chrono::seconds(1));
  }
  fleet.RunFor(kSettleTime);
  for (int i = 0; i < kHarmlessRequests; ++i) {
    CHECK_EQUAL(200, AnswerTo("a1", harmless(i)).response.status);
  }
}

// Guards against a wrong verdict "not run", after which the caller would resend
// under a new key and be charged twice. The request ran through the first node,
// its answer was lost, and the caller resends it through the second node while
// the platform is down.
TEST(Calls, AKeyThatRanIsNeverAnsweredNotRunByAnotherNode) {
  fleet.AddNode("a1", "bilbao-a", true);
  fleet.AddNode("a2", "bilbao-a", true);
  fleet.AddServer("a1", MakeServer("s1", "subscriptions"));
  fleet.RunFor(kSettleTime);
  const HttpRequest renewal =
      MakeRequest("POST", "subscriptions", "renewal", "r1", "k");
  CHECK_EQUAL(200, AnswerTo("a1", renewal).response.status);
  fleet.SetPlatform(PlatformMode::kDown);
  STRCMP_EQUAL("may-have-run", AnswerTo("a2", renewal).Verdict().c_str());
  fleet.SetPlatform(PlatformMode::kUp);
  CHECK_EQUAL(200, AnswerTo("a2", renewal).response.status);
  CHECK_EQUAL(1u, RunsOf(fleet, "r1"));
}

// Guards against retries multiplied by the backend servers. A server repeats
// its failing nested call 100 times; each repeat is a retry that needs a retry
// credit, so the nested service runs no more often than the credits allow.
TEST(Calls, RepeatsByABackendServerUseTheSameCredits) {
  fleet.AddNode("a1", "bilbao-a");
  FakeServerOptions deep = MakeServer("d1", "deep");
  deep.failing = true;
  fleet.AddServer("a1", deep);
  FakeServerOptions front = MakeServer("f1", "front", {"deep"});
  front.server_retries = 100;
  fleet.AddServer("a1", front);
  fleet.RunFor(kSettleTime);
  HttpRequest request = MakeRequest("POST", "front");
  request.headers.push_back({"X-Amaranth-Deadline-Ms", "20000"});
  AnswerTo("a1", std::move(request));
  size_t deep_runs = 0;
  for (const FakeServerRun& effect : fleet.runs()) {
    if (effect.service == "deep") ++deep_runs;
  }
  CHECK(deep_runs >= 2);
  CHECK(deep_runs <= 4);
}

// A process was paused while a new process of the same name took over its host.
// When it resumes and learns of its successor by gossip, it is no longer ready
// and exits.
TEST(Calls, ASupersededProcessExitsWhenItLearnsOfItsSuccessor) {
  NodeIdentity identity;
  identity.node = {"a1", 1};
  identity.use_platform = false;
  Node node(identity);
  node.Start(FromMicros(0));
  CHECK(node.ready());
  GossipMessage gossip;
  gossip.from = {"a2", 1};
  MemberRecord successor;
  successor.node = {"a1", 2};
  successor.peer_address = {"10.0.0.9", 7620};
  successor.version = 1;
  gossip.updates = {successor};
  node.Reduce({FromMicros(1000), GossipReceived{{"a2", 2}, gossip}});
  CHECK_FALSE(node.ready());
  const Effects effects = node.Reduce({FromMicros(10'000'000), Tick{}});
  CHECK(FindExit(effects) == ExitProcess{0});
}

// The process started later but has the lower incarnation, because the clock of
// its host went back. No other process serves the host, so it must restart with
// an incarnation above the one that its peers know.
TEST(Calls, AProcessWithALowerIncarnationRestartsAboveItsPredecessor) {
  NodeIdentity identity;
  identity.node = {"a1", 50};
  identity.peer_address = {"10.0.0.1", 7620};
  identity.use_platform = false;
  Node node(identity);
  node.Start(FromMicros(0));
  GossipMessage gossip;
  gossip.from = {"a2", 1};
  MemberRecord predecessor;
  predecessor.node = {"a1", 100};
  predecessor.peer_address = identity.peer_address;
  predecessor.state = MemberState::kDead;
  gossip.updates = {predecessor};
  node.Reduce({FromMicros(1000), GossipReceived{{"a2", 2}, gossip}});
  const Effects effects = node.Reduce({FromMicros(10'000'000), Tick{}});
  CHECK(FindExit(effects) == ExitProcess{100});
}

// Guards against server choices that cannot be explained afterwards: metrics
// give the age of the load reports that an entry node used, and how often it
// had none.
TEST(Calls, MetricsGiveTheAgeOfTheLoadReportsUsed) {
  StartTwoServers();
  for (int i = 0; i < 20; ++i) {
    fleet.Call("a1", MakeRequest("GET", "subscriptions"));
    fleet.RunFor(std::chrono::milliseconds(100));
  }
  const std::string metrics = fleet.node("a1").MetricsText();
  CHECK(metrics.find("amaranth_choices_unreported_total 2\n") !=
        std::string::npos);
  CHECK(metrics.find("amaranth_latency_seconds_count{tenant=\"node\","
                     "class=\"choice\",outcome=\"report-age\"} 18\n") !=
        std::string::npos);
}

// Guards against calls to the platform that no metric counts.
TEST(Calls, MetricsCountPlatformCallsByKind) {
  fleet.AddNode("a1", "bilbao-a", true);
  fleet.RunFor(kSettleTime);
  const std::string metrics = fleet.node("a1").MetricsText();
  CHECK(metrics.find("amaranth_platform_calls_total{kind=\"read-head\"}") !=
        std::string::npos);
}

}  // namespace amaranth::pvt
