#include "libnode/entry/server_choice.h"

#include <algorithm>
#include <iterator>

#include "amaranthroute/policy/shedder.h"
#include "amaranthroute/policy/slow_start.h"
#include "libnode/shared/durations.h"

namespace amaranth::pvt {
namespace {

// Older load reports are ignored: queues drain in far less time.
constexpr Duration kReportLifetime = std::chrono::seconds(1);
// A reported rate limit is passed on for this long, which covers the restart of
// a node.
constexpr Duration kRateLimitReportLifetime = std::chrono::seconds(15);
// A host that lost its link, or is unresponsive, is avoided for this long and
// then probed by one call. This may be short because a refused connection costs
// that call only a retry.
constexpr Duration kUnreachableBackoff = std::chrono::seconds(1);
// If no call is sent to an unreachable host for this long after the backoff, it
// is used normally again.
constexpr Duration kUnreachableRetention = std::chrono::seconds(10);
constexpr Duration kServerRetention = std::chrono::minutes(2);
constexpr double kLatencyWeight = 0.2;

// A server that has said that it leaves exits within a minute. If its start
// time is unknown, a new process with its name cannot be told from it, and is
// used after the shorter time.
constexpr Duration kDepartureRetention = std::chrono::minutes(10);
constexpr Duration kUnknownDepartureRetention = std::chrono::seconds(30);

// The expected wait at a failing server counts this many times, so it is called
// only when the others are that much more loaded. Excluding it would take its
// remaining capacity from an overloaded service, and would exclude all servers
// when all fail.
constexpr double kFailingPenalty = 5;

double PenaltyOf(const ServerFitness& fitness) {
  return fitness.slowdown * (fitness.failing ? kFailingPenalty : 1);
}

}  // namespace

std::string ServerKey(const std::string& node, const std::string& server) {
  return node + "/" + server;
}

ServerView ServerChoice::ViewOf(const ServerPlace& place,
                                const EffectiveSettings& settings,
                                const std::set<std::string>& tried_servers,
                                std::optional<uint32_t> level,
                                TimePoint now) const {
  const std::string key = ServerKey(place.node, place.server);
  ServerView view{};
  // By data centre, not by place.local, which means this host: half of a data
  // centre's calls would stay with a slow server on their entry host.
  view.local = place.data_centre == data_centre_;
  view.suspect = place.suspect || IsUnreachable(place.node, now);
  view.weight = SlowStartWeight(place.first_seen, now, settings.slow_start);
  const auto outliers = outliers_.find(place.service);
  if (outliers != outliers_.end()) {
    view.ejected = outliers->second.Ejected(key, now);
    view.weight *= outliers->second.Weight(key, now);
  }
  view.excluded = tried_servers.count(key) > 0 || HasLeft(key, place);
  view.penalty = PenaltyOf(place.fitness);
  const auto found = servers_.find(key);
  if (found == servers_.end()) return view;
  const ServerState& state = found->second;
  view.in_flight = state.in_flight;
  view.latency = state.latency;
  if (now - state.reported_at <= kReportLifetime) {
    view.in_flight = std::max(state.in_flight, state.report.in_flight);
    view.limit = state.report.limit;
    view.queued = state.report.queued;
    if (state.report.turn_us > 0) ExtrapolateLoad(state, now, view);
    // A recent report already shows how slow the server is.
    view.penalty = PenaltyOf({place.fitness.failing, 1});
  }
  if (level && *level < ThresholdOf(state, now)) view.excluded = true;
  return view;
}

// Updates a report that has aged: subtracts the calls that the server has
// completed since, by its reported rate, and adds those that this node has
// sent. Otherwise a server that reported a long queue gets no calls, so no
// answer shows that the queue has drained. The server stays idle beside others
// with long queues until all calls move to it at once.
void ServerChoice::ExtrapolateLoad(const ServerState& state, TimePoint now,
                                   ServerView& view) {
  const LoadReport& report = state.report;
  const double completed =
      static_cast<double>((now - state.reported_at).count()) /
      static_cast<double>(report.turn_us);
  const double reported = report.in_flight + report.queued;
  const double calls = std::max<double>(
      std::max(0.0, reported - completed) + state.sent_since_report,
      state.in_flight);
  const uint32_t estimated = static_cast<uint32_t>(calls);
  view.in_flight = std::min(estimated, report.limit);
  view.queued = estimated - view.in_flight;
  view.latency = Duration(int64_t{report.turn_us} * report.limit);
}

uint32_t ServerChoice::MeanThreshold(const std::vector<ServerPlace>& places,
                                     TimePoint now) const {
  uint64_t sum = 0;
  uint64_t known = 0;
  for (const ServerPlace& place : places) {
    const auto found = servers_.find(ServerKey(place.node, place.server));
    if (place.suspect || found == servers_.end()) continue;
    sum += ThresholdOf(found->second, now);
    ++known;
  }
  return known == 0 ? 0 : static_cast<uint32_t>(sum / known);
}

uint32_t ServerChoice::ThresholdOf(const ServerState& state, TimePoint now) {
  return static_cast<uint32_t>(DownstreamThresholds::Decayed(
      state.report.shed_threshold, state.reported_at, now));
}

uint32_t ServerChoice::LowestThreshold(const std::vector<ServerPlace>& places,
                                       TimePoint now) const {
  uint32_t lowest = kMaxSheddingLevel;
  for (const ServerPlace& place : places) {
    if (place.suspect) continue;
    const auto found = servers_.find(ServerKey(place.node, place.server));
    if (found == servers_.end()) return 0;
    lowest = std::min(lowest, ThresholdOf(found->second, now));
  }
  return places.empty() ? 0 : lowest;
}

std::optional<ServerPlace> ServerChoice::Choose(
    const std::vector<ServerPlace>& places, const EffectiveSettings& settings,
    const std::set<std::string>& tried_servers, std::optional<uint32_t> level,
    TimePoint now, std::mt19937_64& random) {
  if (places.empty()) return std::nullopt;
  outliers_[places.front().service].SetMaxShare(settings.max_eject_share);
  std::vector<ServerView> views;
  views.reserve(places.size());
  for (const ServerPlace& place : places) {
    views.push_back(ViewOf(place, settings, tried_servers, level, now));
  }
  PickOptions options;
  options.spill_share = settings.spill_share;
  const std::optional<size_t> picked = PickServer(views, options, random);
  if (!picked) return std::nullopt;
  return places[*picked];
}

std::optional<Duration> ServerChoice::ReportAge(const std::string& server_key,
                                                TimePoint now) const {
  const auto found = servers_.find(server_key);
  if (found == servers_.end() || found->second.reported_at == TimePoint{}) {
    return std::nullopt;
  }
  return now - found->second.reported_at;
}

std::optional<double> ServerChoice::ReportedRateLimit(
    const std::string& server_key, TimePoint now) const {
  const auto found = servers_.find(server_key);
  if (found == servers_.end()) return std::nullopt;
  const bool is_recent =
      now - found->second.reported_at <= kRateLimitReportLifetime;
  return is_recent ? found->second.report.rate_limit : std::nullopt;
}

void ServerChoice::OnSent(const std::string& server_key) {
  ServerState& state = servers_[server_key];
  ++state.in_flight;
  ++state.sent_since_report;
}

void ServerChoice::OnEnded(const std::string& service,
                           const std::string& server_key,
                           std::optional<Duration> latency, bool failed,
                           TimePoint now) {
  ServerState& state = servers_[server_key];
  if (state.in_flight > 0) --state.in_flight;
  state.last_used = now;
  if (latency && !failed) {
    state.latency = MovingAverage(state.latency, *latency, kLatencyWeight);
  }
  if (latency || failed) {
    outliers_[service].OnResult(server_key, latency.value_or(Duration(0)),
                                failed, now);
  }
}

void ServerChoice::OnReport(const std::string& server_key,
                            const LoadReport& report, TimePoint now) {
  ServerState& state = servers_[server_key];
  state.report = report;
  state.sent_since_report = 0;
  state.reported_at = now;
  state.last_used = now;
}

void ServerChoice::OnLeaving(const std::string& server_key, uint64_t started_ms,
                             TimePoint now) {
  departures_[server_key] = {started_ms, now};
}

bool ServerChoice::HasLeft(const std::string& server_key,
                           const ServerPlace& place) const {
  const auto found = departures_.find(server_key);
  return found != departures_.end() &&
         found->second.started_ms == place.started_ms;
}

void ServerChoice::OnUnreachable(const std::string& node, TimePoint now) {
  unreachable_[node] = now + kUnreachableBackoff;
}

void ServerChoice::OnCalled(const std::string& node, TimePoint now) {
  const auto found = unreachable_.find(node);
  if (found != unreachable_.end()) found->second = now + kUnreachableBackoff;
}

bool ServerChoice::IsUnreachable(const std::string& node, TimePoint now) const {
  const auto found = unreachable_.find(node);
  return found != unreachable_.end() && now < found->second;
}

bool ServerChoice::HasCapacity(const std::string& server_key,
                               TimePoint now) const {
  const auto found = servers_.find(server_key);
  if (found == servers_.end()) return false;
  const ServerState& state = found->second;
  const LoadReport& report = state.report;
  return now - state.reported_at <= kReportLifetime && report.queued == 0 &&
         report.shed_threshold == 0 &&
         std::max(state.in_flight, report.in_flight) < report.limit;
}

void ServerChoice::Expire(TimePoint now) {
  for (auto it = departures_.begin(); it != departures_.end();) {
    const Duration retention = it->second.started_ms > 0
                                   ? kDepartureRetention
                                   : kUnknownDepartureRetention;
    const bool old = now - it->second.since > retention;
    it = old ? departures_.erase(it) : std::next(it);
  }
  for (auto it = unreachable_.begin(); it != unreachable_.end();) {
    const bool old = it->second + kUnreachableRetention <= now;
    it = old ? unreachable_.erase(it) : std::next(it);
  }
  for (auto it = servers_.begin(); it != servers_.end();) {
    const bool idle = it->second.in_flight == 0;
    if (idle && now - it->second.last_used > kServerRetention) {
      for (auto& [service, detector] : outliers_) detector.Forget(it->first);
      it = servers_.erase(it);
    } else {
      ++it;
    }
  }
}

bool ServerChoice::Ejected(const std::string& service,
                           const std::string& server_key, TimePoint now) const {
  const auto found = outliers_.find(service);
  return found != outliers_.end() && found->second.Ejected(server_key, now);
}

uint32_t ServerChoice::InFlight(const std::string& server_key) const {
  const auto found = servers_.find(server_key);
  return found == servers_.end() ? 0 : found->second.in_flight;
}

}  // namespace amaranth::pvt
