#ifndef AMARANTHROUTE_POLICY_SERVER_PICKER_H_
#define AMARANTHROUTE_POLICY_SERVER_PICKER_H_

/// Which backend server a call goes to.
///
/// Load pattern: servers of unequal speed, load figures that are as old as the
/// last answer, and data centres of which one is full. Without it, round robin
/// gives a slow server its full share and it holds most calls in flight; the
/// least loaded by old figures is everybody's choice at once (a herd); and a
/// data centre that overflows drags the next one down with it.
///
/// Two random servers, the one with the shorter expected wait wins: nearly as
/// even as the true least loaded, and no herd, as each caller looks at another
/// pair. Expected wait is (in flight + queued + 1) / limit * latency, from our
/// own measurements; health and load endpoints play no part. Local servers go
/// first while one of them has room; when all are full at most `spill_share` of
/// the calls look elsewhere, so that a surge in one data centre takes a bounded
/// part of the others.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth {

/// What an entry node knows of one backend server.
struct ServerView {
  uint32_t in_flight = 0;  ///< own calls there now
  uint32_t limit = 0;      ///< from its last answer; 0 unknown
  uint32_t queued = 0;     ///< from its last answer
  Duration latency{0};     ///< own moving average; 0 unknown
  /// Factor on its expected wait, by what the node beside it tells: 1 if sound.
  double penalty = 1.0;
  bool local = true;      ///< in the caller's data centre
  double weight = 1.0;    ///< slow start, 0 to 1
  bool ejected = false;   ///< by OutlierDetector
  bool suspect = false;   ///< its node is suspected to be gone
  bool excluded = false;  ///< already tried for this request
};

/// Bounds of the choice.
struct PickOptions {
  /// Part of the calls that may leave the data centre while its servers are
  /// usable but full: one that is asked for twice its capacity puts 0.4 of it
  /// on all the others together.
  double spill_share = 0.2;
};

/// Index of the chosen server; nothing only if all are excluded (or there are
/// none). Falls back in order: local, remote, ejected, suspect.
std::optional<size_t> PickServer(const std::vector<ServerView>& servers,
                                 const PickOptions& options,
                                 std::mt19937_64& random);

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SERVER_PICKER_H_
