#ifndef AMARANTHROUTE_AMARANTHCTL_RUN_H_
#define AMARANTHROUTE_AMARANTHCTL_RUN_H_

// Runs one command. The request is sent by a function parameter, so that tests
// can supply the node's response.

#include <functional>
#include <ostream>

#include "amaranthctl/command.h"
#include "amaranthctl/options.h"
#include "amaranthroute/http.h"
#include "amaranthroute/outcome.h"

namespace amaranth::pvt {

// Sends a request to the node. Returns an error if no complete response
// arrives.
using SendRequest =
    std::function<Outcome<HttpResponse>(const HttpRequest& request)>;

// Runs the command in `options`. Writes the result to `out`, errors to `err`.
ExitCode RunCommand(const CtlOptions& options, const SendRequest& send,
                    std::ostream& out, std::ostream& err);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_RUN_H_
