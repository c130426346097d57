#ifndef AMARANTHROUTE_LIBREPLAY_EVENT_JSON_H_
#define AMARANTHROUTE_LIBREPLAY_EVENT_JSON_H_

// Events and identities to JSON and back. Reading throws
// nlohmann::json::exception or std::invalid_argument on bad input; event_log.cc
// turns both into an Error.

#include <nlohmann/json.hpp>

#include "amaranthroute/event.h"
#include "amaranthroute/reducer.h"

namespace amaranth::pvt {

nlohmann::json IdentityToJson(const NodeIdentity& identity);
NodeIdentity IdentityFromJson(const nlohmann::json& json);

nlohmann::json EventToJson(const EventBody& body);
EventBody EventFromJson(const nlohmann::json& json);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBREPLAY_EVENT_JSON_H_
