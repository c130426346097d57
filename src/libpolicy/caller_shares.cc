#include "amaranthroute/policy/caller_shares.h"

#include <algorithm>
#include <utility>

#include "amaranthroute/policy/shedder.h"

namespace amaranth {

void CallerShares::OnArrival(const std::string& caller, TimePoint now) {
  if (now - turned_ >= kWindow) {
    const bool gap = now - turned_ >= kWindow * 2;
    older_ = gap ? Counts() : std::move(newer_);
    older_total_ = gap ? 0 : newer_total_;
    newer_.clear();
    newer_total_ = 0;
    turned_ = now;
  }
  if (newer_.size() >= kMaxCallers && newer_.count(caller) == 0) return;
  ++newer_[caller];
  ++newer_total_;
}

uint64_t CallerShares::DemandOf(const std::string& caller) const {
  uint64_t demand = 0;
  for (const Counts* counts : {&newer_, &older_}) {
    const auto found = counts->find(caller);
    if (found != counts->end()) demand += found->second;
  }
  return demand;
}

double CallerShares::Weight(const std::string& caller) const {
  const uint64_t own = DemandOf(caller);
  const size_t callers = std::max(newer_.size(), older_.size());
  if (own == 0 || callers == 0) return 1;
  const double mean = static_cast<double>(newer_total_ + older_total_) /
                      static_cast<double>(callers);
  return std::min(1.0, kSlack * mean / static_cast<double>(own));
}

uint32_t WeightedSheddingLevel(Tier tier, std::string_view request_id,
                               double weight) {
  const uint32_t full = SheddingLevel(tier, request_id);
  const uint32_t lowest = 1 + static_cast<uint32_t>(tier) * kLevelsPerTier;
  const double within = static_cast<double>(full - lowest) * weight;
  return lowest + static_cast<uint32_t>(within);
}

}  // namespace amaranth
