#ifndef AMARANTHROUTE_AMARANTHCTL_COMMAND_H_
#define AMARANTHROUTE_AMARANTHCTL_COMMAND_H_

// What is asked of the node for a command.

#include "amaranthctl/options.h"
#include "amaranthroute/http.h"
#include "amaranthroute/outcome.h"

namespace amaranth::pvt {

// How the node's answer is shown.
enum class View {
  kStatus,
  kServers,
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
  // settings get PATH NAME: the one setting asked for.
  std::string setting;
  // A lost answer leaves open whether it was done.
  bool changes = false;
};

// Errors: kInvalid with a sentence for the operator.
Outcome<Command> BuildCommand(const CtlOptions& options);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_COMMAND_H_
