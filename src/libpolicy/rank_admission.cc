#include "amaranthroute/policy/rank_admission.h"

#include <algorithm>
#include <cmath>

namespace amaranth {

void RankAdmission::OnReport(const std::string& service, double cut,
                             TimePoint now) {
  const auto found = reports_.find(service);
  if (found == reports_.end()) {
    if (cut <= 0) return;
    if (reports_.size() >= kMaxServices) DropDecayed(now);
    if (reports_.size() >= kMaxServices) return;
    reports_[service] = {cut, now};
    return;
  }
  Report& report = found->second;
  const double current = CutOf(service, now);
  const double elapsed = static_cast<double>((now - report.updated).count()) /
                         static_cast<double>(kAveragingTime.count());
  report.cut = current + (1 - std::exp(-elapsed)) * (cut - current);
  report.updated = now;
}

void RankAdmission::DropDecayed(TimePoint now) {
  for (auto it = reports_.begin(); it != reports_.end();) {
    it = CutOf(it->first, now) <= 0 ? reports_.erase(it) : std::next(it);
  }
}

double RankAdmission::CutOf(const std::string& service, TimePoint now) const {
  const auto found = reports_.find(service);
  if (found == reports_.end()) return 0;
  const Report& report = found->second;
  const Duration age = now - report.updated;
  if (age <= kDecayDelay) return report.cut;
  const double decayed = static_cast<double>((age - kDecayDelay).count()) /
                         static_cast<double>(kDecayTime.count());
  return report.cut * std::max(0.0, 1 - decayed);
}

void RankAdmission::Restrict(const std::string& service, double slot_us,
                             Tier tier, Tier class_tier, TimePoint now,
                             AdmitDecision& decision) const {
  const double cut = CutOf(service, now);
  if (cut <= 0) return;
  const uint8_t bucket = CostBucketOf(slot_us);
  const double share = std::max(
      AdmittedShare(cut, PositionOf(tier, class_tier, bucket)), kMinShare);
  const bool is_first = decision.service.empty();
  if (!is_first && share >= decision.share) return;
  decision.share = share;
  decision.cost_bucket = bucket;
  decision.service = service;
  decision.cut = cut;
  decision.age = now - reports_.at(service).updated;
}

AdmitDecision RankAdmission::Decide(const std::string& service,
                                    const CostProfile* profile, Tier tier,
                                    Tier class_tier, TimePoint now) const {
  AdmitDecision decision;
  if (profile == nullptr) {
    Restrict(service, 0, tier, class_tier, now, decision);
    return decision;
  }
  double largest_us = 0;
  for (const auto& [called, cost] : profile->by_service) {
    Restrict(called, cost.slot_us, tier, class_tier, now, decision);
    largest_us = std::max(largest_us, cost.slot_us);
  }
  // Where no service is short yet, the one that the request needs most is the
  // most likely to become so. With another bucket before the first cut, the
  // demand measured until then would count at the wrong position.
  if (decision.service.empty()) decision.cost_bucket = CostBucketOf(largest_us);
  return decision;
}

}  // namespace amaranth
