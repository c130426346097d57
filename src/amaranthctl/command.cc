#include "amaranthctl/command.h"

#include <array>
#include <cctype>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace amaranth::pvt {
namespace {

using Arguments = std::vector<std::string>;

struct CommandSyntax {
  const char* name;
  const char* subcommand;  // only for settings; otherwise empty
  size_t min_arguments;    // number of arguments after the name and subcommand
  size_t max_arguments;
  const char* usage;
  Command (*build)(const CtlOptions& options, const Arguments& arguments);
};

std::string UrlEncoded(const std::string& text) {
  std::string encoded;
  for (const char c : text) {
    const unsigned char byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      encoded.push_back(c);
    } else {
      std::array<char, 4> escape{};
      std::snprintf(escape.data(), escape.size(), "%%%02X", byte);
      encoded += escape.data();
    }
  }
  return encoded;
}

// Converts "/", which operators type for the root, to the node's name for it,
// "".
std::string ToNodePath(const std::string& path) {
  return path == "/" ? std::string() : path;
}

Command MakeGet(std::string target, View view) {
  Command command;
  command.request.target = std::move(target);
  command.view = view;
  return command;
}

Command MakePost(std::string target, const nlohmann::json& body, View view,
                 const CtlOptions& options) {
  Command command;
  command.request.method = "POST";
  command.request.target = std::move(target);
  command.request.headers.push_back({"Content-Type", "application/json"});
  if (!options.token.empty()) {
    command.request.headers.push_back(
        {"Authorization", "Bearer " + options.token});
  }
  command.request.body =
      Body(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  command.view = view;
  command.is_change = true;
  return command;
}

Command MakeSettingChange(const CtlOptions& options, const std::string& path,
                          const std::string& name,
                          const nlohmann::json& value) {
  nlohmann::json body = {
      {"changes",
       {{{"path", ToNodePath(path)}, {"name", name}, {"value", value}}}},
      {"author", options.author}};
  if (options.expected_version) {
    body["expected_version"] = *options.expected_version;
  }
  return MakePost("/settings", body, View::kChanged, options);
}

Command MakeSettingsGet(const Arguments& arguments, View view) {
  const std::string path =
      arguments.empty() ? std::string() : ToNodePath(arguments[0]);
  Command command = MakeGet("/settings?path=" + UrlEncoded(path), view);
  if (arguments.size() > 1) {
    command.setting = arguments[1];
  }
  return command;
}

Command Status(const CtlOptions&, const Arguments&) {
  return MakeGet("/status", View::kStatus);
}

Command Servers(const CtlOptions&, const Arguments&) {
  return MakeGet("/servers", View::kServers);
}

Command Customers(const CtlOptions&, const Arguments&) {
  return MakeGet("/customers", View::kCustomers);
}

Command SettingsGet(const CtlOptions&, const Arguments& arguments) {
  return MakeSettingsGet(arguments, View::kValues);
}

Command SettingsExplain(const CtlOptions&, const Arguments& arguments) {
  return MakeSettingsGet(arguments, View::kExplainedValues);
}

Command SettingsSet(const CtlOptions& options, const Arguments& arguments) {
  return MakeSettingChange(options, arguments[0], arguments[1], arguments[2]);
}

Command SettingsUnset(const CtlOptions& options, const Arguments& arguments) {
  return MakeSettingChange(options, arguments[0], arguments[1], nullptr);
}

Command SettingsHistory(const CtlOptions&, const Arguments&) {
  return MakeGet("/settings/history", View::kHistory);
}

Command SettingsExport(const CtlOptions&, const Arguments&) {
  return MakeGet("/settings/tree", View::kRawJson);
}

Command Histograms(const CtlOptions&, const Arguments&) {
  return MakeGet("/histograms", View::kHistograms);
}

Command Explain(const CtlOptions&, const Arguments& arguments) {
  return MakeGet("/explain?request=" + UrlEncoded(arguments[0]),
                 View::kRecords);
}

Command Events(const CtlOptions& options, const Arguments&) {
  return MakeGet("/events?since_us=" + std::to_string(options.since_us) +
                     "&limit=" + std::to_string(options.limit),
                 View::kRecords);
}

Command Drain(const CtlOptions& options, const Arguments&) {
  return MakePost("/drain", nlohmann::json::object(), View::kDraining, options);
}

constexpr std::array<CommandSyntax, 13> kCommandSyntaxes = {{
    {"status", "", 0, 0, "status", Status},
    {"servers", "", 0, 0, "servers", Servers},
    {"customers", "", 0, 0, "customers", Customers},
    {"settings", "get", 0, 2, "settings get [PATH [NAME]]", SettingsGet},
    {"settings", "explain", 0, 1, "settings explain [PATH]", SettingsExplain},
    {"settings", "set", 3, 3, "settings set PATH NAME VALUE", SettingsSet},
    {"settings", "unset", 2, 2, "settings unset PATH NAME", SettingsUnset},
    {"settings", "history", 0, 0, "settings history", SettingsHistory},
    {"settings", "export", 0, 0, "settings export", SettingsExport},
    {"histograms", "", 0, 0, "histograms", Histograms},
    {"explain", "", 1, 1, "explain REQUEST-ID", Explain},
    {"events", "", 0, 0, "events", Events},
    {"drain", "", 0, 0, "drain", Drain},
}};

bool HasSubcommand(const CommandSyntax& syntax) {
  return *syntax.subcommand != '\0';
}

bool Matches(const CommandSyntax& syntax, const Arguments& positionals) {
  return positionals[0] == syntax.name &&
         (!HasSubcommand(syntax) ||
          (positionals.size() > 1 && positionals[1] == syntax.subcommand));
}

Error UsageError(std::string what) {
  return Error{ErrorCode::kInvalid, std::move(what)};
}

}  // namespace

Outcome<Command> BuildCommand(const CtlOptions& options) {
  const Arguments& positionals = options.positionals;
  if (positionals.empty()) {
    return UsageError("missing command; see --help");
  }
  for (const CommandSyntax& syntax : kCommandSyntaxes) {
    if (!Matches(syntax, positionals)) {
      continue;
    }
    const ptrdiff_t name_count = HasSubcommand(syntax) ? 2 : 1;
    const Arguments arguments(positionals.begin() + name_count,
                              positionals.end());
    if (arguments.size() < syntax.min_arguments ||
        arguments.size() > syntax.max_arguments) {
      return UsageError(std::string("usage: amaranthctl ") + syntax.usage);
    }
    return syntax.build(options, arguments);
  }
  if (positionals[0] == "settings") {
    return UsageError(
        "settings needs one of get, explain, set, unset, history or export");
  }
  return UsageError("unknown command '" + positionals[0] + "'; see --help");
}

}  // namespace amaranth::pvt
