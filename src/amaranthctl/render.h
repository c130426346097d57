#ifndef AMARANTHROUTE_AMARANTHCTL_RENDER_H_
#define AMARANTHROUTE_AMARANTHCTL_RENDER_H_

// The node's JSON answers as text for people.

#include <string>

#include "amaranthctl/command.h"
#include "amaranthctl/options.h"
#include "amaranthroute/outcome.h"

namespace amaranth::pvt {

// Errors: kInvalid if the answer is not what this view expects.
Outcome<std::string> Render(const Command& command, const CtlOptions& options,
                            const std::string& body);

// The sentence in the node's answer to a request that it refused.
std::string RefusalText(const std::string& body);

// Whether the answer to "status" says that the node is ready.
bool SaysReady(const std::string& body);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_RENDER_H_
