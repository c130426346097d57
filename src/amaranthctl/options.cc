#include "amaranthctl/options.h"

#include <algorithm>
#include <array>
#include <asio/ip/address.hpp>
#include <cctype>
#include <cxxopts.hpp>
#include <limits>
#include <string_view>

#include "amaranthctl/replay.h"
#include "libutil/parse_number.h"

namespace amaranth::pvt {
namespace {

constexpr const char* kVersionText = "amaranthctl 0.1.0\n";
constexpr const char* kPositionals = "words";

constexpr const char* kCommands = R"(
 Commands:
  status                        state of the node, members, local servers
  servers                       all backend servers known to the node
  customers                     customers with their keys' digests and quotas
  settings get [PATH [NAME]]    values in effect at PATH
  settings explain [PATH]       the same, with the path each value comes from
  settings set PATH NAME VALUE  set a value at PATH
  settings unset PATH NAME      remove it, so that the inherited one applies
  settings history              versions with their authors and changes
  settings export               the complete settings tree as JSON
  histograms                    response times by tenant, class and outcome
  explain REQUEST-ID            queueing, routing and failure of one request
  events                        recent decisions of the node
  drain                         let the node finish its requests and exit
  replay FILE                   replay a log written by amaranthd --record

  PATH is / (root), mesh, mesh/service, mesh/*/class or mesh/service/class.

 Exit codes:
  0  success
  1  refused by the node, changed by somebody else first, unknown setting, or
     replay differs from the log
  2  invalid command line, or unreadable replay log
  3  no response from the node, or an invalid one
  4  the node is not ready (status), or cannot serve the request now

 All options except help and version can also be set by the environment
 variable in brackets.
)";

struct Flag {
  const char* group;
  const char* name;
  const char* default_value;
  const char* placeholder;  // empty for a switch
  const char* help;
};

constexpr std::array<Flag, 14> kFlags = {{
    {"Node", "node", "", "IP:PORT", "address of a node's operators' port"},
    {"Node", "token", "", "TOKEN",
     "operators' token, for changes; preferably set in the environment"},
    {"Node", "timeout-ms", "10000", "MS",
     "maximum time to wait for the response"},
    {"Output", "output", "table", "FORMAT", "output format: table or json"},
    {"Output", "plot", "false", "", "histograms: also draw them as text"},
    {"Output", "trace", "false", "", "replay: print every event and effect"},
    {"Filter", "service", "", "NAME", "servers: only those of this service"},
    {"Filter", "tenant", "", "NAME", "histograms: only those of this tenant"},
    {"Filter", "class", "", "NAME", "histograms: only those of this class"},
    {"Filter", "since-us", "0", "US",
     "events: only those since this time of the node's clock"},
    {"Filter", "limit", "200", "N", "events: only the newest N"},
    {"Change", "author", "amaranthctl", "NAME",
     "author recorded in the history"},
    {"Change", "expected-version", "", "N",
     "refuse the change if another version is in force"},
    {"Program", "version", "false", "", "print the version and exit"},
}};

std::string VariableName(const std::string& flag) {
  std::string name = "AMARANTH_" + flag;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  return name;
}

bool IsSwitch(const Flag& flag) { return *flag.placeholder == '\0'; }

std::string FlagHelp(const Flag& flag) {
  std::string help = flag.help;
  if (flag.group != std::string_view("Program")) {
    help += " [" + VariableName(flag.name) + "]";
  }
  if (!IsSwitch(flag) && *flag.default_value != '\0') {
    help += std::string(" (") + flag.default_value + ")";
  }
  return help;
}

cxxopts::Options MakeParser() {
  cxxopts::Options options(
      "amaranthctl",
      "Command-line tool for operators of amaranthroute nodes.\n");
  options.custom_help("[OPTIONS...]");
  options.positional_help("COMMAND [ARGUMENTS...]");
  for (const Flag& flag : kFlags) {
    if (IsSwitch(flag)) {
      options.add_options(flag.group)(flag.name, FlagHelp(flag));
    } else {
      options.add_options(flag.group)(flag.name, FlagHelp(flag),
                                      cxxopts::value<std::string>(),
                                      flag.placeholder);
    }
  }
  options.add_options("Program")("h,help", "print this help and exit");
  options.add_options("hidden")(kPositionals, "",
                                cxxopts::value<std::vector<std::string>>());
  options.parse_positional(kPositionals);
  return options;
}

std::string HelpText(const cxxopts::Options& options) {
  return options.help({"Node", "Output", "Filter", "Change", "Program"}) +
         kCommands;
}

// Reads and validates individual flags, and collects an error for each invalid
// one.
class FlagReader {
 public:
  FlagReader(const cxxopts::ParseResult& parse_result,
             const Environment& environment, std::vector<std::string>& errors)
      : parse_result_(parse_result),
        environment_(environment),
        errors_(errors) {}

  std::string Text(const std::string& flag) const {
    if (parse_result_.count(flag) > 0) {
      return parse_result_[flag].as<std::string>();
    }
    const char* variable = environment_(VariableName(flag).c_str());
    if (variable != nullptr) {
      return variable;
    }
    const auto known = std::find_if(
        kFlags.begin(), kFlags.end(),
        [&](const Flag& candidate) { return candidate.name == flag; });
    return known->default_value;
  }

  bool Switch(const std::string& flag) {
    if (parse_result_.count(flag) > 0) {
      return true;
    }
    const char* variable = environment_(VariableName(flag).c_str());
    const std::string text = variable == nullptr ? "false" : variable;
    if (text != "true" && text != "false") {
      AddError(flag, "must be true or false, not '" + text + "'");
    }
    return text == "true";
  }

  uint64_t Number(const std::string& flag, uint64_t minimum, uint64_t maximum) {
    const std::string text = Text(flag);
    const std::optional<uint64_t> number = ParseNumber<uint64_t>(text);
    if (!number || *number < minimum || *number > maximum) {
      AddError(flag, "must be a number from " + std::to_string(minimum) +
                         " to " + std::to_string(maximum) + ", not '" + text +
                         "'");
      return minimum;
    }
    return *number;
  }

  Endpoint Address(const std::string& flag) {
    const std::string text = Text(flag);
    const size_t colon = std::min(text.rfind(':'), text.size());
    const std::string ip = text.substr(0, colon);
    const uint16_t port =
        colon < text.size()
            ? ParseNumber<uint16_t>(text.substr(colon + 1)).value_or(0)
            : 0;
    asio::error_code error;
    asio::ip::make_address(ip, error);
    if (error || port == 0) {
      AddError(flag, "must be IP:PORT, not '" + text + "'");
      return {};
    }
    return {ip, port};
  }

  Output Format(const std::string& flag) {
    const std::string text = Text(flag);
    if (text != "table" && text != "json") {
      AddError(flag, "must be table or json, not '" + text + "'");
    }
    return text == "json" ? Output::kJson : Output::kTable;
  }

 private:
  void AddError(const std::string& flag, const std::string& what) {
    errors_.push_back("--" + flag + " " + what);
  }

  const cxxopts::ParseResult& parse_result_;
  const Environment& environment_;
  std::vector<std::string>& errors_;
};

void ReadOptions(const cxxopts::ParseResult& parse_result,
                 const Environment& environment, ParsedCtlOptions& parsed) {
  constexpr uint64_t kMaxInteger = std::numeric_limits<int64_t>::max();
  constexpr uint64_t kMaxTimeoutMs = 600'000;
  constexpr uint64_t kMaxRecords = 100'000;
  FlagReader reader(parse_result, environment, parsed.errors);
  CtlOptions& options = parsed.options;
  options.token = reader.Text("token");
  options.output = reader.Format("output");
  options.timeout =
      std::chrono::milliseconds(reader.Number("timeout-ms", 1, kMaxTimeoutMs));
  options.author = reader.Text("author");
  if (!reader.Text("expected-version").empty()) {
    options.expected_version =
        reader.Number("expected-version", 0, kMaxInteger);
  }
  options.service = reader.Text("service");
  options.tenant = reader.Text("tenant");
  options.request_class = reader.Text("class");
  options.plot = reader.Switch("plot");
  options.trace = reader.Switch("trace");
  options.since_us = reader.Number("since-us", 0, kMaxInteger);
  options.limit = reader.Number("limit", 1, kMaxRecords);
  if (parse_result.count(kPositionals) > 0) {
    options.positionals =
        parse_result[kPositionals].as<std::vector<std::string>>();
  }
  const bool is_local =
      !options.positionals.empty() && options.positionals[0] == kReplayCommand;
  if (!is_local) options.node = reader.Address("node");
}

}  // namespace

ParsedCtlOptions ParseCtlOptions(int argc, const char* const* argv,
                                 const Environment& environment) {
  ParsedCtlOptions parsed;
  cxxopts::Options options = MakeParser();
  try {
    const cxxopts::ParseResult parse_result = options.parse(argc, argv);
    if (parse_result.count("help") > 0) {
      parsed.help_text = HelpText(options);
    } else if (parse_result.count("version") > 0) {
      parsed.help_text = kVersionText;
    } else {
      ReadOptions(parse_result, environment, parsed);
    }
  } catch (const cxxopts::exceptions::exception& error) {
    parsed.errors.emplace_back(error.what());
  }
  return parsed;
}

}  // namespace amaranth::pvt
