#include "libnode/settings/settings_document.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "amaranthroute/hash.h"
#include "libutil/shallow_json.h"

namespace amaranth::pvt {

namespace {

using Json = nlohmann::json;

constexpr char kObjectPrefix[] = "settings/";

Json ToJson(const SettingsChange& change) {
  return {{"path", change.path},
          {"name", change.name},
          {"value", change.value ? Json(*change.value) : Json(nullptr)}};
}

Json ToJson(const SettingsHistoryEntry& entry) {
  Json changes = Json::array();
  for (const SettingsChange& change : entry.changes) {
    changes.push_back(ToJson(change));
  }
  return {{"version", entry.version},
          {"author", entry.author},
          {"change_id", entry.change_id},
          {"changes", std::move(changes)}};
}

Json ToJson(const std::vector<SettingsHistoryEntry>& history) {
  Json json = Json::array();
  for (const SettingsHistoryEntry& entry : history) {
    json.push_back(ToJson(entry));
  }
  return json;
}

// Replaces bytes that are not UTF-8, which operators' texts may contain;
// without this dump() would throw.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string StringField(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

Outcome<SettingsHistoryEntry> ParseHistoryEntry(const Json& json) {
  Outcome<std::vector<SettingsChange>> changes =
      ParseSettingsChanges(json.dump());
  if (!changes) return changes.error();
  if (!json.contains("version") || !json["version"].is_number_unsigned()) {
    return Error{ErrorCode::kInvalid, "history entry without a version"};
  }
  SettingsHistoryEntry entry;
  entry.version = json["version"].get<uint64_t>();
  entry.author = StringField(json, "author");
  entry.change_id = StringField(json, "change_id");
  entry.changes = std::move(changes.value());
  return entry;
}

Json ToJson(const RouteTable& table) {
  Json json = Json::array();
  for (const Route& route : table.routes()) {
    Json targets = Json::array();
    for (const RouteTarget& target : route.targets) {
      targets.push_back(
          {{"service", target.service}, {"weight", target.weight}});
    }
    json.push_back({{"name", route.name},
                    {"host", route.host},
                    {"prefix", route.prefix},
                    {"targets", std::move(targets)}});
    if (route.open) json.back()["open"] = true;
  }
  return json;
}

Json ToJson(const CustomerTable& table) {
  Json json = Json::array();
  for (const Customer& customer : table.customers()) {
    Json keys = Json::array();
    for (const KeyDigest& key : customer.keys) keys.push_back(key.text());
    json.push_back({{"name", customer.name}, {"keys", std::move(keys)}});
    if (customer.tier) json.back()["tier"] = *customer.tier;
    if (customer.quota.unlimited()) continue;
    json.back()["rate"] = customer.quota.rate;
    json.back()["burst"] = customer.quota.burst;
  }
  return json;
}

Outcome<Customer> ParseCustomer(const Json& json) {
  Customer customer;
  customer.name = json.at("name");
  for (const Json& text : json.at("keys")) {
    Outcome<KeyDigest> key = KeyDigest::Parse(text.get<std::string>());
    if (!key) return key.error();
    customer.keys.push_back(std::move(key.value()));
  }
  if (json.contains("tier")) {
    const Json& tier = json["tier"];
    if (!tier.is_number_unsigned() || tier.get<uint64_t>() >= kTierCount) {
      return Error{ErrorCode::kInvalid, "tier is out of range"};
    }
    customer.tier = static_cast<Tier>(tier.get<uint64_t>());
  }
  if (json.contains("rate")) customer.quota = {json["rate"], json.at("burst")};
  return customer;
}

Outcome<CustomerTable> ParseCustomers(const Json& json) {
  std::vector<Customer> customers;
  try {
    for (const Json& item : json) {
      Outcome<Customer> customer = ParseCustomer(item);
      if (!customer) return customer.error();
      customers.push_back(std::move(customer.value()));
    }
  } catch (const Json::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
  return CustomerTable(std::move(customers));
}

Outcome<RouteTable> ParseRoutes(const Json& json) {
  std::vector<Route> routes;
  try {
    for (const Json& item : json) {
      Route route;
      route.name = item.at("name");
      route.host = item.at("host");
      route.prefix = item.at("prefix");
      for (const Json& target : item.at("targets")) {
        route.targets.push_back({target.at("service"), target.at("weight")});
      }
      route.open = item.value("open", false);
      routes.push_back(std::move(route));
    }
  } catch (const Json::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
  return RouteTable(std::move(routes));
}

std::string HashText(std::string_view text) {
  return std::to_string(Hash64(text));
}

}  // namespace

SettingsDocument NextDocument(const SettingsDocument& base,
                              const std::vector<SettingsChange>& changes,
                              const std::string& author,
                              const std::string& change_id) {
  SettingsDocument next;
  next.version = base.version + 1;
  next.tree = base.tree.Apply(changes);
  next.history = base.history;
  next.routes = base.routes;
  next.customers = base.customers;
  next.history.push_back({next.version, author, change_id, changes});
  if (next.history.size() > kSettingsHistoryLength) {
    next.history.erase(next.history.begin());
  }
  return next;
}

std::string ToText(const SettingsDocument& document) {
  if (document.version == 0) return "";
  Json json;
  json["version"] = document.version;
  json["settings"] = Json::parse(amaranth::ToText(document.tree));
  json["history"] = ToJson(document.history);
  if (!document.routes.empty()) json["routes"] = ToJson(document.routes);
  if (!document.customers.empty()) {
    json["customers"] = ToJson(document.customers);
  }
  return Dump(json);
}

Outcome<SettingsDocument> ParseDocument(std::string_view text) {
  if (text.empty()) return SettingsDocument();
  const Json json = ParseShallowJson<Json>(text);
  const bool valid = json.is_object() && json.contains("version") &&
                     json["version"].is_number_unsigned() &&
                     json.contains("settings") && json.contains("history") &&
                     json["history"].is_array();
  if (!valid) return Error{ErrorCode::kInvalid, "not a settings snapshot"};
  Outcome<SettingsTree> tree = ParseSettings(json["settings"].dump());
  if (!tree) return tree.error();
  SettingsDocument document;
  document.version = json["version"].get<uint64_t>();
  document.tree = std::move(tree.value());
  for (const Json& item : json["history"]) {
    Outcome<SettingsHistoryEntry> entry = ParseHistoryEntry(item);
    if (!entry) return entry.error();
    document.history.push_back(std::move(entry.value()));
  }
  if (json.contains("routes")) {
    Outcome<RouteTable> routes = ParseRoutes(json["routes"]);
    if (!routes) return routes.error();
    document.routes = std::move(routes.value());
  }
  if (json.contains("customers")) {
    Outcome<CustomerTable> customers = ParseCustomers(json["customers"]);
    if (!customers) return customers.error();
    document.customers = std::move(customers.value());
  }
  return document;
}

std::string ObjectName(uint64_t version, const std::string& change_id,
                       std::string_view text) {
  return kObjectPrefix + std::to_string(version) + "-" + change_id + "-" +
         HashText(text);
}

bool ObjectNameMatches(const std::string& object, std::string_view text) {
  const size_t dash = object.rfind('-');
  return dash != std::string::npos && object.substr(dash + 1) == HashText(text);
}

std::string HistoryText(const std::vector<SettingsHistoryEntry>& history) {
  return Dump(ToJson(history));
}

}  // namespace amaranth::pvt
