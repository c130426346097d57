#ifndef AMARANTHROUTE_LIBREPLAY_EVENT_JSON_H_
#define AMARANTHROUTE_LIBREPLAY_EVENT_JSON_H_

// Converts events and identities to JSON and back. The conversions from JSON
// throw nlohmann::json::exception or std::invalid_argument on invalid input;
// event_log.cc converts both to an Error.

#include <nlohmann/json.hpp>

#include "amaranthroute/event.h"
#include "amaranthroute/reducer.h"

namespace amaranth::pvt {

// Writes whether an operator token is set, but neither the token nor the
// DeploymentRules.
nlohmann::json IdentityToJson(const NodeIdentity& identity);
NodeIdentity IdentityFromJson(const nlohmann::json& json);

nlohmann::json EventToJson(const EventBody& body);
EventBody EventFromJson(const nlohmann::json& json);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBREPLAY_EVENT_JSON_H_
