#ifndef AMARANTHROUTE_LIBHOST_HTTP_CLIENT_H_
#define AMARANTHROUTE_LIBHOST_HTTP_CLIENT_H_

// An HTTP/1.1 client on a given io_context, one thread, with pooled
// connections. It sends a request at most once: libcurl would send it again
// by itself when a pooled connection dies, and so run it twice.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "amaranthroute/http.h"
#include "amaranthroute/http_result.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/platform_client.h"
#include "amaranthroute/time.h"

namespace asio {
class io_context;
}  // namespace asio

namespace amaranth::pvt {

struct HttpClientOptions {
  uint64_t max_response_bytes = 8ull << 20;
  size_t max_response_header_bytes = 65536;
  size_t max_idle_connections = 512;
  // An idle connection older than this is not used again.
  std::chrono::seconds max_idle_age{10};
  std::chrono::milliseconds connect_timeout{1000};
  // A response that does not repeat this field of its request belongs to
  // another one: it is not used, and its connection is closed. Empty: no check.
  std::string echoed_field;
  // Take a body that ends with its connection, closed in order, as whole. The
  // other side must then reset a connection whose answer it breaks off.
  bool body_may_end_with_connection = false;
  // A connection on which the other side acknowledges nothing for this long is
  // given up, also while it is idle; 0 leaves the system's hours. Shorter than
  // the time in which a lost connection must be noticed, longer than a burst of
  // lost packets.
  std::chrono::milliseconds silence_limit{0};
};

class HttpClient {
 public:
  using Done = HttpClientCallback;

  HttpClient(asio::io_context& io, const HttpClientOptions& options);
  // Requests in flight end unanswered.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Answers `done` exactly once, on a later turn. Returns an id for Cancel.
  uint64_t Send(const Endpoint& to, HttpRequest request, Duration timeout,
                Done done);
  // Signed by AWS Signature Version 4.
  uint64_t SendSigned(const Endpoint& to, HttpRequest request, Duration timeout,
                      const PlatformCredentials& signer, Done done);

  // Closes the request's connection; `done` is still called. No effect if the
  // request has ended.
  void Cancel(uint64_t id);

  // Idle connections to `endpoint` are not used again.
  void DropIdle(const Endpoint& endpoint);

  size_t in_flight() const;
  // Connections made in this client's life.
  uint64_t connections_opened() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_HTTP_CLIENT_H_
