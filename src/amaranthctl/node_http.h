#ifndef AMARANTHROUTE_AMARANTHCTL_NODE_HTTP_H_
#define AMARANTHROUTE_AMARANTHCTL_NODE_HTTP_H_

// HTTP client for the operators' port of a node, based on libcurl.

#include <chrono>

#include "amaranthroute/http.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/outcome.h"

namespace amaranth::pvt {

// Sends one request and waits for the response. Errors: kUnavailable if no
// complete response arrives within `timeout`; kTooLarge if the body exceeds
// 64 MiB.
Outcome<HttpResponse> SendHttpRequest(const Endpoint& node,
                                      const HttpRequest& request,
                                      std::chrono::milliseconds timeout);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_NODE_HTTP_H_
