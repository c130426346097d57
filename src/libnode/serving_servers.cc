// Backend servers' announcements and timers of the serving role.

#include <nlohmann/json.hpp>

#include "libnode/answers.h"
#include "libnode/serving_role.h"
#include "libutil/shallow_json.h"

namespace amaranth::pvt {
namespace {

constexpr const char* kPart = "serving";

// A server announces itself every 500 ms; after four lost announcements, and
// with no answer in that time either, it is gone. Shorter would drop servers
// that are merely busy, longer would keep sending work to dead ones.
constexpr Duration kServerSilence = std::chrono::seconds(2);
constexpr Duration kCheckPeriod = std::chrono::milliseconds(100);
constexpr size_t kMaxLocalServers = 64;
constexpr size_t kMaxNameLength = 100;

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
  if (ip.find_first_not_of("0123456789abcdefABCDEF.:[]") != std::string::npos) {
    return std::nullopt;
  }
  return Endpoint{ip, static_cast<uint16_t>(number)};
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         text.find_first_of("/*,; \"\\") == std::string::npos;
}

Outcome<ServerRecord> ParseAnnouncement(const Body& body) {
  const nlohmann::json json = ParseShallowJson(body.view());
  if (!json.is_object()) {
    return Error{ErrorCode::kInvalid, "announcement is not a JSON object"};
  }
  try {
    ServerRecord record;
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
    record.address = *address;
    return record;
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
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

void ServingRole::OnAnnounce(CallId call, const HttpRequest& request,
                             Context& context) {
  Outcome<ServerRecord> parsed = ParseAnnouncement(request.body);
  if (!parsed) {
    context.Emit(
        AnswerCaller{call, BadAnnouncement(parsed.error().message, context)});
    return;
  }
  const ServerRecord& record = parsed.value();
  const EffectiveSettings& settings = settings_.Of(record.service, "");
  const auto found = servers_.find(record.server);
  if (found != servers_.end()) {
    found->second.Configure(record, settings);
    found->second.last_heard = context.now;
    found->second.draining = record.draining;
  } else if (servers_.size() >= kMaxLocalServers) {
    context.Emit(AnswerCaller{
        call, BadAnnouncement("too many backend servers here", context)});
    return;
  } else {
    LocalServer server(record, settings, context.now);
    server.draining = record.draining;
    servers_.emplace(record.server, std::move(server));
    context.Log(LogLevel::kInfo, kPart,
                "Backend server " + record.server + " of service " +
                    record.service + " announced itself.");
  }
  membership_.AnnounceServer(record, context);
  context.Emit(AnswerCaller{call, JsonResponse(200, "{}")});
}

void ServingRole::OnLeave(CallId call, const HttpRequest& request,
                          Context& context) {
  const nlohmann::json json = ParseShallowJson(request.body.view());
  std::string name;
  if (json.is_object() && json.contains("server") &&
      json["server"].is_string()) {
    name = json["server"].get<std::string>();
  }
  const auto found = servers_.find(name);
  if (found == servers_.end()) {
    context.Emit(
        AnswerCaller{call, BadAnnouncement("no such server", context)});
    return;
  }
  // From now on stragglers are refused as not run; what is in flight or queued
  // still runs, since the server promised to finish it.
  found->second.draining = true;
  membership_.SetServerDraining(name, context);
  records_.Add(context.now, "", "leave", name + " is leaving");
  context.Log(LogLevel::kInfo, kPart,
              "Backend server " + name + " is leaving.");
  context.Emit(AnswerCaller{call, JsonResponse(200, "{}")});
}

void ServingRole::RemoveServer(const std::string& name, Context& context) {
  membership_.RemoveServer(name, context);
  std::vector<uint64_t> waiting;
  for (const auto& [id, hop] : hops_) {
    if (hop.server == name && hop.state != HopState::kDispatched) {
      waiting.push_back(id);
    }
  }
  for (const uint64_t id : waiting) {
    const Hop hop = TakeHop(id);
    Refuse(hop, Reason::kNoServer, context);
  }
  servers_.erase(name);
  records_.Add(context.now, "", "gone", name + " stopped announcing itself");
  context.Log(LogLevel::kWarning, kPart,
              "Backend server " + name + " stopped announcing itself.");
}

void ServingRole::DropExpired(LocalServer& server, Context& context) {
  std::vector<QueuedCall> expired;
  server.queue().DropExpired(context.now, server.expected_service(), expired);
  RefuseAll(expired, Reason::kDeadline, context);
}

void ServingRole::CheckServers(Context& context) {
  std::vector<std::string> silent;
  for (auto& [name, server] : servers_) {
    server.crash_window().Expire(context.now);
    DropExpired(server, context);
    Pump(server, context);
    if (context.now - server.last_heard > kServerSilence) {
      silent.push_back(name);
    }
  }
  for (const std::string& name : silent) RemoveServer(name, context);
}

void ServingRole::OnTimer(Context& context) {
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
  // Patience ends before deadlines do.
  for (const auto& [name, server] : servers_) {
    next = std::min(next, server.queue().next_deadline());
  }
  return std::min(next, queue_deadlines_.next());
}

}  // namespace amaranth::pvt
