#ifndef AMARANTHROUTE_POLICY_COST_PROFILE_H_
#define AMARANTHROUTE_POLICY_COST_PROFILE_H_

/// Learns what a request of a class costs at each service of its call tree.
///
/// Load pattern: several classes share a service that is short of capacity. One
/// calls it once for a long time, others call it many times in a row through
/// other services. An entry node can only decide which of them to admit if it
/// knows what a request of each class needs there.

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Adds `added` to `costs`, summed by service.
void AddCosts(std::vector<ServiceCost>& costs,
              const std::vector<ServiceCost>& added);

/// Mean cost of a request of one class at one service.
struct ProfiledCost {
  double calls = 0;
  double slot_us = 0;  ///< sum over the calls, in microseconds

  friend bool operator==(const ProfiledCost& a, const ProfiledCost& b) {
    return a.calls == b.calls && a.slot_us == b.slot_us;
  }
  friend bool operator!=(const ProfiledCost& a, const ProfiledCost& b) {
    return !(a == b);
  }
};

/// Mean costs of a request of one class.
struct CostProfile {
  std::map<std::string, ProfiledCost> by_service;
  TimePoint updated{};

  friend bool operator==(const CostProfile& a, const CostProfile& b) {
    return a.by_service == b.by_service && a.updated == b.updated;
  }
  friend bool operator!=(const CostProfile& a, const CostProfile& b) {
    return !(a == b);
  }
};

/// The cost profiles of the classes that enter at one node.
class CostProfiles {
 public:
  /// Weight of a new request in the moving averages. A class that makes twice
  /// its calls is known after some ten requests.
  static constexpr double kWeight = 0.1;
  /// A profile without a served request for this long is not used.
  static constexpr Duration kMaxAge = std::chrono::seconds(10);
  /// Callers choose class names, so the number of profiles is limited.
  static constexpr size_t kMaxClasses = 1024;

  /// Records the costs of a request that was served. Services that the request
  /// did not call count as zero.
  void Record(const std::string& class_key,
              const std::vector<ServiceCost>& costs, TimePoint now);

  /// Returns the profile of a class; null if there is none, or an old one only.
  const CostProfile* Find(const std::string& class_key, TimePoint now) const;

 private:
  // Drops the profiles that are too old to be used. Returns whether there is
  // room for another class.
  bool DropOld(TimePoint now);

  std::map<std::string, CostProfile> profiles_;
  TimePoint next_search_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_COST_PROFILE_H_
