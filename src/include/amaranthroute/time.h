#ifndef AMARANTHROUTE_TIME_H_
#define AMARANTHROUTE_TIME_H_

/// Time as the reducer sees it: events carry it, nothing reads a clock.

#include <chrono>
#include <cstdint>

namespace amaranth {

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// The node's monotonic clock. Only I/O shells read it; it has no now().
struct NodeClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<NodeClock, Duration>;
  static constexpr bool is_steady = true;
};

/// A moment on the node's monotonic clock, in microseconds. Never sent to
/// another node: clocks differ, so messages carry remaining durations.
using TimePoint = NodeClock::time_point;

/// A moment that never comes; used where no deadline is set.
inline constexpr TimePoint kNever = TimePoint::max();

/// Builds a TimePoint from microseconds since the clock's start (tests, logs).
inline TimePoint FromMicros(int64_t micros) {
  return TimePoint(Duration(micros));
}

/// Microseconds since the clock's start.
inline int64_t ToMicros(TimePoint t) { return t.time_since_epoch().count(); }

/// `d` in whole milliseconds, rounded down.
inline int64_t ToMillis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace amaranth

#endif  // AMARANTHROUTE_TIME_H_
