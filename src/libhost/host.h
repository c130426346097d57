#ifndef AMARANTHROUTE_LIBHOST_HOST_H_
#define AMARANTHROUTE_LIBHOST_HOST_H_

// Runs the reducer on the I/O shells: turns what they report into events with a
// time stamp, and executes the effects in order. Makes no decisions.

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

// Addresses to listen on (port 0 selects a free port) and limits.
struct HostOptions {
  Hello self;
  Endpoint caller_listen;
  Endpoint operator_listen;
  // Endpoint for announcements of backend servers; if unset, they arrive on the
  // callers' port.
  std::optional<Endpoint> announce_listen;
  Endpoint peer_listen;
  Endpoint gossip_listen;
  HttpFrontendOptions frontend;
  // Memory for the messages of callers, backend servers and peers together.
  std::shared_ptr<MemoryBudget> budget =
      std::make_shared<MemoryBudget>(64ull << 20);
  // Its budget is that above.
  HttpClientOptions client;
  LogSinkOptions log;
  // How long the exiting process waits for callers, and other nodes, that read
  // their answers slowly.
  std::chrono::milliseconds flush_timeout{5000};
  // If not 0, the process waits for them until this long after RequestStop,
  // where that is later.
  std::chrono::milliseconds stop_limit{0};
};

// The ports that are bound.
struct HostPorts {
  uint16_t caller = 0;
  uint16_t operators = 0;
  uint16_t peer = 0;
  uint16_t gossip = 0;
  uint16_t announce = 0;  // 0 if announcements use the callers' port
};

// The reducer that the host runs: a Node, or a fake in tests.
struct HostReducer {
  std::function<Effects(TimePoint)> start;
  std::function<Effects(const Event&)> reduce;
};

struct HostHooks {
  // Called once by Start, after all ports are bound.
  std::function<HostReducer(const HostPorts&)> make_reducer;
  // Executes a platform request and must call the given function exactly once.
  // If unset, every platform request is answered as unreachable.
  std::function<void(const PlatformRequest&,
                     std::function<void(PlatformReply)>)>
      platform;
};

class Host {
 public:
  // Binds all ports; throws std::exception naming the first one that fails.
  Host(asio::io_context& io, HostOptions options, HostHooks hooks);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const HostPorts& ports() const;

  // Starts the reducer. Events that arrived earlier are queued until then.
  void Start();

  // The first call asks the reducer to stop gracefully, the second stops the
  // event loop immediately. HandleSignals calls it on SIGTERM and SIGINT, and
  // only logs SIGHUP.
  void RequestStop();
  void HandleSignals();

  // Returns true once the reducer has ended the process, and all answers are
  // written or flush_timeout has passed.
  bool exited() const;

  // After the exit: if not 0, the node is to be started again in this process
  // with an incarnation higher than this value. 0 if a stop was requested, too.
  uint64_t restart_above() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_HOST_H_
