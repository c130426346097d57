#include "amaranthd/options.h"

#include <algorithm>
#include <array>
#include <asio/ip/address.hpp>
#include <cctype>
#include <charconv>
#include <cxxopts.hpp>
#include <string_view>

namespace amaranth::pvt {
namespace {

constexpr const char* kVersionText = "amaranthd 0.1.0\n";

struct Flag {
  const char* group;
  const char* name;
  const char* fallback;
  const char* placeholder;
  const char* help;
};

constexpr std::array<Flag, 25> kFlags = {{
    {"Identity", "node-name", "", "NAME",
     "name of this node, unique in the fleet"},
    {"Identity", "fleet", "default", "NAME",
     "fleet; nodes of another are ignored"},
    {"Identity", "mesh", "default", "NAME", "mesh whose settings apply"},
    {"Identity", "region", "local", "NAME", "region of the data centre"},
    {"Identity", "data-centre", "", "NAME", "data centre of this host"},
    {"Network", "ip", "127.0.0.1", "IP",
     "IP number to listen on and to tell peers"},
    {"Network", "caller-port", "0", "PORT", "HTTP from callers; 0 takes any"},
    {"Network", "operator-port", "0", "PORT",
     "HTTP from operators; 0 takes any"},
    {"Network", "peer-port", "0", "PORT", "TCP from other nodes; 0 takes any"},
    {"Network", "gossip-port", "0", "PORT",
     "UDP from other nodes; 0 takes any"},
    {"Network", "seeds", "", "IP:PORT,...", "gossip addresses of some nodes"},
    {"Platform", "platform-table", "", "IP:PORT",
     "table service; none if empty"},
    {"Platform", "platform-objects", "", "IP:PORT",
     "object store; none if empty"},
    {"Platform", "platform-access-key", "", "KEY",
     "better given by the environment"},
    {"Platform", "platform-secret-key", "", "KEY",
     "better given by the environment"},
    {"Limits", "max-body-bytes", "8388608", "N",
     "largest body of a request or answer"},
    {"Limits", "max-buffered-bytes", "67108864", "N",
     "all bodies held at one time"},
    {"Operation", "operator-token", "", "TOKEN",
     "asked of operators for changes"},
    {"Operation", "log-level", "info", "LEVEL",
     "debug, info, warning or error"},
    {"Operation", "log-format", "text", "FORMAT",
     "text or json (one object a line)"},
    {"Operation", "ports-file", "", "FILE",
     "write the bound ports there as JSON"},
    {"Operation", "record", "", "FILE", "write every event there, for replay"},
    {"Operation", "random-seed", "0", "N", "0 takes the incarnation"},
    {"Operation", "help", "", "", "print this and end"},
    {"Operation", "version", "", "", "print the version and end"},
}};

std::string VariableOf(const std::string& flag) {
  std::string name = "AMARANTH_" + flag;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  return name;
}

bool IsSwitch(const Flag& flag) { return *flag.placeholder == '\0'; }

cxxopts::Options Describe() {
  cxxopts::Options options("amaranthd", "The node of amaranthroute.");
  for (const Flag& flag : kFlags) {
    std::string help = flag.help;
    if (!IsSwitch(flag)) help += " [" + VariableOf(flag.name) + "]";
    if (*flag.fallback != '\0') help += std::string(" (") + flag.fallback + ")";
    const auto value = IsSwitch(flag)
                           ? cxxopts::value<bool>()
                           : std::static_pointer_cast<cxxopts::Value>(
                                 cxxopts::value<std::string>());
    options.add_options(flag.group)(flag.name, help, value, flag.placeholder);
  }
  return options;
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  size_t start = 0;
  while (start < text.size()) {
    const size_t comma = std::min(text.find(',', start), text.size());
    parts.push_back(text.substr(start, comma - start));
    start = comma + 1;
  }
  return parts;
}

bool IsIp(const std::string& text) {
  asio::error_code error;
  asio::ip::make_address(text, error);
  return !error;
}

template <typename Number>
std::optional<Number> ToNumber(std::string_view text) {
  Number number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// Reads one flag after the other and gathers what is wrong with any.
class Reader {
 public:
  Reader(const cxxopts::ParseResult& given, const Environment& environment,
         std::vector<std::string>& errors)
      : given_(given), environment_(environment), errors_(errors) {}

  std::string Text(const std::string& flag) {
    if (given_.count(flag) > 0) return given_[flag].as<std::string>();
    const char* variable = environment_(VariableOf(flag).c_str());
    if (variable != nullptr) return variable;
    const auto entry =
        std::find_if(kFlags.begin(), kFlags.end(),
                     [&](const Flag& known) { return known.name == flag; });
    return entry->fallback;
  }

  // A name travels in headers, keys and log lines.
  std::string Name(const std::string& flag) {
    std::string text = Text(flag);
    const bool clean = std::all_of(text.begin(), text.end(), [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
             c == '_' || c == '.';
    });
    if (text.empty()) {
      Fail(flag, "is missing");
    } else if (!clean || text.size() > kMaxNameBytes) {
      Fail(flag, "takes up to 100 letters, digits, '-', '_' and '.', not '" +
                     text + "'");
    }
    return text;
  }

  std::string Ip(const std::string& flag) {
    std::string text = Text(flag);
    if (!IsIp(text)) Fail(flag, "takes an IP number, not '" + text + "'");
    return text;
  }

  uint16_t Port(const std::string& flag) {
    return ReadNumber<uint16_t>(flag, "a port (0 to 65535)");
  }

  uint64_t Number(const std::string& flag) {
    return ReadNumber<uint64_t>(flag, "a whole number");
  }

  uint64_t Positive(const std::string& flag) {
    const size_t errors_before = errors_.size();
    const uint64_t number = Number(flag);
    const bool read = errors_.size() == errors_before;
    if (read && number == 0) Fail(flag, "must be more than 0");
    return number;
  }

  Endpoint Address(const std::string& flag) {
    return ToAddress(flag, Text(flag));
  }

  std::vector<Endpoint> Addresses(const std::string& flag) {
    std::vector<Endpoint> all;
    for (const std::string& part : Split(Text(flag))) {
      all.push_back(ToAddress(flag, part));
    }
    return all;
  }

  void Fail(const std::string& flag, const std::string& what) {
    errors_.push_back("--" + flag + " (" + VariableOf(flag) + ") " + what);
  }

 private:
  static constexpr size_t kMaxNameBytes = 100;

  template <typename T>
  T ReadNumber(const std::string& flag, const char* what) {
    const std::string text = Text(flag);
    const std::optional<T> number = ToNumber<T>(text);
    if (!number)
      Fail(flag, std::string("takes ") + what + ", not '" + text + "'");
    return number.value_or(0);
  }

  Endpoint ToAddress(const std::string& flag, const std::string& text) {
    const size_t colon = text.rfind(':');
    const std::string ip = text.substr(0, colon);
    const std::optional<uint16_t> port =
        colon == std::string::npos
            ? std::nullopt
            : ToNumber<uint16_t>(std::string_view(text).substr(colon + 1));
    if (!IsIp(ip) || port.value_or(0) == 0) {
      Fail(flag, "takes IP:PORT, not '" + text + "'");
      return {};
    }
    return {ip, *port};
  }

  const cxxopts::ParseResult& given_;
  const Environment& environment_;
  std::vector<std::string>& errors_;
};

void ReadIdentity(Reader& reader, NodeIdentity& identity) {
  identity.node.name = reader.Name("node-name");
  identity.fleet = reader.Name("fleet");
  identity.mesh = reader.Name("mesh");
  identity.region = reader.Name("region");
  identity.data_centre = reader.Name("data-centre");
  identity.seeds = reader.Addresses("seeds");
  identity.operator_token = reader.Text("operator-token");
  identity.max_body_bytes = reader.Positive("max-body-bytes");
  identity.max_buffered_bytes = reader.Positive("max-buffered-bytes");
  identity.random_seed = reader.Number("random-seed");
  if (identity.max_buffered_bytes < identity.max_body_bytes) {
    reader.Fail("max-buffered-bytes", "must not be under --max-body-bytes");
  }
}

void ReadNetwork(Reader& reader, DaemonOptions& options) {
  options.ip = reader.Ip("ip");
  options.caller_port = reader.Port("caller-port");
  options.operator_port = reader.Port("operator-port");
  options.peer_port = reader.Port("peer-port");
  options.gossip_port = reader.Port("gossip-port");
}

std::optional<PlatformSetup> ReadPlatform(Reader& reader) {
  const bool table = !reader.Text("platform-table").empty();
  const bool objects = !reader.Text("platform-objects").empty();
  if (!table && !objects) return std::nullopt;
  if (!table || !objects) {
    reader.Fail(table ? "platform-objects" : "platform-table",
                "is missing: the platform needs both addresses");
    return std::nullopt;
  }
  PlatformSetup setup;
  setup.table = reader.Address("platform-table");
  setup.objects = reader.Address("platform-objects");
  setup.access_key = reader.Text("platform-access-key");
  setup.secret_key = reader.Text("platform-secret-key");
  return setup;
}

void ReadOperation(Reader& reader, DaemonOptions& options) {
  const std::string level = reader.Text("log-level");
  const std::optional<LogLevel> parsed = ParseLogLevel(level);
  if (!parsed) {
    reader.Fail("log-level",
                "takes debug, info, warning or error, not '" + level + "'");
  }
  options.log_level = parsed.value_or(LogLevel::kInfo);
  const std::string format = reader.Text("log-format");
  if (format != "text" && format != "json") {
    reader.Fail("log-format", "takes text or json, not '" + format + "'");
  }
  options.log_format = format == "json" ? LogFormat::kJson : LogFormat::kText;
  options.ports_file = reader.Text("ports-file");
  options.record_file = reader.Text("record");
}

void ReadAll(Reader& reader, DaemonOptions& options) {
  ReadIdentity(reader, options.identity);
  ReadNetwork(reader, options);
  options.platform = ReadPlatform(reader);
  options.identity.use_platform = options.platform.has_value();
  ReadOperation(reader, options);
}

}  // namespace

ParsedOptions ParseDaemonOptions(int argc, const char* const* argv,
                                 const Environment& environment) {
  ParsedOptions parsed;
  cxxopts::Options described = Describe();
  try {
    const cxxopts::ParseResult given = described.parse(argc, argv);
    if (given.count("help") > 0) {
      parsed.text = described.help(
          {"Identity", "Network", "Platform", "Limits", "Operation"});
      return parsed;
    }
    if (given.count("version") > 0) {
      parsed.text = kVersionText;
      return parsed;
    }
    for (const std::string& stray : given.unmatched()) {
      parsed.errors.push_back("'" + stray + "' is not a flag");
    }
    Reader reader(given, environment, parsed.errors);
    ReadAll(reader, parsed.options);
  } catch (const cxxopts::exceptions::exception& error) {
    parsed.errors.emplace_back(error.what());
  }
  return parsed;
}

}  // namespace amaranth::pvt
