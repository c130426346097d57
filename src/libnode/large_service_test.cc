// A service of a hundred backend servers that two hundred entry nodes call,
// each with a few calls a second, through complete nodes in virtual time.

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
constexpr int kSlowServers = 16;
constexpr int kFailingServers = 15;
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

  // Assigns servers and nodes to the data centres in turn, so that the
  // unhealthy servers, which are the first ones, are spread over all of them.
  void Start() {
    fleet.DiscardHistory();
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
    fleet.on_run = [this](const FakeServerRun& run) { ++runs[run.server]; };
    fleet.RunFor(seconds(30));
  }

  void MakeServersUnhealthy() {
    for (int i = 0; i < kSlowServers; ++i) {
      fleet.SetServiceTime(ServerName(i), kServiceTime * 5);
    }
    for (int i = kSlowServers; i < kSlowServers + kFailingServers; ++i) {
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

  // Sends requests with Poisson arrivals at random nodes for `length`.
  void SendRequests(Duration length) {
    runs.clear();
    std::exponential_distribution<double> gap(kCallsPerNode * kNodes);
    const double end = static_cast<double>(length.count()) / 1e6;
    for (double at = gap(random); at < end; at += gap(random)) {
      fleet.At(Duration(static_cast<int64_t>(at * 1e6)), [this] { Send(); });
    }
    fleet.RunFor(length);
  }

  // Returns the share of the runs of the last SendRequests that were at
  // unhealthy servers.
  double UnhealthyShare() const {
    int unhealthy = 0;
    int all = 0;
    for (const auto& [server, count] : runs) {
      const int index = std::stoi(server.substr(1));
      if (index < kSlowServers + kFailingServers) unhealthy += count;
      all += count;
    }
    return static_cast<double>(unhealthy) / all;
  }
};

// Guards against calls that keep going to servers that are slow or fail half of
// their calls. No entry node has enough calls at one of them to detect that;
// the serving nodes have, and announce it to all entry nodes.
TEST(LargeService, UnhealthyServersGetFewCallsWithinTwoSeconds) {
  Start();
  SendRequests(seconds(5));
  const double before = UnhealthyShare();
  MakeServersUnhealthy();
  SendRequests(seconds(2));
  SendRequests(seconds(2));
  const double after = UnhealthyShare();
  CHECK(before > 0.25);
  CHECK(after < before / 5);
}

}  // namespace amaranth::pvt
