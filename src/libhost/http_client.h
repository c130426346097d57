#ifndef AMARANTHROUTE_LIBHOST_HTTP_CLIENT_H_
#define AMARANTHROUTE_LIBHOST_HTTP_CLIENT_H_

// An HTTP/1.1 client on a given io_context, single-threaded, with pooled
// connections. It sends a request at most once: libcurl by itself would resend
// it when a pooled connection is lost, so the request could run twice.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "amaranthroute/http.h"
#include "amaranthroute/http_result.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/platform_client.h"
#include "amaranthroute/time.h"
#include "libutil/memory_budget.h"

namespace asio {
class io_context;
}  // namespace asio

namespace amaranth::pvt {

struct HttpClientOptions {
  // Memory for responses; if unset, there is no limit on all together.
  std::shared_ptr<MemoryBudget> budget;
  uint64_t max_response_bytes = 8ull << 20;
  // Also limits the bytes that bring a response no further, such as those of a
  // chunk extension.
  size_t max_response_header_bytes = 65536;
  size_t max_idle_connections = 512;
  // The maximum time that a connection may be idle and still be reused.
  std::chrono::seconds max_idle_age{10};
  std::chrono::milliseconds connect_timeout{1000};
  // A response that has this header field with another value than its request
  // belongs to another request: it is not used, and its connection is closed.
  // If either lacks the field, or the name is empty, there is no check.
  std::string echoed_field;
  // Accepts a body that is delimited by the orderly end of its connection as
  // complete. The server must then reset a connection on which it does not
  // complete its answer.
  bool accept_close_delimited_body = false;
  // A connection, also an idle one, is closed when the remote end has
  // acknowledged nothing for about this long; 0 keeps the defaults of the
  // operating system (hours). It must be shorter than the time within which a
  // lost connection must be detected, and longer than a burst of packet loss.
  std::chrono::milliseconds ack_timeout{0};
};

class HttpClient {
 public:
  using Done = HttpClientCallback;

  HttpClient(asio::io_context& io, const HttpClientOptions& options);
  // Discards requests in flight without calling their `done`.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request to an IP address. Calls `done` exactly once, on a later
  // turn of the io_context, unless the client is destroyed first. Returns an id
  // for Cancel.
  uint64_t Send(const Endpoint& to, HttpRequest request, Duration timeout,
                Done done);
  // Like Send, with the request signed by AWS Signature Version 4.
  uint64_t SendSigned(const Endpoint& to, HttpRequest request, Duration timeout,
                      const PlatformCredentials& credentials, Done done);

  // Closes the connection of the request; `done` is still called, with reason
  // kCancelled. Has no effect if the request has ended.
  void Cancel(uint64_t id);

  // Closes the idle connections to `endpoint`, so that they are not reused.
  void DropIdle(const Endpoint& endpoint);

  size_t in_flight() const;
  // The number of connections opened since the client was created.
  uint64_t connections_opened() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_HTTP_CLIENT_H_
