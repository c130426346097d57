#ifndef AMARANTHROUTE_AMARANTHCTL_RUN_H_
#define AMARANTHROUTE_AMARANTHCTL_RUN_H_

// One run of the command, free of sockets: tests hand in the node's answer.

#include <functional>
#include <ostream>

#include "amaranthctl/command.h"
#include "amaranthctl/options.h"
#include "amaranthroute/http.h"
#include "amaranthroute/outcome.h"

namespace amaranth::pvt {

// Sends a request to the node; an Error means that no whole answer came.
using AskNode =
    std::function<Outcome<HttpResponse>(const HttpRequest& request)>;

ExitCode RunCommand(const CtlOptions& options, const AskNode& ask,
                    std::ostream& out, std::ostream& err);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_RUN_H_
