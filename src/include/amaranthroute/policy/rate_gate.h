#ifndef AMARANTHROUTE_POLICY_RATE_GATE_H_
#define AMARANTHROUTE_POLICY_RATE_GATE_H_

/// Paces the calls to a backend server that names a rate limit.
///
/// Load pattern: a server in need names in its answers how many requests per
/// second it accepts from all nodes together, far fewer than its slots would
/// take. Its serving node sees every call, so a gate there holds the limit
/// without coordination. Calls above the limit wait in the server's queue: the
/// highest tier runs first, and the wait moves callers to other servers and
/// raises the shedding threshold as for a server that has become slow.

#include <optional>

#include "amaranthroute/time.h"

namespace amaranth {

class RateGate {
 public:
  /// Time that the gate may make up for at once after a pause in the calls: in
  /// any period at most rate * (period + kBurst) + 1 calls start.
  static constexpr Duration kBurst = std::chrono::milliseconds(250);
  /// Lower bound of the rate, in calls per second. Only answers can end a
  /// limit, so a limit of zero must let a call through now and then.
  static constexpr double kMinRate = 0.5;

  /// Sets the limit in calls per second; nullopt removes it.
  void SetLimit(std::optional<double> per_second, TimePoint now);
  /// Returns the limit in calls per second, if there is one.
  std::optional<double> limit() const { return limit_; }

  /// Returns whether a call may start now.
  bool Allows(TimePoint now) const { return now >= next_start(); }
  /// Returns the earliest time at which a call may start.
  TimePoint next_start() const;
  /// Records the start of a call.
  void OnStarted(TimePoint now);
  /// Returns the time between two calls at the limit; zero without a limit.
  Duration interval() const { return interval_; }

 private:
  std::optional<double> limit_;
  Duration interval_{0};
  /// Time at which the calls so far are paid for at the limit.
  TimePoint paid_until_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_RATE_GATE_H_
