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

// Share of the memory limit that buffered bodies may use. Each body is held
// twice: as received and in the frame or request that forwards it. Both copies
// together leave a tenth of the limit for everything else: 16 MB with a limit
// of 160 MB, where a node under load uses 15 to 20 MB (docs/PERFORMANCE.md).
constexpr double kBodyShareOfMemory = 0.45;

struct Flag {
  const char* group;
  const char* name;
  const char* default_value;
  const char* placeholder;
  const char* help;
};

constexpr std::array<Flag, 36> kFlags = {{
    {"Identity", "node-name", "", "NAME",
     "name of this node; must be unique in the fleet"},
    {"Identity", "fleet", "default", "NAME",
     "name of the fleet; nodes of other fleets are ignored"},
    {"Identity", "mesh", "default", "NAME", "mesh whose settings apply"},
    {"Identity", "region", "local", "NAME", "region of the data centre"},
    {"Identity", "data-centre", "", "NAME", "data centre of this host"},
    {"Network", "ip", "127.0.0.1", "IP",
     "IP address to listen on and to advertise to peers"},
    {"Network", "caller-port", "0", "PORT",
     "HTTP port for callers; 0 picks a free port"},
    {"Network", "operator-port", "0", "PORT",
     "HTTP port for operators; 0 picks a free port"},
    {"Network", "peer-port", "0", "PORT",
     "TCP port for other nodes; 0 picks a free port"},
    {"Network", "gossip-port", "0", "PORT",
     "UDP port for other nodes; 0 picks a free port"},
    {"Network", "announce-port", "", "PORT",
     "HTTP port only for announcements of this host's backend servers; if "
     "empty, they use the callers' port"},
    {"Network", "seeds", "", "IP:PORT,...",
     "gossip addresses of existing nodes to contact first"},
    {"Platform", "platform-table", "", "IP:PORT",
     "address of the table service; not used if empty"},
    {"Platform", "platform-objects", "", "IP:PORT",
     "address of the object store; not used if empty"},
    {"Platform", "platform-access-key", "", "KEY",
     "access key; preferably set in the environment"},
    {"Platform", "platform-secret-key", "", "KEY",
     "secret key; preferably set in the environment"},
    {"Platform", "rows", "", "IP:PORT",
     "address of the row store, used instead of the table service and object "
     "store; operators write settings there"},
    {"Deployment", "server-service", "", "NAME",
     "service of this host's backend server; required with --rows"},
    {"Deployment", "announce-period", "500ms", "TIME",
     "interval at which a backend server announces itself"},
    {"Deployment", "drain", "0s", "TIME",
     "how long a leaving backend server accepts calls; 0 for no limit"},
    {"Deployment", "stop-grace", "0s", "TIME",
     "time after which a stopping node is killed; 0 for never"},
    {"Deployment", "settings-bound", "2s", "TIME",
     "time within which settings that the platform has acknowledged are in "
     "force on every node that reaches it; used with --rows"},
    {"Deployment", "retry-ratio", "0", "SHARE",
     "retries of all nodes per request of a service; 0 lets each node use its "
     "own ratio"},
    {"Deployment", "retry-slack", "0", "N",
     "retries of all nodes per window in addition to the ratio"},
    {"Deployment", "retry-window", "10s", "TIME",
     "length of the sliding window for the retry ratio and slack"},
    {"Limits", "max-body-bytes", "8388608", "N",
     "maximum size of a request or answer body"},
    {"Limits", "max-buffered-bytes", "67108864", "N",
     "maximum total size of the messages held at one time"},
    {"Limits", "memory-limit-mb", "0", "N",
     "memory of this process; limits the messages held at one time to 45 % "
     "of it; 0 for no limit"},
    {"Operation", "operator-token", "", "TOKEN",
     "token that operators must send with changes"},
    {"Operation", "log-level", "info", "LEVEL",
     "debug, info, warning or error"},
    {"Operation", "log-format", "text", "FORMAT",
     "text or json (one object per line)"},
    {"Operation", "ports-file", "", "FILE",
     "file to which the bound ports are written as JSON"},
    {"Operation", "record", "", "FILE",
     "file to which every event is written, for replay"},
    {"Operation", "random-seed", "0", "N",
     "seed for random numbers; 0 uses the incarnation"},
    {"Operation", "help", "", "", "print this help and exit"},
    {"Operation", "version", "", "", "print the version and exit"},
}};

std::string VariableName(const std::string& flag) {
  std::string name = "AMARANTH_" + flag;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  return name;
}

bool IsSwitch(const Flag& flag) { return *flag.placeholder == '\0'; }

