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
#include "amaranthroute/policy/feasibility.h"
#include "amaranthroute/policy/rank_admission.h"

namespace amaranth::pvt {

class BottleneckState {
 public:
  // Records the pressures that an answer to a call of this node reports. A
  // service that the call used, and that no pressure names, is not short.
  // The shares in them are those of `customer`.
  void OnAnswer(const CallAnswer& answer, const std::string& customer,
                TimePoint now);
  // Records the costs of a request that was served.
  void OnServed(const std::string& class_key,
                const std::vector<ServiceCost>& costs, TimePoint now) {
    profiles_.Record(class_key, costs, now);
  }

  // Returns what is admitted of the requests of a class.
  AdmitDecision Decide(const std::string& class_key, const CallContext& call,
                       TimePoint now) {
    return admission_.Decide(call.service, profiles_.Find(class_key, now),
                             call.tier, call.class_tier, now, call.tenant);
  }

  // Returns the chance that a request of a class completes; 1 without a recent
  // cost profile.
  FeasibilityEstimate Feasible(const std::string& class_key,
                               TimePoint now) const;
  Feasibility& feasibility() { return feasibility_; }

  // Returns the label of a class in metrics: its name, or "other" once there
  // are kMaxLabels names. Callers choose class names, and counts are never
  // dropped.
  std::string LabelOf(const std::string& request_class);
  static constexpr size_t kMaxLabels = 256;

  // Adds the services that an answer to a nested call reports as short to
  // `pressures`, which go upstream with the answer to its parent. The newest
  // report of a service is passed on as it is: each request is a sample of the
  // servers that requests meet.
  static void AddReported(const CallAnswer& answer,
                          std::vector<ServicePressure>& pressures);

 private:
  CostProfiles profiles_;
  RankAdmission admission_;
  Feasibility feasibility_;
  std::set<std::string> labels_;
};

// Returns the detail of a refusal by `decision`.
std::string DetailOf(const AdmitDecision& decision);
std::string DetailOf(const FeasibilityEstimate& estimate);

// Converts a cut to and from ServicePressure::cut_x256.
uint32_t ToWireCut(double cut);
double FromWireCut(uint32_t cut_x256);

// Converts a success share to and from ServicePressure::success_percent.
uint8_t ToWirePercent(double share);
double FromWirePercent(uint8_t percent);
// Converts a share to and from units of 1/kFullAdmitShare.
uint16_t ToWireShare(double share);
double FromWireShare(uint16_t share);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_BOTTLENECK_BOTTLENECK_STATE_H_
