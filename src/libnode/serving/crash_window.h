#ifndef AMARANTHROUTE_LIBNODE_SERVING_CRASH_WINDOW_H_
#define AMARANTHROUTE_LIBNODE_SERVING_CRASH_WINDOW_H_

// Distinguishes a crash of a backend server from a single reset connection.
//
// A crash resets all connections of the server, but the resets reach the node
// one by one, interleaved with answers that were already sent. Treating each
// reset as a crash would make suspects of requests whose server closed only one
// connection. Waiting until announcements stop would take seconds, in which a
// request that causes crashes reaches more servers. The first reset therefore
// opens a window over the calls in flight. If all of them end in a reset, or a
// new connection is refused after a reset in the window, the server crashed. If
// any of them is answered, it did not.

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

class CrashWindow {
 public:
  // Records that the connection of `dispatch` was reset. `in_flight` holds id
  // and fingerprint of every dispatch in flight at the server, this one
  // included.
  void OnReset(uint64_t dispatch,
               const std::vector<std::pair<uint64_t, uint64_t>>& in_flight,
               TimePoint now) {
    if (!open_) Open(in_flight, now);
    if (pending_.erase(dispatch) > 0) reset_seen_ = true;
    if (pending_.empty()) crashed_ = true;
  }

  // Records a complete answer: the process is running, so the window closes.
  void OnAnswered(uint64_t dispatch) {
    if (open_ && pending_.count(dispatch) > 0) Close();
  }

  // Records a refused connection: no process listens at the server's address.
  void OnConnectionRefused() {
    if (open_ && reset_seen_) crashed_ = true;
  }

  void Expire(TimePoint now) {
    if (open_ && now >= opened_ + kWindowLength) Close();
  }

  // Returns the fingerprints in flight at a crash and closes the window. Empty
  // if no crash was detected.
  std::vector<uint64_t> TakeCrashedFingerprints() {
    if (!crashed_) return {};
    std::vector<uint64_t> fingerprints = std::move(fingerprints_);
    Close();
    return fingerprints;
  }

 private:
  // Resets of one crash arrive within milliseconds on the loopback interface.
  // One second also covers a node that is paused meanwhile, and is short
  // compared with the time in which a server restarts and serves again.
  static constexpr Duration kWindowLength = std::chrono::seconds(1);

  void Open(const std::vector<std::pair<uint64_t, uint64_t>>& in_flight,
            TimePoint now) {
    Close();
    open_ = true;
    opened_ = now;
    for (const auto& [dispatch, fingerprint] : in_flight) {
      pending_.insert(dispatch);
      fingerprints_.push_back(fingerprint);
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
  std::set<uint64_t> pending_;
  std::vector<uint64_t> fingerprints_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_CRASH_WINDOW_H_
