// Calls through several nodes in virtual time: what callers get.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {

namespace {

constexpr Duration kSettle = std::chrono::seconds(3);
constexpr Duration kPatience = std::chrono::seconds(10);

size_t RunsOf(const FakeFleet& fleet, const std::string& request_id) {
  size_t runs = 0;
  for (const Effected& effect : fleet.effects()) {
    if (effect.request_id == request_id) ++runs;
  }
  return runs;
}

FakeServerOptions ServerOf(const std::string& name, const std::string& service,
                           std::vector<std::string> nested = {}) {
  FakeServerOptions options;
  options.name = name;
  options.service = service;
  options.nested = std::move(nested);
  return options;
}

std::optional<ExitProcess> ExitIn(const Effects& effects) {
  for (const Effect& effect : effects) {
    const ExitProcess* exit = std::get_if<ExitProcess>(&effect);
    if (exit != nullptr) return *exit;
  }
  return std::nullopt;
}

}  // namespace

TEST_GROUP(Calls) {
  FakeFleet fleet{7};

  // a1 takes the calls; a2 and a3 have a server each.
  void StartTwoServers() {
    fleet.AddNode("a1", "bilbao-a");
    fleet.AddNode("a2", "bilbao-a");
    fleet.AddNode("a3", "bilbao-a");
    fleet.AddServer("a2", ServerOf("s2", "subscriptions"));
    fleet.AddServer("a3", ServerOf("s3", "subscriptions"));
    fleet.RunFor(kSettle);
  }

  // Three hosts; catalogue calls subscriptions calls progress.
  void StartChain() {
    fleet.AddNode("a1", "bilbao-a");
    fleet.AddNode("a2", "bilbao-a");
    fleet.AddNode("d1", "donostia");
    fleet.AddServer("a1", ServerOf("c1", "catalogue", {"subscriptions"}));
    fleet.AddServer("a2", ServerOf("s1", "subscriptions", {"progress"}));
    fleet.AddServer("d1", ServerOf("p1", "progress"));
    fleet.RunFor(kSettle);
  }

  const FakeAnswer& AnswerTo(const std::string& node, HttpRequest request) {
    const uint64_t call = fleet.Call(node, std::move(request));
    CHECK(fleet.RunUntil([&] { return fleet.AnswerOf(call) != nullptr; },
                         kPatience));
    return *fleet.AnswerOf(call);
  }
};

TEST(Calls, AChainThreeDeepIsAnsweredWhole) {
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

TEST(Calls, AContextThatNamesNoHopIsRefused) {
  StartChain();
  HttpRequest request = MakeRequest("GET", "progress");
  request.headers.push_back({"X-Amaranth-Context", "c1.1.1"});
  const FakeAnswer& answer = AnswerTo("a1", std::move(request));
  CHECK_EQUAL(400, answer.response.status);
}

// The caller sees one answer. The serving node dies with the call in flight;
// the entry node learns it from the broken link. A GET is tried again at the
// other server, a POST is not: it may have run.
TEST(Calls, ADyingHostIsRetriedOnlyWhenIdempotent) {
  fleet.AddNode("a1", "bilbao-a");
  fleet.AddNode("a2", "bilbao-a");
  fleet.AddNode("a3", "bilbao-a");
  FakeServerOptions slow = ServerOf("s2", "subscriptions");
  slow.service_time = std::chrono::milliseconds(300);
  fleet.AddServer("a2", slow);
  slow.name = "s3";
  fleet.AddServer("a3", slow);
  fleet.RunFor(kSettle);
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
      kPatience));
  STRCMP_EQUAL("may-have-run", fleet.AnswerOf(post)->Verdict().c_str());
}

// The caller sees the same answer twice; the charge ran once. It lost the
// first answer and sends the renewal again under the same key, through another
// node of the data centre; the platform's claim names the first node.
TEST(Calls, AKeySentTwiceThroughTwoNodesRunsOnce) {
  fleet.AddNode("a1", "bilbao-a", true);
  fleet.AddNode("a2", "bilbao-a", true);
  fleet.AddServer("a1", ServerOf("s1", "subscriptions"));
  fleet.AddServer("a2", ServerOf("s2", "subscriptions"));
  fleet.RunFor(kSettle);
  const FakeAnswer first = AnswerTo(
      "a1", MakeRequest("POST", "subscriptions", "renewal", "r1", "k"));
  const FakeAnswer second = AnswerTo(
      "a2", MakeRequest("POST", "subscriptions", "renewal", "r1", "k"));
  CHECK_EQUAL(200, first.response.status);
  CHECK_EQUAL(200, second.response.status);
  CHECK(first.response.body == second.response.body);
  CHECK_EQUAL(1u, RunsOf(fleet, "r1"));
}

