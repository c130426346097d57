#ifndef AMARANTHROUTE_LIBNODE_SERVING_DEPARTED_SERVERS_H_
#define AMARANTHROUTE_LIBNODE_SERVING_DEPARTED_SERVERS_H_

// Remembers backend servers that leave or drain. A delayed announcement that
// says "ready" may arrive after the leave message; if it were accepted, the
// server would be added again and calls would reach it after it has exited.

#include <cstddef>
#include <deque>
#include <string>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"
#include "libnode/serving/local_server.h"

namespace amaranth::pvt {

class DepartedServers {
 public:
  // Records a departure; `source` tells who knew of it, for the log.
  void Add(const Departure& departure, std::string source, TimePoint now);

  // Returns whether the sender of an announcement has departed. If the start
  // time of a server that left is unknown, its first delayed announcement
  // supplies it. An announcement after a drain ends the drain.
  bool Contains(const std::string& server, const AnnouncementStamp& stamp,
                TimePoint now);

  // Returns the source and age of the last departure of `server` and the
  // sequence number that it covers, as log fields; empty if there is none.
  std::string Describe(const std::string& server, TimePoint now) const;

 private:
  struct Entry {
    Departure departure;
    std::string source;
    TimePoint since;
  };
  // Returns whether the announcement was sent by the process that departed, as
  // far as can be told.
  static bool IsOf(const Entry& entry, const AnnouncementStamp& stamp,
                   TimePoint now);

  // The oldest entries are dropped first. Far more than the servers that leave
  // one host in the seconds in which a delayed announcement may arrive.
  static constexpr size_t kMaxServers = 256;
  // Announcements are sent every second or two and are delayed by seconds at
  // most. One that arrives later than this, with a start time, was sent by a
  // server that has started since.
  static constexpr Duration kMaxAnnouncementDelay = std::chrono::seconds(10);

  std::deque<Entry> departed_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_DEPARTED_SERVERS_H_
