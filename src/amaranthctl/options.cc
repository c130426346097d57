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
constexpr const char* kWords = "words";

constexpr const char* kCommands = R"(
 Commands:
  status                        the node, its members and local servers
  servers                       every backend server the node knows
  settings get [PATH [NAME]]    values that apply at PATH
  settings explain [PATH]       the same, with the level each comes from
  settings set PATH NAME VALUE  set a value at PATH
  settings unset PATH NAME      go back to what is inherited
  settings history              versions, authors and their changes
  settings export               the whole tree as JSON
  histograms                    time to answer, per tenant, class and outcome
  explain REQUEST-ID            why a request waited, went where it went, failed
  events                        what the node decided lately
  drain                         let the node finish its work and end
  replay FILE                   drive a reducer with a log of amaranthd --record

  PATH is / (root), mesh, mesh/service, mesh/*/class or mesh/service/class.

 Exit codes:
  0  done
  1  refused by the node, or somebody else changed it first
  2  wrong command line
  3  no answer from the node, or none that can be read
  4  the node is not ready (status), or cannot do this now

 Every option but help and version may be given as the variable in brackets.
)";

struct Flag {
  const char* group;
  const char* name;
  const char* fallback;
  const char* placeholder;  // empty: a switch
  const char* help;
};

constexpr std::array<Flag, 14> kFlags = {{
    {"Node", "node", "", "IP:PORT", "operators' port of a node"},
    {"Node", "token", "", "TOKEN", "for changes; better by the environment"},
    {"Node", "timeout-ms", "10000", "MS", "longest wait for an answer"},
    {"Output", "output", "table", "FORMAT", "table or json"},
    {"Output", "plot", "false", "", "histograms: draw them as text"},
    {"Output", "trace", "false", "", "replay: print every event and effect"},
    {"Filter", "service", "", "NAME", "servers: of this service only"},
    {"Filter", "tenant", "", "NAME", "histograms: of this tenant only"},
    {"Filter", "class", "", "NAME", "histograms: of this class only"},
    {"Filter", "since-us", "0", "US",
     "events: from this moment of the node on"},
    {"Filter", "limit", "200", "N", "events: the newest N"},
    {"Change", "author", "amaranthctl", "NAME", "goes into the history"},
    {"Change", "expected-version", "", "N",
     "refuse if another version is in force"},
    {"Program", "version", "false", "", "print the version and end"},
}};

std::string VariableOf(const std::string& flag) {
  std::string name = "AMARANTH_" + flag;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  return name;
}

bool IsSwitch(const Flag& flag) { return *flag.placeholder == '\0'; }

std::string HelpOf(const Flag& flag) {
  std::string help = flag.help;
  if (flag.group != std::string_view("Program")) {
    help += " [" + VariableOf(flag.name) + "]";
  }
  if (!IsSwitch(flag) && *flag.fallback != '\0') {
    help += std::string(" (") + flag.fallback + ")";
  }
  return help;
}

cxxopts::Options Describe() {
  cxxopts::Options options("amaranthctl", "The operators' command.\n");
  options.custom_help("[OPTIONS...]");
  options.positional_help("COMMAND [ARGUMENTS...]");
  for (const Flag& flag : kFlags) {
    if (IsSwitch(flag)) {
      options.add_options(flag.group)(flag.name, HelpOf(flag));
    } else {
      options.add_options(flag.group)(flag.name, HelpOf(flag),
                                      cxxopts::value<std::string>(),
                                      flag.placeholder);
    }
  }
  options.add_options("Program")("h,help", "print this and end");
  options.add_options("hidden")(kWords, "",
                                cxxopts::value<std::vector<std::string>>());
  options.parse_positional(kWords);
  return options;
}

std::string HelpText(const cxxopts::Options& options) {
  return options.help({"Node", "Output", "Filter", "Change", "Program"}) +
         kCommands;
}

// Reads one flag after the other and gathers what is wrong with any.
class Reader {
 public:
  Reader(const cxxopts::ParseResult& given, const Environment& environment,
         std::vector<std::string>& errors)
      : given_(given), environment_(environment), errors_(errors) {}

  std::string Text(const std::string& flag) const {
    if (given_.count(flag) > 0) {
      return given_[flag].as<std::string>();
    }
    const char* variable = environment_(VariableOf(flag).c_str());
    if (variable != nullptr) {
      return variable;
    }
    const auto known =
        std::find_if(kFlags.begin(), kFlags.end(),
                     [&](const Flag& one) { return one.name == flag; });
    return known->fallback;
  }

  bool Switch(const std::string& flag) {
    if (given_.count(flag) > 0) {
      return true;
    }
    const char* variable = environment_(VariableOf(flag).c_str());
    const std::string text = variable == nullptr ? "false" : variable;
    if (text != "true" && text != "false") {
      Fail(flag, "takes true or false, not '" + text + "'");
    }
    return text == "true";
  }

  uint64_t Number(const std::string& flag, uint64_t least, uint64_t most) {
    const std::string text = Text(flag);
    const std::optional<uint64_t> number = ParseNumber<uint64_t>(text);
    if (!number || *number < least || *number > most) {
      Fail(flag, "takes a number from " + std::to_string(least) + " to " +
                     std::to_string(most) + ", not '" + text + "'");
      return least;
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
      Fail(flag, "takes IP:PORT, not '" + text + "'");
      return {};
    }
    return {ip, port};
  }

  Output Format(const std::string& flag) {
    const std::string text = Text(flag);
    if (text != "table" && text != "json") {
      Fail(flag, "takes table or json, not '" + text + "'");
    }
    return text == "json" ? Output::kJson : Output::kTable;
  }

 private:
  void Fail(const std::string& flag, const std::string& what) {
    errors_.push_back("--" + flag + " " + what);
  }

  const cxxopts::ParseResult& given_;
  const Environment& environment_;
  std::vector<std::string>& errors_;
};

void Read(const cxxopts::ParseResult& given, const Environment& environment,
          ParsedCtlOptions& parsed) {
  constexpr uint64_t kMost = std::numeric_limits<int64_t>::max();
  constexpr uint64_t kMaxTimeoutMs = 600'000;
  constexpr uint64_t kMaxRecords = 100'000;
  Reader reader(given, environment, parsed.errors);
  CtlOptions& options = parsed.options;
  options.token = reader.Text("token");
  options.output = reader.Format("output");
  options.timeout =
      std::chrono::milliseconds(reader.Number("timeout-ms", 1, kMaxTimeoutMs));
  options.author = reader.Text("author");
  if (!reader.Text("expected-version").empty()) {
    options.expected_version = reader.Number("expected-version", 0, kMost);
  }
  options.service = reader.Text("service");
  options.tenant = reader.Text("tenant");
  options.request_class = reader.Text("class");
  options.plot = reader.Switch("plot");
  options.trace = reader.Switch("trace");
  options.since_us = reader.Number("since-us", 0, kMost);
  options.limit = reader.Number("limit", 1, kMaxRecords);
  if (given.count(kWords) > 0) {
    options.words = given[kWords].as<std::vector<std::string>>();
  }
  const bool local = !options.words.empty() && options.words[0] == kReplayWord;
  if (!local) options.node = reader.Address("node");
}

}  // namespace

ParsedCtlOptions ParseCtlOptions(int argc, const char* const* argv,
                                 const Environment& environment) {
  ParsedCtlOptions parsed;
  cxxopts::Options options = Describe();
  try {
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      parsed.text = HelpText(options);
    } else if (given.count("version") > 0) {
      parsed.text = kVersionText;
    } else {
      Read(given, environment, parsed);
    }
  } catch (const cxxopts::exceptions::exception& error) {
    parsed.errors.emplace_back(error.what());
  }
  return parsed;
}

}  // namespace amaranth::pvt
