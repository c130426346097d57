#include "amaranthroute/policy/cost_profile.h"

#include <algorithm>
#include <limits>

namespace amaranth {
namespace {

// A service is dropped from a profile when it is called this rarely.
constexpr double kMinCalls = 0.01;

uint32_t SaturatedSum(uint32_t a, uint32_t b) {
  const uint64_t sum = uint64_t{a} + b;
  return static_cast<uint32_t>(
      std::min<uint64_t>(sum, std::numeric_limits<uint32_t>::max()));
}

}  // namespace

void AddCosts(std::vector<ServiceCost>& costs,
              const std::vector<ServiceCost>& added) {
  for (const ServiceCost& cost : added) {
    const auto found = std::find_if(
        costs.begin(), costs.end(),
        [&](const ServiceCost& c) { return c.service == cost.service; });
    if (found == costs.end()) {
      costs.push_back(cost);
      continue;
    }
    found->calls = SaturatedSum(found->calls, cost.calls);
    found->slot_us = SaturatedSum(found->slot_us, cost.slot_us);
  }
}

void CostProfiles::Record(const std::string& class_key,
                          const std::vector<ServiceCost>& costs,
                          TimePoint now) {
  if (profiles_.size() >= kMaxClasses && profiles_.count(class_key) == 0 &&
      !DropOld(now)) {
    return;
  }
  const auto [found, is_new] = profiles_.try_emplace(class_key);
  CostProfile& profile = found->second;
  const double weight = is_new ? 1.0 : kWeight;
  for (auto& [service, cost] : profile.by_service) {
    cost.calls *= 1 - weight;
    cost.slot_us *= 1 - weight;
  }
  for (const ServiceCost& cost : costs) {
    ProfiledCost& mean = profile.by_service[cost.service];
    mean.calls += weight * cost.calls;
    mean.slot_us += weight * cost.slot_us;
  }
  for (auto it = profile.by_service.begin(); it != profile.by_service.end();) {
    it = it->second.calls < kMinCalls ? profile.by_service.erase(it)
                                      : std::next(it);
  }
  profile.updated = now;
}

bool CostProfiles::DropOld(TimePoint now) {
  // All profiles are searched, so not at each request of a class that finds no
  // room.
  if (now < next_search_) return false;
  next_search_ = now + std::chrono::seconds(1);
  for (auto it = profiles_.begin(); it != profiles_.end();) {
    const bool is_old = now - it->second.updated > kMaxAge;
    it = is_old ? profiles_.erase(it) : std::next(it);
  }
  return profiles_.size() < kMaxClasses;
}

const CostProfile* CostProfiles::Find(const std::string& class_key,
                                      TimePoint now) const {
  const auto found = profiles_.find(class_key);
  if (found == profiles_.end()) return nullptr;
  return now - found->second.updated > kMaxAge ? nullptr : &found->second;
}

}  // namespace amaranth
