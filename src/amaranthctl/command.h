#ifndef AMARANTHROUTE_AMARANTHCTL_COMMAND_H_
#define AMARANTHROUTE_AMARANTHCTL_COMMAND_H_

// Maps a command line to the HTTP request that is sent to the node.

#include "amaranthctl/options.h"
#include "amaranthroute/http.h"
#include "amaranthroute/outcome.h"

namespace amaranth::pvt {

// Determines how the node's answer is displayed.
enum class View {
  kStatus,
  kServers,
  kCustomers,
  kValues,
  kExplainedValues,
  kHistory,
  kRawJson,
  kHistograms,
  kRecords,
  kChanged,
  kDraining,
};

struct Command {
  HttpRequest request;
  View view = View::kStatus;
  // Name of the setting to show (settings get PATH NAME); empty shows all.
  std::string setting;
  // Whether the request changes state. If its answer is lost, the outcome is
  // unknown.
  bool is_change = false;
};

// Builds the request for `options.positionals`. Errors: kInvalid, with a usage
// message for the operator.
Outcome<Command> BuildCommand(const CtlOptions& options);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_COMMAND_H_
