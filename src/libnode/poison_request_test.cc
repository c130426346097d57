// Tests of requests that crash the backend servers that run them, in virtual
// time: several callers resend the same request through all nodes, beside
// ordinary requests.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "libnode/fakes/fake_fleet.h"
#include "libnode/settings/settings_document.h"

namespace amaranth::pvt {
namespace {

constexpr Duration kSettleTime = std::chrono::seconds(3);
constexpr char kService[] = "catalogue";
constexpr char kSurvivor[] = "survivor";
constexpr char kCrashBody[] = "boom";
constexpr int kHosts = 4;
constexpr Duration kAttackLength = std::chrono::seconds(20);
constexpr Duration kOrdinaryPeriod = std::chrono::milliseconds(4);
// Eight callers that send four times a second each.
constexpr Duration kPoisonPeriod = std::chrono::milliseconds(31);
constexpr Duration kSlowPoisonPeriod = std::chrono::milliseconds(700);
// Service time with which more calls are in flight at each server than a crash
// may leave for the other nodes to know them as suspects.
constexpr Duration kManyInFlight = std::chrono::milliseconds(400);
constexpr Duration kRestartTime = std::chrono::milliseconds(1200);
// The users' rule for a request that crashes its servers: runs that begin
// later than this after the third crash are counted, and their number.
constexpr size_t kCrashesToRecognise = 3;
constexpr Duration kRecognitionTime = std::chrono::seconds(3);
constexpr size_t kMaxLateRuns = 3;
// Time in which the news of a crash reaches all nodes.
constexpr Duration kNewsDelay = std::chrono::milliseconds(50);

}  // namespace

TEST_GROUP(PoisonRequests) {
  std::unique_ptr<FakeFleet> fleet = std::make_unique<FakeFleet>(11);
  std::vector<TimePoint> poison_runs;
  std::vector<TimePoint> crashes;
  size_t ordinary_sent = 0;
  size_t ordinary_served = 0;
  size_t quarantined = 0;

  static std::string Host(int number) { return "a" + std::to_string(number); }

  FakeServerOptions MakeServer() {
    FakeServerOptions options;
    options.service = kService;
    options.slots = 100;
    options.service_time = std::chrono::milliseconds(40);
    options.crash_body = kCrashBody;
    options.restart_after = kRestartTime;
    return options;
  }

  void StartFleet(const FakeServerOptions& server, int hosts = kHosts,
                  bool use_platform = false) {
    fleet->rules.callers_resend = true;
    if (use_platform) {
      fleet->lists_seeds = false;
      fleet->rules.settings_source = SettingsSource::kWatch;
      fleet->rules.peer_row_spread = std::chrono::seconds(1);
      SettingsDocument document;
      document.version = 1;
      fleet->SetDocument(document.version, ToText(document));
    }
    for (int i = 0; i < hosts; ++i) {
      fleet->AddNode(Host(i), "bilbao-a", use_platform);
      FakeServerOptions options = server;
      options.name = "s" + std::to_string(i);
      fleet->AddServer(Host(i), options);
    }
    fleet->on_run = [this](const FakeServerRun& run) {
      if (run.request_id.rfind("poison", 0) != 0) return;
      poison_runs.push_back(run.at);
      if (run.server != kSurvivor) crashes.push_back(run.at);
    };
    fleet->RunFor(kSettleTime);
  }

  void SendPoison(const std::string& node) {
    HttpRequest request =
        MakeRequest("GET", kService, "default",
                    "poison-" + std::to_string(fleet->random()()));
    request.target = "/poison";
    request.body = Body(kCrashBody);
    fleet->Call(node, std::move(request));
  }

  // Sends the request every `period` through a random node.
  void SendPoisonThroughAllNodes(Duration period = kPoisonPeriod,
                                 int hosts = kHosts) {
    for (Duration at{0}; at < kAttackLength; at += period) {
      fleet->At(at, [this, hosts] {
        SendPoison(Host(static_cast<int>(fleet->random()() % hosts)));
      });
    }
  }

  // Sends ordinary requests, each with a target of its own, of which `pages`
  // come again and again; 0: none.
  void SendOrdinary(Duration length, int hosts = kHosts, size_t pages = 0) {
    for (Duration at{0}; at < length; at += kOrdinaryPeriod) {
      fleet->At(at, [this, hosts, pages] {
        const size_t number = ordinary_sent++;
        HttpRequest request = MakeRequest("GET", kService);
        request.target =
            "/ordinary/" + std::to_string(pages == 0 ? number : number % pages);
        fleet->Call(Host(static_cast<int>(number % hosts)), std::move(request));
      });
    }
    fleet->on_answer = [this](uint64_t, const FakeAnswer& answer) {
      if (answer.response.status == 200) ++ordinary_served;
      if (answer.Reason() == "quarantined") ++quarantined;
    };
  }

  // Forgets the runs so far, which crashed no server.
  void BeginCrashes() {
    poison_runs.clear();
    crashes.clear();
  }

  // Returns the runs that begin later than `allowed` after the third crash.
  size_t LateRuns(Duration allowed = kRecognitionTime) const {
    if (crashes.size() < kCrashesToRecognise) return 0;
    const TimePoint limit = crashes[kCrashesToRecognise - 1] + allowed;
    return static_cast<size_t>(
        std::count_if(poison_runs.begin(), poison_runs.end(),
                      [&](TimePoint at) { return at > limit; }));
  }
};

// Guards against a request that is cleared of a crash by an answer of a server
// that refused it without running it, as servers do that have just restarted.
TEST(PoisonRequests, ARefusalDoesNotClearARequestOfItsCrash) {
  FakeServerOptions server = MakeServer();
  server.refuses_after_restart = std::chrono::milliseconds(800);
  server.service_time = kManyInFlight;
  StartFleet(server);
  SendOrdinary(kAttackLength);
  SendPoisonThroughAllNodes();
  fleet->RunFor(kAttackLength + kSettleTime);
  CHECK(LateRuns() <= kMaxLateRuns);
}

// Guards against a request that was answered well and then crashes every server
// that runs it: the earlier answers clear it of the later crashes.
TEST(PoisonRequests, AnAnswerBeforeACrashDoesNotClearARequestOfIt) {
  FakeServerOptions server = MakeServer();
  server.crashes_from = fleet->now() + kSettleTime + std::chrono::seconds(2);
  StartFleet(server);
  for (int host = 0; host < kHosts; ++host) SendPoison(Host(host));
  SendOrdinary(std::chrono::seconds(2) + kAttackLength);
  fleet->RunFor(std::chrono::seconds(2));
  CHECK(poison_runs.size() >= kHosts);
  BeginCrashes();
  SendPoisonThroughAllNodes(kSlowPoisonPeriod);
  fleet->RunFor(kAttackLength + kSettleTime);
  CHECK(LateRuns() <= kMaxLateRuns);
}

// Guards against the same at a service of many servers, of which each excuses
// the request once if the nodes do not tell each other.
TEST(PoisonRequests, EarlierAnswersAtManyServersDoNotClearARequest) {
  constexpr int kManyHosts = 24;
  FakeServerOptions server = MakeServer();
  server.crashes_from = fleet->now() + kSettleTime + std::chrono::seconds(2);
  StartFleet(server, kManyHosts);
  for (int i = 0; i < 8 * kManyHosts; ++i) SendPoison(Host(i % kManyHosts));
  SendOrdinary(std::chrono::seconds(30), kManyHosts);
  fleet->RunFor(std::chrono::seconds(2));
  BeginCrashes();
  for (int i = 0; i < 2 * kManyHosts; ++i) {
    fleet->At(std::chrono::milliseconds(1100) * i,
              [this, i] { SendPoison(Host(i % kManyHosts)); });
  }
  fleet->RunFor(std::chrono::seconds(30));
  CHECK(LateRuns() <= kMaxLateRuns);
}

// Guards against a request that goes on crashing most servers because one of
// them survives it.
TEST(PoisonRequests, AServerThatSurvivesARequestDoesNotEndItsQuarantine) {
  FakeServerOptions server = MakeServer();
  server.crashes_from = fleet->now() + kSettleTime + std::chrono::seconds(3);
  FakeServerOptions survivor = MakeServer();
  survivor.name = kSurvivor;
  survivor.crash_body.clear();
  fleet->AddNode("b", "bilbao-a");
  fleet->AddServer("b", survivor);
  StartFleet(server, kHosts - 1);
  SendOrdinary(kAttackLength, kHosts - 1);
  SendPoisonThroughAllNodes(kPoisonPeriod, kHosts - 1);
  fleet->RunFor(std::chrono::seconds(3));
  BeginCrashes();
  fleet->RunFor(kAttackLength + kSettleTime);
  CHECK(LateRuns() <= kMaxLateRuns);
}

// Guards against popular pages being refused because servers crash at the same
// moment with all of them in flight, for a reason of their own.
TEST(PoisonRequests, PagesInFlightAtSimultaneousCrashesAreNotQuarantined) {
  constexpr size_t kPages = 12;
  StartFleet(MakeServer());
  const Duration length = std::chrono::seconds(12);
  SendOrdinary(length, kHosts, kPages);
  for (int series = 0; series < 3; ++series) {
    for (int host = 0; host < kHosts - 1; ++host) {
      // A different request each time, so that no request is to blame twice.
      fleet->At(std::chrono::seconds(2 + 3 * series) +
                    std::chrono::milliseconds(15) * host,
                [this, series, host] {
                  HttpRequest request = MakeRequest("GET", kService);
                  request.target =
                      "/" + std::to_string(series) + "/" + std::to_string(host);
                  request.body = Body(kCrashBody);
                  fleet->Call(Host(host), std::move(request));
                });
    }
  }
  fleet->RunFor(length + kSettleTime);
  CHECK(ordinary_served > ordinary_sent / 2);
  CHECK_EQUAL(0u, quarantined);
}

// Guards against the refusal of all calls of one kind, which have the same
// content, because all servers crash at the same moment for another reason.
TEST(PoisonRequests, CallsOfTheSameContentAreNotQuarantined) {
  StartFleet(MakeServer());
  const Duration length = std::chrono::seconds(12);
  SendOrdinary(length, kHosts, 1);
  for (int crash = 0; crash < 3 * kHosts; ++crash) {
    const int series = crash / kHosts;
    const int host = crash % kHosts;
    fleet->At(std::chrono::seconds(2 + 3 * series) +
                  std::chrono::milliseconds(2) * host,
              [this, crash, host] {
                HttpRequest request = MakeRequest("GET", kService);
                request.target = "/" + std::to_string(crash);
                request.body = Body(kCrashBody);
                fleet->Call(Host(host), std::move(request));
              });
  }
  fleet->RunFor(length + kSettleTime);
  CHECK(ordinary_served > ordinary_sent / 2);
  CHECK_EQUAL(0u, quarantined);
}

// Guards against the loss of every server of a busy service: with many calls in
// flight at the first crash, other nodes do not learn whom to suspect.
TEST(PoisonRequests, ManySuspectsOfACrashAreKnownToAllNodes) {
  constexpr int kManyHosts = 12;
  FakeServerOptions server = MakeServer();
  server.service_time = kManyInFlight;
  StartFleet(server, kManyHosts);
  for (int burst = 0; burst < 4; ++burst)
    SendOrdinary(kAttackLength, kManyHosts);
  fleet->At(std::chrono::seconds(1),
            [this] { SendPoisonThroughAllNodes(kPoisonPeriod, kManyHosts); });
  fleet->RunFor(kAttackLength + kSettleTime);
  CHECK(crashes.size() <= kCrashesToRecognise);
}

// Guards against a conviction that is forgotten when all nodes end, so that the
// request crashes servers again.
TEST(PoisonRequests, AConvictionOutlivesTheProcessesOfAllNodes) {
  StartFleet(MakeServer(), kHosts, true);
  SendOrdinary(kAttackLength);
  SendPoisonThroughAllNodes();
  fleet->RunFor(kAttackLength + kSettleTime);
  CHECK(!crashes.empty());
  for (int i = 0; i < kHosts; ++i) fleet->Kill(Host(i));
  fleet->RunFor(std::chrono::seconds(1));
  for (int i = 0; i < kHosts; ++i) fleet->Restart(Host(i));
  BeginCrashes();
  SendPoisonThroughAllNodes();
  fleet->RunFor(kAttackLength + kSettleTime);
  CHECK_EQUAL(0u, crashes.size());
}

// Guards against a request that is never convicted because all nodes end after
// each of its crashes.
TEST(PoisonRequests, SuspectsOutliveTheProcessesOfAllNodes) {
  StartFleet(MakeServer(), kHosts, true);
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 20; ++i) {
      fleet->At(i * std::chrono::milliseconds(100),
                [this, i] { SendPoison(Host(i % kHosts)); });
    }
    const size_t before = crashes.size();
    fleet->RunUntil([&] { return crashes.size() > before; },
                    std::chrono::seconds(3));
    fleet->RunFor(std::chrono::milliseconds(200));
    for (int i = 0; i < kHosts; ++i) fleet->Kill(Host(i));
    fleet->RunFor(std::chrono::seconds(2));
    for (int i = 0; i < kHosts; ++i) fleet->Restart(Host(i));
    fleet->RunFor(std::chrono::seconds(3));
  }
  CHECK(crashes.size() <= kCrashesToRecognise + kMaxLateRuns);
}

