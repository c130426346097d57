#ifndef AMARANTHROUTE_LIBHOST_HTTP_FRONTEND_H_
#define AMARANTHROUTE_LIBHOST_HTTP_FRONTEND_H_

// An HTTP/1.1 server on a given io_context, single-threaded. It reads whole
// requests from connections and writes the answers of a connection in the order
// of its requests.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "amaranthroute/http.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/time.h"
#include "libutil/memory_budget.h"

namespace asio {
class io_context;
}  // namespace asio

namespace amaranth::pvt {

// State shared by the frontends of one process: call ids that are unique for
// the life of the process, and the memory for what callers send.
struct HttpIntake {
  CallId next_call = 1;
  // If unset, there is no limit.
  std::shared_ptr<MemoryBudget> budget;
};

struct HttpFrontendOptions {
  std::string node_name;  // named in refusals
  uint64_t max_body_bytes = 8ull << 20;
  size_t max_url_bytes = 8192;
  size_t max_header_bytes = 16384;  // of one field's name or value
  size_t max_header_count = 100;
  size_t max_connections = 8192;
  size_t max_pipelined = 32;
  // For an idle connection, and for receiving one whole request.
  std::chrono::milliseconds read_timeout{75'000};
  std::chrono::milliseconds write_timeout{30'000};
};

struct HttpFrontendHooks {
  std::function<void(CallId, HttpRequest)> on_request;
  // The connection ended before the answer; a later Answer has no effect.
  std::function<void(CallId)> on_caller_gone;
  // A connection ended with an error; `open_calls` of its calls were not
  // answered. May be unset.
  std::function<void(const std::string& message, size_t open_calls)> on_error;
};

class HttpFrontend {
 public:
  // Starts listening; throws std::exception if that fails.
  HttpFrontend(asio::io_context& io, const Endpoint& listen,
               HttpFrontendOptions options, std::shared_ptr<HttpIntake> intake,
               HttpFrontendHooks hooks);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  uint16_t port() const;

  // Sends the answer of a call. Returns false if the call is not open here
  // (unknown, caller gone or already answered). A field "Connection: close" in
  // the response closes the connection after the answer.
  bool Answer(CallId call, const HttpResponse& response);

  // The number of calls not answered yet.
  size_t open_calls() const;
  // The number of answers that the kernel has not yet accepted in full.
  size_t unwritten_answers() const;

  // Closes the connection of every later answer, so that callers connect to
  // other nodes while this node still answers.
  void CloseAfterAnswers();

  // Stops accepting connections, and closes the connection of every later
  // answer.
  void StopAccepting();

  // Stops accepting and discards all open calls; no hook is called afterwards.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_HTTP_FRONTEND_H_
