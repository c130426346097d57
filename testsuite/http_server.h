#ifndef AMARANTHROUTE_TESTSUITE_HTTP_SERVER_H_
#define AMARANTHROUTE_TESTSUITE_HTTP_SERVER_H_

// HTTP/1.1 server for the stand-ins, with one thread per connection and
// blocking sockets. A stand-in must also misbehave on purpose (truncate an
// answer, stop responding, detect that its caller has closed the connection).
// Production HTTP servers do not offer that, so this one works on the socket
// directly.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "amaranthroute/http.h"
#include "amaranthroute/time.h"

namespace amaranth::testsuite {

// One request on a connection, with the ways to answer it.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual const HttpRequest& request() const = 0;
  // Sends a complete response and keeps the connection open.
  virtual void Answer(const HttpResponse& response) = 0;
  // Sends the full Content-Length but only half of the body, then closes the
  // connection.
  virtual void AnswerTruncated(const HttpResponse& response) = 0;
  // Closes the connection without an answer.
  virtual void Drop() = 0;
  // Waits until the caller closes the connection, at most for `time`. Returns
  // whether it closed.
  virtual bool WaitForClose(Duration time) = 0;
};

using ExchangeHandler = std::function<void(Exchange&)>;

// Listens from its construction until the process exits. Handlers run on the
// threads of the connections.
class HttpServer {
 public:
  struct Options {
    std::string ip = "127.0.0.1";
    uint16_t port = 0;
    // Further connections are closed as soon as they are accepted.
    int max_connections = 4096;
  };

  HttpServer(const Options& options, ExchangeHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Writes {"port": N} to `path` atomically. Does nothing if `path` is empty.
void WritePortFile(const std::string& path, uint16_t port);

// Returns a response with a JSON body.
HttpResponse JsonResponse(int status, std::string json);

}  // namespace amaranth::testsuite

#endif  // AMARANTHROUTE_TESTSUITE_HTTP_SERVER_H_