// The caller is told at once that the key's fate is unknown, and when to come
// back. The platform is down, so nobody can tell whether another node has run
// this key; here none has, and none does. With a ticket from an earlier answer
// the same renewal is served.
TEST(Calls, WithoutPlatformATicketServesWhatAKeyCannot) {
  fleet.AddNode("a1", "bilbao-a", true);
  fleet.AddNode("a2", "bilbao-a", true);
  fleet.AddServer("a1", ServerOf("s1", "subscriptions"));
  fleet.RunFor(kSettle);
  const FakeAnswer page = AnswerTo("a1", MakeRequest("GET", "subscriptions"));
  const std::string ticket(
      FindHeader(page.response.headers, "X-Amaranth-Ticket"));
  fleet.SetPlatform(PlatformMode::kDown);
  const FakeAnswer keyed = AnswerTo(
      "a2", MakeRequest("POST", "subscriptions", "renewal", "r1", "k"));
  STRCMP_EQUAL("may-have-run", keyed.Verdict().c_str());
  STRCMP_EQUAL("platform-down", keyed.Reason().c_str());
  CHECK(!FindHeader(keyed.response.headers, "Retry-After").empty());
  CHECK(keyed.at - keyed.asked < std::chrono::milliseconds(200));
  for (int resend = 0; resend < 2; ++resend) {
    const FakeAnswer ticketed = AnswerTo(
        "a2", MakeRequest("POST", "subscriptions", "renewal", "r2", ticket));
    CHECK_EQUAL(200, ticketed.response.status);
  }
  CHECK_EQUAL(0u, RunsOf(fleet, "r1"));
  CHECK_EQUAL(1u, RunsOf(fleet, "r2"));
}

// The caller sees "may have run" and no second charge. Its ticket's home dies
// after the request was dispatched; no other node may run that ticket.
TEST(Calls, ATicketWhoseHomeDiedIsNeverRunAgain) {
  fleet.AddNode("a1", "bilbao-a");
  fleet.AddNode("a2", "bilbao-a");
  fleet.AddServer("a2", ServerOf("s2", "subscriptions"));
  fleet.RunFor(kSettle);
  const FakeAnswer page = AnswerTo("a1", MakeRequest("GET", "subscriptions"));
  const std::string ticket(
      FindHeader(page.response.headers, "X-Amaranth-Ticket"));
  const HttpRequest renewal =
      MakeRequest("POST", "subscriptions", "renewal", "r1", ticket);
  CHECK_EQUAL(200, AnswerTo("a2", renewal).response.status);
  fleet.Kill("a1");
  fleet.Restart("a1");
  fleet.RunFor(kSettle);
  for (const char* node : {"a1", "a2"}) {
    const FakeAnswer again = AnswerTo(node, renewal);
    STRCMP_EQUAL("may-have-run", again.Verdict().c_str());
  }
  CHECK_EQUAL(1u, RunsOf(fleet, "r1"));
}

// The caller sees its whole answer. The link between entry and serving node
// goes silent with the call in flight, while new connections work; the entry
// node pings, drops the link, and the GET goes on over a fresh one.
TEST(Calls, ASilentLinkIsDroppedAndAGetGoesOn) {
  fleet.AddNode("a1", "bilbao-a");
  fleet.AddNode("a2", "bilbao-a");
  fleet.AddServer("a2", ServerOf("s2", "subscriptions"));
  fleet.RunFor(kSettle);
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
                       kPatience));
  CHECK_EQUAL(200, fleet.AnswerOf(call)->response.status);
}

