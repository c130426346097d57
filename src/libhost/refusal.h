#ifndef AMARANTHROUTE_LIBHOST_REFUSAL_H_
#define AMARANTHROUTE_LIBHOST_REFUSAL_H_

// Builds responses to requests that are refused before they become events:
// malformed, or over a limit.

#include <string>
#include <string_view>

#include "amaranthroute/http.h"
#include "amaranthroute/verdict.h"

namespace amaranth::pvt {

// Returns a refusal with verdict not-run, in the JSON form of every other
// failure.
HttpResponse MakeRefusal(int status, Reason reason, const std::string& node,
                         std::string_view detail);

// Returns the refusal as HTTP/1.1 bytes, with "Connection: close".
std::string SerializeRefusal(const HttpResponse& refusal);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_REFUSAL_H_
