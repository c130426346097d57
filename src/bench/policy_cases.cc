#include "bench/policy_cases.h"

#include <string>
#include <utility>

namespace amaranth::bench {
namespace {

constexpr Duration kUpstreamTime = std::chrono::milliseconds(10);
constexpr Duration kDeepestTime = std::chrono::milliseconds(50);
// A backend server's backlog is what its connections hold beyond its slots.
constexpr size_t kChainBacklog = 1000;
constexpr uint32_t kUpstreamSlots = 40;
constexpr uint32_t kDeepestSlots = 10;
// Hard retries: the same request again, at once after each failure, this many
// times.
constexpr int kHardResends = 4;

Topology::Service ServiceOf(std::string name, std::vector<std::string> hosts,
                            uint32_t slots, size_t backlog, Duration time) {
  Topology::Service service;
  service.name = std::move(name);
  service.hosts = std::move(hosts);
  service.server.slots = slots;
  service.server.backlog = backlog;
  service.server.service_time = time;
  return service;
}

// Four hosts in two data centres, each with one server of each service.
Topology Chain(size_t depth) {
  Topology topology;
  topology.name = "chain-" + std::to_string(depth);
  topology.hosts = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}};
  const std::vector<std::string> everywhere = {"a1", "a2", "b1", "b2"};
  for (size_t level = 1; level < depth; ++level) {
    topology.chain.push_back(ServiceOf("s" + std::to_string(level), everywhere,
                                       kUpstreamSlots, kChainBacklog,
                                       kUpstreamTime));
  }
  topology.chain.push_back(ServiceOf("deepest", everywhere, kDeepestSlots,
                                     kChainBacklog, kDeepestTime));
  return topology;
}

Topology Arrieta() {
  Topology topology;
  topology.name = "arrieta";
  topology.hosts = {{"a1", "bilbao-a"},
                    {"a2", "bilbao-a"},
                    {"b1", "bilbao-b"},
                    {"d1", "donostia"}};
  const std::vector<std::string> three = {"a1", "b1", "d1"};
  topology.chain = {
      ServiceOf("catalogue", {"a1", "a2", "b1", "d1"}, 100, 650, kUpstreamTime),
      ServiceOf("subscriptions", three, 140, 810, kUpstreamTime),
      ServiceOf("downloads", three, 140, 810, kUpstreamTime),
      ServiceOf("progress", three, 15, 185, kDeepestTime)};
  return topology;
}

Topology Wrekin() {
  Topology topology;
  topology.name = "wrekin";
  topology.hosts = {{"d1", "derby"},
                    {"t1", "telford"},
                    {"l1", "leicester"},
                    {"w1", "walsall"}};
  const std::vector<std::string> all = {"d1", "t1", "l1", "w1"};
  topology.chain = {ServiceOf("memorials", all, 100, 650, kUpstreamTime),
                    ServiceOf("bookings", all, 100, 650, kUpstreamTime),
                    ServiceOf("imagery", all, 100, 650, kUpstreamTime),
                    ServiceOf("proofing", all, 10, 160, kDeepestTime)};
  return topology;
}

}  // namespace

std::vector<Topology> Topologies() {
  return {Chain(3), Chain(6), Arrieta(), Wrekin()};
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