// Callers notice a host that falls silent for half a second, not for two. Its
// link is pinged, and as no answer comes new calls go to the other server; the
// link itself is kept, as a host that was only slow may still answer.
TEST(Calls, CallsPassByASilentHostBeforeItsLinkIsDropped) {
  StartTwoServers();
  fleet.Cut("a1", "a2");
  std::vector<uint64_t> calls;
  for (int i = 0; i < 200; ++i) {
    fleet.At(std::chrono::milliseconds(5) * i, [&] {
      calls.push_back(fleet.Call("a1", MakeRequest("POST", "subscriptions")));
    });
  }
  fleet.RunFor(std::chrono::milliseconds(1200));
  int late = 0;
  for (size_t i = 110; i < calls.size(); ++i) {
    if (fleet.AnswerOf(calls[i]) == nullptr) ++late;
  }
  CHECK_EQUAL(0, late);
}

// Callers see whole answers throughout a planned stop of a node and its
// server's host: the node tells the others, finishes what it has, and exits.
TEST(Calls, APlannedStopCutsNoRequest) {
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

// Callers of the poison request see a final answer with its reason; others are
// served. It crashes the first server among others in flight, is run with no
// other suspect at the second, and never reaches a third.
TEST(Calls, ACrashMakerReachesTwoServersOnly) {
  for (const char* name : {"a1", "a2", "a3", "a4", "a5"}) {
    fleet.AddNode(name, "bilbao-a");
  }
  for (const char* host : {"2", "3", "4", "5"}) {
    FakeServerOptions options =
        ServerOf(std::string("s") + host, "subscriptions");
    options.crash_body = "boom";
    fleet.AddServer(std::string("a") + host, options);
  }
  fleet.RunFor(kSettle);
  HttpRequest deadly = MakeRequest("GET", "subscriptions", "x", "deadly");
  deadly.body = Body("boom");
  std::string reason;
  for (int resend = 0; resend < 6; ++resend) {
    for (int i = 0; i < 20; ++i) {
      HttpRequest innocent = MakeRequest("GET", "subscriptions");
      innocent.target = "/" + std::to_string(i);
      fleet.Call("a1", innocent);
    }
    reason = AnswerTo("a1", deadly).Reason();
    fleet.RunFor(std::chrono::milliseconds(300));
  }
  STRCMP_EQUAL("quarantined", reason.c_str());
  CHECK_EQUAL(2u, RunsOf(fleet, "deadly"));
  const FakeAnswer after = AnswerTo("a1", MakeRequest("GET", "subscriptions"));
  CHECK_EQUAL(200, after.response.status);
}

// The caller must not be told "not run". The first server ran the GET but its
// nested call failed, so it answered 503; the second try is refused unrun.
// Found by seed 899 of the promises: the refusal's verdict hid the first run.
TEST(Calls, ARefusedRetryDoesNotHideThatTheFirstTryRan) {
  fleet.AddNode("a1", "bilbao-a");
  FakeServerOptions side = ServerOf("s1", "side");
  side.crash_body = "boom";
  side.restart_after = std::chrono::hours(1);
  fleet.AddServer("a1", side);
  FakeServerOptions front = ServerOf("f1", "front", {"side"});
  front.service_time = std::chrono::milliseconds(200);
  fleet.AddServer("a1", front);
  fleet.RunFor(kSettle);
  HttpRequest deadly = MakeRequest("POST", "side");
  deadly.body = Body("boom");
  AnswerTo("a1", std::move(deadly));
  fleet.RunFor(kSettle);  // side has no server left
  // A first answer teaches the node how long the server takes, so that it
  // refuses the retry, for which too little time is left, unrun.
  AnswerTo("a1", MakeRequest("POST", "front"));
  // One hopeless call a second is let through as a probe: this one.
  HttpRequest probe = MakeRequest("POST", "front");
  probe.headers.push_back({"X-Amaranth-Deadline-Ms", "100"});
  fleet.Call("a1", std::move(probe));
  HttpRequest request = MakeRequest("GET", "front", "x", "r1");
  request.headers.push_back({"X-Amaranth-Deadline-Ms", "390"});
  const FakeAnswer& answer = AnswerTo("a1", std::move(request));
  CHECK_EQUAL(1u, RunsOf(fleet, "r1"));
  STRCMP_EQUAL("may-have-run", answer.Verdict().c_str());
}

// Callers see whole answers. A host dies with forty reads in flight and more
// arriving; all fail over at once, far beyond the ratio of retries, to servers
// that have room. A budget that counted them would fail most of them.
TEST(Calls, ADeadHostsReadsAllGoOnWhereThereIsRoom) {
  for (const char* name : {"a1", "a2", "a3", "a4"}) {
    fleet.AddNode(name, "bilbao-a");
  }
  for (const char* host : {"2", "3", "4"}) {
    FakeServerOptions options =
        ServerOf(std::string("s") + host, "subscriptions");
    options.slots = 100;
    options.service_time = std::chrono::milliseconds(50);
    fleet.AddServer(std::string("a") + host, options);
  }
  fleet.RunFor(kSettle);
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

// Callers of a popular page go on seeing it. The page is in flight at each
// crash that a poison request causes; it was answered a moment ago, so it is
// neither run one at a time nor quarantined.
TEST(Calls, APopularPageIsNotBlamedForCrashes) {
  for (const char* name : {"a1", "a2", "a3"}) fleet.AddNode(name, "bilbao-a");
  for (const char* host : {"2", "3"}) {
    FakeServerOptions options =
        ServerOf(std::string("s") + host, "subscriptions");
    options.crash_body = "boom";
    options.restart_after = std::chrono::milliseconds(100);
    fleet.AddServer(std::string("a") + host, options);
  }
  fleet.RunFor(kSettle);
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
      HttpRequest deadly = MakeRequest("POST", "subscriptions");
      deadly.body = Body("boom");
      fleet.Call("a1", std::move(deadly));
    });
  }
  fleet.RunFor(std::chrono::seconds(6));
  CHECK(pages > 950);
  CHECK(quarantined <= 1);
}

