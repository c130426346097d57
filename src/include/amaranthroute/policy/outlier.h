#ifndef AMARANTHROUTE_POLICY_OUTLIER_H_
#define AMARANTHROUTE_POLICY_OUTLIER_H_

/// Ejects backend servers that perform worse than their peers: they get no
/// calls for a limited time.
///
/// Load pattern: one server of a service fails fast or answers very slowly
/// while its health endpoint reports no problem. Without ejection a server that
/// fails at once looks idle and attracts most of the calls, and a slow one
/// makes its share of all requests slow however many healthy servers there are.
///
/// Only a difference from the peers counts: when all servers fail or slow down,
/// the cause lies elsewhere, and an ejection would only add load to the others.
/// At most a fraction of the servers is ejected, as a bad server is better than
/// none. Ejections become longer with each repetition up to a bound, so that a
/// recovered server is detected.

#include <cstdint>
#include <map>
#include <string>

#include "amaranthroute/time.h"

namespace amaranth {

/// Thresholds and times of an OutlierDetector.
struct OutlierOptions {
  /// Maximum fraction of a service's servers that is ejected at the same time.
  double max_share = 0.5;
  /// Minimum number of results (a decayed count) for an ejection.
  double min_results = 10;
  /// Consecutive failures that suffice without `min_results`: with one call per
  /// second the decayed count never reaches ten.
  int consecutive_failures = 5;
  /// Minimum failed fraction for an ejection, and its minimum difference from
  /// the median of the peers.
  double failure_share = 0.5;
  double failure_excess = 0.3;
  /// Minimum latency for an ejection, as a multiple of the peers' median. A
  /// server of 3 times the latency is left to PickServer, which sends it less
  /// than a fifth of the calls of three servers (ServerPickerTest,
  /// SlowServerGetsFewerCalls). Five times the latency is more than a
  /// difference of load explains.
  double latency_factor = 5.0;
  /// Minimum difference from that median: 2 ms instead of 0.3 ms is harmless.
  Duration min_excess = std::chrono::milliseconds(20);
  /// Half-life of the counts and latencies.
  Duration half_life = std::chrono::seconds(2);
  /// Length of the first ejection; doubled with each repetition up to the
  /// maximum.
  Duration initial_ejection = std::chrono::seconds(2);
  Duration max_ejection = std::chrono::seconds(30);
  /// The length is reset this long after the last ejection has ended.
  Duration reset_after = std::chrono::seconds(60);
  /// Time over which a server's weight is ramped up after an ejection.
  Duration ramp = std::chrono::seconds(2);
};

/// Detects outliers among the servers of one service, at an entry node.
class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierOptions options = {});

  /// Records the result of an attempt at `server`, and ejects the server if it
  /// is an outlier. `failed`: by the server's fault (no connection, invalid
  /// answer, timeout), not because of an error in the request or shedding.
  /// `latency` of a failure is ignored.
  void OnResult(const std::string& server, Duration latency, bool failed,
                TimePoint now);

  /// Returns whether `server` is ejected at `now`.
  bool Ejected(const std::string& server, TimePoint now) const;
  /// Returns the fraction of its share that `server` should get, 0.1 to 1:
  /// ramped up after an ejection. Intended for ServerView::weight.
  double Weight(const std::string& server, TimePoint now) const;
  /// Returns the number of servers ejected at `now`.
  size_t EjectedCount(TimePoint now) const;
  /// Returns the number of servers with results.
  size_t size() const;

  /// Sets `max_share`, clamped to 0 to 1. The earliest ejections beyond the new
  /// cap end at once.
  void SetMaxShare(double share);
  /// Removes `server`. The earliest ejections beyond the cap of the others end
  /// at once.
  void Forget(const std::string& server);

 private:
  struct Server {
    double results = 0;  // decayed, like failures and successes
    double failures = 0;
    double successes = 0;
    double latency_sum = 0;  // of successes, microseconds, decayed
    TimePoint updated{};
    TimePoint ejected_until{};
    TimePoint last_ejected{};
    int consecutive_failures = 0;
    int ejections = 0;
  };

  void Decay(Server& server, TimePoint now) const;
  bool IsOutlier(const std::string& name, const Server& server) const;
  bool FailsMoreThanPeers(const std::string& name, const Server& server) const;
  bool IsSlowerThanPeers(const std::string& name, const Server& server) const;
  size_t Cap() const;
  void Eject(Server& server, TimePoint now);
  void EnforceCap();

  OutlierOptions options_;
  std::map<std::string, Server> servers_;
  TimePoint latest_time_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_OUTLIER_H_
