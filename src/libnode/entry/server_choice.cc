#include "libnode/entry/server_choice.h"

#include <algorithm>
#include <iterator>

#include "amaranthroute/policy/shedder.h"
#include "amaranthroute/policy/slow_start.h"
#include "libnode/shared/durations.h"

namespace amaranth::pvt {
namespace {

// A load report older than this says nothing: queues empty in far less.
constexpr Duration kReportLife = std::chrono::seconds(1);
// A host that broke its link, or is not heard from, is avoided this long, then
// tried by one call: as long as a refused connection costs that call only a
// retry, this may be short.
constexpr Duration kAvoidUnreachable = std::chrono::seconds(1);
// ... and is a host like any other again if nobody called it for this long.
constexpr Duration kForgetUnreachable = std::chrono::seconds(10);
constexpr Duration kForgetAfter = std::chrono::minutes(2);
constexpr double kLatencyWeight = 0.2;

// A failing server is called where each of the others would be waited for so
// many times longer: left out altogether, it would take from a service that is
// short of slots what it still does, and all would be left out where all fail.
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
                                const std::set<std::string>& tried,
                                std::optional<uint32_t> level,
                                TimePoint now) const {
  const std::string key = ServerKey(place.node, place.server);
  ServerView view{};
  // Not place.local, which means this very host: half of a data centre's calls
  // would stay with a slow server on the host that they came in by.
  view.local = place.data_centre == data_centre_;
  view.suspect = place.suspect || IsUnreachable(place.node, now);
  view.weight = SlowStartWeight(place.first_seen, now, settings.slow_start);
  const auto outliers = outliers_.find(place.service);
  if (outliers != outliers_.end()) {
    view.ejected = outliers->second.Ejected(key, now);
    view.weight *= outliers->second.Weight(key, now);
  }
  view.excluded = tried.count(key) > 0;
  view.penalty = PenaltyOf(place.fitness);
  const auto found = seen_.find(key);
  if (found == seen_.end()) return view;
  const Seen& seen = found->second;
  view.in_flight = seen.in_flight;
  view.latency = seen.latency;
  if (now - seen.reported <= kReportLife) {
    view.in_flight = std::max(seen.in_flight, seen.report.in_flight);
    view.limit = seen.report.limit;
    view.queued = seen.report.queued;
    if (seen.report.turn_us > 0) BringUpToDate(seen, now, view);
    // A fresh report tells by itself how slow the server is.
    view.penalty = PenaltyOf({place.fitness.failing, 1});
  }
  if (level && *level < ThresholdOf(seen, now)) view.excluded = true;
  return view;
}

// A queue that was long when its server last answered keeps everybody away, and
// as nobody is sent there no answer tells that it has drained: the server then
// stands idle beside others with long queues until all come at once. So what it
// has ended since is taken off, and what this node sent it since is added.
void ServerChoice::BringUpToDate(const Seen& seen, TimePoint now,
                                 ServerView& view) {
  const LoadReport& report = seen.report;
  const double ended = static_cast<double>((now - seen.reported).count()) /
                       static_cast<double>(report.turn_us);
  const double reported = report.in_flight + report.queued;
  const double calls = std::max<double>(
      std::max(0.0, reported - ended) + seen.sent_since, seen.in_flight);
  const uint32_t there = static_cast<uint32_t>(calls);
  view.in_flight = std::min(there, report.limit);
  view.queued = there - view.in_flight;
  view.latency = Duration(int64_t{report.turn_us} * report.limit);
}

uint32_t ServerChoice::MeanThreshold(const std::vector<ServerPlace>& places,
                                     TimePoint now) const {
  uint64_t sum = 0;
  uint64_t known = 0;
  for (const ServerPlace& place : places) {
    const auto found = seen_.find(ServerKey(place.node, place.server));
    if (place.suspect || found == seen_.end()) continue;
    sum += ThresholdOf(found->second, now);
    ++known;
  }
  return known == 0 ? 0 : static_cast<uint32_t>(sum / known);
}

uint32_t ServerChoice::ThresholdOf(const Seen& seen, TimePoint now) {
  return static_cast<uint32_t>(DownstreamThresholds::Faded(
      seen.report.shed_threshold, seen.reported, now));
}

uint32_t ServerChoice::Threshold(const std::vector<ServerPlace>& places,
                                 TimePoint now) const {
  uint32_t lowest = kMaxSheddingLevel;
  for (const ServerPlace& place : places) {
    if (place.suspect) continue;
    const auto found = seen_.find(ServerKey(place.node, place.server));
    if (found == seen_.end()) return 0;
    lowest = std::min(lowest, ThresholdOf(found->second, now));
  }
  return places.empty() ? 0 : lowest;
}

std::optional<ServerPlace> ServerChoice::Choose(
    const std::vector<ServerPlace>& places, const EffectiveSettings& settings,
    const std::set<std::string>& tried, std::optional<uint32_t> level,
    TimePoint now, std::mt19937_64& random) {
  if (places.empty()) return std::nullopt;
  outliers_[places.front().service].SetMaxShare(settings.max_eject_share);
  std::vector<ServerView> views;
  views.reserve(places.size());
  for (const ServerPlace& place : places) {
    views.push_back(ViewOf(place, settings, tried, level, now));
  }
  PickOptions options;
  options.spill_share = settings.spill_share;
  const std::optional<size_t> picked = PickServer(views, options, random);
  if (!picked) return std::nullopt;
  return places[*picked];
}

std::optional<Duration> ServerChoice::ReportAge(const std::string& server_key,
                                                TimePoint now) const {
  const auto found = seen_.find(server_key);
  if (found == seen_.end() || found->second.reported == TimePoint{}) {
    return std::nullopt;
  }
  return now - found->second.reported;
}

void ServerChoice::OnSent(const std::string& server_key) {
  Seen& seen = seen_[server_key];
  ++seen.in_flight;
  ++seen.sent_since;
}

void ServerChoice::OnEnded(const std::string& service,
                           const std::string& server_key,
                           std::optional<Duration> latency, bool failed,
                           TimePoint now) {
  Seen& seen = seen_[server_key];
  if (seen.in_flight > 0) --seen.in_flight;
  seen.used = now;
  if (latency && !failed) {
    seen.latency = MovingAverage(seen.latency, *latency, kLatencyWeight);
  }
  if (latency || failed) {
    outliers_[service].OnResult(server_key, latency.value_or(Duration(0)),
                                failed, now);
  }
}

void ServerChoice::OnReport(const std::string& server_key,
                            const LoadReport& report, TimePoint now) {
  Seen& seen = seen_[server_key];
  seen.report = report;
  seen.sent_since = 0;
  seen.reported = now;
  seen.used = now;
}

void ServerChoice::OnUnreachable(const std::string& node, TimePoint now) {
  unreachable_[node] = now + kAvoidUnreachable;
}

void ServerChoice::OnTried(const std::string& node, TimePoint now) {
  const auto found = unreachable_.find(node);
  if (found != unreachable_.end()) found->second = now + kAvoidUnreachable;
}

bool ServerChoice::IsUnreachable(const std::string& node, TimePoint now) const {
  const auto found = unreachable_.find(node);
  return found != unreachable_.end() && now < found->second;
}

bool ServerChoice::HasRoom(const std::string& server_key, TimePoint now) const {
  const auto found = seen_.find(server_key);
  if (found == seen_.end()) return false;
  const Seen& seen = found->second;
  const LoadReport& report = seen.report;
  return now - seen.reported <= kReportLife && report.queued == 0 &&
         report.shed_threshold == 0 &&
         std::max(seen.in_flight, report.in_flight) < report.limit;
}

void ServerChoice::Expire(TimePoint now) {
  for (auto it = unreachable_.begin(); it != unreachable_.end();) {
    const bool old = it->second + kForgetUnreachable <= now;
    it = old ? unreachable_.erase(it) : std::next(it);
  }
  for (auto it = seen_.begin(); it != seen_.end();) {
    const bool idle = it->second.in_flight == 0;
    if (idle && now - it->second.used > kForgetAfter) {
      for (auto& [service, detector] : outliers_) detector.Forget(it->first);
      it = seen_.erase(it);
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
  const auto found = seen_.find(server_key);
  return found == seen_.end() ? 0 : found->second.in_flight;
}

}  // namespace amaranth::pvt
