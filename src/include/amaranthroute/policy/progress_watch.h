#ifndef AMARANTHROUTE_POLICY_PROGRESS_WATCH_H_
#define AMARANTHROUTE_POLICY_PROGRESS_WATCH_H_

/// Detects connections that no longer deliver data.
///
/// Load pattern: a middlebox drops the state of an open connection. Writes
/// succeed, nothing is received, and no error is raised for minutes, while new
/// connections work. Without detection each call on the connection waits until
/// its deadline, and a connection pool reuses the dead connection for the next
/// call.
///
/// A link between nodes on which answers are outstanding and nothing is
/// received is probed with a LinkPing, whose cost is negligible, so that long
/// work is not mistaken for a dead link. If the probe is unanswered for longer
/// than a round trip, the link counts as unresponsive and new calls are sent
/// elsewhere. That costs nothing if the link is alive; otherwise all calls sent
/// to it before it is dropped would hang. A link that does not answer is
/// dropped and never used again. Between node and backend server there are no
/// probes, so each attempt has a timeout that is a multiple of the server's
/// typical latency.

#include "amaranthroute/time.h"

namespace amaranth {

/// Timeouts of a ProgressWatch.
struct ProgressWatchOptions {
  /// Time without received data, from the first send, until the link is probed.
  /// About fifty round trips and longer than most calls, so probes are rare.
  Duration probe_after = std::chrono::milliseconds(250);
  /// Time from the probe until new calls are sent elsewhere. 1.5 times the
  /// 100 ms for which a process may be paused after it has used up its CPU
  /// quota.
  Duration avoid_after = std::chrono::milliseconds(150);
  /// Time from the probe until the link is dropped. Longer than the pauses of a
  /// busy process: a link that is dropped in error gives each call on it the
  /// verdict "may have run".
  Duration drop_after = std::chrono::milliseconds(1750);
};

/// Watches one link to a peer.
class ProgressWatch {
 public:
  /// Action that the owner of the link has to take.
  enum class Action {
    kNone,
    kProbe,  ///< send a LinkPing
    kAvoid,  ///< send new calls elsewhere until data is received
    kDrop,   ///< close the link; calls on it may have run
  };

  explicit ProgressWatch(ProgressWatchOptions options = {});

  /// Records that data was written to the link.
  void OnSent(TimePoint now);
  /// Records that data was read from the link.
  void OnReceived(TimePoint now);

  /// Returns the action to take at `now`. `outstanding`: an answer is awaited
  /// on this link. kProbe and kAvoid are returned once until data is received
  /// or nothing is outstanding; kDrop on each call.
  Action Check(TimePoint now, bool outstanding);
  /// Returns when Check should be called next, which may be in the past; kNever
  /// if nothing is outstanding.
  TimePoint next_check(bool outstanding) const;

 private:
  Action CheckAfterProbe(TimePoint now);

  ProgressWatchOptions options_;
  TimePoint waiting_since_ = kNever;  // first send or check since the last read
  TimePoint probed_at_ = kNever;
  bool avoided_ = false;  // kAvoid was returned since probed_at_
};

/// Minimum timeout of an attempt: a short pause of a fast server is no failure.
inline constexpr Duration kMinAttemptTimeout = std::chrono::seconds(1);
/// Timeout of an attempt as a multiple of the typical latency. A service that
/// slows down to a third of its speed stays well below it; an unresponsive
/// connection does not.
inline constexpr int kAttemptTimeoutFactor = 10;

/// Returns the timeout of one attempt at a backend server:
/// kAttemptTimeoutFactor times `latency` (moving average or high quantile), at
/// least kMinAttemptTimeout and at most `remaining`; `remaining` if `latency`
/// is 0 (unknown). For an attempt that timed out, callers must record the
/// timeout as its latency: otherwise a server that becomes slower than the
/// timeout is never detected as slow.
Duration AttemptTimeout(Duration latency, Duration remaining);

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_PROGRESS_WATCH_H_
