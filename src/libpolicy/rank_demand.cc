#include "amaranthroute/policy/rank_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace amaranth {
namespace {

// A call with a smaller share is counted as if it had this one, so that a
// single call never stands for hundreds.
constexpr uint16_t kMinAdmitShare = kFullAdmitShare / 64;

}  // namespace

uint8_t CostBucketOf(double slot_us) {
  if (slot_us <= kCheapestBucketMicros) return 0;
  const int bucket =
      1 + static_cast<int>(std::log(slot_us / kCheapestBucketMicros) /
                           std::log(kCostStep));
  return static_cast<uint8_t>(std::min(bucket, kCostBuckets - 1));
}

int PositionOf(Tier tier, Tier class_tier, uint8_t cost_bucket) {
  const int rank =
      static_cast<int>(tier) * kTierCount + static_cast<int>(class_tier);
  const int bucket = std::min<int>(cost_bucket, kCostBuckets - 1);
  return rank * kCostBuckets + (kCostBuckets - 1 - bucket);
}

double AdmittedShare(double cut, int position) {
  return std::clamp(position + 1 - cut, 0.0, 1.0);
}

int CutPosition(double cut) { return static_cast<int>(std::ceil(cut)) - 1; }

double OfferedCalls(uint16_t admit_share) {
  return static_cast<double>(kFullAdmitShare) /
         std::max(admit_share, kMinAdmitShare);
}

RankDemand::RankDemand(RankDemandOptions options) : options_(options) {}

void RankDemand::OnArrival(int position, Duration cost, uint16_t admit_share,
                           TimePoint now) {
  if (!started_) {
    started_ = true;
    window_start_ = now;
  }
  window_us_.at(static_cast<size_t>(position)) +=
      static_cast<double>(cost.count()) * OfferedCalls(admit_share);
}

bool RankDemand::WindowIsOver(TimePoint now) const {
  return started_ && now - window_start_ >= options_.window;
}

double RankDemand::offered_slots() const {
  return std::accumulate(slots_.begin(), slots_.end(), 0.0);
}

void RankDemand::Close(int limit, const std::vector<WaitingWork>& waiting,
                       TimePoint now) {
  UpdateDemand(std::chrono::duration<double>(now - window_start_).count());
  // Waiting work is demand at its own position: it delays calls of that
  // position and below, not those above.
  ByPosition waiting_slots{};
  double all_waiting = 0;
  for (const WaitingWork& work : waiting) {
    const double slots = static_cast<double>(work.slot_time.count()) /
                         static_cast<double>(options_.drain_time.count());
    waiting_slots.at(static_cast<size_t>(work.position)) += slots;
    all_waiting += slots;
  }
  UpdateCorrection(limit, waiting_slots);
  const double min_waiting = limit *
                             static_cast<double>(options_.min_wait.count()) /
                             static_cast<double>(options_.drain_time.count());
  const bool may_cut = cut_ > 0 || all_waiting >= min_waiting;
  cut_ = may_cut ? FindCut(limit * correction_, waiting_slots) : 0;
  was_idle_ = false;
  window_start_ = now;
}

void RankDemand::UpdateDemand(double seconds) {
  for (size_t i = 0; i < slots_.size(); ++i) {
    const double offered = window_us_[i] / 1e6 / seconds;
    slots_[i] += options_.gain * (offered - slots_[i]);
    window_us_[i] = 0;
  }
}

void RankDemand::UpdateCorrection(int limit, const ByPosition& waiting_slots) {
  double admitted_waiting = 0;
  for (int position = static_cast<int>(cut_); position < kPositions;
       ++position) {
    admitted_waiting += waiting_slots[static_cast<size_t>(position)];
  }
  const double max_waiting = limit *
                             static_cast<double>(options_.max_wait.count()) /
                             static_cast<double>(options_.drain_time.count());
  long_waits_ = admitted_waiting > max_waiting ? long_waits_ + 1 : 0;
  if (long_waits_ > options_.patience) {
    correction_ *= options_.decrease;
  } else if (was_idle_ && cut_ > 0) {
    correction_ *= options_.increase;
  } else if (cut_ <= 0) {
    // Nothing is refused, so the last estimate is no longer confirmed.
    correction_ += options_.gain * (1 - correction_);
  }
  correction_ =
      std::clamp(correction_, options_.min_correction, options_.max_correction);
}

double RankDemand::FindCut(double capacity,
                           const ByPosition& waiting_slots) const {
  double left = capacity;
  for (int position = kPositions - 1; position >= 0; --position) {
    const size_t index = static_cast<size_t>(position);
    // Of what is left, waiting calls are served before new ones.
    left = std::max(0.0, left - waiting_slots[index]);
    const double offered = slots_[index];
    if (offered > left) return position + 1 - left / offered;
    left -= offered;
  }
  return 0;
}

}  // namespace amaranth
