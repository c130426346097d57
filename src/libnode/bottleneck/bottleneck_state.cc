#include "libnode/bottleneck/bottleneck_state.h"

#include <algorithm>

namespace amaranth::pvt {
namespace {

constexpr double kWireCutUnits = 256;

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

void BottleneckState::OnAnswer(const CallAnswer& answer, TimePoint now) {
  for (const ServicePressure& pressure : answer.pressures) {
    admission_.OnReport(pressure.service, FromWireCut(pressure.cut_x256), now);
  }
  for (const ServiceCost& cost : answer.costs) {
    if (FindPressure(answer.pressures, cost.service) != nullptr) continue;
    admission_.OnReport(cost.service, 0, now);
  }
}

void BottleneckState::AddReported(
    const CallAnswer& answer, TimePoint now,
    std::vector<ServicePressure>& pressures) const {
  for (const ServicePressure& reported : answer.pressures) {
    ServicePressure pressure = reported;
    pressure.cut_x256 = ToWireCut(admission_.CutOf(reported.service, now));
    ServicePressure* known = FindPressure(pressures, reported.service);
    if (known != nullptr) {
      *known = pressure;
    } else if (pressures.size() < kMaxPressures) {
      pressures.push_back(pressure);
    }
  }
  // An earlier call of the request may have met a cut that has ended since.
  for (const ServiceCost& cost : answer.costs) {
    ServicePressure* known = FindPressure(pressures, cost.service);
    if (known == nullptr) continue;
    known->cut_x256 = ToWireCut(admission_.CutOf(cost.service, now));
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
         " cost_bucket=" + std::to_string(decision.cost_bucket) +
         " report_age_ms=" +
         std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(decision.age)
                 .count());
}

}  // namespace amaranth::pvt
