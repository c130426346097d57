#ifndef AMARANTHROUTE_POLICY_SERVER_JUDGE_H_
#define AMARANTHROUTE_POLICY_SERVER_JUDGE_H_

/// What the node beside a backend server tells every caller of it.
///
/// Load pattern: a service of a hundred servers is called by two hundred entry
/// nodes, a few calls a second each, and some servers turn slow or fail part of
/// their calls while their health endpoint says all is well. An entry node
/// meets one server every few seconds: OutlierDetector never has the results
/// that it needs, and each node sends the bad servers their full share. The
/// node beside a server sees all of its calls.
///
/// Calls of different kinds take different times, and a server's share of each
/// changes from moment to moment. So each call is compared with the usual time
/// of its own kind, which its caller tells.
///
/// A verdict needs a window of results. It stands for a while, longer each time
/// it is repeated, then callers try the server again: one that gets no calls
/// could not show that it has recovered.

#include <cstdint>
#include <tuple>

#include "amaranthroute/time.h"

namespace amaranth {

/// How a backend server does.
struct ServerFitness {
  /// Fails a large part of its calls by itself.
  bool failing = false;
  /// Time of a call as a multiple of the usual one; 1 if much the same.
  uint32_t slowdown = 1;

  bool sound() const { return !failing && slowdown <= 1; }
  friend bool operator==(const ServerFitness& a, const ServerFitness& b) {
    return std::tie(a.failing, a.slowdown) == std::tie(b.failing, b.slowdown);
  }
  friend bool operator!=(const ServerFitness& a, const ServerFitness& b) {
    return !(a == b);
  }
};

/// Bounds of a ServerJudge.
struct ServerJudgeOptions {
  /// Results of one window, and the least time that it covers.
  uint32_t window_results = 10;
  Duration window_time = std::chrono::milliseconds(250);
  /// A window that fills more slowly is begun anew: old results would outvote
  /// new ones.
  Duration longest_window = std::chrono::seconds(10);
  /// Failed share of a window that makes a server failing.
  double failing_share = 0.35;
  /// Usual times that make a server slow, and the least mean excess: 2 ms
  /// against 0.3 ms harms nobody.
  double slow_factor = 3;
  Duration least_excess = std::chrono::milliseconds(20);
  uint32_t most_slowdown = 20;
  /// How long a verdict stands; twice as long after each repetition.
  Duration first_hold = std::chrono::seconds(4);
  Duration longest_hold = std::chrono::seconds(30);
  /// A server that was sound for so long starts afresh.
  Duration forgiven_after = std::chrono::seconds(60);
};

/// Judges one backend server by all of its calls.
class ServerJudge {
 public:
  explicit ServerJudge(ServerJudgeOptions options = {});

  /// A call ended after `own_time` in the server itself; `usual` is what calls
  /// of its kind take at the servers of this service, 0 if its caller does not
  /// know. `failed`: by the server's own fault, not because a call that it made
  /// failed.
  void OnEnded(Duration own_time, Duration usual, bool failed, TimePoint now);

  /// The verdict at `now`.
  ServerFitness Fitness(TimePoint now);

 private:
  struct Window {
    uint32_t results = 0;
    uint32_t failures = 0;
    // Of the successes whose usual time is known.
    uint32_t compared = 0;
    Duration time{0};   // sum
    Duration usual{0};  // sum
    TimePoint began{};
  };

  bool IsFull(TimePoint now) const;
  ServerFitness VerdictOfWindow() const;
  void Hold(const ServerFitness& verdict, TimePoint now);

  ServerJudgeOptions options_;
  Window window_;
  ServerFitness verdict_;
  TimePoint held_until_{};
  int repetitions_ = 0;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SERVER_JUDGE_H_
