#include "amaranthctl/render.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "amaranthctl/plot.h"
#include "amaranthctl/table.h"
#include "libutil/shallow_json.h"

namespace amaranth::pvt {
namespace {

using Json = nlohmann::json;

// Returns the field as text, or "-" if it is missing, as a node of another
// version may leave it out. A missing field must not hide the rest of the
// answer during an incident.
std::string FieldText(const Json& object, const char* name) {
  const Json::const_iterator found = object.find(name);
  if (found == object.end() || found->is_null()) {
    return "-";
  }
  if (found->is_string()) {
    return found->get<std::string>();
  }
  if (found->is_boolean()) {
    return found->get<bool>() ? "yes" : "no";
  }
  return found->dump();
}

std::vector<std::string> FieldTexts(const Json& object,
                                    const std::vector<const char*>& names) {
  std::vector<std::string> cells;
  cells.reserve(names.size());
  for (const char* name : names) {
    cells.push_back(FieldText(object, name));
  }
  return cells;
}

int64_t NumberField(const Json& object, const char* name) {
  const Json::const_iterator found = object.find(name);
  return found != object.end() && found->is_number() ? found->get<int64_t>()
                                                     : 0;
}

std::string MillisText(int64_t micros) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(micros) / 1e3);
  return text;
}

std::string SecondsText(int64_t micros) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6f", static_cast<double>(micros) / 1e6);
  return text;
}

const Json& ArrayField(const Json& answer, const char* name) {
  static const Json empty = Json::array();
  const Json::const_iterator found = answer.find(name);
  return found != answer.end() && found->is_array() ? *found : empty;
}

bool MatchesFilter(const Json& object, const char* name,
                   const std::string& wanted) {
  return wanted.empty() || FieldText(object, name) == wanted;
}

std::string DisplayPath(const std::string& path) {
  return path.empty() ? "/" : path;
}

std::string StatusText(const Json& answer) {
  Table node({"", ""});
  for (const char* name :
       {"node", "incarnation", "fleet", "mesh", "data_centre", "ready",
        "stopping", "settings_version", "calls", "hops", "keys"}) {
    node.AddRow({name, FieldText(answer, name)});
  }
  Table members({"MEMBER", "STATE", "DATA CENTRE", ">SERVERS"});
  for (const Json& member : ArrayField(answer, "members")) {
    members.AddRow(
        FieldTexts(member, {"node", "state", "data_centre", "servers"}));
  }
  Table servers(
      {"LOCAL SERVER", ">IN FLIGHT", ">LIMIT", ">QUEUED", ">SHEDS BELOW"});
  for (const Json& server : ArrayField(answer, "local_servers")) {
    servers.AddRow(FieldTexts(
        server, {"server", "in_flight", "limit", "queued", "shed_threshold"}));
  }
  // Removes the empty heading line of the first table.
  return node.ToText().substr(1) + "\n" + members.ToText() + "\n" +
         servers.ToText();
}

std::string ServersText(const Json& answer, const CtlOptions& options) {
  Table table({"SERVER", "SERVICE", "NODE", "NODE STATE", "DATA CENTRE",
               "ADDRESS", ">SLOTS", ">IN FLIGHT", "DRAINING", "EJECTED"});
  for (const Json& server : ArrayField(answer, "servers")) {
    if (MatchesFilter(server, "service", options.service)) {
      table.AddRow(FieldTexts(
          server, {"server", "service", "node", "node_state", "data_centre",
                   "address", "slots", "in_flight", "draining", "ejected"}));
    }
  }
  return table.ToText();
}

std::string CustomersText(const Json& answer) {
  Table table(
      {"CUSTOMER", "TIER", ">RATE/S", ">BURST", "HOME", "KEYS (DIGESTS)"});
  for (const Json& customer : ArrayField(answer, "customers")) {
    std::vector<std::string> row =
        FieldTexts(customer, {"customer", "tier", "rate", "burst", "home"});
    std::string keys;
    for (const Json& key : ArrayField(customer, "keys")) {
      if (!key.is_string()) continue;
      keys += (keys.empty() ? "" : " ") + key.get<std::string>();
    }
    row.push_back(keys);
    table.AddRow(std::move(row));
  }
  return table.ToText();
}

std::string OriginText(const Json& value) {
  const Json::const_iterator found = value.find("is_default");
  const bool is_default =
      found != value.end() && found->is_boolean() && found->get<bool>();
  return is_default ? "default" : DisplayPath(FieldText(value, "origin"));
}

Outcome<std::string> ValuesText(const Json& answer, const Command& command) {
  const bool with_origin = command.view == View::kExplainedValues;
  std::vector<std::string> headings = {"NAME", "VALUE"};
  if (with_origin) {
    headings.emplace_back("COMES FROM");
  }
  Table table(headings);
  for (const Json& value : ArrayField(answer, "settings")) {
    if (!command.setting.empty() &&
        FieldText(value, "name") == command.setting) {
      return FieldText(value, "value") + "\n";
    }
    std::vector<std::string> cells = FieldTexts(value, {"name", "value"});
    if (with_origin) {
      cells.push_back(OriginText(value));
    }
    table.AddRow(std::move(cells));
  }
  if (!command.setting.empty()) {
    return Error{ErrorCode::kNotFound,
                 "unknown setting '" + command.setting + "'"};
  }
  return table.ToText();
}