cxxopts::Options MakeParser() {
  cxxopts::Options options("amaranthd", "Runs an amaranthroute node.");
  for (const Flag& flag : kFlags) {
    std::string help = flag.help;
    if (!IsSwitch(flag)) help += " [" + VariableName(flag.name) + "]";
    if (*flag.default_value != '\0')
      help += std::string(" (") + flag.default_value + ")";
    const auto value = IsSwitch(flag)
                           ? cxxopts::value<bool>()
                           : std::static_pointer_cast<cxxopts::Value>(
                                 cxxopts::value<std::string>());
    options.add_options(flag.group)(flag.name, help, value, flag.placeholder);
  }
  return options;
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> addresses;
  size_t start = 0;
  while (start < text.size()) {
    const size_t comma = std::min(text.find(',', start), text.size());
    addresses.push_back(text.substr(start, comma - start));
    start = comma + 1;
  }
  return addresses;
}

bool IsIp(const std::string& text) {
  asio::error_code error;
  asio::ip::make_address(text, error);
  return !error;
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

  std::string Text(const std::string& flag) {
    if (parse_result_.count(flag) > 0)
      return parse_result_[flag].as<std::string>();
    const char* variable = environment_(VariableName(flag).c_str());
    if (variable != nullptr) return variable;
    const auto entry =
        std::find_if(kFlags.begin(), kFlags.end(),
                     [&](const Flag& known) { return known.name == flag; });
    return entry->default_value;
  }

  // Names are used in headers, keys and log lines, so only safe characters are
  // allowed.
  std::string Name(const std::string& flag) {
    std::string text = Text(flag);
    const bool valid = std::all_of(text.begin(), text.end(), [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
             c == '_' || c == '.';
    });
    if (text.empty()) {
      AddError(flag, "is missing");
    } else if (!valid || text.size() > kMaxNameBytes) {
      AddError(flag,
               "must be up to 100 letters, digits, '-', '_' and '.', not '" +
                   text + "'");
    }
    return text;
  }

  std::string Ip(const std::string& flag) {
    std::string text = Text(flag);
    if (!IsIp(text))
      AddError(flag, "must be an IP address, not '" + text + "'");
    return text;
  }

  // Accepts "PORT" and also "IP:PORT", the form in which deployments give the
  // addresses of a host. The IP part is ignored.
  uint16_t Port(const std::string& flag) {
    const std::string text = Text(flag);
    const std::optional<uint16_t> port = ParseNumber<uint16_t>(
        std::string_view(text).substr(text.rfind(':') + 1));
    if (!port) {
      AddError(flag, "must be a port (0 to 65535), not '" + text + "'");
    }
    return port.value_or(0);
  }

  Duration Time(const std::string& flag) {
    const Outcome<Duration> time = ParseDuration(Text(flag));
    if (time) return time.value();
    AddError(flag,
             "must be a time such as 500ms or 2.5s: " + time.error().message);
    return Duration(0);
  }

  double Share(const std::string& flag) {
    const std::string text = Text(flag);
    const std::optional<double> share = ParseNumber<double>(text);
    if (!share || !(*share >= 0 && *share <= 1)) {
      AddError(flag, "must be a number from 0 to 1, not '" + text + "'");
    }
    return share.value_or(0);
  }

  uint64_t Number(const std::string& flag) {
    return ReadNumber<uint64_t>(flag, "a whole number");
  }

  uint64_t PositiveNumber(const std::string& flag) {
    const size_t errors_before = errors_.size();
    const uint64_t number = Number(flag);
    const bool read = errors_.size() == errors_before;
    if (read && number == 0) AddError(flag, "must be greater than 0");
    return number;
  }

  Endpoint Address(const std::string& flag) {
    return ParseAddress(flag, Text(flag));
  }

  std::vector<Endpoint> Addresses(const std::string& flag) {
    std::vector<Endpoint> all;
    for (const std::string& address : SplitAtCommas(Text(flag))) {
      all.push_back(ParseAddress(flag, address));
    }
    return all;
  }

  void AddError(const std::string& flag, const std::string& what) {
    errors_.push_back("--" + flag + " (" + VariableName(flag) + ") " + what);
  }

 private:
  static constexpr size_t kMaxNameBytes = 100;

  template <typename T>
  T ReadNumber(const std::string& flag, const char* what) {
    const std::string text = Text(flag);
    const std::optional<T> number = ParseNumber<T>(text);
    if (!number)
      AddError(flag, std::string("must be ") + what + ", not '" + text + "'");
    return number.value_or(0);
  }

  Endpoint ParseAddress(const std::string& flag, const std::string& text) {
    const size_t colon = text.rfind(':');
    const std::string ip = text.substr(0, colon);
    const std::optional<uint16_t> port =
        colon == std::string::npos
            ? std::nullopt
            : ParseNumber<uint16_t>(std::string_view(text).substr(colon + 1));
    if (!IsIp(ip) || port.value_or(0) == 0) {
      AddError(flag, "must be IP:PORT, not '" + text + "'");
      return {};
    }
    return {ip, *port};
  }

  const cxxopts::ParseResult& parse_result_;
  const Environment& environment_;
  std::vector<std::string>& errors_;
};

