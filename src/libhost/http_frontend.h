#ifndef AMARANTHROUTE_LIBHOST_HTTP_FRONTEND_H_
#define AMARANTHROUTE_LIBHOST_HTTP_FRONTEND_H_

// An HTTP/1.1 server on a given io_context, one thread. It turns connections
// into whole requests, and answers them in the order of their connection.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "amaranthroute/http.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/time.h"

namespace asio {
class io_context;
}  // namespace asio

namespace amaranth::pvt {

// What the frontends of one process share: call ids unique in the process's
// life, and one cap on the memory that callers can make the node hold.
struct HttpIntake {
  CallId next_call = 1;
  uint64_t buffered_bytes = 0;
  uint64_t max_buffered_bytes = 64ull << 20;
};

struct HttpFrontendOptions {
  std::string node_name;  // told in refusals
  uint64_t max_body_bytes = 8ull << 20;
  size_t max_url_bytes = 8192;
  size_t max_header_bytes = 16384;  // of one field's name or value
  size_t max_header_count = 100;
  size_t max_connections = 8192;
  size_t max_pipelined = 32;
  // For an idle connection, and for one whole request to come in.
  std::chrono::milliseconds read_timeout{75'000};
  std::chrono::milliseconds write_timeout{30'000};
};

struct HttpFrontendHooks {
  std::function<void(CallId, HttpRequest)> on_request;
  // The connection ended before the answer; a later Answer is dropped.
  std::function<void(CallId)> on_gone;
  // A connection ended by an error; `open_calls` were not answered. May be
  // unset.
  std::function<void(const std::string& what, size_t open_calls)> on_error;
};

class HttpFrontend {
 public:
  // Listens at once; throws std::exception if it cannot.
  HttpFrontend(asio::io_context& io, const Endpoint& listen,
               HttpFrontendOptions options, std::shared_ptr<HttpIntake> intake,
               HttpFrontendHooks hooks);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  uint16_t port() const;

  // False if the call is not open here (unknown, gone or answered before). A
  // field "Connection: close" in the response ends the connection after it.
  bool Answer(CallId call, const HttpResponse& response);

  // Calls not answered yet.
  size_t open_calls() const;
  // Answers handed to the kernel only in part yet.
  size_t unwritten_answers() const;

  // Every answer from now on closes its connection, so that callers go
  // elsewhere while this node still answers.
  void CloseAfterAnswers();

  // Takes no new connection; every answer from now on closes its connection.
  void StopAccepting();

  // No hook is called any more; open calls are forgotten.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_HTTP_FRONTEND_H_