// Guards against calls that were queued before their request was quarantined
// and crash one server after another when they leave the queue.
TEST(PoisonRequests, QueuedCallsOfAQuarantinedRequestAreNotRun) {
  constexpr int kManyHosts = 12;
  constexpr int kQueuedAtEachHost = 10;
  constexpr uint64_t kPlays = 4;
  FakeServerOptions server = MakeServer();
  server.slots = 2;
  server.service_time = std::chrono::milliseconds(20);
  bool was_recognised_late = false;
  for (uint64_t seed = 11; seed < 11 + kPlays; ++seed) {
    fleet = std::make_unique<FakeFleet>(seed);
    BeginCrashes();
    StartFleet(server, kManyHosts);
    for (int burst = 0; burst < 6; ++burst) {
      SendOrdinary(kAttackLength, kManyHosts);
    }
    for (int i = 0; i < kManyHosts * kQueuedAtEachHost; ++i) {
      fleet->At(std::chrono::seconds(2) + std::chrono::microseconds(200) * i,
                [this, i] { SendPoison(Host(i % kManyHosts)); });
    }
    fleet->RunFor(kAttackLength + kSettleTime);
    CHECK_EQUAL(0u, LateRuns(kNewsDelay));
    was_recognised_late |= crashes.size() >= kCrashesToRecognise;
  }
  // Some request must have been recognised while calls were queued.
  CHECK(was_recognised_late);
}

}  // namespace amaranth::pvt
