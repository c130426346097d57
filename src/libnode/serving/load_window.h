#ifndef AMARANTHROUTE_LIBNODE_SERVING_LOAD_WINDOW_H_
#define AMARANTHROUTE_LIBNODE_SERVING_LOAD_WINDOW_H_

// What one backend server did in the last second, for the line that its node
// logs while calls wait for it. A service that is short looks the same from
// its callers whether its slots stand idle, are all held, or are held for
// longer than usual; these figures tell which.

#include <cstdint>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// How often a server's load is told.
inline constexpr Duration kLoadPeriod = std::chrono::seconds(1);

class LoadWindow {
 public:
  struct Summary {
    uint64_t ended = 0;
    Duration mean_own_time{0};  // in the server itself
    double mean_in_flight = 0;  // as calls were started
    Duration longest_wait{0};   // of a call for a slot
  };

  void OnStarted(Duration waited, int in_flight) {
    ++started_;
    in_flight_ += static_cast<uint64_t>(in_flight);
    if (waited > longest_wait_) longest_wait_ = waited;
  }
  void OnEnded(Duration own_time) {
    ++ended_;
    own_time_ += own_time;
  }

  // The figures since the last time, if kLoadPeriod has passed.
  bool TakeDue(TimePoint now, Summary& summary) {
    if (now < due_) return false;
    summary.ended = ended_;
    if (ended_ > 0) summary.mean_own_time = own_time_ / ended_;
    if (started_ > 0) {
      summary.mean_in_flight =
          static_cast<double>(in_flight_) / static_cast<double>(started_);
    }
    summary.longest_wait = longest_wait_;
    *this = LoadWindow();
    due_ = now + kLoadPeriod;
    return true;
  }

 private:
  TimePoint due_{};
  uint64_t started_ = 0;
  uint64_t ended_ = 0;
  uint64_t in_flight_ = 0;  // sum over starts
  Duration own_time_{0};
  Duration longest_wait_{0};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_LOAD_WINDOW_H_
