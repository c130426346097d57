#ifndef AMARANTHROUTE_LIBNODE_SHARED_ANSWERS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_ANSWERS_H_

// HTTP answers that the node itself gives.

#include <string>
#include <string_view>

#include "amaranthroute/http.h"
#include "amaranthroute/verdict.h"

namespace amaranth::pvt {

// The JSON answer for a request given up on, with Retry-After where coming
// back helps. Given at once, never held back.
HttpResponse FailureResponse(const Failure& failure,
                             std::string_view request_id,
                             std::string_view node);

HttpResponse JsonResponse(int status, std::string json);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_ANSWERS_H_
