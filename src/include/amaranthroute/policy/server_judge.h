#ifndef AMARANTHROUTE_POLICY_SERVER_JUDGE_H_
#define AMARANTHROUTE_POLICY_SERVER_JUDGE_H_

/// Detects, at the serving node of a backend server, that the server is failing
/// or slow. The result is published to all entry nodes.
///
/// Load pattern: a service of a hundred servers is called by two hundred entry
/// nodes, a few calls per second each, and some servers become slow or fail
/// part of their calls while their health endpoint reports no problem. An entry
/// node calls a given server only every few seconds: its OutlierDetector never
/// has enough results, and each node sends the bad servers their full share.
/// The serving node sees all calls of its server.
///
/// Calls of different kinds take different times, and a server's mix of kinds
/// changes from moment to moment. Each call is therefore compared with the
/// typical service time of its own kind, which the entry node sends with it.
///
/// A verdict requires a window of results. It holds for a limited time, longer
/// with each repetition, after which entry nodes call the server again: a
/// server without calls could not show that it has recovered.

#include <cstdint>
#include <tuple>

#include "amaranthroute/time.h"

namespace amaranth {

/// Health of a backend server, as its serving node sees it.
struct ServerFitness {
  /// Fails a large share of its calls by its own fault.
  bool failing = false;
  /// Service time as a multiple of the typical one, rounded down; 1 if the
  /// server is not slow.
  uint32_t slowdown = 1;

  bool healthy() const { return !failing && slowdown <= 1; }
  friend bool operator==(const ServerFitness& a, const ServerFitness& b) {
    return std::tie(a.failing, a.slowdown) == std::tie(b.failing, b.slowdown);
  }
  friend bool operator!=(const ServerFitness& a, const ServerFitness& b) {
    return !(a == b);
  }
};

/// Windows, thresholds and hold times of a ServerJudge.
struct ServerJudgeOptions {
  /// Minimum number of results in a window, and minimum time that it covers.
  uint32_t min_results = 10;
  Duration min_window = std::chrono::milliseconds(250);
  /// A window that is older than this is discarded: old results would outweigh
  /// new ones.
  Duration max_window = std::chrono::seconds(10);
  /// Failed fraction of a window from which on a server counts as failing.
  double failure_share = 0.35;
  /// Multiple of the typical service time from which on a server counts as
  /// slow, and minimum mean excess over it: 2 ms instead of 0.3 ms is harmless.
  double slow_factor = 3;
  Duration min_excess = std::chrono::milliseconds(20);
  /// Upper bound of ServerFitness::slowdown.
  uint32_t max_slowdown = 20;
  /// How long a verdict holds; doubled with each repetition.
  Duration initial_hold = std::chrono::seconds(4);
  Duration max_hold = std::chrono::seconds(30);
  /// The hold time is reset this long after the last verdict has expired.
  Duration reset_after = std::chrono::seconds(60);
};

/// Evaluates one backend server by the results of all its calls.
class ServerJudge {
 public:
  explicit ServerJudge(ServerJudgeOptions options = {});

  /// Records a call's result. `service_time`: without nested calls.
  /// `typical_time`: typical service time of calls of this kind at the servers
  /// of this service, 0 if the entry node does not know it. `failed`: by the
  /// server's own fault, not because a nested call failed.
  void OnEnded(Duration service_time, Duration typical_time, bool failed,
               TimePoint now);

  /// Returns the verdict that holds at `now`; healthy if none does.
  ServerFitness Fitness(TimePoint now);

 private:
  struct Window {
    uint32_t results = 0;
    uint32_t failures = 0;
    // Of the successes whose typical service time is known.
    uint32_t compared = 0;
    Duration service_time{0};  // sum
    Duration typical_time{0};  // sum
    TimePoint started{};
  };

  bool IsWindowComplete(TimePoint now) const;
  ServerFitness WindowVerdict() const;
  void HoldVerdict(const ServerFitness& verdict, TimePoint now);

  ServerJudgeOptions options_;
  Window window_;
  ServerFitness verdict_;
  TimePoint held_until_{};
  int repetitions_ = 0;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SERVER_JUDGE_H_
