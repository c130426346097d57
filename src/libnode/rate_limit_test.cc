// Backend servers that name a rate limit, through complete nodes in virtual
// time.

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

#include "libnode/fakes/fake_fleet.h"
#include "libnode/fakes/most_in_window.h"

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(4);
// Time from the first answer with a limit until it has to hold.
constexpr Duration kSettleTime = milliseconds(500);

constexpr const char* kServers[] = {"s0", "s1", "s2", "s3"};

double AllowedInWindow(double limit) { return 1.5 * limit * 4 + 5; }

struct Tally {
  int sent = 0;
  int served = 0;
  int refused = 0;  // as not run, with Retry-After
  double ServedShare() const { return sent == 0 ? 0 : double(served) / sent; }
};

}  // namespace

// Three data centres: the first has two servers of the catalogue, the others
// one each. Every server ends 1,000 calls a second.
TEST_GROUP(RateLimit) {
  FakeFleet fleet{5};
  std::mt19937_64 random{9};
  std::map<std::string, std::vector<TimePoint>> runs;  // by server
  std::map<std::string, Tally> tallies;                // by class
  std::map<uint64_t, std::string> classes;             // by call
  int next_request = 0;

  void Start(bool admit_at_edge) {
    fleet.rules.admit_at_edge = admit_at_edge;
    fleet.rules.request_id_per_send = admit_at_edge;
    fleet.rules.callers_resend = admit_at_edge;
    for (int i = 0; i < 12; ++i) {
      fleet.AddNode("n" + std::to_string(i), "dc" + std::to_string(i % 3),
                    true);
    }
    fleet.RunFor(seconds(5));
    HttpRequest settings;
    settings.method = "POST";
    settings.target = "/settings";
    settings.body = Body(R"({"changes":[
      {"path":"","name":"spill_share","value":"1"},
      {"path":"","name":"concurrency","value":"throughput"},
      {"path":"default/*/browse","name":"tier","value":"browse"},
      {"path":"default/*/renewal","name":"tier","value":"critical"}]})");
    const HttpResponse accepted =
        fleet.CallOperatorApi("n0", std::move(settings));
    CHECK_EQUAL(200, accepted.status);
    fleet.RunFor(seconds(5));
    for (const int host : {0, 3, 1, 2}) {
      FakeServerOptions server;
      server.name = "s" + std::to_string(host);
      server.service = "catalogue";
      server.slots = 60;
      server.service_time = milliseconds(60);
      fleet.AddServer("n" + std::to_string(host), server);
    }
    fleet.on_run = [this](const FakeServerRun& run) {
      runs[run.server].push_back(run.at);
    };
    fleet.on_answer = [this](uint64_t call, const FakeAnswer& answer) {
      const auto found = classes.find(call);
      if (found == classes.end()) return;
      Tally& tally = tallies[found->second];
      const std::string body(answer.response.body.view());
      if (answer.response.status == 200) ++tally.served;
      if (answer.Verdict() == "not-run" &&
          body.find("\"retry_after_ms\":0,") == std::string::npos) {
        ++tally.refused;
      }
    };
    fleet.RunFor(seconds(30));  // past the slow start
  }

  void Send(const std::string& request_class) {
    HttpRequest request = MakeRequest("GET", "catalogue", request_class,
                                      "r" + std::to_string(next_request++));
    request.target = "/" + std::to_string(next_request);
    const int node = std::uniform_int_distribution<int>(0, 11)(random);
    const uint64_t call =
        fleet.Call("n" + std::to_string(node), std::move(request));
    classes[call] = request_class;
    ++tallies[request_class].sent;
  }

  // Sends requests with Poisson arrivals at random nodes for `length`.
  void SendRequests(const std::map<std::string, double>& per_second,
                    Duration length) {
    runs.clear();
    tallies.clear();
    for (const auto& [request_class, rate] : per_second) {
      std::exponential_distribution<double> gap(rate);
      const double end = std::chrono::duration<double>(length).count();
      for (double at = gap(random); at < end; at += gap(random)) {
        fleet.At(Duration(static_cast<int64_t>(at * 1e6)),
                 [this, name = request_class] { Send(name); });
      }
    }
    fleet.RunFor(length + seconds(2));
  }

  void CheckHighestTierFirst() {
    for (const char* server : kServers) fleet.SetRateLimit(server, 25);
    SendRequests({{"browse", 250}, {"renewal", 50}}, seconds(2));
    const TimePoint since = fleet.now();
    SendRequests({{"browse", 250}, {"renewal", 50}}, seconds(12));
    for (const char* server : kServers) {
      CHECK(MostInAWindow(server, since) <= AllowedInWindow(25));
    }
    CHECK(tallies["renewal"].ServedShare() > 0.95);
    const Tally& browse = tallies["browse"];
    CHECK(browse.served + browse.refused > 0.95 * browse.sent);
  }

  size_t MostInAWindow(const std::string& server, TimePoint since) {
    return MostInWindow(runs[server], kWindow, since);
  }
};

