#include "amaranthctl/command.h"

#include <array>
#include <cctype>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace amaranth::pvt {
namespace {

using Words = std::vector<std::string>;

struct Form {
  const char* name;
  const char* verb;  // of settings; else empty
  size_t least;      // arguments after name and verb
  size_t most;
  const char* usage;
  Command (*build)(const CtlOptions& options, const Words& arguments);
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

// The node calls the root "", which is awkward to type.
std::string NodePath(const std::string& path) {
  return path == "/" ? std::string() : path;
}

Command Get(std::string target, View view) {
  Command command;
  command.request.target = std::move(target);
  command.view = view;
  return command;
}

Command Post(std::string target, const nlohmann::json& body, View view,
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
  command.changes = true;
  return command;
}

Command Change(const CtlOptions& options, const std::string& path,
               const std::string& name, const nlohmann::json& value) {
  nlohmann::json body = {
      {"changes",
       {{{"path", NodePath(path)}, {"name", name}, {"value", value}}}},
      {"author", options.author}};
  if (options.expected_version) {
    body["expected_version"] = *options.expected_version;
  }
  return Post("/settings", body, View::kChanged, options);
}

Command SettingsAt(const Words& arguments, View view) {
  const std::string path =
      arguments.empty() ? std::string() : NodePath(arguments[0]);
  Command command = Get("/settings?path=" + UrlEncoded(path), view);
  if (arguments.size() > 1) {
    command.setting = arguments[1];
  }
  return command;
}

Command Status(const CtlOptions&, const Words&) {
  return Get("/status", View::kStatus);
}

Command Servers(const CtlOptions&, const Words&) {
  return Get("/servers", View::kServers);
}

Command SettingsGet(const CtlOptions&, const Words& arguments) {
  return SettingsAt(arguments, View::kValues);
}

Command SettingsExplain(const CtlOptions&, const Words& arguments) {
  return SettingsAt(arguments, View::kExplainedValues);
}

Command SettingsSet(const CtlOptions& options, const Words& arguments) {
  return Change(options, arguments[0], arguments[1], arguments[2]);
}

Command SettingsUnset(const CtlOptions& options, const Words& arguments) {
  return Change(options, arguments[0], arguments[1], nullptr);
}

Command SettingsHistory(const CtlOptions&, const Words&) {
  return Get("/settings/history", View::kHistory);
}

Command SettingsExport(const CtlOptions&, const Words&) {
  return Get("/settings/tree", View::kRawJson);
}

Command Histograms(const CtlOptions&, const Words&) {
  return Get("/histograms", View::kHistograms);
}

Command Explain(const CtlOptions&, const Words& arguments) {
  return Get("/explain?request=" + UrlEncoded(arguments[0]), View::kRecords);
}

Command Events(const CtlOptions& options, const Words&) {
  return Get("/events?since_us=" + std::to_string(options.since_us) +
                 "&limit=" + std::to_string(options.limit),
             View::kRecords);
}

Command Drain(const CtlOptions& options, const Words&) {
  return Post("/drain", nlohmann::json::object(), View::kDraining, options);
}

constexpr std::array<Form, 12> kForms = {{
    {"status", "", 0, 0, "status", Status},
    {"servers", "", 0, 0, "servers", Servers},
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

bool HasVerb(const Form& form) { return *form.verb != '\0'; }

bool Matches(const Form& form, const Words& words) {
  return words[0] == form.name &&
         (!HasVerb(form) || (words.size() > 1 && words[1] == form.verb));
}

Error Usage(std::string what) {
  return Error{ErrorCode::kInvalid, std::move(what)};
}

}  // namespace

Outcome<Command> BuildCommand(const CtlOptions& options) {
  const Words& words = options.words;
  if (words.empty()) {
    return Usage("a command is missing; see --help");
  }
  for (const Form& form : kForms) {
    if (!Matches(form, words)) {
      continue;
    }
    const ptrdiff_t used = HasVerb(form) ? 2 : 1;
    const Words arguments(words.begin() + used, words.end());
    if (arguments.size() < form.least || arguments.size() > form.most) {
      return Usage(std::string("usage: amaranthctl ") + form.usage);
    }
    return form.build(options, arguments);
  }
  if (words[0] == "settings") {
    return Usage("settings takes get, explain, set, unset, history or export");
  }
  return Usage("unknown command '" + words[0] + "'; see --help");
}

}  // namespace amaranth::pvt
