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

// A node of another version may leave a member out: shown as "-", since a
// missing detail must not hide the rest in an incident.
std::string Cell(const Json& object, const char* name) {
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

std::vector<std::string> Cells(const Json& object,
                               const std::vector<const char*>& names) {
  std::vector<std::string> cells;
  cells.reserve(names.size());
  for (const char* name : names) {
    cells.push_back(Cell(object, name));
  }
  return cells;
}

int64_t NumberOf(const Json& object, const char* name) {
  const Json::const_iterator found = object.find(name);
  return found != object.end() && found->is_number() ? found->get<int64_t>()
                                                     : 0;
}

std::string Millis(int64_t micros) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(micros) / 1e3);
  return text;
}

std::string Seconds(int64_t micros) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6f", static_cast<double>(micros) / 1e6);
  return text;
}

const Json& ListOf(const Json& answer, const char* name) {
  static const Json empty = Json::array();
  const Json::const_iterator found = answer.find(name);
  return found != answer.end() && found->is_array() ? *found : empty;
}

bool Passes(const Json& object, const char* name, const std::string& wanted) {
  return wanted.empty() || Cell(object, name) == wanted;
}

std::string ShownPath(const std::string& path) {
  return path.empty() ? "/" : path;
}

std::string StatusText(const Json& answer) {
  Table node({"", ""});
  for (const char* name :
       {"node", "incarnation", "fleet", "mesh", "data_centre", "ready",
        "stopping", "settings_version", "calls", "hops", "keys"}) {
    node.AddRow({name, Cell(answer, name)});
  }
  Table members({"MEMBER", "STATE", "DATA CENTRE", ">SERVERS"});
  for (const Json& member : ListOf(answer, "members")) {
    members.AddRow(Cells(member, {"node", "state", "data_centre", "servers"}));
  }
  Table servers(
      {"LOCAL SERVER", ">IN FLIGHT", ">LIMIT", ">QUEUED", ">SHEDS BELOW"});
  for (const Json& server : ListOf(answer, "local_servers")) {
    servers.AddRow(Cells(
        server, {"server", "in_flight", "limit", "queued", "shed_threshold"}));
  }
  // The first line of an untitled table is empty.
  return node.ToText().substr(1) + "\n" + members.ToText() + "\n" +
         servers.ToText();
}

std::string ServersText(const Json& answer, const CtlOptions& options) {
  Table table({"SERVER", "SERVICE", "NODE", "NODE STATE", "DATA CENTRE",
               "ADDRESS", ">SLOTS", ">IN FLIGHT", "DRAINING", "EJECTED"});
  for (const Json& server : ListOf(answer, "servers")) {
    if (Passes(server, "service", options.service)) {
      table.AddRow(Cells(
          server, {"server", "service", "node", "node_state", "data_centre",
                   "address", "slots", "in_flight", "draining", "ejected"}));
    }
  }
  return table.ToText();
}

std::string OriginOf(const Json& value) {
  const Json::const_iterator found = value.find("is_default");
  const bool is_default =
      found != value.end() && found->is_boolean() && found->get<bool>();
  return is_default ? "default" : ShownPath(Cell(value, "origin"));
}

Outcome<std::string> ValuesText(const Json& answer, const Command& command) {
  const bool explain = command.view == View::kExplainedValues;
  std::vector<std::string> titles = {"NAME", "VALUE"};
  if (explain) {
    titles.emplace_back("COMES FROM");
  }
  Table table(titles);
  for (const Json& value : ListOf(answer, "settings")) {
    if (!command.setting.empty() && Cell(value, "name") == command.setting) {
      return Cell(value, "value") + "\n";
    }
    std::vector<std::string> cells = Cells(value, {"name", "value"});
    if (explain) {
      cells.push_back(OriginOf(value));
    }
    table.AddRow(std::move(cells));
  }
  if (!command.setting.empty()) {
    return Error{ErrorCode::kNotFound,
                 "no setting is called '" + command.setting + "'"};
  }
  return table.ToText();
}

