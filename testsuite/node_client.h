#ifndef AMARANTHROUTE_TESTSUITE_NODE_CLIENT_H_
#define AMARANTHROUTE_TESTSUITE_NODE_CLIENT_H_

#include <optional>
#include <string>

#include "amaranthroute/http.h"
#include "amaranthroute/time.h"

namespace amaranth::testsuite {

// Makes a blocking HTTP call to `address` ("ip:port"). The calling thread keeps
// its connection open between calls. Returns nothing if no complete response
// arrived within `timeout`.
std::optional<HttpResponse> CallNode(const std::string& address,
                                     const HttpRequest& request,
                                     Duration timeout);

}  // namespace amaranth::testsuite

#endif  // AMARANTHROUTE_TESTSUITE_NODE_CLIENT_H_
