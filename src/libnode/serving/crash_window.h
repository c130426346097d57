#ifndef AMARANTHROUTE_LIBNODE_SERVING_CRASH_WINDOW_H_
#define AMARANTHROUTE_LIBNODE_SERVING_CRASH_WINDOW_H_

// Tells a crash of a backend server from one broken connection.
//
// What fails: a crash resets all connections of the server, but the resets
// reach the node one by one, between answers that were already on the way.
// Blaming each reset alone would make suspects of requests whose server only
// closed one connection; waiting for announcements to stop would take seconds,
// in which the poison request reaches more servers. So the first reset opens a
// window over the calls then in flight. If all of them end in a reset, or a
// connection is refused while the window is open, the server crashed; if any
// of them is answered, it did not.

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

class CrashWindow {
 public:
  // A dispatch broke. `in_flight` are all dispatches at the server that have
  // not ended, this one included, with their fingerprints.
  void OnReset(uint64_t dispatch,
               const std::vector<std::pair<uint64_t, uint64_t>>& in_flight,
               TimePoint now) {
    if (!open_) Open(in_flight, now);
    if (pending_.erase(dispatch) > 0) broken_ = true;
    if (pending_.empty()) crashed_ = true;
  }

  // A whole answer: the process lives.
  void OnAnswered(uint64_t dispatch) {
    if (open_ && pending_.count(dispatch) > 0) Close();
  }

  // Nobody listens where the server was.
  void OnRefused() {
    if (open_ && broken_) crashed_ = true;
  }

  void Expire(TimePoint now) {
    if (open_ && now >= opened_ + kLength) Close();
  }

  // The fingerprints in flight at a crash, once; empty if there was none.
  std::vector<uint64_t> TakeCrash() {
    if (!crashed_) return {};
    std::vector<uint64_t> victims = std::move(victims_);
    Close();
    return victims;
  }

 private:
  // Resets of one crash arrive within milliseconds on a host's own loopback;
  // a second leaves room for a paused node, and is short beside the time in
  // which a server restarts and serves again.
  static constexpr Duration kLength = std::chrono::seconds(1);

  void Open(const std::vector<std::pair<uint64_t, uint64_t>>& in_flight,
            TimePoint now) {
    Close();
    open_ = true;
    opened_ = now;
    for (const auto& [dispatch, fingerprint] : in_flight) {
      pending_.insert(dispatch);
      victims_.push_back(fingerprint);
    }
  }

  void Close() {
    open_ = false;
    broken_ = false;
    crashed_ = false;
    pending_.clear();
    victims_.clear();
  }

  bool open_ = false;
  bool broken_ = false;
  bool crashed_ = false;
  TimePoint opened_{};
  std::set<uint64_t> pending_;
  std::vector<uint64_t> victims_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_CRASH_WINDOW_H_
