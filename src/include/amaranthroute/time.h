#ifndef AMARANTHROUTE_TIME_H_
#define AMARANTHROUTE_TIME_H_

/// Time as used by the reducer: each event carries the current time, and the
/// reducer reads no clock.

#include <chrono>
#include <cstdint>

namespace amaranth {

/// A length of time in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock of a node. It has no now(): only I/O shells read the
/// time.
struct NodeClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<NodeClock, Duration>;
  static constexpr bool is_steady = true;
};

/// A point in time on the monotonic clock of a node, in microseconds. Never
/// sent to other nodes: clocks differ, so messages carry remaining durations.
using TimePoint = NodeClock::time_point;

/// A point in time that is never reached, used where no deadline is set.
inline constexpr TimePoint kNever = TimePoint::max();

/// The steady clock of the platform, which it names in its replies. All nodes
/// refer to the same clock, so its times may be sent to other nodes.
struct PlatformClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<PlatformClock, Duration>;
  static constexpr bool is_steady = true;
};

/// A point in time on the platform's clock, in microseconds.
using PlatformTime = PlatformClock::time_point;

/// Converts microseconds since the start of the clock to a TimePoint.
inline TimePoint FromMicros(int64_t micros) {
  return TimePoint(Duration(micros));
}

/// Returns the microseconds since the start of the clock.
inline int64_t ToMicros(TimePoint t) { return t.time_since_epoch().count(); }

/// Converts `d` to whole milliseconds, rounded towards zero.
inline int64_t ToMillis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace amaranth

#endif  // AMARANTHROUTE_TIME_H_
