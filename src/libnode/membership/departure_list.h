#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_DEPARTURE_LIST_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_DEPARTURE_LIST_H_

// Departures of the backend servers of one node, with their ages.

#include <cstdint>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

// What a process knows of the departures that earlier processes of its node
// have acknowledged.
enum class DepartureKnowledge : uint8_t {
  kLearning,    // others have not answered yet
  kLearned,     // all that others hold
  kIncomplete,  // others could not be asked, so they may hold less as well
};

// Returns whether `known` says at least as much as `other` of the same process
// of a server.
bool Covers(const Departure& known, const Departure& other);

// Returns whether each of `others` is covered by one of `known`.
bool CoverAll(const std::vector<Departure>& known,
              const std::vector<Departure>& others);

// Returns "started_ms=S sequence=N age_ms=A", for logs.
std::string DescribeDeparture(const Departure& departure);

class DepartureList {
 public:
  // Adds a departure unless it is covered or its age is kDepartureRetention or
  // more. Returns whether it was added. If the list exceeds kMaxDepartureBytes,
  // the oldest ones are dropped.
  bool Add(const Departure& departure, TimePoint now);
  // Drops departures older than `max_age`; returns whether there were any.
  bool Expire(Duration max_age, TimePoint now);
  bool empty() const { return entries_.empty(); }
  // Returns the departures with their present ages, oldest first.
  std::vector<Departure> All(TimePoint now) const;

 private:
  struct Entry {
    Departure departure;
    TimePoint since{};
  };
  std::vector<Entry> entries_;  // in order of `since`
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_DEPARTURE_LIST_H_
