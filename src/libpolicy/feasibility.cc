#include "amaranthroute/policy/feasibility.h"

#include <algorithm>
#include <cmath>

namespace amaranth {

void SuccessMeter::OnAnswered(bool refused, TimePoint now) {
  const int64_t number = now.time_since_epoch() / kBucket;
  Bucket& bucket = buckets_[static_cast<size_t>(number % kBuckets)];
  if (bucket.number != number) bucket = {number, 0, 0};
  ++bucket.calls;
  if (refused) ++bucket.refused;
  in_a_row_ = refused ? 0 : in_a_row_ + 1;
  if (in_a_row_ != kRecoveredAfter) return;
  buckets_.fill({});
  bucket = {number, kRecoveredAfter, 0};
}

std::optional<double> SuccessMeter::Share(TimePoint now) const {
  const int64_t newest = now.time_since_epoch() / kBucket;
  uint32_t calls = 0;
  uint32_t refused = 0;
  for (int64_t age = 0; age < kBuckets && age <= newest; ++age) {
    if (age >= kWindowBuckets && calls >= kMinCalls) break;
    const int64_t number = newest - age;
    const Bucket& bucket = buckets_[static_cast<size_t>(number % kBuckets)];
    if (bucket.number != number) continue;
    calls += bucket.calls;
    refused += bucket.refused;
  }
  if (calls < kMinCalls) return std::nullopt;
  return 1 - static_cast<double>(refused) / calls;
}

void Feasibility::OnReport(const std::string& service, double success,
                           TimePoint now) {
  const double refused = std::clamp(1 - success, 0.0, 1.0);
  const auto found = reports_.find(service);
  if (found == reports_.end()) {
    if (refused <= 0 || reports_.size() >= kMaxServices) return;
    reports_[service] = {refused, now};
    return;
  }
  Report& report = found->second;
  const double current = 1 - SuccessOf(service, now);
  const Duration time_constant = refused < current ? kRiseTime : kFallTime;
  const double elapsed = static_cast<double>((now - report.updated).count()) /
                         static_cast<double>(time_constant.count());
  report.refused = current + (1 - std::exp(-elapsed)) * (refused - current);
  report.updated = now;
}

double Feasibility::SuccessOf(const std::string& service, TimePoint now) const {
  const auto found = reports_.find(service);
  if (found == reports_.end()) return 1;
  const Report& report = found->second;
  const Duration decaying = now - report.updated - RankAdmission::kDecayDelay;
  if (decaying <= Duration::zero()) return 1 - report.refused;
  const double decayed = static_cast<double>(decaying.count()) /
                         static_cast<double>(RankAdmission::kDecayTime.count());
  return 1 - report.refused * std::max(0.0, 1 - decayed);
}

FeasibilityEstimate Feasibility::Estimate(const CostProfile& profile,
                                          TimePoint now) const {
  FeasibilityEstimate estimate;
  double lowest = 1;
  for (const auto& [service, cost] : profile.by_service) {
    const double success = SuccessOf(service, now);
    if (success >= 1) continue;
    const double chance = std::pow(success, cost.calls);
    estimate.chance *= chance;
    if (chance >= lowest) continue;
    lowest = chance;
    estimate.service = service;
    estimate.success = success;
    estimate.calls = cost.calls;
    estimate.age = now - reports_.at(service).updated;
  }
  return estimate;
}

bool Feasibility::LetThrough(const FeasibilityEstimate& estimate,
                             TimePoint now) {
  ++since_probe_;
  const bool due = now >= next_probe_ && estimate.age >= kProbePeriod;
  if (since_probe_ < kProbeEvery && !due) return false;
  since_probe_ = 0;
  next_probe_ = now + kProbePeriod;
  return true;
}

}  // namespace amaranth
