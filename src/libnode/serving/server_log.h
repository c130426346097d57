#ifndef AMARANTHROUTE_LIBNODE_SERVING_SERVER_LOG_H_
#define AMARANTHROUTE_LIBNODE_SERVING_SERVER_LOG_H_

// Log texts about what backend servers say of themselves and what the node
// knew of them before: docs/OPERATIONS.md lists the fields.

#include <string>
#include <string_view>

#include "libnode/serving/local_server.h"

namespace amaranth::pvt {

// Returns "started_ms=S sequence=N".
std::string DescribeStamp(const AnnouncementStamp& stamp);

// Returns the state, stamp and age of the last announcement of a server as the
// node knows it, each field prefixed by "known"; "known=none" if `server` is
// null.
std::string DescribeKnown(const LocalServer* server, TimePoint now);

// Returns the line for something that a server said: `what` is a verb, such as
// "leaves"; `decision` tells what follows from it.
std::string DescribeServerEvent(const std::string& server,
                                std::string_view what,
                                const AnnouncementStamp& stamp,
                                const LocalServer* known,
                                std::string_view decision, TimePoint now);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_SERVER_LOG_H_
