#include "amaranthd/options.h"

#include <algorithm>
#include <array>
#include <asio/ip/address.hpp>
#include <cctype>
#include <cxxopts.hpp>
#include <string_view>

#include "libutil/duration_text.h"
#include "libutil/parse_number.h"

namespace amaranth::pvt {
namespace {

constexpr const char* kVersionText = "amaranthd 0.1.0\n";

// A body is held once as it came and once more in the frame or the request that
// passes it on. Twice this share leaves a tenth of the limit for all else: 16
// MB on a host of 160, where a node under load takes 15 to 20
// (docs/PERFORMANCE.md).
constexpr double kMemoryForBodies = 0.45;

struct Flag {
  const char* group;
  const char* name;
  const char* fallback;
  const char* placeholder;
  const char* help;
};

constexpr std::array<Flag, 35> kFlags = {{
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
    {"Network", "announce-port", "", "PORT",
     "HTTP from this host's backend servers alone, for their announcements; "
     "they come to the callers' port if empty"},
    {"Network", "seeds", "", "IP:PORT,...", "gossip addresses of some nodes"},
    {"Platform", "platform-table", "", "IP:PORT",
     "table service; none if empty"},
    {"Platform", "platform-objects", "", "IP:PORT",
     "object store; none if empty"},
    {"Platform", "platform-access-key", "", "KEY",
     "better given by the environment"},
    {"Platform", "platform-secret-key", "", "KEY",
     "better given by the environment"},
    {"Platform", "rows", "", "IP:PORT",
     "store of rows, in the place of both: operators write settings there"},
    {"Deployment", "server-service", "", "NAME",
     "service of this host's backend server, with --rows"},
    {"Deployment", "announce-period", "500ms", "TIME",
     "how often a backend server announces itself"},
    {"Deployment", "drain", "0s", "TIME",
     "how long a leaving backend server takes calls; 0 for as long as it runs"},
    {"Deployment", "stop-grace", "0s", "TIME",
     "a stopping node is ended by force after this; 0 for never"},
    {"Deployment", "retry-ratio", "0", "SHARE",
     "retries of all nodes per request of a service; 0 leaves each node its "
     "own"},
    {"Deployment", "retry-slack", "0", "N",
     "retries of all nodes in a window on top of the ratio"},
    {"Deployment", "retry-window", "10s", "TIME", "window in which both hold"},
    {"Limits", "max-body-bytes", "8388608", "N",
     "largest body of a request or answer"},
    {"Limits", "max-buffered-bytes", "67108864", "N",
     "all bodies held at one time"},
    {"Limits", "memory-limit-mb", "0", "N",
     "memory of this process; bodies held at one time stay under 45 in 100 of "
     "it, but may be as large as the largest body; 0 for no bound"},
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

  // "PORT", or "IP:PORT" as deployments name the addresses of a host.
  uint16_t Port(const std::string& flag) {
    const std::string text = Text(flag);
    const std::optional<uint16_t> port = ParseNumber<uint16_t>(
        std::string_view(text).substr(text.rfind(':') + 1));
    if (!port) {
      Fail(flag, "takes a port (0 to 65535), not '" + text + "'");
    }
    return port.value_or(0);
  }

  Duration Time(const std::string& flag) {
    const Outcome<Duration> time = ParseDuration(Text(flag));
    if (time) return time.value();
    Fail(flag, "takes a time such as 500ms or 2.5s: " + time.error().message);
    return Duration(0);
  }

  double Share(const std::string& flag) {
    const std::string text = Text(flag);
    const std::optional<double> share = ParseNumber<double>(text);
    if (!share || !(*share >= 0 && *share <= 1)) {
      Fail(flag, "takes a share from 0 to 1, not '" + text + "'");
    }
    return share.value_or(0);
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
    const std::optional<T> number = ParseNumber<T>(text);
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
            : ParseNumber<uint16_t>(std::string_view(text).substr(colon + 1));
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
  const uint64_t memory = reader.Number("memory-limit-mb") << 20;
  if (memory == 0) return;
  const uint64_t for_bodies =
      static_cast<uint64_t>(static_cast<double>(memory) * kMemoryForBodies);
  identity.max_buffered_bytes =
      std::min(identity.max_buffered_bytes,
               std::max(for_bodies, identity.max_body_bytes));
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

// Backend servers that miss four announcements in a row are gone.
constexpr int kMissedAnnouncements = 4;

// Half of the drain is for calls that are queued when it begins, the other half
// for those that run then.
constexpr int kDrainShare = 2;

void ReadDeployment(Reader& reader, DaemonOptions& options) {
  DeploymentRules& rules = options.identity.rules;
  options.stop_grace = reader.Time("stop-grace");
  rules.server_lease = reader.Time("announce-period") * kMissedAnnouncements;
  rules.drain_limit = reader.Time("drain") / kDrainShare;
  rules.fleet_retry_ratio = reader.Share("retry-ratio");
  rules.fleet_retry_slack = static_cast<uint32_t>(reader.Number("retry-slack"));
  rules.fleet_retry_window = reader.Time("retry-window");
  if (!reader.Text("announce-port").empty()) {
    options.announce_port = reader.Port("announce-port");
    rules.announce_port = true;
  }
  if (reader.Text("rows").empty()) return;
  options.rows = reader.Address("rows");
  options.server_service = reader.Name("server-service");
  rules.settings_source = SettingsSource::kWatch;
  rules.request_id_per_send = true;
  rules.callers_resend = true;
  rules.admit_at_edge = true;
  // Callers hear within two seconds that this node is not ready. Calls that
  // others send meanwhile end within the grace, as nearly all take less than
  // the rest of it.
  rules.leave_delay = std::chrono::milliseconds(1200);
  // A deployment of this kind has tens of nodes, not 1,600.
  rules.peer_row_spread = std::chrono::seconds(1);
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
  ReadDeployment(reader, options);
  options.identity.use_platform =
      options.platform.has_value() || options.rows.has_value();
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
      parsed.text = described.help({"Identity", "Network", "Platform",
                                    "Deployment", "Limits", "Operation"});
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
