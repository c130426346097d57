#ifndef AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_SERVER_H_
#define AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_SERVER_H_

// Defines the state of the fake fleet's backend servers.

#include <deque>
#include <memory>
#include <vector>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {

struct FakeFleet::Server {
  FakeServerOptions options;
  std::string host;
  bool up = true;
  TimePoint started{};
  TimePoint refuses_until{};
  uint64_t generation = 0;
  uint64_t announcements = 0;  // since the start of the process
  uint32_t busy = 0;
  std::deque<std::shared_ptr<Running>> queued;
  std::vector<std::shared_ptr<Running>> running;
};

struct FakeFleet::Running {
  std::shared_ptr<Server> server;
  uint64_t dispatch = 0;
  HttpRequest request;
  size_t run_index = 0;
  int server_retries = 0;
  bool started = false;
  bool ended = false;
  bool cancelled = false;  // cancelled, timed out, or its node was killed
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_SERVER_H_
