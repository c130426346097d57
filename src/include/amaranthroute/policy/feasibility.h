#ifndef AMARANTHROUTE_POLICY_FEASIBILITY_H_
#define AMARANTHROUTE_POLICY_FEASIBILITY_H_

/// Decides whether a request has a fair chance to complete while backend
/// servers below refuse a share of their calls.
///
/// Load pattern: all servers of the deepest service refuse 0.3 to 0.8 of their
/// calls at random for 3 to 10 s, whatever their load is. A request with eight
/// calls there completes with a probability of 0.45^8 at 0.55. If it is not
/// idempotent, it fails after work that must not be repeated, although its
/// caller could have sent it again if it had been refused at its entry node.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "amaranthroute/policy/cost_profile.h"
#include "amaranthroute/policy/rank_admission.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Share of the calls to one backend server that it did not refuse, at its
/// serving node.
class SuccessMeter {
 public:
  static constexpr Duration kWindow = std::chrono::milliseconds(500);
  /// A share of fewer calls is not reported.
  static constexpr uint32_t kMinCalls = 10;
  /// With fewer calls than kMinCalls in the window, earlier ones count up to
  /// this age. While most requests are refused at their entry nodes, a server
  /// gets few calls; no report would mean that it refuses none.
  static constexpr Duration kMaxAge = std::chrono::seconds(2);
  /// After this many calls in a row without a refusal, earlier calls no longer
  /// count: a server that refuses 0.3 of its calls has such a run every 4,000
  /// calls. The window alone would show a recovery only after some 400 ms.
  static constexpr uint32_t kRecoveredAfter = 20;

  /// Records a call that the server answered.
  void OnAnswered(bool refused, TimePoint now);

  /// Returns the share of the answered calls that were not refused; nullopt if
  /// there were too few.
  std::optional<double> Share(TimePoint now) const;

 private:
  static constexpr Duration kBucket = std::chrono::milliseconds(50);
  static constexpr int64_t kWindowBuckets = kWindow / kBucket;
  static constexpr int64_t kBuckets = kMaxAge / kBucket;
  struct Bucket {
    int64_t number = -1;  // time since the clock's start, in bucket lengths
    uint32_t calls = 0;
    uint32_t refused = 0;
  };

  std::array<Bucket, static_cast<size_t>(kBuckets)> buckets_{};
  uint32_t in_a_row_ = 0;  // calls since the last refusal
};

/// Probability that a request completes, and the service that limits it most.
struct FeasibilityEstimate {
  double chance = 1;
  std::string service;  ///< empty if no service refuses calls
  double success = 1;   ///< share of its calls that are not refused
  double calls = 0;     ///< of a request at that service
  Duration age{0};      ///< of the last report

  friend bool operator==(const FeasibilityEstimate& a,
                         const FeasibilityEstimate& b) {
    return a.chance == b.chance && a.service == b.service &&
           a.success == b.success && a.calls == b.calls && a.age == b.age;
  }
  friend bool operator!=(const FeasibilityEstimate& a,
                         const FeasibilityEstimate& b) {
    return !(a == b);
  }
};

/// The success shares of services, as known to one entry node.
class Feasibility {
 public:
  /// Serving nodes report success shares below this. Higher ones leave a
  /// request with eight calls a chance of at least 0.43.
  static constexpr double kReportBelow = 0.9;
  /// Below this chance, a request is refused before it is sent: nine of ten
  /// would fail after a part of their work.
  static constexpr double kMinChance = 0.1;
  /// Of the requests without a fair chance, one in kProbeEvery is let through.
  /// At least one request in kProbePeriod must show the state of the service,
  /// so that recovery is observed within 300 ms: without a report that new, the
  /// next one is let through.
  static constexpr uint32_t kProbeEvery = 32;
  static constexpr Duration kProbePeriod = std::chrono::milliseconds(100);
  /// Time constants of the mean over reports, for falling and rising shares.
  /// With 150 ms for both, recovery from a share of 0.2 is seen only after
  /// 500 ms.
  static constexpr Duration kFallTime = RankAdmission::kAveragingTime;
  static constexpr Duration kRiseTime = std::chrono::milliseconds(50);
  /// Limits the table; services come from the settings and announcements.
  static constexpr size_t kMaxServices = 1024;

  /// Records the success share that an answer reported for `service`, 1 if it
  /// does not refuse calls.
  void OnReport(const std::string& service, double success, TimePoint now);

  /// Returns the success share of `service`. Without a new report it returns to
  /// 1 as the cuts of RankAdmission return to 0.
  double SuccessOf(const std::string& service, TimePoint now) const;

  /// Returns the chance of a request with this cost profile.
  FeasibilityEstimate Estimate(const CostProfile& profile, TimePoint now) const;

  /// Returns whether a request without a fair chance is let through as a probe,
  /// and counts it.
  bool LetThrough(const FeasibilityEstimate& estimate, TimePoint now);

 private:
  struct Report {
    double refused = 0;  // share of the calls
    TimePoint updated{};
  };

  std::map<std::string, Report> reports_;
  uint32_t since_probe_ = 0;  // requests refused since the last probe
  TimePoint next_probe_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_FEASIBILITY_H_
