#ifndef AMARANTHROUTE_AMARANTHCTL_NODE_HTTP_H_
#define AMARANTHROUTE_AMARANTHCTL_NODE_HTTP_H_

// One HTTP request to a node's operators' port, by libcurl.

#include <chrono>

#include "amaranthroute/http.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/outcome.h"

namespace amaranth::pvt {

// Errors: kUnavailable if no whole answer came in time; kTooLarge if it is
// longer than an answer of a node can be.
Outcome<HttpResponse> AskNodeByHttp(const Endpoint& node,
                                    const HttpRequest& request,
                                    std::chrono::milliseconds timeout);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_NODE_HTTP_H_
