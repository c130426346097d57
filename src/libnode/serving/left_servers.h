#ifndef AMARANTHROUTE_LIBNODE_SERVING_LEFT_SERVERS_H_
#define AMARANTHROUTE_LIBNODE_SERVING_LEFT_SERVERS_H_

// Backend servers that have said they leave. Announcements that say "ready" may
// still be on their way then; believed, they would bring the server back and
// calls would reach it after its end.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "amaranthroute/time.h"
#include "libnode/serving/local_server.h"

namespace amaranth::pvt {

class LeftServers {
 public:
  // `started_ms` is empty if no announcement of the server has been heard here:
  // the node was started again while its server was leaving.
  void Add(const std::string& server, std::optional<uint64_t> started_ms,
           TimePoint now);

  // Whether the sender of this announcement has left. The first late
  // announcement of a server whose start was not known tells it.
  bool Contains(const std::string& server, const ServerStart& start,
                TimePoint now);

 private:
  struct Left {
    std::string server;
    std::optional<uint64_t> started_ms;
    TimePoint since;
  };

  // The oldest are forgotten first. Far over what one host sees in the seconds
  // in which a late announcement may come.
  static constexpr size_t kMaxServers = 256;
  // Announcements come every second or two and are late by seconds at most; one
  // that comes later than this is of a server that has started since.
  static constexpr Duration kLateAnnouncement = std::chrono::seconds(10);

  std::deque<Left> left_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_LEFT_SERVERS_H_
