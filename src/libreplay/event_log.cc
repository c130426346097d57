#include "amaranthroute/event_log.h"

#include <istream>
#include <optional>
#include <ostream>
#include <sstream>
#include <stdexcept>

#include "amaranthroute/hash.h"
#include "libreplay/event_json.h"

namespace amaranth {
namespace {

// Removes the bearer token from an operator's request before it is logged,
// since logs may be shared.
Event RedactCredentials(const Event& event) {
  const auto* request = std::get_if<OperatorRequest>(&event.body);
  if (request == nullptr) return event;
  OperatorRequest redacted = *request;
  if (!FindHeader(redacted.request.headers, "Authorization").empty()) {
    SetHeader(redacted.request.headers, "Authorization", "(removed)");
  }
  return {event.now, std::move(redacted)};
}

struct LoggedEvent {
  Event event;
  uint64_t digest = 0;
};

LoggedEvent ParseEvent(const nlohmann::json& json) {
  LoggedEvent logged;
  logged.event.now = FromMicros(json.at("at_us"));
  logged.event.body = pvt::EventFromJson(json.at("event"));
  logged.digest = json.at("effects");
  return logged;
}

void PrintTrace(std::ostream* out, const Event& event, const Effects& effects) {
  if (out == nullptr) return;
  *out << event << "\n";
  for (const Effect& effect : effects) *out << "  -> " << effect << "\n";
}

ReplayReport Replay(std::istream& log, std::ostream* trace) {
  ReplayReport report;
  std::optional<Node> node;
  std::string line;
  for (uint64_t number = 1; std::getline(log, line); ++number) {
    if (line.empty()) continue;
    const nlohmann::json json = nlohmann::json::parse(line);
    if (!node) {
      node.emplace(pvt::IdentityFromJson(json.at("identity")));
      node->Start(FromMicros(json.at("started_us")));
      continue;
    }
    const LoggedEvent logged = ParseEvent(json);
    const Effects effects = node->Reduce(logged.event);
    ++report.events;
    report.effects += effects.size();
    PrintTrace(trace, logged.event, effects);
    if (DigestOf(effects) == logged.digest) continue;
    ++report.differing;
    if (report.first_difference == 0) report.first_difference = number;
  }
  if (!node) throw std::invalid_argument("the log has no identity line");
  return report;
}

}  // namespace

uint64_t DigestOf(const Effects& effects) {
  std::ostringstream text;
  for (const Effect& effect : effects) text << effect << "\n";
  return Hash64(text.str());
}

std::string FormatIdentity(const NodeIdentity& identity, TimePoint started) {
  return nlohmann::json{{"identity", pvt::IdentityToJson(identity)},
                        {"started_us", ToMicros(started)}}
      .dump();
}

std::string FormatEvent(const Event& event, uint64_t effects_digest) {
  const Event redacted = RedactCredentials(event);
  return nlohmann::json{{"at_us", ToMicros(redacted.now)},
                        {"event", pvt::EventToJson(redacted.body)},
                        {"effects", effects_digest}}
      .dump();
}

Outcome<ReplayReport> ReplayLog(std::istream& log, std::ostream* trace) {
  try {
    return Replay(log, trace);
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  } catch (const std::invalid_argument& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
}

}  // namespace amaranth
