#ifndef AMARANTHROUTE_LIBNODE_SERVING_LOAD_WINDOW_H_
#define AMARANTHROUTE_LIBNODE_SERVING_LOAD_WINDOW_H_

// Load of one backend server over the last second, for its metrics and for the
// line that its node logs while calls wait for it. To its callers, an
// overloaded service looks the same whether its slots are idle, all taken, or
// taken for longer than typical; these figures distinguish the cases.

#include <cstdint>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Interval between two load reports of a server.
inline constexpr Duration kLoadReportPeriod = std::chrono::seconds(1);

class LoadWindow {
 public:
  struct Summary {
    uint64_t ended = 0;
    Duration mean_service_time{0};  // service time without nested calls
    double mean_in_flight = 0;      // sampled at each start of a call
    Duration longest_wait{0};       // of a started call, for its slot
  };

  void OnStarted(Duration waited, int in_flight) {
    ++started_;
    in_flight_ += static_cast<uint64_t>(in_flight);
    if (waited > longest_wait_) longest_wait_ = waited;
  }
  void OnEnded(Duration service_time) {
    ++ended_;
    service_time_ += service_time;
  }

  // If kLoadReportPeriod has passed since the previous summary, fills `summary`
  // with the calls since then, starts a new period and returns true.
  bool TakeDue(TimePoint now, Summary& summary) {
    if (now < due_) return false;
    summary.ended = ended_;
    if (ended_ > 0) summary.mean_service_time = service_time_ / ended_;
    if (started_ > 0) {
      summary.mean_in_flight =
          static_cast<double>(in_flight_) / static_cast<double>(started_);
    }
    summary.longest_wait = longest_wait_;
    *this = LoadWindow();
    due_ = now + kLoadReportPeriod;
    return true;
  }

 private:
  TimePoint due_{};
  uint64_t started_ = 0;
  uint64_t ended_ = 0;
  uint64_t in_flight_ = 0;  // sum of the samples
  Duration service_time_{0};
  Duration longest_wait_{0};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_LOAD_WINDOW_H_