void ReadIdentity(FlagReader& reader, NodeIdentity& identity) {
  identity.node.name = reader.Name("node-name");
  identity.fleet = reader.Name("fleet");
  identity.mesh = reader.Name("mesh");
  identity.region = reader.Name("region");
  identity.data_centre = reader.Name("data-centre");
  identity.seeds = reader.Addresses("seeds");
  identity.operator_token = reader.Text("operator-token");
  identity.max_body_bytes = reader.PositiveNumber("max-body-bytes");
  identity.max_buffered_bytes = reader.PositiveNumber("max-buffered-bytes");
  identity.random_seed = reader.Number("random-seed");
  if (identity.max_buffered_bytes < identity.max_body_bytes) {
    reader.AddError("max-buffered-bytes",
                    "must not be less than --max-body-bytes");
  }
  const uint64_t memory = reader.Number("memory-limit-mb") << 20;
  if (memory == 0) return;
  const uint64_t body_bytes =
      static_cast<uint64_t>(static_cast<double>(memory) * kBodyShareOfMemory);
  identity.max_buffered_bytes =
      std::min(identity.max_buffered_bytes, body_bytes);
}

void ReadNetwork(FlagReader& reader, DaemonOptions& options) {
  options.ip = reader.Ip("ip");
  options.caller_port = reader.Port("caller-port");
  options.operator_port = reader.Port("operator-port");
  options.peer_port = reader.Port("peer-port");
  options.gossip_port = reader.Port("gossip-port");
}

std::optional<PlatformSetup> ReadPlatform(FlagReader& reader) {
  const bool table = !reader.Text("platform-table").empty();
  const bool objects = !reader.Text("platform-objects").empty();
  if (!table && !objects) return std::nullopt;
  if (!table || !objects) {
    reader.AddError(table ? "platform-objects" : "platform-table",
                    "is missing: the table service and the object store must "
                    "be set together");
    return std::nullopt;
  }
  PlatformSetup setup;
  setup.table = reader.Address("platform-table");
  setup.objects = reader.Address("platform-objects");
  setup.access_key = reader.Text("platform-access-key");
  setup.secret_key = reader.Text("platform-secret-key");
  return setup;
}

// The drain time is split in two halves: the first for calls that are queued
// when the drain begins, the second for calls that run by then.
constexpr int kDrainPhases = 2;

// Below this, the calls that the bound requires would be a load of their own.
constexpr Duration kMinSettingsBound = std::chrono::milliseconds(500);

void ReadDeployment(FlagReader& reader, DaemonOptions& options) {
  DeploymentRules& rules = options.identity.rules;
  options.stop_grace = reader.Time("stop-grace");
  rules.server_lease = reader.Time("announce-period") * kAnnouncementsPerLease;
  rules.drain_limit = reader.Time("drain") / kDrainPhases;
  rules.settings_bound = reader.Time("settings-bound");
  if (rules.settings_bound < kMinSettingsBound) {
    reader.AddError("settings-bound", "must be at least 500ms");
  }
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
  // Callers learn within two seconds that this node is not ready. Calls that
  // other nodes send during the delay finish within the stop grace, because
  // nearly all of them take less than the rest of it.
  rules.leave_delay = std::chrono::milliseconds(1200);
  // Such a deployment has tens of nodes rather than 1,600, so the spread can be
  // shorter than the default.
  rules.peer_row_spread = std::chrono::seconds(1);
}

void ReadOperation(FlagReader& reader, DaemonOptions& options) {
  const std::string level = reader.Text("log-level");
  const std::optional<LogLevel> parsed = ParseLogLevel(level);
  if (!parsed) {
    reader.AddError(
        "log-level",
        "must be debug, info, warning or error, not '" + level + "'");
  }
  options.log_level = parsed.value_or(LogLevel::kInfo);
  const std::string format = reader.Text("log-format");
  if (format != "text" && format != "json") {
    reader.AddError("log-format", "must be text or json, not '" + format + "'");
  }
  options.log_format = format == "json" ? LogFormat::kJson : LogFormat::kText;
  options.ports_file = reader.Text("ports-file");
  options.record_file = reader.Text("record");
}

void ReadOptions(FlagReader& reader, DaemonOptions& options) {
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
  cxxopts::Options parser = MakeParser();
  try {
    const cxxopts::ParseResult parse_result = parser.parse(argc, argv);
    if (parse_result.count("help") > 0) {
      parsed.help_text = parser.help({"Identity", "Network", "Platform",
                                      "Deployment", "Limits", "Operation"});
      return parsed;
    }
    if (parse_result.count("version") > 0) {
      parsed.help_text = kVersionText;
      return parsed;
    }
    for (const std::string& argument : parse_result.unmatched()) {
      parsed.errors.push_back("unexpected argument '" + argument + "'");
    }
    FlagReader reader(parse_result, environment, parsed.errors);
    ReadOptions(reader, parsed.options);
  } catch (const cxxopts::exceptions::exception& error) {
    parsed.errors.emplace_back(error.what());
  }
  return parsed;
}

}  // namespace amaranth::pvt
