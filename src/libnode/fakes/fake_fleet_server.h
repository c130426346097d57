#ifndef AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_SERVER_H_
#define AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_SERVER_H_

// State of the fake fleet's backend servers.

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
  uint64_t life = 0;
  uint32_t busy = 0;
  std::deque<std::shared_ptr<Running>> waiting;
  std::vector<std::shared_ptr<Running>> running;
};

struct FakeFleet::Running {
  std::shared_ptr<Server> server;
  uint64_t dispatch = 0;
  HttpRequest request;
  size_t effect = 0;
  int own_retries = 0;
  bool started = false;
  bool ended = false;
  bool gone = false;  // cancelled, timed out, or its server crashed
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_SERVER_H_
