#include "amaranthroute/policy/admission_queue.h"

#include <algorithm>
#include <iterator>

namespace amaranth {
namespace {

// Patience in expected service times: with few slots and long calls, 500 ms may
// be one call's turn.
constexpr int kPatienceServices = 2;
// Part of the places that long work may take.
constexpr size_t kLongPlacesDivisor = 2;

// No call leaves the far end of time: kNever has no room below it.
TimePoint LatestStart(const QueuedCall& call) {
  return call.deadline == kNever ? kNever : call.deadline - call.expected;
}

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : options_(options), patience_(options.patience) {}

size_t AdmissionQueue::CapacityForWait(size_t least, int slots,
                                       Duration service, Duration max_wait) {
  if (service <= Duration::zero() || slots <= 0) return least;
  const double started = static_cast<double>(slots) *
                         static_cast<double>(max_wait.count()) /
                         static_cast<double>(service.count());
  return std::max(least, static_cast<size_t>(started));
}

void AdmissionQueue::Configure(const AdmissionQueueOptions& options) {
  options_ = options;
}

PushResult AdmissionQueue::Push(QueuedCall call, TimePoint,
                                std::vector<QueuedCall>& evicted) {
  if (!MakeRoom(call, evicted)) return PushResult::kFull;
  Insert(std::move(call));
  return PushResult::kQueued;
}

std::optional<QueuedCall> AdmissionQueue::Pop(
    TimePoint now, Duration expected_service, bool long_allowed,
    std::vector<QueuedCall>& expired) {
  DropExpired(now, expected_service, expired);
  long_allowed_ = long_allowed;
  for (auto tier = tiers_.rbegin(); tier != tiers_.rend(); ++tier) {
    Lane* lane = &tier->brief;
    const Lane& lengthy = tier->lengthy;
    const bool long_waits = long_allowed && !lengthy.by_age.empty();
    if (long_waits && (lane->by_age.empty() ||
                       *lengthy.by_age.begin() < *lane->by_age.begin())) {
      lane = &tier->lengthy;
    }
    if (lane->turns.empty()) continue;
    const Calls& calls = lane->callers.at(lane->turns.front());
    const uint64_t id = lane->overloaded ? calls.back().id : calls.front().id;
    lane->turns.splice(lane->turns.end(), lane->turns, lane->turns.begin());
    QueuedCall call = TakeOut(id);
    // Long work that still waits now waits for its own share, as far as known.
    if (call.long_work) long_allowed_ = false;
    if (LatestStart(call) <= now) {
      next_hopeless_ = now + options_.hopeless_period;
    }
    return call;
  }
  return std::nullopt;
}

bool AdmissionQueue::Remove(uint64_t id) {
  if (places_.count(id) == 0) return false;
  TakeOut(id);
  return true;
}

void AdmissionQueue::DropExpired(TimePoint now, Duration expected_service,
                                 std::vector<QueuedCall>& expired) {
  patience_ = std::max(options_.patience, expected_service * kPatienceServices);
  DropLate(now, expired);
  for (TierLanes& tier : tiers_) {
    UpdateOverload(tier.brief, now, expected_service);
    if (tier.brief.overloaded) DropImpatient(tier.brief, now, expired);
  }
}

size_t AdmissionQueue::size() const { return places_.size(); }

Duration AdmissionQueue::standing_delay(TimePoint now) const {
  Duration oldest{0};
  const auto include = [&](const Lane& lane) {
    if (lane.by_age.empty()) return;
    oldest = std::max(oldest, now - lane.by_age.begin()->first);
  };
  for (const TierLanes& tier : tiers_) {
    include(tier.brief);
    if (long_allowed_) include(tier.lengthy);
  }
  return oldest;
}

TimePoint AdmissionQueue::next_deadline() const {
  if (by_deadline_.empty()) return kNever;
  TimePoint next = by_deadline_.begin()->first;
  for (const TierLanes& tier : tiers_) {
    const Lane& lane = tier.brief;
    if (!lane.overloaded || lane.by_age.empty()) continue;
    next = std::min(next, lane.by_age.begin()->first + patience_);
  }
  return next;
}

bool AdmissionQueue::overloaded(Tier tier) const {
  return tiers_[static_cast<size_t>(tier)].brief.overloaded;
}

AdmissionQueue::Lane& AdmissionQueue::LaneOf(const QueuedCall& call) {
  TierLanes& tier = tiers_[static_cast<size_t>(call.tier)];
  return call.long_work ? tier.lengthy : tier.brief;
}

void AdmissionQueue::Insert(QueuedCall call) {
  Lane& lane = LaneOf(call);
  const auto [caller, is_new] = lane.callers.try_emplace(call.caller_key);
  if (is_new) lane.turns.push_back(call.caller_key);
  lane.by_age.emplace(call.enqueued, call.id);
  by_deadline_.emplace(call.deadline, call.id);
  by_latest_start_.emplace(LatestStart(call), call.id);
  if (call.long_work) ++long_waiting_;
  Calls& calls = caller->second;
  calls.push_back(std::move(call));
  const Calls::iterator added = std::prev(calls.end());
  places_[added->id] = Place{added->tier, added};
}

QueuedCall AdmissionQueue::TakeOut(uint64_t id) {
  const auto place = places_.find(id);
  const Calls::iterator at = place->second.call;
  places_.erase(place);
  QueuedCall call = *at;
  Lane& lane = LaneOf(call);
  lane.by_age.erase({call.enqueued, id});
  by_deadline_.erase({call.deadline, id});
  by_latest_start_.erase({LatestStart(call), id});
  if (call.long_work) --long_waiting_;
  const auto caller = lane.callers.find(call.caller_key);
  caller->second.erase(at);
  if (caller->second.empty()) {
    lane.callers.erase(caller);
    lane.turns.remove(call.caller_key);
  }
  return call;
}

bool AdmissionQueue::MakeRoom(const QueuedCall& newcomer,
                              std::vector<QueuedCall>& evicted) {
  const bool full = places_.size() >= options_.capacity;
  const size_t long_places =
      std::max<size_t>(1, options_.capacity / kLongPlacesDivisor);
  const bool long_full = newcomer.long_work && long_waiting_ >= long_places;
  if (!full && !long_full) return true;
  const std::optional<uint64_t> victim = VictimFor(newcomer, long_full);
  if (!victim) return false;
  evicted.push_back(TakeOut(*victim));
  return true;
}

std::optional<uint64_t> AdmissionQueue::VictimFor(const QueuedCall& newcomer,
                                                  bool long_only) const {
  const auto own_rank = static_cast<size_t>(newcomer.tier);
  for (size_t rank = 0; rank <= own_rank; ++rank) {
    // The caller with the most calls, over both lanes.
    const Lane* fullest = nullptr;
    const std::string* hottest = nullptr;
    size_t most = 0;
    for (const Lane* lane : {&tiers_[rank].lengthy, &tiers_[rank].brief}) {
      if (long_only && lane == &tiers_[rank].brief) continue;
      for (const auto& [caller, calls] : lane->callers) {
        if (calls.size() <= most) continue;
        most = calls.size();
        hottest = &caller;
        fullest = lane;
      }
    }
    if (hottest == nullptr) continue;
    if (rank == own_rank) {
      // Among equals only the caller with the most calls gives way, and only
      // if that leaves it with no fewer than the newcomer's.
      const Lane& own =
          newcomer.long_work ? tiers_[rank].lengthy : tiers_[rank].brief;
      const auto found = own.callers.find(newcomer.caller_key);
      const size_t own_calls =
          found == own.callers.end() ? 0 : found->second.size();
      if (own_calls + 1 >= most) return std::nullopt;
    }
    const Calls& calls = fullest->callers.at(*hottest);
    return std::min_element(calls.begin(), calls.end(),
                            [](const QueuedCall& a, const QueuedCall& b) {
                              return a.level < b.level;
                            })
        ->id;
  }
  return std::nullopt;
}

void AdmissionQueue::UpdateOverload(Lane& lane, TimePoint now,
                                    Duration expected_service) const {
  const Duration target = std::max(options_.target_delay, expected_service);
  if (lane.by_age.empty() || now - lane.by_age.begin()->first <= target) {
    lane.above_since = kNever;
    lane.overloaded = false;
    return;
  }
  if (lane.above_since == kNever) lane.above_since = now;
  if (!options_.newest_first) return;
  if (now - lane.above_since >= options_.interval) lane.overloaded = true;
}

void AdmissionQueue::DropLate(TimePoint now, std::vector<QueuedCall>& expired) {
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    expired.push_back(TakeOut(by_deadline_.begin()->second));
  }
  const bool all_hopeless =
      !by_latest_start_.empty() && by_latest_start_.rbegin()->first <= now;
  if (all_hopeless && now >= next_hopeless_) return;
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now) {
    expired.push_back(TakeOut(by_latest_start_.begin()->second));
  }
}

void AdmissionQueue::DropImpatient(const Lane& lane, TimePoint now,
                                   std::vector<QueuedCall>& expired) {
  while (!lane.by_age.empty() &&
         now - lane.by_age.begin()->first >= patience_) {
    expired.push_back(TakeOut(lane.by_age.begin()->second));
  }
}

}  // namespace amaranth
