#ifndef AMARANTHROUTE_LIBNODE_BOTTLENECK_BOTTLENECK_STATE_H_
#define AMARANTHROUTE_LIBNODE_BOTTLENECK_BOTTLENECK_STATE_H_

// What this node knows of the services that are short of capacity, from the
// answers to its calls, and of what the request classes that enter here need
// at them.

#include <set>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/policy/cost_profile.h"
#include "amaranthroute/policy/rank_admission.h"

namespace amaranth::pvt {

class BottleneckState {
 public:
  // Records the pressures that an answer to a call of this node reports. A
  // service that the call used, and that no pressure names, is not short.
  void OnAnswer(const CallAnswer& answer, TimePoint now);
  // Records the costs of a request that was served.
  void OnServed(const std::string& class_key,
                const std::vector<ServiceCost>& costs, TimePoint now) {
    profiles_.Record(class_key, costs, now);
  }

  // Returns what is admitted of the requests of a class.
  AdmitDecision Decide(const std::string& class_key, const CallContext& call,
                       TimePoint now) const {
    return admission_.Decide(call.service, profiles_.Find(class_key, now),
                             call.tier, call.class_tier, now);
  }

  // Returns the label of a class in metrics: its name, or "other" once there
  // are kMaxLabels names. Callers choose class names, and counts are never
  // dropped.
  std::string LabelOf(const std::string& request_class);
  static constexpr size_t kMaxLabels = 256;

  // Adds the services that an answer to a nested call reports as short to
  // `pressures`, which go upstream with the answer to its parent. They are
  // passed on as this node's mean over the servers of each service.
  void AddReported(const CallAnswer& answer, TimePoint now,
                   std::vector<ServicePressure>& pressures) const;

 private:
  CostProfiles profiles_;
  RankAdmission admission_;
  std::set<std::string> labels_;
};

// Returns the detail of a refusal by `decision`.
std::string DetailOf(const AdmitDecision& decision);

// Converts a cut to and from ServicePressure::cut_x256.
uint32_t ToWireCut(double cut);
double FromWireCut(uint32_t cut_x256);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_BOTTLENECK_BOTTLENECK_STATE_H_
