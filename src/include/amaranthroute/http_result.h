#ifndef AMARANTHROUTE_HTTP_RESULT_H_
#define AMARANTHROUTE_HTTP_RESULT_H_

/// Result of an HTTP request made by this process.

#include <functional>
#include <optional>

#include "amaranthroute/http.h"
#include "amaranthroute/verdict.h"

namespace amaranth {

/// Either a complete response, or a verdict on whether the server may have
/// acted on the request.
struct HttpClientResult {
  /// Set only when every byte of the response arrived.
  std::optional<HttpResponse> response;
  /// kRan with a response; kNotRun only if no byte of the request was sent.
  Verdict verdict = Verdict::kMayHaveRun;
  /// kNone with a response; otherwise kConnectFailed, kConnectionLost,
  /// kServerError (truncated response), kTooLarge, kBadRequest (the request
  /// cannot be sent as HTTP) or kCancelled.
  Reason reason = Reason::kNone;

  friend bool operator==(const HttpClientResult& a, const HttpClientResult& b) {
    return a.verdict == b.verdict && a.reason == b.reason &&
           a.response == b.response;
  }
  friend bool operator!=(const HttpClientResult& a, const HttpClientResult& b) {
    return !(a == b);
  }
};

/// Receives the result of a request. Called exactly once.
using HttpClientCallback = std::function<void(HttpClientResult)>;

}  // namespace amaranth

#endif  // AMARANTHROUTE_HTTP_RESULT_H_
