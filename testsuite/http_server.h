#ifndef AMARANTHROUTE_TESTSUITE_HTTP_SERVER_H_
#define AMARANTHROUTE_TESTSUITE_HTTP_SERVER_H_

// A small HTTP/1.1 server for the stand-ins: one thread a connection, blocking
// sockets. A product's server answers or fails by the rules; a stand-in must
// also misbehave on purpose (cut an answer, go silent, notice that its caller
// left), which needs the bare socket.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "amaranthroute/http.h"
#include "amaranthroute/time.h"

namespace amaranth::testsuite {

// One request on one connection.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual const HttpRequest& request() const = 0;
  // Sends a whole response; the connection stays open.
  virtual void Answer(const HttpResponse& response) = 0;
  // Announces the whole length, sends half of the body and closes.
  virtual void AnswerTruncated(const HttpResponse& response) = 0;
  // Closes the connection without a word.
  virtual void Drop() = 0;
  // Waits for `time`, or less if the caller closes; true if it closed.
  virtual bool WaitOrGone(Duration time) = 0;
};

using ExchangeHandler = std::function<void(Exchange&)>;

// Listens from construction to the end of the process. Handlers run on the
// connections' threads.
class HttpServer {
 public:
  struct Options {
    std::string ip = "127.0.0.1";
    uint16_t port = 0;
    // Connections over this limit are closed as soon as they are accepted.
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

// Writes {"port": N} to `path`, whole or not at all; no file if it is empty.
void WritePortFile(const std::string& path, uint16_t port);

// A response with a JSON body.
HttpResponse JsonResponse(int status, std::string json);

}  // namespace amaranth::testsuite

#endif  // AMARANTHROUTE_TESTSUITE_HTTP_SERVER_H_
