// A service of a hundred backend servers that two hundred entry nodes call, a
// few calls a second each, in virtual time through whole nodes.

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDataCentres = 5;
constexpr int kNodes = 200;
constexpr int kServers = 100;
constexpr int kSlow = 16;
constexpr int kFailing = 15;
constexpr double kCallsPerNode = 7;
constexpr Duration kServiceTime = milliseconds(100);

std::string NodeName(int i) { return "n" + std::to_string(i); }
std::string ServerName(int i) { return "s" + std::to_string(i); }

}  // namespace

TEST_GROUP(LargeService) {
  FakeFleet fleet{3};
  std::mt19937_64 random{7};
  std::map<std::string, int> runs;
  int next_request = 0;

  // Servers and nodes are dealt out over the data centres in turn, so the bad
  // servers, which are the first ones, are spread over all of them.
  void Start() {
    fleet.ForgetHistory();
    for (int i = 0; i < kNodes; ++i) {
      fleet.AddNode(NodeName(i), "dc" + std::to_string(i % kDataCentres));
    }
    for (int i = 0; i < kServers; ++i) {
      FakeServerOptions server;
      server.name = ServerName(i);
      server.service = "catalogue";
      server.slots = 30;
      server.service_time = kServiceTime;
      fleet.AddServer(NodeName(i), server);
    }
    fleet.on_run = [this](const Effected& run) { ++runs[run.server]; };
    fleet.RunFor(seconds(30));
  }

  void TurnBad() {
    for (int i = 0; i < kSlow; ++i) {
      fleet.SetServiceTime(ServerName(i), kServiceTime * 5);
    }
    for (int i = kSlow; i < kSlow + kFailing; ++i) {
      fleet.SetFailingShare(ServerName(i), 0.5);
    }
  }

  void Send() {
    HttpRequest request = MakeRequest("GET", "catalogue", "browse",
                                      "r" + std::to_string(next_request++));
    request.target = "/" + std::to_string(next_request);
    const int node = std::uniform_int_distribution<int>(0, kNodes - 1)(random);
    fleet.Call(NodeName(node), std::move(request));
  }

  // Poisson arrivals at random nodes.
  void Play(Duration length) {
    runs.clear();
    std::exponential_distribution<double> gap(kCallsPerNode * kNodes);
    const double end = static_cast<double>(length.count()) / 1e6;
    for (double at = gap(random); at < end; at += gap(random)) {
      fleet.At(Duration(static_cast<int64_t>(at * 1e6)), [this] { Send(); });
    }
    fleet.RunFor(length);
  }

  // Part of the runs since the last Play that was at bad servers.
  double BadShare() const {
    int bad = 0;
    int all = 0;
    for (const auto& [server, count] : runs) {
      const int index = std::stoi(server.substr(1));
      if (index < kSlow + kFailing) bad += count;
      all += count;
    }
    return static_cast<double>(bad) / all;
  }
};

// Callers meet servers that are slow or fail half of their calls for as long as
// these are bad, as no entry node has enough calls of one of them to tell. The
// nodes beside the servers do, and all callers hear of it.
TEST(LargeService, TwoSecondsAfterServersTurnBadFewCallsMeetThem) {
  Start();
  Play(seconds(5));
  const double before = BadShare();
  TurnBad();
  Play(seconds(2));
  Play(seconds(2));
  const double after = BadShare();
  CHECK(before > 0.25);
  CHECK(after < before / 5);
}

}  // namespace amaranth::pvt
