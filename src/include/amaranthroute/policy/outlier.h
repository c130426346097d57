#ifndef AMARANTHROUTE_POLICY_OUTLIER_H_
#define AMARANTHROUTE_POLICY_OUTLIER_H_

/// Backend servers that do worse than their peers and get no calls for a while.
///
/// Load pattern: one server of a service fails quickly or answers very slowly
/// while its health endpoint says all is well. Without ejection a server that
/// fails at once looks idle and draws most of the calls, and a slow one keeps
/// its share of all requests slow however many good servers there are.
///
/// Only a difference from the peers counts: when all servers fail or slow down
/// the cause lies elsewhere, and ejecting any would only load the rest. At most
/// a share is ejected, as the last servers are better than none; ejections grow
/// with each repetition but stay bounded, so a server that recovered is found.

#include <cstdint>
#include <map>
#include <string>

#include "amaranthroute/time.h"

namespace amaranth {

/// Bounds of an OutlierDetector.
struct OutlierOptions {
  /// Most of a service's servers that may be ejected at once.
  double max_share = 0.5;
  /// Results that a verdict needs; decayed counts.
  double min_results = 10;
  /// Failures in a row that need no such count: a service with a call a second
  /// never has ten results that are recent.
  int failures_in_row = 5;
  /// Failed share that ejects: this, and this much above the peers' median.
  double failure_share = 0.5;
  double failure_excess = 0.3;
  /// Latency, in medians of the peers, that ejects. A server of 3 times the
  /// latency is left to the choice of server, which sends it less than a fifth
  /// of the calls of three (ServerPickerTest, SlowServerGetsFewerCalls); a
  /// fifth of the speed is no difference of load any more.
  double latency_factor = 5.0;
  /// ... and at least this much slower: 2 ms against 0.3 ms harms nobody.
  Duration min_excess = std::chrono::milliseconds(20);
  /// Half-life of what is remembered.
  Duration half_life = std::chrono::seconds(2);
  /// First ejection; each next one is twice as long, up to the longest.
  Duration first_ejection = std::chrono::seconds(2);
  Duration longest_ejection = std::chrono::seconds(30);
  /// A server that stayed this long without a new ejection starts afresh.
  Duration forgiven_after = std::chrono::seconds(60);
  /// After an ejection a server's share is ramped up over this time.
  Duration ramp = std::chrono::seconds(2);
};

/// The servers of one service, as an entry node sees them.
class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierOptions options = {});

  /// A call to `server` ended. `failed`: by the server's fault (no connection,
  /// broken answer, timeout), not by a request's own error or by shedding.
  void OnResult(const std::string& server, Duration latency, bool failed,
                TimePoint now);

  /// Whether `server` should get no calls now.
  bool Ejected(const std::string& server, TimePoint now) const;
  /// Part of its share that `server` should get, 0.1 to 1: ramped up after an
  /// ejection. For ServerView::weight.
  double Weight(const std::string& server, TimePoint now) const;
  /// Servers ejected at `now`.
  size_t EjectedCount(TimePoint now) const;
  /// Servers known.
  size_t size() const;

  /// Changes the cap; ejections beyond it end at once.
  void SetMaxShare(double share);
  /// `server` has left; ejections beyond the cap of the rest end at once.
  void Forget(const std::string& server);

 private:
  struct Server {
    double results = 0;  // decayed counts
    double failures = 0;
    double successes = 0;
    double latency_sum = 0;  // of successes, microseconds, decayed
    TimePoint updated{};
    TimePoint ejected_until{};
    TimePoint last_ejected{};
    int failed_in_row = 0;
    int ejections = 0;
  };

  void Decay(Server& server, TimePoint now) const;
  bool IsOutlier(const std::string& name, const Server& server) const;
  bool FailsMoreThanPeers(const std::string& name, const Server& server) const;
  bool SlowerThanPeers(const std::string& name, const Server& server) const;
  size_t Cap() const;
  void Eject(Server& server, TimePoint now);
  void KeepCap();

  OutlierOptions options_;
  std::map<std::string, Server> servers_;
  TimePoint last_now_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_OUTLIER_H_