// Guards against calls above a server's limit while other servers of the
// service have room for them, also in other data centres.
TEST(RateLimit, CallsAboveALimitGoToOtherServers) {
  Start(true);
  SendRequests({{"browse", 250}, {"renewal", 80}}, seconds(5));
  fleet.SetRateLimit("s1", 25);
  fleet.SetRateLimit("s2", 28.4);
  const TimePoint named_at = fleet.now();
  SendRequests({{"browse", 250}, {"renewal", 80}}, seconds(12));
  CHECK(MostInAWindow("s1", named_at + kSettleTime) <= AllowedInWindow(25));
  CHECK(MostInAWindow("s2", named_at + kSettleTime) <= AllowedInWindow(28.4));
  CHECK(tallies["browse"].ServedShare() > 0.99);
  CHECK(tallies["renewal"].ServedShare() > 0.99);
  // The servers still get what they accept.
  CHECK(runs["s1"].size() > 0.8 * 25 * 12);
}

// Guards against important requests that wait behind others when every server
// of a service has a limit.
TEST(RateLimit, TheHighestTierIsServedFirstWhenAllServersAreLimited) {
  Start(false);
  CheckHighestTierFirst();
}

TEST(RateLimit, TheHighestTierIsServedFirstWithAdmissionAtTheEdge) {
  Start(true);
  CheckHighestTierFirst();
}

// Guards against calls above a limit after the node beside the server has
// restarted: it knows nothing until the first answer, the callers do.
TEST(RateLimit, HoldsWhenTheNodeBesideTheServerRestarts) {
  Start(true);
  const double limit = 1.5;
  for (const char* server : kServers) {
    fleet.SetRateLimit(server, limit);
    fleet.SetServiceTime(server, milliseconds(500));
  }
  SendRequests({{"browse", 250}, {"renewal", 50}}, seconds(6));
  for (int i = 0; i < 5; ++i) {
    fleet.At(seconds(1), [this] { fleet.Restart("n1"); });
    const TimePoint since = fleet.now();
    SendRequests({{"browse", 250}, {"renewal", 50}}, seconds(8));
    CHECK(MostInAWindow("s1", since) <= AllowedInWindow(limit));
  }
}

// Guards against a limit that never ends because another server takes all
// calls: without calls, a server cannot show that it needs the limit no more.
TEST(RateLimit, ALimitEndsWhileAnotherServerHasRoomForAllCalls) {
  Start(true);
  fleet.SetRateLimit("s0", 10);
  SendRequests({{"browse", 100}}, seconds(6));
  fleet.SetRateLimit("s0", std::nullopt);
  SendRequests({{"browse", 100}}, seconds(6));
  SendRequests({{"browse", 100}}, seconds(6));
  CHECK(runs["s0"].size() > runs["s3"].size() / 2);
}

// Guards against a limit that stays after answers no longer name it.
TEST(RateLimit, ALimitEndsWithTheAnswersThatNameIt) {
  Start(true);
  for (const char* server : kServers) fleet.SetRateLimit(server, 10);
  SendRequests({{"browse", 100}}, seconds(4));
  CHECK(tallies["browse"].ServedShare() < 0.7);
  for (const char* server : kServers) fleet.SetRateLimit(server, std::nullopt);
  SendRequests({{"browse", 100}}, seconds(2));
  SendRequests({{"browse", 100}}, seconds(4));
  CHECK(tallies["browse"].ServedShare() > 0.99);
}

}  // namespace amaranth::pvt
