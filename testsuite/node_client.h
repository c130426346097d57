#ifndef AMARANTHROUTE_TESTSUITE_NODE_CLIENT_H_
#define AMARANTHROUTE_TESTSUITE_NODE_CLIENT_H_

#include <optional>
#include <string>

#include "amaranthroute/http.h"
#include "amaranthroute/time.h"

namespace amaranth::testsuite {

// A blocking HTTP call to `address` ("ip:port"), on a connection that the
// calling thread keeps open between calls. Empty if no whole answer came.
std::optional<HttpResponse> CallNode(const std::string& address,
                                     const HttpRequest& request,
                                     Duration timeout);

}  // namespace amaranth::testsuite

#endif  // AMARANTHROUTE_TESTSUITE_NODE_CLIENT_H_
