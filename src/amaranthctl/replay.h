#ifndef AMARANTHROUTE_AMARANTHCTL_REPLAY_H_
#define AMARANTHROUTE_AMARANTHCTL_REPLAY_H_

// Implements `replay FILE`, which drives a new reducer with the events of a
// recorded log. It needs no running node.

#include <ostream>

#include "amaranthctl/options.h"

namespace amaranth::pvt {

inline constexpr const char* kReplayCommand = "replay";

// Returns kOk if every event had its recorded effects, kRefused if any
// differed, and kUsage if the command line or the log is invalid.
ExitCode RunReplay(const CtlOptions& options, std::ostream& out,
                   std::ostream& err);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_REPLAY_H_
