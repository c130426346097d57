#ifndef AMARANTHROUTE_LIBHOST_REFUSAL_H_
#define AMARANTHROUTE_LIBHOST_REFUSAL_H_

// Answers to requests that never became an event: malformed, or over a limit.

#include <string>
#include <string_view>

#include "amaranthroute/http.h"
#include "amaranthroute/verdict.h"

namespace amaranth::pvt {

// Such a request has never run, and the body says so in the same JSON form as
// every other failure.
HttpResponse MakeRefusal(int status, Reason reason, const std::string& node,
                         std::string_view detail);

// The refusal as bytes, ending the connection.
std::string SerializeRefusal(const HttpResponse& refusal);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_REFUSAL_H_
