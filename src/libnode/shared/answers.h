#ifndef AMARANTHROUTE_LIBNODE_SHARED_ANSWERS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_ANSWERS_H_

// HTTP answers that the node itself creates.

#include <string>
#include <string_view>

#include "amaranthroute/http.h"
#include "amaranthroute/verdict.h"

namespace amaranth::pvt {

// Returns the JSON answer to a failed request, with a Retry-After header if
// `failure` has a retry delay. The answer itself is sent at once, not delayed.
HttpResponse FailureResponse(const Failure& failure,
                             std::string_view request_id,
                             std::string_view node);

// Returns an answer with `json` as its body.
HttpResponse JsonResponse(int status, std::string json);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_ANSWERS_H_
