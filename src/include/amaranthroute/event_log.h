#ifndef AMARANTHROUTE_EVENT_LOG_H_
#define AMARANTHROUTE_EVENT_LOG_H_

/// A node's events as text, one JSON object a line, and their replay.
///
/// The first line is the node's identity; each further line is an event and the
/// digest of the effects that it had. Since the reducer is deterministic, a
/// replay must give the same digests: if it does, what happened can be studied
/// step by step; if not, the build or the log differs.

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

#include "amaranthroute/effect.h"
#include "amaranthroute/event.h"
#include "amaranthroute/outcome.h"
#include "amaranthroute/reducer.h"

namespace amaranth {

/// Hash of the effects' printed form; the same on every build.
uint64_t DigestOf(const Effects& effects);

/// The first line of a log, without a newline. Holds the operators' token only
/// as "set or not": a log may be handed to others.
std::string FormatIdentity(const NodeIdentity& identity, TimePoint started);

/// One event's line, without a newline.
std::string FormatEvent(const Event& event, uint64_t effects_digest);

/// What a replay found.
struct ReplayReport {
  uint64_t events = 0;
  uint64_t effects = 0;
  uint64_t differing = 0;  ///< events whose effects were not the recorded ones
  uint64_t first_difference = 0;  ///< line of the first of them; 0 if none
};

/// Reads a log and drives a fresh Node with it. With `trace`, prints every
/// event and effect there. Errors: kInvalid for a line that does not parse.
Outcome<ReplayReport> ReplayLog(std::istream& log, std::ostream* trace);

}  // namespace amaranth

#endif  // AMARANTHROUTE_EVENT_LOG_H_
