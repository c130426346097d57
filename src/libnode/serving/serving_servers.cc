// Announcements of backend servers, and timers of the serving role.

#include <arpa/inet.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libnode/membership/departure_list.h"
#include "libnode/serving/server_log.h"
#include "libnode/serving/serving_role.h"
#include "libnode/shared/answers.h"
#include "libutil/shallow_json.h"

namespace amaranth::pvt {
namespace {

constexpr const char* kPart = "serving";

constexpr Duration kCheckPeriod = std::chrono::milliseconds(100);
constexpr size_t kMaxLocalServers = 64;
constexpr size_t kMaxNameLength = 100;

// Minimum time between two checks of the rate limits of servers with waiting
// calls, which may also wait for a slot.
constexpr Duration kMinRateWait = std::chrono::milliseconds(10);

// The load of a server is logged if a call waited at least this long for a slot
// or calls are queued.
constexpr Duration kMinLoggedWait = std::chrono::milliseconds(10);

// A name is sent in header fields and written to logs.
bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         text.find_first_of("/*,;\"\\") == std::string::npos &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

bool IsIp(const std::string& text) {
  in6_addr address{};
  return inet_pton(AF_INET, text.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &address) == 1;
}

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  const std::string port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5) return std::nullopt;
  if (port.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  const unsigned long number = std::stoul(port);
  if (number == 0 || number > 65535) return std::nullopt;
  const std::string ip = text.substr(0, colon);
  const bool has_brackets =
      ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (!IsIp(has_brackets ? ip.substr(1, ip.size() - 2) : ip)) {
    return std::nullopt;
  }
  return Endpoint{ip, static_cast<uint16_t>(number)};
}

// Larger numbers are not exact in all implementations of JSON.
constexpr uint64_t kMaxSequence = uint64_t{1} << 53;
// The year 2200.
constexpr uint64_t kMaxStartedMs = 7'258'118'400'000;
// Two announcements of one process are not this far apart.
constexpr uint64_t kMaxSequenceGap = uint64_t{1} << 32;

bool IsPlausible(const AnnouncementStamp& stamp) {
  return stamp.started_ms <= kMaxStartedMs && stamp.sequence <= kMaxSequence;
}

struct LeaveMessage {
  std::string server;
  std::optional<uint64_t> started_ms;
};

LeaveMessage ParseLeave(const Body& body) {
  const nlohmann::json json = ParseShallowJson(body.view());
  LeaveMessage leave;
  if (!json.is_object()) return leave;
  const auto server = json.find("server");
  if (server != json.end() && server->is_string()) {
    leave.server = server->get<std::string>();
  }
  const auto started = json.find("started_ms");
  if (started != json.end() && started->is_number_unsigned()) {
    leave.started_ms = started->get<uint64_t>();
  }
  return leave;
}

std::string_view AnnouncedState(const ServerRecord& record) {
  return record.draining ? "announced draining" : "announced itself";
}

HttpResponse BadAnnouncement(const std::string& detail,
                             const Context& context) {
  Failure failure;
  failure.verdict = Verdict::kNotRun;
  failure.reason = Reason::kBadRequest;
  failure.detail = detail;
  return FailureResponse(failure, "", context.identity.node.name);
}

}  // namespace

