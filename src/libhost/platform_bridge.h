#ifndef AMARANTHROUTE_LIBHOST_PLATFORM_BRIDGE_H_
#define AMARANTHROUTE_LIBHOST_PLATFORM_BRIDGE_H_

// Runs the platform client on an HTTP client of its own, so that a slow
// platform does not use up the connections, or reach the limits, of calls to
// backend servers.

#include <functional>
#include <memory>

#include "amaranthroute/platform.h"
#include "amaranthroute/platform_client.h"
#include "libhost/http_client.h"

namespace amaranth::pvt {

// Returns a function that sends requests with `http` and keeps it alive.
inline HttpCall MakeHttpCall(const std::shared_ptr<HttpClient>& http) {
  return
      [http](const Endpoint& endpoint, HttpRequest request, Duration timeout,
             const PlatformCredentials* credentials, HttpClientCallback done) {
        if (credentials == nullptr) {
          http->Send(endpoint, std::move(request), timeout, std::move(done));
          return;
        }
        http->SendSigned(endpoint, std::move(request), timeout, *credentials,
                         std::move(done));
      };
}

class PlatformBridge {
 public:
  PlatformBridge(asio::io_context& io, PlatformOptions options)
      : http_(std::make_shared<HttpClient>(io, HttpClientOptions{})),
        client_(std::move(options), MakeHttpCall(http_)) {}

  // Calls `done` exactly once, possibly before returning.
  void Call(const PlatformRequest& request,
            std::function<void(PlatformReply)> done) {
    client_.Call(request, std::move(done));
  }

 private:
  std::shared_ptr<HttpClient> http_;
  PlatformClient client_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_PLATFORM_BRIDGE_H_
