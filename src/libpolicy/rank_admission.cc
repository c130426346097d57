#include "amaranthroute/policy/rank_admission.h"

#include <algorithm>
#include <cmath>

namespace amaranth {

double RankAdmission::WeightAt(Duration age) {
  if (age <= kDecayDelay) return 1;
  const double decayed = static_cast<double>((age - kDecayDelay).count()) /
                         static_cast<double>(kDecayTime.count());
  return std::max(0.0, 1 - decayed);
}

void RankAdmission::OnReport(const std::string& service, double cut,
                             TimePoint now) {
  const auto found = reports_.find(service);
  if (found == reports_.end()) {
    if (cut <= 0) return;
    if (reports_.size() >= kMaxServices) DropDecayed(now);
    if (reports_.size() >= kMaxServices) return;
  }
  const bool is_first = found == reports_.end();
  Report& report = is_first ? reports_[service] : found->second;
  const double kept = WeightAt(now - report.updated);
  const double elapsed = static_cast<double>((now - report.updated).count()) /
                         static_cast<double>(kAveragingTime.count());
  const double weight = is_first ? 1 : 1 - std::exp(-elapsed);
  for (int position = 0; position < kPositions; ++position) {
    double& share = report.shares[static_cast<size_t>(position)];
    const double current = 1 - kept * (1 - share);
    share = current + weight * (AdmittedShare(cut, position) - current);
  }
  report.cut = kept * report.cut + weight * (cut - kept * report.cut);
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
  return found->second.cut * WeightAt(now - found->second.updated);
}

double RankAdmission::ShareOf(const Report& report, int position,
                              TimePoint now) const {
  const double share = report.shares[static_cast<size_t>(position)];
  return 1 - WeightAt(now - report.updated) * (1 - share);
}

bool RankAdmission::HigherRankIsShort(const Report& report, int position,
                                      TimePoint now) const {
  const int next_rank = (position / kCostBuckets + 1) * kCostBuckets;
  for (int higher = next_rank; higher < kPositions; ++higher) {
    const TimePoint asked = report.asked[static_cast<size_t>(higher)];
    const bool has_demand = asked != TimePoint{} && now - asked <= kDemandAge;
    if (has_demand && ShareOf(report, higher, now) < kServedShare) return true;
  }
  return false;
}

void RankAdmission::Restrict(const std::string& service, double slot_us,
                             Tier tier, Tier class_tier, TimePoint now,
                             const std::string& customer,
                             AdmitDecision& decision) {
  const auto found = reports_.find(service);
  if (found == reports_.end()) return;
  Report& report = found->second;
  const uint8_t bucket = CostBucketOf(slot_us);
  const int position = PositionOf(tier, class_tier, bucket);
  report.asked[static_cast<size_t>(position)] = now;
  const double common = HigherRankIsShort(report, position, now)
                            ? 0
                            : ShareOf(report, position, now);
  const bool by_customer =
      common > 0 && common < 1 && customer_cuts_.IsDivided(service, now);
  const double share =
      std::max(by_customer ? customer_cuts_.ShareOf(service, customer,
                                                    position + 1 - common, now)
                           : common,
               kMinShare);
  const bool is_first = decision.service.empty();
  if (!is_first && share >= decision.share) return;
  if (WeightAt(now - report.updated) <= 0) return;
  decision.share = share;
  decision.cost_bucket = bucket;
  decision.service = service;
  decision.cut = report.cut;
  decision.age = now - report.updated;
  decision.by_customer = by_customer;
}

AdmitDecision RankAdmission::Decide(const std::string& service,
                                    const CostProfile* profile, Tier tier,
                                    Tier class_tier, TimePoint now,
                                    const std::string& customer) {
  AdmitDecision decision;
  if (profile == nullptr) {
    Restrict(service, 0, tier, class_tier, now, customer, decision);
    return decision;
  }
  double largest_us = 0;
  for (const auto& [called, cost] : profile->by_service) {
    Restrict(called, cost.slot_us, tier, class_tier, now, customer, decision);
    largest_us = std::max(largest_us, cost.slot_us);
  }
  // Where no service is short yet, the one that the request needs most is the
  // most likely to become so. With another bucket before the first cut, the
  // demand measured until then would count at the wrong position.
  if (decision.service.empty()) decision.cost_bucket = CostBucketOf(largest_us);
  return decision;
}

}  // namespace amaranth
