#include "amaranthroute/policy/rank_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace amaranth {
namespace {

// A call with a smaller share is counted as if it had this one, so that a
// single call never stands for hundreds.
constexpr uint16_t kMinAdmitShare = kFullAdmitShare / 64;

// The cost of requests is lowered only while this part of the calls of a window
// waits at most, a wait of 100 ms: longer waits delay their later calls.
constexpr double kShortWait = 0.5;

// Lower limit of a position's share of the capacity as a factor on the steps of
// the correction, so that the correction always moves.
constexpr double kMinStepShare = 0.05;

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
                           bool is_first, TimePoint now) {
  if (!started_) {
    started_ = true;
    window_start_ = now;
  }
  const double offered = OfferedCalls(admit_share);
  const size_t index = static_cast<size_t>(position);
  window_.calls.at(index) += offered;
  if (is_first) window_.first_calls.at(index) += offered;
  window_.micros.at(index) += static_cast<double>(cost.count()) * offered;
}

bool RankDemand::WindowIsOver(TimePoint now) const {
  return started_ && now - window_start_ >= options_.window;
}

double RankDemand::offered_slots() const {
  return std::accumulate(slots_.begin(), slots_.end(), 0.0);
}

void RankDemand::Close(int limit, const std::vector<WaitingWork>& waiting,
                       TimePoint now) {
  // Waiting work is demand at its own position: it delays calls of that
  // position and below, not those above.
  ByPosition waiting_slots{};
  ByPosition waiting_calls{};
  double all_waiting = 0;
  for (const WaitingWork& work : waiting) {
    const double slots = static_cast<double>(work.slot_time.count()) /
                         static_cast<double>(options_.drain_time.count());
    waiting_slots.at(static_cast<size_t>(work.position)) += slots;
    waiting_calls.at(static_cast<size_t>(work.position)) += 1;
    all_waiting += slots;
  }
  UpdateDemand(std::chrono::duration<double>(now - window_start_).count(),
               waiting_calls);
  UpdateCorrection(limit, waiting_slots);
  const double min_waiting = limit *
                             static_cast<double>(options_.min_wait.count()) /
                             static_cast<double>(options_.drain_time.count());
  const bool may_cut = cut_ > 0 || all_waiting >= min_waiting;
  cut_ = may_cut ? FindCut(limit * correction_, waiting_slots) : 0;
  was_idle_ = false;
  window_start_ = now;
}

void RankDemand::UpdateDemand(double seconds, const ByPosition& waiting_calls) {
  // A window is longer if no answer was due at its end. It then counts as the
  // number of windows that it is long.
  const double windows = std::max(
      1.0, seconds / std::chrono::duration<double>(options_.window).count());
  const auto smooth = [&](double gain, ByPosition& mean,
                          const ByPosition& sum) {
    const double weight = 1 - std::pow(1 - gain, windows);
    for (size_t i = 0; i < mean.size(); ++i) {
      mean[i] += weight * (sum[i] / seconds - mean[i]);
    }
  };
  for (auto [mean, gain] : {std::pair(&recent_, options_.gain),
                            std::pair(&lasting_, options_.cost_gain)}) {
    smooth(gain, mean->calls, window_.calls);
    smooth(gain, mean->first_calls, window_.first_calls);
    smooth(gain, mean->micros, window_.micros);
  }
  for (size_t i = 0; i < slots_.size(); ++i) {
    UpdateRequestCost(i, waiting_calls[i]);
    const double by_calls = recent_.micros[i];
    const double by_requests = recent_.first_calls[i] * request_us_[i];
    slots_[i] = (by_requests > 0 ? by_requests : by_calls) / 1e6;
  }
  window_ = Offered();
}

void RankDemand::UpdateRequestCost(size_t position, double waiting_calls) {
  if (lasting_.first_calls[position] <= 0) return;
  const double measured =
      lasting_.micros[position] / lasting_.first_calls[position];
  const bool waits_are_short =
      waiting_calls <= kShortWait * window_.calls[position];
  if (measured > request_us_[position] || waits_are_short) {
    request_us_[position] = measured;
  }
}

void RankDemand::UpdateCorrection(int limit, const ByPosition& waiting_slots) {
  const double max_wait = static_cast<double>(options_.max_wait.count()) /
                          static_cast<double>(options_.drain_time.count());
  double left = limit;
  bool is_long_wait = false;
  for (int position = kPositions - 1; position >= static_cast<int>(cut_);
       --position) {
    const size_t index = static_cast<size_t>(position);
    const double usable = std::max(left, kMinStepShare * limit);
    if (waiting_slots[index] > max_wait * usable) is_long_wait = true;
    left -= slots_[index];
  }
  long_waits_ = is_long_wait ? long_waits_ + 1 : 0;
  const double step_share = std::max(share_at_cut_, kMinStepShare);
  if (long_waits_ > options_.patience) {
    correction_ -= options_.decrease * step_share;
  } else if (was_idle_ && cut_ > 0) {
    correction_ += options_.increase * step_share;
  } else if (cut_ <= 0) {
    // Nothing is refused, so the last estimate is no longer confirmed.
    correction_ += options_.gain * (1 - correction_);
  }
  correction_ =
      std::clamp(correction_, options_.min_correction, options_.max_correction);
}

double RankDemand::FindCut(double capacity, const ByPosition& waiting_slots) {
  double left = capacity;
  share_at_cut_ = 1;
  for (int position = kPositions - 1; position >= 0; --position) {
    const size_t index = static_cast<size_t>(position);
    const double offered = slots_[index];
    if (offered > 0) share_at_cut_ = left / capacity;
    // Of what is left, waiting calls are served before new ones.
    left = std::max(0.0, left - waiting_slots[index]);
    if (offered > left) return position + 1 - left / offered;
    left -= offered;
  }
  share_at_cut_ = 1;
  return 0;
}

}  // namespace amaranth
