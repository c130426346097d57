#ifndef AMARANTHROUTE_LIBNODE_SERVING_DEPARTED_SERVERS_H_
#define AMARANTHROUTE_LIBNODE_SERVING_DEPARTED_SERVERS_H_

// Remembers backend servers that have left. A delayed announcement that says
// "ready" may arrive after the leave message; if it were accepted, the server
// would be added again and calls would reach it after it has exited.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "amaranthroute/time.h"
#include "libnode/serving/local_server.h"

namespace amaranth::pvt {

class DepartedServers {
 public:
  // Records that `server` has left. `started_ms` is empty if this node never
  // received an announcement of it: the node restarted while the server was
  // leaving.
  void Add(const std::string& server, std::optional<uint64_t> started_ms,
           TimePoint now);

  // Returns whether the sender of an announcement has left. If the start time
  // of the server is unknown, its first delayed announcement supplies it.
  bool Contains(const std::string& server, const AnnouncementStamp& stamp,
                TimePoint now);

 private:
  struct Departure {
    std::string server;
    std::optional<uint64_t> started_ms;
    TimePoint since;
  };

  // The oldest entries are dropped first. Far more than the servers that leave
  // one host in the seconds in which a delayed announcement may arrive.
  static constexpr size_t kMaxServers = 256;
  // Announcements are sent every second or two and are delayed by seconds at
  // most. One that arrives later than this was sent by a server that has
  // started since.
  static constexpr Duration kMaxAnnouncementDelay = std::chrono::seconds(10);

  std::deque<Departure> departed_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_DEPARTED_SERVERS_H_
