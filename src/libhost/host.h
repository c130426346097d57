#ifndef AMARANTHROUTE_LIBHOST_HOST_H_
#define AMARANTHROUTE_LIBHOST_HOST_H_

// Joins the reducer with the I/O shells: turns what the shells see into events
// with the time, and carries out the effects in order. Decides nothing.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "amaranthroute/effect.h"
#include "amaranthroute/event.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/messages.h"
#include "amaranthroute/platform.h"
#include "libhost/http_client.h"
#include "libhost/http_frontend.h"
#include "libhost/log_sink.h"

namespace asio {
class io_context;
}  // namespace asio

namespace amaranth::pvt {

// Where to listen; port 0 takes any free one.
struct HostOptions {
  Hello self;
  Endpoint caller_listen;
  Endpoint operator_listen;
  // Backend servers' announcements; without it they come to the callers' port.
  std::optional<Endpoint> announce_listen;
  Endpoint peer_listen;
  Endpoint gossip_listen;
  HttpFrontendOptions frontend;
  uint64_t max_buffered_bytes = 64ull << 20;
  HttpClientOptions client;
  LogSinkOptions log;
  // How long the end of the process waits for callers that read slowly.
  std::chrono::milliseconds flush_limit{5000};
};

// The ports really bound.
struct HostPorts {
  uint16_t caller = 0;
  uint16_t operators = 0;
  uint16_t peer = 0;
  uint16_t gossip = 0;
  uint16_t announce = 0;  // 0 if announcements come to the callers' port
};

// What the host drives: a Node, or a fake in tests.
struct HostReducer {
  std::function<Effects(TimePoint)> start;
  std::function<Effects(const Event&)> reduce;
};

struct HostHooks {
  // Called once, when all ports are bound.
  std::function<HostReducer(const HostPorts&)> make_reducer;
  // Ends in one call of the given function; unset means no platform.
  std::function<void(const PlatformRequest&,
                     std::function<void(PlatformReply)>)>
      platform;
};

class Host {
 public:
  // Binds all ports; throws std::exception naming the first that fails.
  Host(asio::io_context& io, HostOptions options, HostHooks hooks);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const HostPorts& ports() const;

  // Starts the reducer. Events that came before it wait for it.
  void Start();

  // The first call asks the reducer to stop gracefully, the second stops the
  // loop at once. Called on SIGTERM and SIGINT by HandleSignals, which answers
  // SIGHUP with a line in the log.
  void RequestStop();
  void HandleSignals();

  // True once the reducer ended the process and all answers are written.
  bool exited() const;

  // Once it has exited: not 0 if the node is to start again in this process,
  // with a higher incarnation than this. 0 if it was also asked to stop.
  uint64_t restart_above() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_HOST_H_
