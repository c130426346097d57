#ifndef AMARANTHROUTE_EVENT_LOG_H_
#define AMARANTHROUTE_EVENT_LOG_H_

/// Event log of a node as text, one JSON object per line, and its replay.
///
/// The first line holds the identity of the node. Each further line holds an
/// event and the digest of the effects that it caused. The reducer is
/// deterministic, so a replay yields the same digests and can be inspected step
/// by step. A digest differs if another build recorded the log, if the log was
/// changed, or if the effects depend on the operator token or DeploymentRules,
/// which the log does not hold.

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

#include "amaranthroute/effect.h"
#include "amaranthroute/event.h"
#include "amaranthroute/outcome.h"
#include "amaranthroute/reducer.h"

namespace amaranth {

/// Returns a hash of the printed form of the effects. It is the same on every
/// build.
uint64_t DigestOf(const Effects& effects);

/// Returns the first line of a log, without a newline. It records only whether
/// an operator token is set, not the token, since logs may be shared.
std::string FormatIdentity(const NodeIdentity& identity, TimePoint started);

/// Returns the line of one event, without a newline. The credentials of an
/// operator's request are removed.
std::string FormatEvent(const Event& event, uint64_t effects_digest);

/// Result of a replay.
struct ReplayReport {
  uint64_t events = 0;
  uint64_t effects = 0;
  uint64_t differing = 0;         ///< events whose effects differ from the log
  uint64_t first_difference = 0;  ///< line of the first of these; 0 if none
};

/// Replays a log on a new Node. Prints every event and effect to `trace` unless
/// it is null.
/// Errors: kInvalid for a line that does not parse, or if there is no identity
/// line.
Outcome<ReplayReport> ReplayLog(std::istream& log, std::ostream* trace);

}  // namespace amaranth

#endif  // AMARANTHROUTE_EVENT_LOG_H_
