#include "libnode/membership/departure_list.h"

#include <algorithm>

#include "libnode/membership/membership_limits.h"
#include "libnode/membership/membership_updates.h"

namespace amaranth::pvt {
namespace {

bool IsSameProcess(const Departure& a, const Departure& b) {
  return a.server == b.server && a.started_ms == b.started_ms;
}

}  // namespace

bool Covers(const Departure& known, const Departure& other) {
  if (!IsSameProcess(known, other)) return false;
  return known.left || (!other.left && known.sequence >= other.sequence);
}

bool CoverAll(const std::vector<Departure>& known,
              const std::vector<Departure>& others) {
  return std::all_of(others.begin(), others.end(), [&](const auto& other) {
    return std::any_of(known.begin(), known.end(),
                       [&](const auto& each) { return Covers(each, other); });
  });
}

std::string DescribeDeparture(const Departure& departure) {
  return "started_ms=" +
         (departure.started_ms ? std::to_string(*departure.started_ms)
                               : std::string("unknown")) +
         " sequence=" + std::to_string(departure.sequence) +
         " age_ms=" + std::to_string(ToMillis(departure.age));
}

bool DepartureList::Add(const Departure& departure, TimePoint now) {
  if (departure.age >= kDepartureRetention) return false;
  if (CoverAll(All(now), {departure})) return false;
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(),
                                [&](const Entry& entry) {
                                  return Covers(departure, entry.departure);
                                }),
                 entries_.end());
  const TimePoint since = now - departure.age;
  const auto later =
      std::find_if(entries_.begin(), entries_.end(),
                   [&](const Entry& entry) { return entry.since > since; });
  entries_.insert(later, {departure, since});
  size_t size = 0;
  for (const Entry& entry : entries_) size += EncodedSize(entry.departure);
  while (size > kMaxDepartureBytes && entries_.size() > 1) {
    size -= EncodedSize(entries_.front().departure);
    entries_.erase(entries_.begin());
  }
  return true;
}

bool DepartureList::Expire(Duration max_age, TimePoint now) {
  const auto first_kept = std::find_if(
      entries_.begin(), entries_.end(),
      [&](const Entry& entry) { return now - entry.since < max_age; });
  const bool expired = first_kept != entries_.begin();
  entries_.erase(entries_.begin(), first_kept);
  return expired;
}

std::vector<Departure> DepartureList::All(TimePoint now) const {
  std::vector<Departure> all;
  for (const Entry& entry : entries_) {
    all.push_back(entry.departure);
    all.back().age = now - entry.since;
  }
  return all;
}

}  // namespace amaranth::pvt
