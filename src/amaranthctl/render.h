#ifndef AMARANTHROUTE_AMARANTHCTL_RENDER_H_
#define AMARANTHROUTE_AMARANTHCTL_RENDER_H_

// Formats the node's JSON answers as text for operators.

#include <string>

#include "amaranthctl/command.h"
#include "amaranthctl/options.h"
#include "amaranthroute/outcome.h"

namespace amaranth::pvt {

// Formats `body`, the node's answer to `command`. Errors: kInvalid if it is not
// a JSON object; kNotFound if it lacks the requested setting (only for table
// output).
Outcome<std::string> Render(const Command& command, const CtlOptions& options,
                            const std::string& body);

// Returns the messages in the node's answer to a refused request, or the whole
// body if it has none.
std::string RefusalText(const std::string& body);

// Returns whether `body`, the answer to "status", reports the node as ready.
bool IsReady(const std::string& body);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_RENDER_H_
