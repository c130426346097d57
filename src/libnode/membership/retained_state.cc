#include "libnode/membership/retained_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libutil/shallow_json.h"

namespace amaranth::pvt {
namespace {

using Json = nlohmann::json;

Json ToJson(const Departure& departure, std::optional<PlatformTime> clock) {
  Json json = {{"server", departure.server},
               {"sequence", departure.sequence},
               {"left", departure.left}};
  if (departure.started_ms) json["started_ms"] = *departure.started_ms;
  if (clock) {
    json["at_us"] = (*clock - departure.age).time_since_epoch().count();
  }
  return json;
}

Departure DepartureFromJson(const Json& json,
                            std::optional<PlatformTime> clock) {
  Departure departure;
  departure.server = json.at("server").get<std::string>();
  departure.sequence = json.at("sequence").get<uint64_t>();
  departure.left = json.at("left").get<bool>();
  if (json.contains("started_ms")) {
    departure.started_ms = json.at("started_ms").get<uint64_t>();
  }
  if (clock && json.contains("at_us")) {
    const PlatformTime at(Duration(json.at("at_us").get<int64_t>()));
    departure.age = std::max(Duration(0), *clock - at);
  }
  return departure;
}

Json ToJson(const QuarantineRecord& record, PlatformTime clock) {
  return {{"service", record.service},
          {"fingerprint", record.fingerprint},
          {"crashes", record.crashes},
          {"until_us", (clock + record.remaining).time_since_epoch().count()}};
}

QuarantineRecord QuarantineFromJson(const Json& json, PlatformTime clock) {
  const PlatformTime until(Duration(json.at("until_us").get<int64_t>()));
  return {json.at("service").get<std::string>(),
          json.at("fingerprint").get<uint64_t>(),
          json.at("crashes").get<uint32_t>(), until - clock};
}

}  // namespace

std::string ToText(const RetainedState& state,
                   std::optional<PlatformTime> clock) {
  Json departures = Json::array();
  for (const Departure& departure : state.departures) {
    departures.push_back(ToJson(departure, clock));
  }
  Json quarantines = Json::array();
  for (const QuarantineRecord& record : state.quarantines) {
    if (clock) quarantines.push_back(ToJson(record, *clock));
  }
  return Json{{"departures", std::move(departures)},
              {"quarantines", std::move(quarantines)}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

RetainedState ParseRetainedState(const std::string& text,
                                 std::optional<PlatformTime> clock) {
  const Json json = ParseShallowJson(text);
  RetainedState state;
  try {
    for (const Json& item : json.at("departures")) {
      state.departures.push_back(DepartureFromJson(item, clock));
    }
    if (!clock) return state;
    for (const Json& item : json.at("quarantines")) {
      const QuarantineRecord record = QuarantineFromJson(item, *clock);
      if (record.remaining > Duration(0)) state.quarantines.push_back(record);
    }
  } catch (const Json::exception&) {
    return {};
  }
  return state;
}

}  // namespace amaranth::pvt
