#include "bench/policy_cases.h"

#include <string>
#include <utility>

namespace amaranth::bench {
namespace {

constexpr Duration kUpstreamTime = std::chrono::milliseconds(10);
constexpr Duration kDeepestTime = std::chrono::milliseconds(50);
// Requests that a backend server's connections hold beyond its slots.
constexpr size_t kChainBacklog = 1000;
constexpr uint32_t kUpstreamSlots = 40;
constexpr uint32_t kDeepestSlots = 10;
// Scenarios with hard retries: the client resends a request at once after each
// failure, up to this many times.
constexpr int kHardResends = 4;

Topology::Service MakeService(std::string name, std::vector<std::string> hosts,
                              uint32_t slots, size_t backlog, Duration time) {
  Topology::Service service;
  service.name = std::move(name);
  service.hosts = std::move(hosts);
  service.server.slots = slots;
  service.server.backlog = backlog;
  service.server.service_time = time;
  return service;
}

// Returns four hosts in two data centres, each with one backend server of each
// service.
Topology MakeChain(size_t depth) {
  Topology topology;
  topology.name = "chain-" + std::to_string(depth);
  topology.hosts = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}};
  const std::vector<std::string> all_hosts = {"a1", "a2", "b1", "b2"};
  for (size_t level = 1; level < depth; ++level) {
    topology.chain.push_back(MakeService("s" + std::to_string(level), all_hosts,
                                         kUpstreamSlots, kChainBacklog,
                                         kUpstreamTime));
  }
  topology.chain.push_back(MakeService("deepest", all_hosts, kDeepestSlots,
                                       kChainBacklog, kDeepestTime));
  return topology;
}

Topology MakeArrieta() {
  Topology topology;
  topology.name = "arrieta";
  topology.hosts = {{"a1", "bilbao-a"},
                    {"a2", "bilbao-a"},
                    {"b1", "bilbao-b"},
                    {"d1", "donostia"}};
  const std::vector<std::string> three_hosts = {"a1", "b1", "d1"};
  topology.chain = {
      MakeService("catalogue", {"a1", "a2", "b1", "d1"}, 100, 650,
                  kUpstreamTime),
      MakeService("subscriptions", three_hosts, 140, 810, kUpstreamTime),
      MakeService("downloads", three_hosts, 140, 810, kUpstreamTime),
      MakeService("progress", three_hosts, 15, 185, kDeepestTime)};
  return topology;
}

Topology MakeWrekin() {
  Topology topology;
  topology.name = "wrekin";
  topology.hosts = {{"d1", "derby"},
                    {"t1", "telford"},
                    {"l1", "leicester"},
                    {"w1", "walsall"}};
  const std::vector<std::string> all_hosts = {"d1", "t1", "l1", "w1"};
  topology.chain = {
      MakeService("memorials", all_hosts, 100, 650, kUpstreamTime),
      MakeService("bookings", all_hosts, 100, 650, kUpstreamTime),
      MakeService("imagery", all_hosts, 100, 650, kUpstreamTime),
      MakeService("proofing", all_hosts, 10, 160, kDeepestTime)};
  return topology;
}

}  // namespace

std::vector<Topology> Topologies() {
  return {MakeChain(3), MakeChain(6), MakeArrieta(), MakeWrekin()};
}

std::vector<Scenario> Scenarios() {
  return {{"surge-1x", 1, 1, 0},
          {"surge-2x", 2, 1, 0},
          {"surge-5x", 5, 1, 0},
          {"surge-10x", 10, 1, 0},
          {"slow-deep", 0.7, 3, 0},
          {"hard-retries", 2, 1, kHardResends},
          {"all-at-once", 2, 3, kHardResends}};
}

}  // namespace amaranth::bench
