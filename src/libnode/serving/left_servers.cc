#include "libnode/serving/left_servers.h"

namespace amaranth::pvt {
namespace {

// The first announcement of a start. It isn't of a server that has left: such a
// one has announced itself before.
bool IsFirst(const ServerStart& start) { return start.sequence == 1; }

}  // namespace

void LeftServers::Add(const std::string& server,
                      std::optional<uint64_t> started_ms, TimePoint now) {
  left_.push_back({server, started_ms, now});
  if (left_.size() > kMaxServers) left_.pop_front();
}

bool LeftServers::Contains(const std::string& server, const ServerStart& start,
                           TimePoint now) {
  for (auto left = left_.begin(); left != left_.end(); ++left) {
    if (left->server != server) continue;
    if (left->started_ms == start.started_ms) return true;
    if (left->started_ms.has_value()) continue;
    const bool late = now - left->since < kLateAnnouncement && !IsFirst(start);
    if (late) {
      left->started_ms = start.started_ms;
    } else {
      // A successor: the one that left announces itself no more.
      left_.erase(left);
    }
    return late;
  }
  return false;
}

}  // namespace amaranth::pvt
