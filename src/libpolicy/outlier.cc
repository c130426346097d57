#include "amaranthroute/policy/outlier.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

#include "amaranthroute/policy/slow_start.h"

namespace amaranth {
namespace {

// Maximum number of servers with results. Results of further servers are
// ignored: names that come and go must not exhaust the memory.
constexpr size_t kMaxServers = 1024;

double Median(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

OutlierDetector::OutlierDetector(OutlierOptions options) : options_(options) {}

void OutlierDetector::OnResult(const std::string& server, Duration latency,
                               bool failed, TimePoint now) {
  latest_time_ = std::max(latest_time_, now);
  if (servers_.size() >= kMaxServers && servers_.count(server) == 0) return;
  const auto found = servers_.try_emplace(server).first;
  Server& state = found->second;
  Decay(state, now);
  state.results += 1;
  if (failed) {
    state.failures += 1;
    ++state.consecutive_failures;
  } else {
    state.successes += 1;
    state.consecutive_failures = 0;
    state.latency_sum += static_cast<double>(latency.count());
  }
  // Late results of calls sent before the ejection must not prolong it.
  if (now < state.ejected_until) return;
  if (EjectedCount(now) >= Cap()) return;
  if (IsOutlier(server, state)) Eject(state, now);
}

bool OutlierDetector::Ejected(const std::string& server, TimePoint now) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && now < found->second.ejected_until;
}

double OutlierDetector::Weight(const std::string& server, TimePoint now) const {
  const auto found = servers_.find(server);
  if (found == servers_.end() || found->second.ejections == 0) return 1.0;
  return SlowStartWeight(found->second.ejected_until, now, options_.ramp);
}

size_t OutlierDetector::EjectedCount(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [now](const auto& entry) { return now < entry.second.ejected_until; }));
}

size_t OutlierDetector::size() const { return servers_.size(); }

void OutlierDetector::SetMaxShare(double share) {
  options_.max_share = std::clamp(share, 0.0, 1.0);
  EnforceCap();
}

void OutlierDetector::Forget(const std::string& server) {
  servers_.erase(server);
  EnforceCap();
}

void OutlierDetector::Decay(Server& server, TimePoint now) const {
  const double elapsed = static_cast<double>((now - server.updated).count());
  const double half_life = static_cast<double>(options_.half_life.count());
  const double retained = elapsed <= 0 ? 1.0 : std::exp2(-elapsed / half_life);
  server.results *= retained;
  server.failures *= retained;
  server.successes *= retained;
  server.latency_sum *= retained;
  server.updated = std::max(server.updated, now);
}

bool OutlierDetector::IsOutlier(const std::string& name,
                                const Server& server) const {
  if (server.consecutive_failures >= options_.consecutive_failures) {
    return FailsMoreThanPeers(name, server);
  }
  if (server.results < options_.min_results) return false;
  return FailsMoreThanPeers(name, server) || IsSlowerThanPeers(name, server);
}

bool OutlierDetector::FailsMoreThanPeers(const std::string& name,
                                         const Server& server) const {
  const double share = server.failures / server.results;
  if (share < options_.failure_share) return false;
  std::vector<double> peers;
  for (const auto& [peer_name, peer] : servers_) {
    if (peer_name == name || peer.results < 1) continue;
    peers.push_back(peer.failures / peer.results);
  }
  if (peers.empty()) return false;
  return share >= Median(peers) + options_.failure_excess;
}

bool OutlierDetector::IsSlowerThanPeers(const std::string& name,
                                        const Server& server) const {
  if (server.successes < options_.min_results) return false;
  std::vector<double> peers;
  for (const auto& [peer_name, peer] : servers_) {
    if (peer_name == name || peer.successes < 1) continue;
    peers.push_back(peer.latency_sum / peer.successes);
  }
  if (peers.empty()) return false;
  const double mean = server.latency_sum / server.successes;
  const double median = Median(peers);
  const double excess = static_cast<double>(options_.min_excess.count());
  return mean >= options_.latency_factor * median && mean >= median + excess;
}

size_t OutlierDetector::Cap() const {
  return static_cast<size_t>(options_.max_share *
                             static_cast<double>(servers_.size()));
}

void OutlierDetector::Eject(Server& server, TimePoint now) {
  if (server.ejections > 0 &&
      now - server.ejected_until >= options_.reset_after) {
    server.ejections = 0;
  }
  Duration length = options_.initial_ejection;
  for (int i = 0; i < server.ejections; ++i) {
    length = std::min(length * 2, options_.max_ejection);
  }
  ++server.ejections;
  server.last_ejected = now;
  server.ejected_until = now + length;
  // Results from before the ejection must not eject the server again on its
  // first call afterwards.
  server.consecutive_failures = 0;
  server.results = server.failures = 0;
  server.successes = server.latency_sum = 0;
}

void OutlierDetector::EnforceCap() {
  while (EjectedCount(latest_time_) > Cap()) {
    Server* earliest = nullptr;
    for (auto& [name, server] : servers_) {
      if (latest_time_ >= server.ejected_until) continue;
      if (earliest == nullptr || server.last_ejected < earliest->last_ejected) {
        earliest = &server;
      }
    }
    earliest->ejected_until = latest_time_;
  }
}

}  // namespace amaranth
