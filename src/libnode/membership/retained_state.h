#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_RETAINED_STATE_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_RETAINED_STATE_H_

// What a node keeps in the platform's table for its next process, and the text
// of its row there.

#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

struct RetainedState {
  std::vector<Departure> departures;
  // Requests that crashed servers of its host.
  std::vector<QuarantineRecord> quarantines;
};

// Convert the state to the text of a row and back. `clock` is what the
// platform's clock shows, nullopt if unknown. Departures of unknown age get the
// age 0; quarantines without a known end are left out. A malformed text holds
// nothing.
std::string ToText(const RetainedState& state,
                   std::optional<PlatformTime> clock);
RetainedState ParseRetainedState(const std::string& text,
                                 std::optional<PlatformTime> clock);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_RETAINED_STATE_H_
