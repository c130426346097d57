#ifndef AMARANTHROUTE_AMARANTHCTL_REPLAY_H_
#define AMARANTHROUTE_AMARANTHCTL_REPLAY_H_

// `replay FILE`: drives a fresh reducer with a recorded log, without any node.

#include <ostream>

#include "amaranthctl/options.h"

namespace amaranth::pvt {

inline constexpr const char* kReplayWord = "replay";

// kOk if every event had its recorded effects, kRefused if not, kUsage if the
// file cannot be read as a log.
ExitCode RunReplay(const CtlOptions& options, std::ostream& out,
                   std::ostream& err);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_REPLAY_H_
