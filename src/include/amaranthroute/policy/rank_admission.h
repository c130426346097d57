#ifndef AMARANTHROUTE_POLICY_RANK_ADMISSION_H_
#define AMARANTHROUTE_POLICY_RANK_ADMISSION_H_

/// Admits requests at their entry node by the cuts of the services that they
/// need.
///
/// Load pattern: see RankDemand. Each of up to 1,600 entry nodes sees a
/// thousandth of the load and must come to the same order of classes as all
/// others, without a coordinator. What a service reported on the answer to a
/// request of one class applies to the requests of all classes that need it.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/policy/cost_profile.h"
#include "amaranthroute/policy/customer_cuts.h"
#include "amaranthroute/policy/rank_demand.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// What is admitted of the requests of a class, and why.
struct AdmitDecision {
  double share = 1;          ///< of the requests like this one
  uint8_t cost_bucket = 0;   ///< at the bottleneck service
  std::string service;       ///< the bottleneck service; empty if there is none
  double cut = 0;            ///< reported by that service
  Duration age{0};           ///< of the report
  bool by_customer = false;  ///< the share is that of the customer

  friend bool operator==(const AdmitDecision& a, const AdmitDecision& b) {
    return a.share == b.share && a.cost_bucket == b.cost_bucket &&
           a.service == b.service && a.cut == b.cut && a.age == b.age &&
           a.by_customer == b.by_customer;
  }
  friend bool operator!=(const AdmitDecision& a, const AdmitDecision& b) {
    return !(a == b);
  }
};

/// The reported cuts of services, as known to one node.
class RankAdmission {
 public:
  /// Time constant of the mean over reports. Each server of a service reports
  /// its own cut; a node with many calls averages over all of them, one with
  /// few uses the newest.
  static constexpr Duration kAveragingTime = std::chrono::milliseconds(150);
  /// Age at which a report starts to decay, and the time that the decay to 0
  /// takes. Without decay, a cut that refuses all requests of a node would stay
  /// forever, because no answer could lower it.
  static constexpr Duration kDecayDelay = std::chrono::milliseconds(250);
  static constexpr Duration kDecayTime = std::chrono::milliseconds(500);
  /// Share that is admitted at positions below the cut: without any request the
  /// serving nodes would not see their demand, nor entry nodes the recovery.
  static constexpr double kMinShare = 1.0 / 64;
  /// A rank without requests at this node for this long has no demand.
  static constexpr Duration kDemandAge = std::chrono::seconds(2);
  /// Share of its requests from which a rank is served. It leaves out servers
  /// that are short for a moment.
  static constexpr double kServedShare = 0.98;
  /// Limits the table; services come from the settings and announcements.
  static constexpr size_t kMaxServices = 1024;

  /// Records the cut that an answer reported for `service`, 0 if it is not
  /// short of capacity.
  void OnReport(const std::string& service, double cut, TimePoint now);

  /// Returns the mean cut of `service`, decayed; 0 if there is no recent
  /// report.
  double CutOf(const std::string& service, TimePoint now) const;

  /// Returns what is admitted of the requests of a class that enter at
  /// `service`. Of a class without profile (null) it is only known that it
  /// calls that service; it counts as one of the cheapest there. In the
  /// position of a cut that is divided among customers, the share of `customer`
  /// applies.
  AdmitDecision Decide(const std::string& service, const CostProfile* profile,
                       Tier tier, Tier class_tier, TimePoint now,
                       const std::string& customer = {});

  /// The shares of customers at the services that report them.
  CustomerCuts& customer_cuts() { return customer_cuts_; }
  const CustomerCuts& customer_cuts() const { return customer_cuts_; }

 private:
  // The mean over the servers of a service. Shares are averaged, not cuts: the
  // mean of a cut of 0 and one that refuses half of a position would refuse
  // nothing there.
  struct Report {
    Report() { shares.fill(1); }
    std::array<double, kPositions> shares;
    // When a request of a position last asked for the service at this node.
    std::array<TimePoint, kPositions> asked{};
    double cut = 0;
    TimePoint updated{};
  };

  // Returns the part of a report of this age that still counts.
  static double WeightAt(Duration age);
  double ShareOf(const Report& report, int position, TimePoint now) const;
  // Returns whether requests of a higher rank are refused in part. While one
  // server has capacity for lower ranks, another one may refuse the higher
  // ones, which take precedence.
  bool HigherRankIsShort(const Report& report, int position,
                         TimePoint now) const;
  // Makes room for another service.
  void DropDecayed(TimePoint now);
  // Takes the decision by one service if it admits less than `decision`.
  void Restrict(const std::string& service, double slot_us, Tier tier,
                Tier class_tier, TimePoint now, const std::string& customer,
                AdmitDecision& decision);

  std::map<std::string, Report> reports_;
  CustomerCuts customer_cuts_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_RANK_ADMISSION_H_
