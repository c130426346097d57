#ifndef AMARANTHROUTE_AMARANTHD_OPTIONS_H_
#define AMARANTHROUTE_AMARANTHD_OPTIONS_H_

// The node's flags and AMARANTH_* environment variables, checked at start.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/ids.h"
#include "amaranthroute/reducer.h"
#include "libhost/log_sink.h"

namespace amaranth::pvt {

struct PlatformSetup {
  Endpoint table;
  Endpoint objects;
  std::string access_key;
  std::string secret_key;
};

struct DaemonOptions {
  // Without the addresses, which are known when the ports are bound.
  NodeIdentity identity;
  std::string ip;
  uint16_t caller_port = 0;
  uint16_t operator_port = 0;
  uint16_t peer_port = 0;
  uint16_t gossip_port = 0;
  std::optional<uint16_t> announce_port;
  std::optional<PlatformSetup> platform;
  // The users' store of rows; with it their platform's words are spoken.
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
  std::vector<std::string> errors;  // every one, so that one start shows all
  std::string text;                 // --help or --version: print this and end
};

// An environment variable's value, or null.
using Environment = std::function<const char*(const char* name)>;

// A flag wins over its variable: --node-name over AMARANTH_NODE_NAME.
ParsedOptions ParseDaemonOptions(int argc, const char* const* argv,
                                 const Environment& environment);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHD_OPTIONS_H_
