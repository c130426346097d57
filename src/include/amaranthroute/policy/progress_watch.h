#ifndef AMARANTHROUTE_POLICY_PROGRESS_WATCH_H_
#define AMARANTHROUTE_POLICY_PROGRESS_WATCH_H_

/// Connections that went silent for good.
///
/// Load pattern: something between two ends forgets an open connection. Writes
/// succeed, nothing comes back, no error is raised for minutes, while new
/// connections work. Without a watch every call on it hangs to its deadline,
/// and a pool hands the dead connection to the next call.
///
/// A quiet link with calls outstanding is asked for a sign of life, which costs
/// the other end nothing, so that long work is not mistaken for silence. While
/// the question is open for longer than a round trip the link is in doubt: new
/// calls go elsewhere, which costs nothing if it lives, where until it is
/// dropped all that go there would hang. Without any answer it is dropped and
/// never used again. Between node and
/// backend server there is no such question, so an attempt has a timeout of a
/// multiple of the server's usual latency.

#include "amaranthroute/time.h"

namespace amaranth {

/// Times of a ProgressWatch.
struct ProgressWatchOptions {
  /// Silence after a send before the other end is asked. Fifty round trips of
  /// today's meshes and more than most calls take, so probes cost little.
  Duration probe_after = std::chrono::milliseconds(250);
  /// Silence after the probe before new calls go elsewhere. The tenth of a
  /// second for which a processor's quota may be spent, and half of that.
  Duration doubt_after = std::chrono::milliseconds(150);
  /// Silence after the probe before the link is dropped. Longer than the pause
  /// of a busy process: a link dropped in error turns each call on it into
  /// "may have run".
  Duration drop_after = std::chrono::milliseconds(1750);
};

/// Watches one link to a peer.
class ProgressWatch {
 public:
  /// What to do with the link.
  enum class Action {
    kNone,
    kProbe,  ///< send a LinkPing
    kDoubt,  ///< send new calls elsewhere until something is heard
    kDrop,   ///< close it; calls on it may have run
  };

  explicit ProgressWatch(ProgressWatchOptions options = {});

  /// Anything was written to the link.
  void OnSent(TimePoint now);
  /// Anything was read from the link.
  void OnReceived(TimePoint now);

  /// What to do now; `outstanding`: an answer is awaited on this link. Says
  /// kProbe and kDoubt once in each silence.
  Action Check(TimePoint now, bool outstanding);
  /// When Check next has something to say; kNever if nothing is outstanding.
  TimePoint next_check(bool outstanding) const;

 private:
  Action CheckProbed(TimePoint now);

  ProgressWatchOptions options_;
  TimePoint silent_since_ = kNever;  // first send after the last receipt
  TimePoint probed_ = kNever;
  bool doubted_ = false;  // since probed_
};

/// Shortest timeout of an attempt: a hiccup of a fast server is no failure.
inline constexpr Duration kMinAttemptTimeout = std::chrono::seconds(1);
/// Timeout of an attempt in usual latencies. A service that falls to a third of
/// its speed stays well below; a silent connection does not.
inline constexpr int kAttemptTimeoutLatencies = 10;

/// Timeout of one attempt at a backend server: kAttemptTimeoutLatencies times
/// `latency` (moving average or high quantile; 0 if unknown), at least
/// kMinAttemptTimeout and at most `remaining`. Feed the timeout back as the
/// latency of an attempt that ran into it: otherwise a server that became
/// slower than the timeout would never be seen to be slow.
Duration AttemptTimeout(Duration latency, Duration remaining);

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_PROGRESS_WATCH_H_
