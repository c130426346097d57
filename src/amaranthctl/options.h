#ifndef AMARANTHROUTE_AMARANTHCTL_OPTIONS_H_
#define AMARANTHROUTE_AMARANTHCTL_OPTIONS_H_

// The command line and environment of amaranthctl.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/ids.h"

namespace amaranth::pvt {

// How the program ends; part of its interface.
enum class ExitCode {
  kOk = 0,
  kRefused = 1,       // the node refused, or somebody changed it first
  kUsage = 2,         // wrong command line
  kUnreachable = 3,   // no answer, or none that can be read
  kNodeNotReady = 4,  // the node answers, but cannot do this now
};

enum class Output { kTable, kJson };

struct CtlOptions {
  Endpoint node;
  std::string token;
  Output output = Output::kTable;
  std::chrono::milliseconds timeout{0};
  std::string author;
  std::optional<uint64_t> expected_version;
  // Filters of what is shown; empty shows all.
  std::string service;
  std::string tenant;
  std::string request_class;
  bool plot = false;
  bool trace = false;
  uint64_t since_us = 0;
  uint64_t limit = 0;
  std::vector<std::string> words;  // the command and its arguments
};

struct ParsedCtlOptions {
  CtlOptions options;
  std::vector<std::string> errors;  // everything wrong, one sentence each
  std::string text;                 // help or version: print it and end
};

// Value of an environment variable, or null.
using Environment = std::function<const char*(const char*)>;

ParsedCtlOptions ParseCtlOptions(int argc, const char* const* argv,
                                 const Environment& environment);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_OPTIONS_H_
