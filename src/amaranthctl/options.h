#ifndef AMARANTHROUTE_AMARANTHCTL_OPTIONS_H_
#define AMARANTHROUTE_AMARANTHCTL_OPTIONS_H_

// Command line and environment variables of amaranthctl.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/ids.h"

namespace amaranth::pvt {

// Exit codes of the program; part of its interface.
enum class ExitCode {
  kOk = 0,
  // The node refused the request, the expected version was out of date, the
  // requested setting does not exist, or a replay differed from its log.
  kRefused = 1,
  // Invalid command line, or a replay log that cannot be read.
  kUsage = 2,
  // No response from the node, or an invalid one.
  kUnreachable = 3,
  // The node responds, but is not ready or cannot serve the request now.
  kNodeNotReady = 4,
};

enum class Output { kTable, kJson };

struct CtlOptions {
  Endpoint node;
  std::string token;
  Output output = Output::kTable;
  std::chrono::milliseconds timeout{0};
  std::string author;
  std::optional<uint64_t> expected_version;
  // Filters for the output; empty shows all.
  std::string service;
  std::string tenant;
  std::string request_class;
  bool plot = false;
  bool trace = false;
  uint64_t since_us = 0;
  uint64_t limit = 0;
  std::vector<std::string> positionals;  // command and its arguments
};

struct ParsedCtlOptions {
  CtlOptions options;
  std::vector<std::string> errors;  // all errors found, one sentence each
  // Set by --help and --version: the text to print before exiting.
  std::string help_text;
};

// Returns the value of an environment variable, or null if it is not set.
using Environment = std::function<const char*(const char*)>;

// Parses and validates all options. A flag overrides its environment variable.
ParsedCtlOptions ParseCtlOptions(int argc, const char* const* argv,
                                 const Environment& environment);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_OPTIONS_H_