// Callers of innocent requests are served, before and after. A first
// poison request takes innocents down with it, which are then suspects; a
// second one arrives as an ordinary call while they run again. Were they run
// beside it, its crash would have one suspect in flight, the wrong one.
TEST(Calls, AnInnocentIsNotBlamedForANewCrashMaker) {
  fleet.AddNode("a1", "bilbao-a");
  for (const char* host : {"2", "3", "4", "5", "6", "7"}) {
    fleet.AddNode(std::string("a") + host, "bilbao-a");
    FakeServerOptions options =
        ServerOf(std::string("s") + host, "subscriptions");
    options.service_time = std::chrono::milliseconds(40);
    options.crash_body = "boom";
    options.restart_after = std::chrono::milliseconds(300);
    fleet.AddServer(std::string("a") + host, options);
  }
  fleet.RunFor(kSettle);
  const auto innocent = [](int number) {
    HttpRequest request = MakeRequest("GET", "subscriptions");
    request.target = "/innocent/" + std::to_string(number);
    return request;
  };
  const auto deadly = [](int number) {
    HttpRequest request = MakeRequest("GET", "subscriptions");
    request.target = "/deadly/" + std::to_string(number);
    request.body = Body("boom");
    return request;
  };
  constexpr int kInnocents = 24;
  for (int wave = 0; wave < 6; ++wave) {
    for (int i = 0; i < kInnocents; ++i) fleet.Call("a1", innocent(i));
    fleet.Call("a1", deadly(wave));
    fleet.RunFor(std::chrono::milliseconds(60));
    for (int i = 0; i < kInnocents; ++i) fleet.Call("a1", innocent(i));
    fleet.Call("a1", deadly(wave + 100));
    fleet.RunFor(std::chrono::seconds(1));
  }
  fleet.RunFor(kSettle);
  for (int i = 0; i < kInnocents; ++i) {
    CHECK_EQUAL(200, AnswerTo("a1", innocent(i)).response.status);
  }
}

// The caller must not be told "not run": it would renew under a new key and pay
// twice. Its renewal ran through the first node, the answer was lost on the way
// to it, and it asks the second node while the platform is down.
TEST(Calls, AKeyThatRanIsNeverCalledNotRunElsewhere) {
  fleet.AddNode("a1", "bilbao-a", true);
  fleet.AddNode("a2", "bilbao-a", true);
  fleet.AddServer("a1", ServerOf("s1", "subscriptions"));
  fleet.RunFor(kSettle);
  const HttpRequest renewal =
      MakeRequest("POST", "subscriptions", "renewal", "r1", "k");
  CHECK_EQUAL(200, AnswerTo("a1", renewal).response.status);
  fleet.SetPlatform(PlatformMode::kDown);
  STRCMP_EQUAL("may-have-run", AnswerTo("a2", renewal).Verdict().c_str());
  fleet.SetPlatform(PlatformMode::kUp);
  CHECK_EQUAL(200, AnswerTo("a2", renewal).response.status);
  CHECK_EQUAL(1u, RunsOf(fleet, "r1"));
}

