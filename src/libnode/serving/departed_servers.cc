#include "libnode/serving/departed_servers.h"

namespace amaranth::pvt {
namespace {

// Returns whether this is the first announcement of a process. A server that
// has left has announced itself before, so its delayed ones are never the
// first.
bool IsFirstAnnouncement(const AnnouncementStamp& stamp) {
  return stamp.sequence == 1;
}

}  // namespace

void DepartedServers::Add(const std::string& server,
                          std::optional<uint64_t> started_ms, TimePoint now) {
  departed_.push_back({server, started_ms, now});
  if (departed_.size() > kMaxServers) departed_.pop_front();
}

bool DepartedServers::Contains(const std::string& server,
                               const AnnouncementStamp& stamp, TimePoint now) {
  for (auto departed = departed_.begin(); departed != departed_.end();
       ++departed) {
    if (departed->server != server) continue;
    if (departed->started_ms == stamp.started_ms) return true;
    if (departed->started_ms.has_value()) continue;
    const bool is_delayed = now - departed->since < kMaxAnnouncementDelay &&
                            !IsFirstAnnouncement(stamp);
    if (is_delayed) {
      departed->started_ms = stamp.started_ms;
    } else {
      // Sent by the successor: the departed server announces itself no more.
      departed_.erase(departed);
    }
    return is_delayed;
  }
  return false;
}

}  // namespace amaranth::pvt
