#include "libnode/serving/departed_servers.h"

#include <algorithm>
#include <utility>

#include "libnode/membership/departure_list.h"

namespace amaranth::pvt {
namespace {

// Returns whether this is the first announcement of a process. A server that
// has left has announced itself before, so its delayed ones are never the
// first.
bool IsFirstAnnouncement(const AnnouncementStamp& stamp) {
  return stamp.sequence == 1;
}

}  // namespace

void DepartedServers::Add(const Departure& departure, std::string source,
                          TimePoint now) {
  departed_.erase(std::remove_if(departed_.begin(), departed_.end(),
                                 [&](const Entry& entry) {
                                   return Covers(departure, entry.departure);
                                 }),
                  departed_.end());
  departed_.push_back({departure, std::move(source), now - departure.age});
  if (departed_.size() > kMaxServers) departed_.pop_front();
}

bool DepartedServers::IsOf(const Entry& entry, const AnnouncementStamp& stamp,
                           TimePoint now) {
  if (entry.departure.started_ms) {
    return *entry.departure.started_ms == stamp.started_ms;
  }
  if (IsFirstAnnouncement(stamp)) return false;
  // Without start times, a new process has a new name.
  return (stamp.started_ms == 0 && stamp.sequence != 0) ||
         now - entry.since < kMaxAnnouncementDelay;
}

bool DepartedServers::Contains(const std::string& server,
                               const AnnouncementStamp& stamp, TimePoint now) {
  for (auto entry = departed_.begin(); entry != departed_.end();) {
    Departure& departure = entry->departure;
    const bool is_sender =
        departure.server == server && IsOf(*entry, stamp, now);
    if (is_sender && departure.left) {
      departure.started_ms = stamp.started_ms;
      return true;
    }
    if (is_sender && stamp.sequence <= departure.sequence) return true;
    // The drain has ended, or the successor of a departed server of unknown
    // start time announces itself.
    const bool is_over =
        is_sender || (departure.server == server && !departure.started_ms);
    entry = is_over ? departed_.erase(entry) : std::next(entry);
  }
  return false;
}

std::string DepartedServers::Describe(const std::string& server,
                                      TimePoint now) const {
  const auto last = std::find_if(
      departed_.rbegin(), departed_.rend(),
      [&](const Entry& entry) { return entry.departure.server == server; });
  if (last == departed_.rend()) return "";
  Departure departure = last->departure;
  departure.age = now - last->since;
  return " departed_by=" + last->source + " departed_" +
         DescribeDeparture(departure);
}

}  // namespace amaranth::pvt
