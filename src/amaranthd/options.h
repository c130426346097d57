#ifndef AMARANTHROUTE_AMARANTHD_OPTIONS_H_
#define AMARANTHROUTE_AMARANTHD_OPTIONS_H_

// Command-line flags and AMARANTH_* environment variables of the node,
// validated at startup.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/ids.h"
#include "amaranthroute/reducer.h"
#include "libhost/log_sink.h"

namespace amaranth::pvt {

// Addresses and credentials of the table service and the object store.
struct PlatformSetup {
  Endpoint table;
  Endpoint objects;
  std::string access_key;
  std::string secret_key;
};

struct DaemonOptions {
  // Without peer_address and gossip_address, which are known only after the
  // ports are bound.
  NodeIdentity identity;
  std::string ip;
  uint16_t caller_port = 0;
  uint16_t operator_port = 0;
  uint16_t peer_port = 0;
  uint16_t gossip_port = 0;
  std::optional<uint16_t> announce_port;
  std::optional<PlatformSetup> platform;
  // Address of the users' row store. If set, the node uses the HTTP conventions
  // of their platform.
  std::optional<Endpoint> rows;
  std::string server_service;
  Duration stop_grace{0};
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;
  std::string ports_file;
  std::string record_file;
};

struct ParsedOptions {
  DaemonOptions options;
  // All errors found, so that one start reports all of them.
  std::vector<std::string> errors;
  // Set by --help and --version: the text to print before exiting.
  std::string help_text;
};

// Returns the value of an environment variable, or null if it is not set.
using Environment = std::function<const char*(const char* name)>;

// Parses and validates all options. A flag overrides its environment variable,
// for example --node-name overrides AMARANTH_NODE_NAME.
ParsedOptions ParseDaemonOptions(int argc, const char* const* argv,
                                 const Environment& environment);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHD_OPTIONS_H_
