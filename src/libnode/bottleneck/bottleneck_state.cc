#include "libnode/bottleneck/bottleneck_state.h"

#include <algorithm>
#include <cmath>

namespace amaranth::pvt {
namespace {

constexpr double kWireCutUnits = 256;
constexpr double kWholePercent = 100;

int64_t WholeMillis(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// Pressures that one answer passes on. More than two services of one call tree
// are rarely short at the same time.
constexpr size_t kMaxPressures = 4;

template <typename Pressures>
auto FindPressure(Pressures& pressures, const std::string& service)
    -> decltype(pressures.data()) {
  const auto found = std::find_if(
      pressures.begin(), pressures.end(),
      [&](const ServicePressure& p) { return p.service == service; });
  return found == pressures.end() ? nullptr : &*found;
}

}  // namespace

uint32_t ToWireCut(double cut) {
  return static_cast<uint32_t>(
      std::clamp(cut, 0.0, static_cast<double>(kPositions)) * kWireCutUnits);
}

double FromWireCut(uint32_t cut_x256) {
  return std::min(cut_x256 / kWireCutUnits, static_cast<double>(kPositions));
}

uint8_t ToWirePercent(double share) {
  return static_cast<uint8_t>(
      std::lround(std::clamp(share, 0.0, 1.0) * kWholePercent));
}

double FromWirePercent(uint8_t percent) {
  return std::min(percent / kWholePercent, 1.0);
}

uint16_t ToWireShare(double share) {
  return static_cast<uint16_t>(
      std::lround(std::clamp(share, 0.0, 1.0) * kFullAdmitShare));
}

double FromWireShare(uint16_t share) {
  return std::min(1.0, static_cast<double>(share) / kFullAdmitShare);
}

void BottleneckState::OnAnswer(const CallAnswer& answer,
                               const std::string& customer, TimePoint now) {
  for (const ServicePressure& pressure : answer.pressures) {
    const double cut = FromWireCut(pressure.cut_x256);
    admission_.OnReport(pressure.service, cut, now);
    feasibility_.OnReport(pressure.service,
                          FromWirePercent(pressure.success_percent), now);
    if (!pressure.customer_share) continue;
    admission_.customer_cuts().OnReport(pressure.service, customer, cut,
                                        FromWireShare(*pressure.customer_share),
                                        now);
  }
  for (const ServiceCost& cost : answer.costs) {
    if (FindPressure(answer.pressures, cost.service) != nullptr) continue;
    admission_.OnReport(cost.service, 0, now);
    feasibility_.OnReport(cost.service, 1, now);
  }
}

FeasibilityEstimate BottleneckState::Feasible(const std::string& class_key,
                                              TimePoint now) const {
  const CostProfile* profile = profiles_.Find(class_key, now);
  if (profile == nullptr) return {};
  return feasibility_.Estimate(*profile, now);
}

void BottleneckState::AddReported(const CallAnswer& answer,
                                  std::vector<ServicePressure>& pressures) {
  for (const ServicePressure& reported : answer.pressures) {
    ServicePressure* known = FindPressure(pressures, reported.service);
    if (known != nullptr) {
      *known = reported;
    } else if (pressures.size() < kMaxPressures) {
      pressures.push_back(reported);
    }
  }
  // An earlier call of the request may have met a cut that has ended since.
  for (const ServiceCost& cost : answer.costs) {
    ServicePressure* known = FindPressure(pressures, cost.service);
    const bool is_reported =
        FindPressure(answer.pressures, cost.service) != nullptr;
    if (known == nullptr || is_reported) continue;
    known->cut_x256 = 0;
    known->success_percent = 100;
  }
}

std::string BottleneckState::LabelOf(const std::string& request_class) {
  if (labels_.count(request_class) > 0) return request_class;
  if (labels_.size() >= kMaxLabels) return "other";
  labels_.insert(request_class);
  return request_class;
}

std::string DetailOf(const AdmitDecision& decision) {
  return "service " + decision.service +
         " is short of capacity: cut=" + std::to_string(decision.cut) +
         " admitted_share=" + std::to_string(decision.share) +
         (decision.by_customer ? " (of the customer)" : "") +
         " cost_bucket=" + std::to_string(decision.cost_bucket) +
         " report_age_ms=" + std::to_string(WholeMillis(decision.age));
}

std::string DetailOf(const FeasibilityEstimate& estimate) {
  return "service " + estimate.service +
         " refuses calls: chance=" + std::to_string(estimate.chance) +
         " success=" + std::to_string(estimate.success) +
         " calls=" + std::to_string(estimate.calls) +
         " report_age_ms=" + std::to_string(WholeMillis(estimate.age));
}

}  // namespace amaranth::pvt
