#include "amaranthroute/policy/max_min_share.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <utility>

namespace amaranth {
namespace {

// Names that a window may add to a full table. Which of them are the largest is
// known at its end.
constexpr size_t kMaxCandidates = 2 * MaxMinShare::kMaxCustomers;

// An entry with less demand than this is dropped. A call of a millisecond
// leaves the table after some 4 s.
constexpr double kMinSlots = 1e-6;

}  // namespace

double MaxMinLevel(std::vector<WeightedDemand> demands, double capacity) {
  std::sort(demands.begin(), demands.end(),
            [](const WeightedDemand& a, const WeightedDemand& b) {
              return a.demand * b.weight < b.demand * a.weight;
            });
  double weight_left = 0;
  for (const WeightedDemand& of : demands) weight_left += of.weight;
  double left = capacity;
  for (const WeightedDemand& of : demands) {
    if (of.demand * weight_left > left * of.weight) return left / weight_left;
    left -= of.demand;
    weight_left -= of.weight;
  }
  return std::numeric_limits<double>::infinity();
}

double MaxMinShare::Demand::Certain(double deviations) const {
  return std::max(0.0, slots - deviations * std::sqrt(variance));
}

void MaxMinShare::Demand::Add(double offered_us) {
  window_us += offered_us;
  window_squares += offered_us * offered_us;
}

void MaxMinShare::Demand::Smooth(double gain, double seconds) {
  const double to_slots = 1 / (1e6 * seconds);
  slots += gain * (window_us * to_slots - slots);
  variance = (1 - gain) * (1 - gain) * variance +
             gain * gain * window_squares * to_slots * to_slots;
  window_us = 0;
  window_squares = 0;
}

void MaxMinShare::Demand::Merge(const Demand& other) {
  weight += other.weight;
  window_us += other.window_us;
  window_squares += other.window_squares;
  slots += other.slots;
  variance += other.variance;
}

MaxMinShare::MaxMinShare(MaxMinShareOptions options) : options_(options) {}

void MaxMinShare::OnArrival(const std::string& customer, double weight,
                            int position, Duration cost, uint16_t admit_share,
                            TimePoint now) {
  if (!started_) {
    started_ = true;
    window_start_ = now;
  }
  const bool is_known = positions_.count(position) > 0;
  if (!is_known && positions_.size() >= kMaxPositions) return;
  Position& at = positions_[position];
  const double cost_us = static_cast<double>(cost.count());
  auto found = at.customers.find(customer);
  if (found == at.customers.end() && at.customers.size() < kMaxCandidates) {
    found = at.customers.try_emplace(customer).first;
  }
  Demand& demand = found == at.customers.end() ? at.rest : found->second;
  if (found != at.customers.end()) demand.weight = weight;
  demand.Add(cost_us * OfferedCalls(admit_share));
}

void MaxMinShare::Smooth(Position& position, double seconds) const {
  for (auto it = position.customers.begin(); it != position.customers.end();) {
    it->second.Smooth(options_.gain, seconds);
    const bool is_unused = it->second.slots < kMinSlots;
    it = is_unused ? position.customers.erase(it) : std::next(it);
  }
  position.rest.Smooth(options_.gain, seconds);
}

void MaxMinShare::KeepLargest(Position& position) {
  position.rest.weight = 1;
  if (position.customers.size() <= kMaxCustomers) return;
  std::vector<std::pair<double, std::string>> by_demand;
  by_demand.reserve(position.customers.size());
  for (const auto& [name, demand] : position.customers) {
    by_demand.emplace_back(demand.slots, name);
  }
  std::nth_element(by_demand.begin(), by_demand.begin() + kMaxCustomers,
                   by_demand.end(), std::greater<>());
  position.rest.weight = 0;
  for (size_t i = kMaxCustomers; i < by_demand.size(); ++i) {
    const auto found = position.customers.find(by_demand[i].second);
    position.rest.Merge(found->second);
    position.customers.erase(found);
  }
}

void MaxMinShare::Close(double cut, TimePoint now) {
  shares_.clear();
  rest_share_ = 1;
  const double seconds =
      std::chrono::duration<double>(now - window_start_).count();
  window_start_ = now;
  if (seconds <= 0) return;
  for (auto it = positions_.begin(); it != positions_.end();) {
    Smooth(it->second, seconds);
    KeepLargest(it->second);
    const bool is_unused =
        it->second.customers.empty() && it->second.rest.slots < kMinSlots;
    it = is_unused ? positions_.erase(it) : std::next(it);
  }
  const auto at = positions_.find(CutPosition(cut));
  if (cut <= 0 || at == positions_.end()) return;
  Divide(at->second, AdmittedShare(cut, at->first));
}

void MaxMinShare::Divide(const Position& position, double admitted_share) {
  std::vector<WeightedDemand> demands;
  double offered = 0;
  demands.reserve(position.customers.size() + 1);
  for (const auto& [name, demand] : position.customers) {
    demands.push_back({demand.slots, demand.weight});
    offered += demand.slots;
  }
  if (position.rest.slots >= kMinSlots) {
    demands.push_back({position.rest.slots, position.rest.weight});
    offered += position.rest.slots;
  }
  const double level =
      MaxMinLevel(std::move(demands), offered * admitted_share);
  const auto share_of = [&](const Demand& demand) {
    const double certain = demand.Certain(options_.tolerated_deviations);
    const double granted = demand.weight * level;
    return certain <= granted ? 1.0 : granted / certain;
  };
  for (const auto& [name, demand] : position.customers) {
    shares_[name] = share_of(demand);
  }
  rest_share_ = position.rest.slots >= kMinSlots ? share_of(position.rest) : 1;
}

double MaxMinShare::ShareOf(const std::string& customer) const {
  const auto found = shares_.find(customer);
  return found == shares_.end() ? rest_share_ : found->second;
}

size_t MaxMinShare::size() const {
  size_t entries = 0;
  for (const auto& [number, position] : positions_) {
    entries += position.customers.size();
  }
  return entries;
}

}  // namespace amaranth