// The caller sees one failure. Its backend server is impatient and sends the
// same nested call again after each failure, 100 times; each repeat is a retry
// that needs a credit, so the deep server runs no more than the credits allow.
TEST(Calls, ABackendServersOwnRetriesSpendTheSameCredits) {
  fleet.AddNode("a1", "bilbao-a");
  FakeServerOptions deep = ServerOf("d1", "deep");
  deep.failing = true;
  fleet.AddServer("a1", deep);
  FakeServerOptions front = ServerOf("f1", "front", {"deep"});
  front.own_retries = 100;
  fleet.AddServer("a1", front);
  fleet.RunFor(kSettle);
  HttpRequest request = MakeRequest("POST", "front");
  request.headers.push_back({"X-Amaranth-Deadline-Ms", "20000"});
  AnswerTo("a1", std::move(request));
  size_t deep_runs = 0;
  for (const Effected& effect : fleet.effects()) {
    if (effect.service == "deep") ++deep_runs;
  }
  CHECK(deep_runs >= 2);
  CHECK(deep_runs <= 4);
}

// Callers of the old process are sent elsewhere. It was paused while its host's
// slot was given to a new process of the same name, and hears of it by gossip
// when it comes back: it is ready no more and exits.
TEST(Calls, ARetiredProcessStopsWhenItHearsOfItsSuccessor) {
  NodeIdentity identity;
  identity.node = {"a1", 1};
  identity.use_platform = false;
  Node node(identity);
  node.Start(FromMicros(0));
  CHECK(node.ready());
  GossipMessage news;
  news.from = {"a2", 1};
  MemberRecord successor;
  successor.node = {"a1", 2};
  successor.peer_address = {"10.0.0.9", 7620};
  successor.version = 1;
  news.updates = {successor};
  node.Reduce({FromMicros(1000), GossipReceived{{"a2", 2}, news}});
  CHECK_FALSE(node.ready());
  const Effects effects = node.Reduce({FromMicros(10'000'000), Tick{}});
  CHECK(ExitIn(effects) == ExitProcess{0});
}

// The same, but it is the one that was started later: the host's clock went
// back. It must not end, since nobody else serves the host; it starts again
// with an incarnation that its peers take for the latest.
TEST(Calls, AProcessThatOnlySeemsEarlierStartsAgainAboveTheOther) {
  NodeIdentity identity;
  identity.node = {"a1", 50};
  identity.peer_address = {"10.0.0.1", 7620};
  identity.use_platform = false;
  Node node(identity);
  node.Start(FromMicros(0));
  GossipMessage news;
  news.from = {"a2", 1};
  MemberRecord predecessor;
  predecessor.node = {"a1", 100};
  predecessor.peer_address = identity.peer_address;
  predecessor.state = MemberState::kDead;
  news.updates = {predecessor};
  node.Reduce({FromMicros(1000), GossipReceived{{"a2", 2}, news}});
  const Effects effects = node.Reduce({FromMicros(10'000'000), Tick{}});
  CHECK(ExitIn(effects) == ExitProcess{100});
}

// Guards against choices that cannot be explained afterwards: how old what an
// entry node knew was, and how often it knew nothing.
TEST(Calls, MetricsTellHowOldTheReportsBehindChoicesWere) {
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

// Guards against a use of the platform that nobody can account for.
TEST(Calls, MetricsTellOfPlatformCallsByKind) {
  fleet.AddNode("a1", "bilbao-a", true);
  fleet.RunFor(kSettle);
  const std::string metrics = fleet.node("a1").MetricsText();
  CHECK(metrics.find("amaranth_platform_calls_total{kind=\"read-head\"}") !=
        std::string::npos);
}

}  // namespace amaranth::pvt
