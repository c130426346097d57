#include "amaranthroute/policy/caller_shares.h"

#include <algorithm>
#include <utility>

#include "amaranthroute/policy/shedder.h"

namespace amaranth {

void CallerShares::OnArrival(const std::string& caller, TimePoint now) {
  if (now - window_start_ >= kWindow) {
    const bool missed_window = now - window_start_ >= kWindow * 2;
    previous_ = missed_window ? Counts() : std::move(current_);
    previous_total_ = missed_window ? 0 : current_total_;
    current_.clear();
    current_total_ = 0;
    window_start_ = now;
  }
  if (current_.size() >= kMaxCallers && current_.count(caller) == 0) return;
  ++current_[caller];
  ++current_total_;
}

uint64_t CallerShares::DemandOf(const std::string& caller) const {
  uint64_t demand = 0;
  for (const Counts* counts : {&current_, &previous_}) {
    const auto found = counts->find(caller);
    if (found != counts->end()) demand += found->second;
  }
  return demand;
}

double CallerShares::Weight(const std::string& caller) const {
  const uint64_t demand = DemandOf(caller);
  const size_t callers = std::max(current_.size(), previous_.size());
  if (demand == 0 || callers == 0) return 1;
  const double mean = static_cast<double>(current_total_ + previous_total_) /
                      static_cast<double>(callers);
  return std::min(1.0, kTolerance * mean / static_cast<double>(demand));
}

uint32_t WeightedSheddingLevel(Tier tier, std::string_view request_id,
                               double weight) {
  const uint32_t unweighted = SheddingLevel(tier, request_id);
  const uint32_t lowest = 1 + static_cast<uint32_t>(tier) * kLevelsPerTier;
  const double offset = static_cast<double>(unweighted - lowest) * weight;
  return lowest + static_cast<uint32_t>(offset);
}

}  // namespace amaranth