std::string HistoryText(const Json& answer) {
  Table table({">VERSION", "AUTHOR", "PATH", "NAME", "VALUE"});
  for (const Json& version : ArrayField(answer, "history")) {
    std::vector<std::string> version_cells =
        FieldTexts(version, {"version", "author"});
    const Json& changes = ArrayField(version, "changes");
    if (changes.empty()) {
      table.AddRow(version_cells);
    }
    for (const Json& change : changes) {
      std::vector<std::string> row = version_cells;
      row.push_back(DisplayPath(FieldText(change, "path")));
      row.push_back(FieldText(change, "name"));
      const bool unset =
          change.find("value") != change.end() && change["value"].is_null();
      row.push_back(unset ? "(unset)" : FieldText(change, "value"));
      table.AddRow(std::move(row));
      version_cells = {"", ""};
    }
  }
  return table.ToText();
}

std::string HistogramsText(const Json& answer, const CtlOptions& options) {
  Table table({"TENANT", "CLASS", "OUTCOME", ">COUNT", ">P50 MS", ">P90 MS",
               ">P99 MS", ">P99.9 MS"});
  std::string plots;
  for (const Json& histogram : ArrayField(answer, "histograms")) {
    if (!MatchesFilter(histogram, "tenant", options.tenant) ||
        !MatchesFilter(histogram, "class", options.request_class)) {
      continue;
    }
    std::vector<std::string> row =
        FieldTexts(histogram, {"tenant", "class", "outcome", "count"});
    for (const char* name : {"p50_us", "p90_us", "p99_us", "p999_us"}) {
      row.push_back(MillisText(NumberField(histogram, name)));
    }
    plots += "\n" + row[0] + " / " + row[1] + " / " + row[2] + "\n";
    std::vector<PlotBucket> buckets;
    for (const Json& bucket : ArrayField(histogram, "buckets")) {
      buckets.push_back({NumberField(bucket, "le_us"),
                         static_cast<uint64_t>(std::max<int64_t>(
                             0, NumberField(bucket, "count")))});
    }
    plots += PlotText(buckets);
    table.AddRow(std::move(row));
  }
  return options.plot ? table.ToText() + plots : table.ToText();
}

// Sorts the records by time and shows the time since the previous record next
// to each, because the node's clock starts at an arbitrary point.
std::string RecordsText(const Json& answer) {
  std::vector<Json> records(ArrayField(answer, "records").begin(),
                            ArrayField(answer, "records").end());
  if (records.empty()) {
    return "nothing recorded\n";
  }
  std::stable_sort(records.begin(), records.end(),
                   [](const Json& a, const Json& b) {
                     return NumberField(a, "at_us") < NumberField(b, "at_us");
                   });
  Table table({">AT S", ">+MS", "REQUEST", "KIND", "WHAT"});
  int64_t previous = NumberField(records.front(), "at_us");
  for (const Json& record : records) {
    const int64_t at = NumberField(record, "at_us");
    table.AddRow({SecondsText(at), MillisText(at - previous),
                  FieldText(record, "request"), FieldText(record, "kind"),
                  FieldText(record, "text")});
    previous = at;
  }
  return table.ToText();
}

Outcome<std::string> RenderJson(const Command& command,
                                const CtlOptions& options, const Json& answer) {
  switch (command.view) {
    case View::kStatus:
      return StatusText(answer);
    case View::kServers:
      return ServersText(answer, options);
    case View::kCustomers:
      return CustomersText(answer);
    case View::kValues:
    case View::kExplainedValues:
      return ValuesText(answer, command);
    case View::kHistory:
      return HistoryText(answer);
    case View::kRawJson:
      return answer.dump(2) + "\n";
    case View::kHistograms:
      return HistogramsText(answer, options);
    case View::kRecords:
      return RecordsText(answer);
    case View::kChanged:
      return "version " + FieldText(answer, "version") + " is in force\n";
    case View::kDraining:
      return std::string("draining\n");
  }
  return Error{ErrorCode::kInvalid, "unknown view"};
}

}  // namespace

Outcome<std::string> Render(const Command& command, const CtlOptions& options,
                            const std::string& body) {
  const Json answer = ParseShallowJson<Json>(body);
  if (answer.is_discarded() || !answer.is_object()) {
    return Error{ErrorCode::kInvalid, "the node's answer is not a JSON object"};
  }
  if (options.output == Output::kJson) {
    return answer.dump() + "\n";
  }
  return RenderJson(command, options, answer);
}

std::string RefusalText(const std::string& body) {
  const Json answer = ParseShallowJson<Json>(body);
  if (answer.is_discarded() || !answer.is_object()) {
    return body;
  }
  std::string text;
  for (const Json& error : ArrayField(answer, "errors")) {
    text += (text.empty() ? "" : "; ") +
            (error.is_string() ? error.get<std::string>() : error.dump());
  }
  for (const char* name : {"message", "detail", "error"}) {
    if (text.empty() && answer.contains(name)) {
      text = FieldText(answer, name);
    }
  }
  return text.empty() ? body : text;
}

bool IsReady(const std::string& body) {
  const Json answer = ParseShallowJson<Json>(body);
  return !answer.is_discarded() && answer.is_object() &&
         FieldText(answer, "ready") == "yes";
}

}  // namespace amaranth::pvt
