#include "libnode/operator_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "libnode/shared/answers.h"
#include "libnode/shared/request_target.h"
#include "libutil/shallow_json.h"

namespace amaranth::pvt {
namespace {

using Json = nlohmann::ordered_json;

constexpr size_t kDefaultEventLimit = 200;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse ErrorResponse(int status, const std::string& message) {
  return JsonResponse(status, Dump(Json{{"error", message}}));
}

std::optional<uint64_t> QueryNumber(const std::string& target,
                                    std::string_view name) {
  const std::string text = QueryValue(target, name);
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result result =
      std::from_chars(text.data(), end, value);
  if (text.empty() || result.ptr != end) return std::nullopt;
  return value;
}

Json StatusJson(NodeState& state, TimePoint now) {
  Json json;
  json["node"] = state.identity.node.name;
  json["incarnation"] = state.identity.node.incarnation;
  json["fleet"] = state.identity.fleet;
  json["mesh"] = state.identity.mesh;
  json["data_centre"] = state.identity.data_centre;
  json["ready"] = state.ready();
  json["stopping"] = state.stop.requested;
  json["settings_version"] = state.settings.version();
  json["view_verified"] = state.membership.view_verified();
  json["calls"] = state.entry.calls();
  json["hops"] = state.serving.hops();
  json["keys"] = state.entry.keys().size();
  Json members = Json::array();
  for (const auto& [name, member] : state.membership.members()) {
    members.push_back({{"node", name},
                       {"state", ToString(member.state)},
                       {"data_centre", member.data_centre},
                       {"servers", member.servers.size()}});
  }
  json["members"] = std::move(members);
  Json servers = Json::array();
  for (const LoadReport& report : state.serving.Reports(now)) {
    servers.push_back({{"server", report.server},
                       {"in_flight", report.in_flight},
                       {"limit", report.limit},
                       {"queued", report.queued},
                       {"shed_threshold", report.shed_threshold}});
    const RankDemand* demand = state.serving.DemandOf(report.server);
    if (demand == nullptr) continue;
    servers.back()["cut"] = demand->cut();
    servers.back()["offered_slots"] = demand->offered_slots();
    servers.back()["correction"] = demand->correction();
  }
  json["local_servers"] = std::move(servers);
  return json;
}

Json ServersJson(const NodeState& state, TimePoint now) {
  Json servers = Json::array();
  for (const auto& [name, member] : state.membership.members()) {
    for (const ServerRecord& server : member.servers) {
      const std::string key = ServerKey(name, server.server);
      const ServerChoice& choice = state.entry.choice();
      servers.push_back(
          {{"server", server.server},
           {"service", server.service},
           {"node", name},
           {"node_state", ToString(member.state)},
           {"data_centre", member.data_centre},
           {"address", ToString(server.address)},
           {"slots", server.slots},
           {"draining", server.draining},
           {"in_flight", choice.InFlight(key)},
           {"ejected", choice.Ejected(server.service, key, now)}});
    }
  }
  return Json{{"servers", std::move(servers)}};
}

// Shows digests of keys only in the short form that the logs use.
Json CustomersJson(NodeState& state, TimePoint now) {
  Json customers = Json::array();
  for (const Customer& customer : state.settings.customers().customers()) {
    Json keys = Json::array();
    for (const KeyDigest& key : customer.keys) keys.push_back(key.Short());
    Json json = {{"customer", customer.name}, {"keys", std::move(keys)}};
    if (customer.tier) json["tier"] = ToString(*customer.tier);
    if (!customer.quota.unlimited()) {
      json["rate"] = customer.quota.rate;
      json["burst"] = customer.quota.burst;
      json["home"] = state.quotas.HomeOf(customer.name, now);
    }
    customers.push_back(std::move(json));
  }
  return Json{{"customers", std::move(customers)}};
}

Json HistogramsJson(const Stats& stats) {
  Json all = Json::array();
  for (const HistogramSummary& summary : stats.Histograms()) {
    Json buckets = Json::array();
    for (const HistogramSummary::Bucket& bucket : summary.buckets) {
      buckets.push_back({{"le_us", bucket.le_us}, {"count", bucket.count}});
    }
    all.push_back({{"tenant", summary.tenant},
                   {"class", summary.request_class},
                   {"outcome", summary.outcome},
                   {"count", summary.count},
                   {"p50_us", summary.p50_us},
                   {"p90_us", summary.p90_us},
                   {"p99_us", summary.p99_us},
                   {"p999_us", summary.p999_us},
                   {"buckets", std::move(buckets)}});
  }
  return Json{{"histograms", std::move(all)}};
}

Json RecordsJson(const std::vector<DecisionRecord>& records) {
  Json all = Json::array();
  for (const DecisionRecord& record : records) {
    all.push_back({{"at_us", ToMicros(record.at)},
                   {"request", record.request},
                   {"kind", record.kind},
                   {"text", record.text}});
  }
  return Json{{"records", std::move(all)}};
}

Json SettingsJson(const SettingsTree& tree, const std::string& path) {
  Json values = Json::array();
  for (const ExplainedValue& value : tree.Explain(path)) {
    values.push_back({{"name", value.name},
                      {"value", value.value},
                      {"origin", value.origin},
                      {"is_default", value.is_default}});
  }
  return Json{{"path", path}, {"settings", std::move(values)}};
}

Json HistoryJson(const SettingsStore& store) {
  Json versions = Json::array();
  for (const SettingsHistoryEntry& entry : store.history()) {
    Json changes = Json::array();
    for (const SettingsChange& change : entry.changes) {
      Json value = nullptr;
      if (change.value) value = *change.value;
      changes.push_back({{"path", change.path},
                         {"name", change.name},
                         {"value", std::move(value)}});
    }
    versions.push_back({{"version", entry.version},
                        {"author", entry.author},
                        {"change_id", entry.change_id},
                        {"changes", std::move(changes)}});
  }
  return Json{{"history", std::move(versions)}};
}

// Compares in constant time for texts of equal length, so that the response
// time does not show how much of a guessed token was correct.
bool EqualsInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned char difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

bool Authorized(const HttpRequest& request, const std::string& token) {
  if (token.empty()) return true;
  constexpr std::string_view kBearer = "Bearer ";
  const std::string_view given = FindHeader(request.headers, "Authorization");
  return given.substr(0, kBearer.size()) == kBearer &&
         EqualsInConstantTime(given.substr(kBearer.size()), token);
}

void ChangeSettings(const OperatorRequest& request, NodeState& state,
                    Context& context) {
  const std::string_view body = request.request.body.view();
  Outcome<std::vector<SettingsChange>> changes = ParseSettingsChanges(body);
  if (!changes) {
    const Json errors{{"errors", Json::array({changes.error().message})}};
    context.Emit(AnswerCaller{request.call, JsonResponse(400, Dump(errors))});
    return;
  }
  const nlohmann::json json = ParseShallowJson(body);
  std::optional<uint64_t> expected;
  std::string author = "unknown";
  if (json.contains("expected_version") &&
      json["expected_version"].is_number_unsigned()) {
    expected = json["expected_version"].get<uint64_t>();
  }
  if (json.contains("author") && json["author"].is_string()) {
    author = json["author"].get<std::string>();
  }
  state.settings.Change(request.call, std::move(changes.value()), expected,
                        std::move(author), context);
}

HttpResponse TextResponse(int status, std::string text) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  response.body = Body(std::move(text));
  return response;
}

HttpResponse AnswerRead(const OperatorRequest& request, NodeState& state,
                        TimePoint now) {
  const std::string& target = request.request.target;
  const std::string_view path = PathOf(target);
  if (path == "/live") return TextResponse(200, "live\n");
  if (path == "/ready") {
    return state.ready() ? TextResponse(200, "ready\n")
                         : TextResponse(503, "not ready\n");
  }
  if (path == "/metrics") {
    return TextResponse(200, state.stats.PrometheusText());
  }
  if (path == "/status") return JsonResponse(200, Dump(StatusJson(state, now)));
  if (path == "/servers") {
    return JsonResponse(200, Dump(ServersJson(state, now)));
  }
  if (path == "/customers") {
    return JsonResponse(200, Dump(CustomersJson(state, now)));
  }
  if (path == "/histograms") {
    return JsonResponse(200, Dump(HistogramsJson(state.stats)));
  }
  if (path == "/settings") {
    return JsonResponse(200, Dump(SettingsJson(state.settings.tree(),
                                               QueryValue(target, "path"))));
  }
  if (path == "/settings/tree") {
    return JsonResponse(200, ToText(state.settings.tree()));
  }
  if (path == "/settings/history") {
    return JsonResponse(200, Dump(HistoryJson(state.settings)));
  }
  if (path == "/explain") {
    return JsonResponse(200, Dump(RecordsJson(state.records.OfRequest(
                                 QueryValue(target, "request")))));
  }
  if (path == "/events") {
    const TimePoint since = FromMicros(
        static_cast<int64_t>(QueryNumber(target, "since_us").value_or(0)));
    const size_t limit =
        QueryNumber(target, "limit").value_or(kDefaultEventLimit);
    return JsonResponse(200,
                        Dump(RecordsJson(state.records.Since(since, limit))));
  }
  return ErrorResponse(404, "no such path");
}

}  // namespace

void HandleOperatorRequest(const OperatorRequest& request, NodeState& state,
                           Context& context) {
  const HttpRequest& http = request.request;
  if (http.method == "GET") {
    context.Emit(
        AnswerCaller{request.call, AnswerRead(request, state, context.now)});
    return;
  }
  if (!Authorized(http, state.identity.operator_token)) {
    context.Emit(AnswerCaller{
        request.call, ErrorResponse(401, "the operators' token is missing")});
    return;
  }
  const std::string_view path = PathOf(http.target);
  if (http.method == "POST" && path == "/settings") {
    ChangeSettings(request, state, context);
    return;
  }
  if (http.method == "POST" && path == "/drain") {
    state.RequestStop(context);
    context.Emit(
        AnswerCaller{request.call, JsonResponse(202, "{\"draining\":true}")});
    return;
  }
  context.Emit(AnswerCaller{request.call, ErrorResponse(404, "no such path")});
}

}  // namespace amaranth::pvt
