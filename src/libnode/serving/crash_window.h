#ifndef AMARANTHROUTE_LIBNODE_SERVING_CRASH_WINDOW_H_
#define AMARANTHROUTE_LIBNODE_SERVING_CRASH_WINDOW_H_

// Distinguishes a crash of a backend server from a single reset connection, and
// attributes each reset to the process that caused it.
//
// A crash resets all connections of the server, but the resets reach the node
// one by one, interleaved with answers that were already sent and with refused
// connections of later calls. Treating each reset as a crash would make
// suspects of requests whose server closed only one connection. Waiting until
// announcements stop would take seconds, in which a request that causes crashes
// reaches more servers. The first reset therefore opens a window over the calls
// in flight. If all of them end without an answer that shows a running process,
// or a new connection is refused, the server crashed. Resets of calls that were
// sent to the crashed process are then no further crash.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// A call at a backend server.
struct InFlightCall {
  uint64_t dispatch = 0;
  uint64_t fingerprint = 0;
  TimePoint sent{};
};

class CrashWindow {
 public:
  // Records that the connection of `dispatch`, sent at `sent`, was reset.
  // `in_flight` holds every call in flight at the server, this one included.
  void OnReset(uint64_t dispatch, TimePoint sent,
               const std::vector<InFlightCall>& in_flight, TimePoint now) {
    if (IsOfCrashedProcess(sent)) return;
    const bool is_later_call = open_ && fingerprints_.count(dispatch) == 0;
    if (!open_ || (is_later_call && pending_.empty())) Open(in_flight, now);
    if (pending_.erase(dispatch) == 0) return;
    reset_seen_ = true;
    if (pending_.empty()) crashed_ = true;
  }

  // Records a complete answer. If it may have been sent before the reset, its
  // request did not cause the crash. A later one shows that the process is
  // running, so the window closes.
  void OnAnswered(uint64_t dispatch, TimePoint sent, TimePoint now) {
    if (!open_) return;
    if (sent > opened_ || now >= opened_ + kTransitTime) return Close();
    pending_.erase(dispatch);
    fingerprints_.erase(dispatch);
  }

  // Records that a call ended without an answer and without a reset, for
  // example because it was cancelled.
  void OnEndedOtherwise(uint64_t dispatch) { pending_.erase(dispatch); }

  // Records a refused connection: no process listens at the server's address.
  void OnConnectionRefused() {
    if (open_ && reset_seen_) crashed_ = true;
  }

  void Expire(TimePoint now) {
    if (open_ && now >= opened_ + kWindowLength) Close();
  }

  // Returns the fingerprints in flight at a crash and closes the window. Empty
  // if no crash was detected.
  std::vector<uint64_t> TakeCrashedFingerprints(TimePoint now) {
    if (!crashed_) return {};
    std::vector<uint64_t> fingerprints;
    for (const auto& [dispatch, fingerprint] : fingerprints_) {
      fingerprints.push_back(fingerprint);
    }
    Close();
    last_crash_ = now;
    return fingerprints;
  }

 private:
  // Resets of one crash arrive within milliseconds on the loopback interface.
  // One second also covers a node that is paused meanwhile, and is short
  // compared with the time in which a server restarts and serves again.
  static constexpr Duration kWindowLength = std::chrono::seconds(1);
  // Time within which an answer that was sent before a reset arrives after it.
  static constexpr Duration kTransitTime = std::chrono::milliseconds(50);
  // Time for which calls may still be sent on connections to a crashed process.
  // Shorter than the start of its successor.
  static constexpr Duration kExitTime = std::chrono::milliseconds(50);

  // Returns whether a call that was sent at `sent` and reset reached the
  // process that crashed last, and not its successor.
  bool IsOfCrashedProcess(TimePoint sent) const {
    return last_crash_ && sent < *last_crash_ + kExitTime;
  }

  void Open(const std::vector<InFlightCall>& in_flight, TimePoint now) {
    Close();
    open_ = true;
    opened_ = now;
    for (const InFlightCall& call : in_flight) {
      if (IsOfCrashedProcess(call.sent)) continue;
      pending_.insert(call.dispatch);
      fingerprints_.emplace(call.dispatch, call.fingerprint);
    }
  }

  void Close() {
    open_ = false;
    reset_seen_ = false;
    crashed_ = false;
    pending_.clear();
    fingerprints_.clear();
  }

  bool open_ = false;
  bool reset_seen_ = false;
  bool crashed_ = false;
  TimePoint opened_{};
  std::set<uint64_t> pending_;                 // calls not ended yet
  std::map<uint64_t, uint64_t> fingerprints_;  // by dispatch
  std::optional<TimePoint> last_crash_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_CRASH_WINDOW_H_