std::string HistoryText(const Json& answer) {
  Table table({">VERSION", "AUTHOR", "PATH", "NAME", "VALUE"});
  for (const Json& version : ListOf(answer, "history")) {
    std::vector<std::string> head = Cells(version, {"version", "author"});
    const Json& changes = ListOf(version, "changes");
    if (changes.empty()) {
      table.AddRow(head);
    }
    for (const Json& change : changes) {
      std::vector<std::string> row = head;
      row.push_back(ShownPath(Cell(change, "path")));
      row.push_back(Cell(change, "name"));
      const bool unset =
          change.find("value") != change.end() && change["value"].is_null();
      row.push_back(unset ? "(unset)" : Cell(change, "value"));
      table.AddRow(std::move(row));
      head = {"", ""};
    }
  }
  return table.ToText();
}

std::string HistogramsText(const Json& answer, const CtlOptions& options) {
  Table table({"TENANT", "CLASS", "OUTCOME", ">COUNT", ">P50 MS", ">P90 MS",
               ">P99 MS", ">P99.9 MS"});
  std::string plots;
  for (const Json& one : ListOf(answer, "histograms")) {
    if (!Passes(one, "tenant", options.tenant) ||
        !Passes(one, "class", options.request_class)) {
      continue;
    }
    std::vector<std::string> row =
        Cells(one, {"tenant", "class", "outcome", "count"});
    for (const char* name : {"p50_us", "p90_us", "p99_us", "p999_us"}) {
      row.push_back(Millis(NumberOf(one, name)));
    }
    plots += "\n" + row[0] + " / " + row[1] + " / " + row[2] + "\n";
    std::vector<PlotBucket> buckets;
    for (const Json& bucket : ListOf(one, "buckets")) {
      buckets.push_back(
          {NumberOf(bucket, "le_us"), static_cast<uint64_t>(std::max<int64_t>(
                                          0, NumberOf(bucket, "count")))});
    }
    plots += PlotText(buckets);
    table.AddRow(std::move(row));
  }
  return options.plot ? table.ToText() + plots : table.ToText();
}

// By time; the node's clock starts at an arbitrary moment, so the step since
// the line before is shown beside it.
std::string RecordsText(const Json& answer) {
  std::vector<Json> records(ListOf(answer, "records").begin(),
                            ListOf(answer, "records").end());
  if (records.empty()) {
    return "nothing recorded\n";
  }
  std::stable_sort(records.begin(), records.end(),
                   [](const Json& a, const Json& b) {
                     return NumberOf(a, "at_us") < NumberOf(b, "at_us");
                   });
  Table table({">AT S", ">+MS", "REQUEST", "KIND", "WHAT"});
  int64_t before = NumberOf(records.front(), "at_us");
  for (const Json& record : records) {
    const int64_t at = NumberOf(record, "at_us");
    table.AddRow({Seconds(at), Millis(at - before), Cell(record, "request"),
                  Cell(record, "kind"), Cell(record, "text")});
    before = at;
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
      return "version " + Cell(answer, "version") + " is in force\n";
    case View::kDraining:
      return std::string("draining\n");
  }
  return Error{ErrorCode::kInvalid, "no such view"};
}

}  // namespace

Outcome<std::string> Render(const Command& command, const CtlOptions& options,
                            const std::string& body) {
  const Json answer = ParseShallowJson<Json>(body);
  if (answer.is_discarded() || !answer.is_object()) {
    return Error{ErrorCode::kInvalid, "the node's answer is not JSON"};
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
  for (const Json& error : ListOf(answer, "errors")) {
    text += (text.empty() ? "" : "; ") +
            (error.is_string() ? error.get<std::string>() : error.dump());
  }
  for (const char* name : {"message", "detail", "error"}) {
    if (text.empty() && answer.contains(name)) {
      text = Cell(answer, name);
    }
  }
  return text.empty() ? body : text;
}

bool SaysReady(const std::string& body) {
  const Json answer = ParseShallowJson<Json>(body);
  return !answer.is_discarded() && answer.is_object() &&
         Cell(answer, "ready") == "yes";
}

}  // namespace amaranth::pvt