Outcome<ServingRole::Announcement> ServingRole::ParseAnnouncement(
    const Body& body) {
  const nlohmann::json json = ParseShallowJson(body.view());
  if (!json.is_object()) {
    return Error{ErrorCode::kInvalid, "announcement is not a JSON object"};
  }
  try {
    Announcement announcement;
    announcement.stamp.started_ms = json.value("started_ms", uint64_t{0});
    announcement.stamp.sequence = json.value("sequence", uint64_t{0});
    ServerRecord& record = announcement.record;
    record.server = json.value("server", "");
    record.service = json.value("service", "");
    record.slots = json.value("slots", 0u);
    record.draining = json.value("draining", false);
    const std::optional<Endpoint> address =
        ParseEndpoint(json.value("address", ""));
    if (!IsName(record.server) || !IsName(record.service) || !address) {
      return Error{ErrorCode::kInvalid,
                   "announcement needs server, service, address ip:port"};
    }
    if (!IsPlausible(announcement.stamp)) {
      return Error{ErrorCode::kInvalid, "start time or sequence out of range"};
    }
    record.address = *address;
    return announcement;
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
}

void ServingRole::Start(TimePoint now, const NodeIdentity& identity) {
  evidence_.Start(identity, now);
}

void ServingRole::OnAnnounce(CallId call, const HttpRequest& request,
                             Context& context) {
  const Outcome<Announcement> parsed = ParseAnnouncement(request.body);
  if (!parsed) {
    context.Log(LogLevel::kWarning, kPart,
                "Rejected announcement: " + parsed.error().message + ".");
    context.Emit(
        AnswerCaller{call, BadAnnouncement(parsed.error().message, context)});
    return;
  }
  const Announcement& announcement = parsed.value();
  const std::string& name = announcement.record.server;
  const bool is_known = servers_.count(name) > 0;
  if (!is_known && servers_.size() >= kMaxLocalServers) {
    context.Emit(AnswerCaller{
        call, BadAnnouncement("too many backend servers here", context)});
    return;
  }
  const bool is_ignored =
      IsOutdated(announcement.record, announcement.stamp) ||
      TakesAnotherPlace(announcement.record, announcement.stamp);
  if (!is_ignored && !announcement.record.draining) {
    evidence_.Count(name, announcement.stamp, context.now);
  }
  if (is_ignored || !MayHaveDeparted(announcement, context)) {
    return Acknowledge(call, Accept(announcement, context), context);
  }
  const bool is_held = held_announcements_.count(name) > 0;
  if (!is_held && held_announcements_.size() >= kMaxLocalServers) {
    context.Emit(AnswerCaller{
        call, BadAnnouncement("too many backend servers here", context)});
    return;
  }
  Hold(announcement, context);
  context.Emit(AnswerCaller{call, JsonResponse(200, "{}")});
}

bool ServingRole::MayHaveDeparted(const Announcement& announcement,
                                  const Context& context) const {
  const std::string& name = announcement.record.server;
  if (announcement.record.draining) return false;
  const auto found = servers_.find(name);
  if (found != servers_.end() && !found->second.draining) return false;
  return !evidence_.Suffices(name, announcement.stamp,
                             membership_.departure_knowledge(context.now),
                             context.now);
}

void ServingRole::Hold(const Announcement& announcement, Context& context) {
  const std::string& name = announcement.record.server;
  const AnnouncementStamp& stamp = announcement.stamp;
  LogServerEvent(name, AnnouncedState(announcement.record), stamp,
                 membership_.departure_knowledge(context.now) ==
                         DepartureKnowledge::kLearning
                     ? "hold"
                     : "hold-unproven",
                 context);
  stats_.Count("amaranth_announcements_held_total");
  if (evidence_.IsOfCountedProcess(name, stamp)) {
    held_announcements_[name] = announcement;
  }
}

void ServingRole::AcceptHeld(Context& context) {
  may_learn_departures_ = membership_.departure_knowledge(context.now) ==
                          DepartureKnowledge::kLearning;
  if (held_announcements_.empty()) return;
  std::vector<Announcement> accepted;
  for (const auto& [name, announcement] : held_announcements_) {
    if (!MayHaveDeparted(announcement, context)) {
      accepted.push_back(announcement);
    }
  }
  for (const Announcement& announcement : accepted) {
    held_announcements_.erase(announcement.record.server);
    Accept(announcement, context);
  }
}

std::optional<uint64_t> ServingRole::Accept(Announcement announcement,
                                            Context& context) {
  ServerRecord& record = announcement.record;
  const AnnouncementStamp& stamp = announcement.stamp;
  const std::string_view state = AnnouncedState(record);
  if (IsOutdated(record, stamp)) {
    LogServerEvent(record.server, state, stamp, "ignore-outdated", context);
    return std::nullopt;
  }
  if (TakesAnotherPlace(record, stamp)) {
    LogServerEvent(record.server, state, stamp, "ignore-conflicting", context);
    return std::nullopt;
  }
  RemoveReplaced(record, stamp, context);
  held_announcements_.erase(record.server);
  record.started_ms = stamp.started_ms;
  const bool says_draining = record.draining;
  if (!says_draining && departed_.Contains(record.server, stamp, context.now)) {
    LogServerEvent(record.server, state, stamp, "refuse-departed", context);
    record.draining = true;
  }
  const EffectiveSettings& settings = settings_.Resolve(record.service, "");
  const auto found = servers_.find(record.server);
  const bool was_draining = found != servers_.end() && found->second.draining;
  const bool changes =
      found == servers_.end() || was_draining != record.draining;
  if (changes && says_draining == record.draining) {
    LogServerEvent(record.server, state, stamp,
                   record.draining ? "drain" : "use", context);
  }
  if (found != servers_.end()) {
    LocalServer& known = found->second;
    known.Configure(record, settings);
    known.last_heard = context.now;
    known.stamp = stamp;
    if (record.draining) {
      BeginDrain(known, context);
    } else {
      known.draining = false;
    }
  } else {
    ShedderOptions shedding;
    shedding.threshold_from_wait = context.identity.rules.admit_at_edge;
    LocalServer server(record, settings, shedding, context.now);
    server.stamp = stamp;
    if (record.draining) BeginDrain(server, context);
    servers_.emplace(record.server, std::move(server));
  }
  membership_.AnnounceServer(record, context);
  // Without numbers, a delayed announcement cannot be told from a later one.
  if (!says_draining || stamp.sequence == 0) return std::nullopt;
  if (was_draining) return membership_.departure_in_copy();
  return AddDeparture({record.server, stamp.started_ms, stamp.sequence, false},
                      context);
}

uint64_t ServingRole::AddDeparture(const Departure& departure,
                                   Context& context) {
  departed_.Add(departure, departure.left ? "leave" : "drain", context.now);
  return membership_.PublishDeparture(departure, context);
}

// The answer promises that the server gets no calls after its drain time, also
// if this process ends, so others must know first.
void ServingRole::Acknowledge(CallId call, std::optional<uint64_t> departure,
                              Context& context) {
  if (departure) {
    waiting_acknowledgements_.emplace(*departure, call);
    return;
  }
  context.Emit(AnswerCaller{call, JsonResponse(200, "{}")});
}

void ServingRole::OnDepartureCopied(uint64_t number, Context& context) {
  const auto end = waiting_acknowledgements_.upper_bound(number);
  for (auto it = waiting_acknowledgements_.begin(); it != end; ++it) {
    context.Emit(AnswerCaller{it->second, JsonResponse(200, "{}")});
  }
  waiting_acknowledgements_.erase(waiting_acknowledgements_.begin(), end);
}

void ServingRole::OnDepartureLearned(const Departure& departure,
                                     const std::string& source,
                                     Context& context) {
  const std::string& name = departure.server;
  departed_.Add(departure, source, context.now);
  stats_.Count("amaranth_departures_learned_total");
  const auto found = servers_.find(name);
  const bool applies =
      found != servers_.end() && !found->second.draining &&
      departed_.Contains(name, found->second.stamp, context.now);
  context.Log(LogLevel::kInfo, kPart,
              "Learned that backend server " + name +
                  (departure.left ? " left: " : " drains: ") +
                  DescribeDeparture(departure) + " source=" + source +
                  (applies ? " decision=drain" : " decision=remember"));
  if (!applies) return;
  BeginDrain(found->second, context);
  if (departure.left) return membership_.SetServerDraining(name, context);
  ServerRecord record = found->second.record();
  record.draining = true;
  membership_.AnnounceServer(record, context);
}

void ServingRole::LogServerEvent(const std::string& server,
                                 std::string_view what,
                                 const AnnouncementStamp& stamp,
                                 std::string_view decision,
                                 Context& context) const {
  const auto found = servers_.find(server);
  const LocalServer* known = found == servers_.end() ? nullptr : &found->second;
  context.Log(
      LogLevel::kInfo, kPart,
      DescribeServerEvent(server, what, stamp, known, decision, context.now));
}

// A delayed announcement may arrive after a later one, or after the first one
// of its sender's successor. If it were accepted, calls would be sent to a
// server that is leaving, or would expect an instance that has exited: the
// process that now has the address would refuse each of them.
bool ServingRole::IsOutdated(const ServerRecord& record,
                             const AnnouncementStamp& stamp) const {
  for (const auto& [name, server] : servers_) {
    const bool same_server = name == record.server;
    const bool same_address = server.record().address == record.address;
    if (!same_server && !same_address) continue;
    if (stamp.started_ms < server.stamp.started_ms) return true;
    const bool same_start = stamp.started_ms == server.stamp.started_ms;
    if (same_server && same_start && stamp.sequence != 0 &&
        stamp.sequence <= server.stamp.sequence) {
      return true;
    }
  }
  return false;
}

// A process keeps its address and service, and numbers its announcements one by
// one. A server of a service that no settings name gets no calls, so it does
// not replace a server of a service that they name.
bool ServingRole::TakesAnotherPlace(const ServerRecord& record,
                                    const AnnouncementStamp& stamp) const {
  const bool is_named = IsServiceNamed(record.service);
  for (const auto& [name, server] : servers_) {
    const ServerRecord& other = server.record();
    const bool same_server = name == record.server;
    const bool same_address = other.address == record.address;
    if (!same_server && !same_address) continue;
    if (!is_named && !server.draining && IsServiceNamed(other.service)) {
      return true;
    }
    const bool same_process = same_server && stamp.started_ms != 0 &&
                              stamp.started_ms == server.stamp.started_ms;
    if (!same_process) continue;
    if (!same_address || other.service != record.service) return true;
    if (stamp.sequence > server.stamp.sequence + kMaxSequenceGap) return true;
  }
  return false;
}

bool ServingRole::IsServiceNamed(const std::string& service) const {
  const std::vector<Route>& routes = settings_.routes().routes();
  if (routes.empty()) return true;  // callers name services
  return std::any_of(routes.begin(), routes.end(), [&](const Route& route) {
    return std::any_of(
        route.targets.begin(), route.targets.end(),
        [&](const RouteTarget& target) { return target.service == service; });
  });
}

// A server that restarted, under its old name or under a new one at the same
// address, is a new process: the record, queue and measurements of the old one
// no longer apply.
void ServingRole::RemoveReplaced(const ServerRecord& record,
                                 const AnnouncementStamp& stamp,
                                 Context& context) {
  std::vector<std::string> replaced;
  for (const auto& [name, server] : servers_) {
    const bool restarted =
        name == record.server && stamp.started_ms > server.stamp.started_ms;
    // Servers that send no start time cannot be ordered, so none is replaced.
    const bool address_reused = name != record.server &&
                                server.record().address == record.address &&
                                stamp.started_ms > server.stamp.started_ms;
    if (restarted || address_reused) replaced.push_back(name);
  }
  for (const std::string& name : replaced) RemoveServer(name, context);
}

void ServingRole::BeginDrain(LocalServer& server, Context& context) {
  if (server.draining) return;
  server.draining = true;
  server.draining_since = context.now;
}

std::vector<uint64_t> ServingRole::WaitingAt(const std::string& server) const {
  std::vector<uint64_t> waiting;
  for (const auto& [id, hop] : hops_) {
    if (hop.server == server && hop.state != HopState::kDispatched) {
      waiting.push_back(id);
    }
  }
  return waiting;
}

// A server exits some time after its leave message: calls that are still
// waiting by then would reach it too late or not at all.
void ServingRole::RefuseAfterDrainLimit(LocalServer& server, Context& context) {
  const Duration limit = context.identity.rules.drain_limit;
  if (limit == Duration::zero() || !server.draining) return;
  if (context.now - server.draining_since < limit) return;
  for (const uint64_t id : WaitingAt(server.record().server)) {
    const Hop hop = TakeWaitingHop(id);
    Refuse(hop, Reason::kDraining, context);
  }
}

void ServingRole::OnLeave(CallId call, const HttpRequest& request,
                          Context& context) {
  const LeaveMessage leave = ParseLeave(request.body);
  const auto found = servers_.find(leave.server);
  const bool is_of_known =
      found != servers_.end() &&
      (!leave.started_ms ||
       *leave.started_ms == found->second.stamp.started_ms);
  if (is_of_known) {
    return Acknowledge(call, OnLeaving(found->second, context), context);
  }
  const bool may_be_unknown =
      context.identity.rules.announce_port || leave.started_ms;
  const bool accepted = may_be_unknown && IsName(leave.server) &&
                        IsPlausible({leave.started_ms.value_or(0), 0});
  LogServerEvent(leave.server, "is leaving", {leave.started_ms.value_or(0), 0},
                 accepted ? "remember" : "reject", context);
  if (!accepted) {
    context.Emit(
        AnswerCaller{call, BadAnnouncement("no such server", context)});
    return;
  }
  // A process that started later than the known one has taken its place.
  if (found != servers_.end() &&
      *leave.started_ms > found->second.stamp.started_ms) {
    RemoveServer(leave.server, context);
  }
  held_announcements_.erase(leave.server);
  Acknowledge(call,
              AddDeparture({leave.server, leave.started_ms, 0, true}, context),
              context);
}

uint64_t ServingRole::OnLeaving(LocalServer& server, Context& context) {
  const std::string& name = server.record().server;
  LogServerEvent(name, "is leaving", server.stamp,
                 server.draining ? "none" : "drain", context);
  // New calls are refused as not run from now on. Calls in flight or queued
  // still run: a leaving server finishes them.
  BeginDrain(server, context);
  membership_.SetServerDraining(name, context);
  records_.Add(context.now, "", "leave", name + " is leaving");
  return AddDeparture(
      {name, server.stamp.started_ms, server.stamp.sequence, true}, context);
}

void ServingRole::RemoveServer(const std::string& name, Context& context) {
  membership_.RemoveServer(name, context);
  for (const uint64_t id : WaitingAt(name)) {
    const Hop hop = TakeHop(id);
    Refuse(hop, Reason::kNoServer, context);
  }
  servers_.erase(name);
  records_.Add(context.now, "", "gone",
               name + " was replaced or stopped announcing itself");
  context.Log(LogLevel::kWarning, kPart,
              "Removed backend server " + name +
                  ": it was replaced or stopped announcing itself.");
}

void ServingRole::DropExpired(LocalServer& server, Context& context) {
  std::vector<QueuedCall> expired;
  server.queue().DropExpired(context.now, server.expected_service(), expired);
  RefuseAll(expired, Reason::kDeadline, context);
}

void ServingRole::ReportLoad(LocalServer& server, Context& context) {
  LoadWindow::Summary load;
  if (!server.load().TakeDue(context.now, load)) return;
  const std::string label = "service=\"" + server.record().service + "\"";
  stats_.Count("amaranth_server_ended_total", label, load.ended);
  stats_.Count(
      "amaranth_server_busy_us_total", label,
      load.ended * static_cast<uint64_t>(load.mean_service_time.count()));
  if (load.longest_wait < kMinLoggedWait && server.queue().size() == 0) return;
  std::string text = "Calls wait for backend server " + server.record().server;
  text += ": service=" + server.record().service;
  text += " slots=" + std::to_string(server.record().slots);
  text += " limit=" + std::to_string(server.limit());
  text += " mean_in_flight=" + std::to_string(load.mean_in_flight);
  text += " queued=" + std::to_string(server.queue().size());
  text += " ended=" + std::to_string(load.ended);
  text += " own_us=" + std::to_string(load.mean_service_time.count());
  text += " longest_wait_ms=" + std::to_string(ToMillis(load.longest_wait));
  if (server.admits_by_rank()) {
    const RankDemand& demand = server.rank_demand();
    text += " cut=" + std::to_string(server.Cut(context.now));
    text += " offered_slots=" + std::to_string(demand.offered_slots());
    text += " correction=" + std::to_string(demand.correction());
  }
  if (server.rate_gate().limit()) {
    text += " rate_limit=" + std::to_string(*server.rate_gate().limit());
  }
  context.Log(LogLevel::kInfo, kPart, std::move(text));
}

void ServingRole::CheckServers(Context& context) {
  std::vector<std::string> expired;
  for (auto& [name, server] : servers_) {
    server.crash_window().Expire(context.now);
    DropExpired(server, context);
    RefuseAfterDrainLimit(server, context);
    DispatchWaiting(server, context);
    ReportLoad(server, context);
    SendFitness(server, context);
    // The lease is four announcements by default, and answers renew it as
    // well. A shorter one would remove servers that are only busy; a longer one
    // would keep sending calls to crashed servers.
    if (context.now - server.last_heard > context.identity.rules.server_lease) {
      expired.push_back(name);
    } else if (!server.draining && evidence_.IsOverdue(name, context.now)) {
      evidence_.Withdraw(name);
      expired.push_back(name);
    }
  }
  for (const std::string& name : expired) RemoveServer(name, context);
}

void ServingRole::DispatchRateLimited(Context& context) {
  rate_limits_checked_at_ = context.now;
  for (auto& [name, server] : servers_) {
    if (server.rate_gate().limit()) DispatchWaiting(server, context);
  }
}

void ServingRole::OnTimer(Context& context) {
  DispatchRateLimited(context);
  for (const uint64_t id : queue_deadlines_.TakeDue(context.now)) {
    Hop* hop = FindHop(id);
    if (hop == nullptr || hop->state == HopState::kDispatched) continue;
    const Hop expired = TakeWaitingHop(id);
    Refuse(expired, Reason::kDeadline, context);
  }
  for (auto& [name, server] : servers_) {
    if (context.now >= server.queue().next_deadline()) {
      DropExpired(server, context);
    }
  }
  if (context.now >= next_check_) {
    next_check_ = context.now + kCheckPeriod;
    CheckServers(context);
  }
}

TimePoint ServingRole::next_timer() const {
  TimePoint next = servers_.empty() ? kNever : next_check_;
  if (!held_announcements_.empty() && may_learn_departures_) {
    next = std::min(next, membership_.learning_until());
  }
  // Queue timeouts may end before deadlines do.
  for (const auto& [name, server] : servers_) {
    next = std::min(next, server.queue().next_deadline());
    const bool waits_for_rate =
        server.rate_gate().limit() && server.queue().size() > 0;
    if (waits_for_rate) {
      next = std::min(next, std::max(server.rate_gate().next_start(),
                                     rate_limits_checked_at_ + kMinRateWait));
    }
  }
  return std::min(next, queue_deadlines_.next());
}

}  // namespace amaranth::pvt
