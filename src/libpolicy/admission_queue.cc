#include "amaranthroute/policy/admission_queue.h"

#include <algorithm>
#include <iterator>

namespace amaranth {
namespace {

// The wait of a tier counts as patience-breaking in expected service times too:
// with few slots and long calls, 500 ms may be one call's turn.
constexpr int kPatienceServices = 2;

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : options_(options), patience_(options.patience) {}

PushResult AdmissionQueue::Push(QueuedCall call, TimePoint,
                                std::vector<QueuedCall>& evicted) {
  if (places_.size() >= options_.capacity && !MakeRoom(call, evicted)) {
    return PushResult::kFull;
  }
  Insert(std::move(call));
  return PushResult::kQueued;
}

std::optional<QueuedCall> AdmissionQueue::Pop(
    TimePoint now, Duration expected_service, bool long_allowed,
    std::vector<QueuedCall>& expired) {
  DropExpired(now, expected_service, expired);
  for (auto tier = tiers_.rbegin(); tier != tiers_.rend(); ++tier) {
    const std::optional<uint64_t> id = NextOf(*tier, long_allowed);
    if (!id) continue;
    QueuedCall call = TakeOut(*id);
    if (Hopeless(call, now, expected_service)) {
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
  const bool spare_hopeless =
      now >= next_hopeless_ && !by_deadline_.empty() &&
      by_deadline_.rbegin()->first <= now + expected_service;
  patience_ = std::max(options_.patience, expected_service * kPatienceServices);
  DropLate(spare_hopeless ? now : now + expected_service, expired);
  for (TierQueue& tier : tiers_) {
    UpdateOverload(tier, now, expected_service);
    if (tier.overloaded) DropImpatient(tier, now, expired);
  }
}

size_t AdmissionQueue::size() const { return places_.size(); }

Duration AdmissionQueue::standing_delay(TimePoint now) const {
  Duration oldest{0};
  for (const TierQueue& tier : tiers_) {
    if (tier.by_age.empty()) continue;
    oldest = std::max(oldest, now - tier.by_age.begin()->first);
  }
  return oldest;
}

TimePoint AdmissionQueue::next_deadline() const {
  if (by_deadline_.empty()) return kNever;
  TimePoint next = by_deadline_.begin()->first;
  for (const TierQueue& tier : tiers_) {
    if (!tier.overloaded || tier.by_age.empty()) continue;
    next = std::min(next, tier.by_age.begin()->first + patience_);
  }
  return next;
}

bool AdmissionQueue::overloaded(Tier tier) const {
  return tiers_[static_cast<size_t>(tier)].overloaded;
}

AdmissionQueue::TierQueue& AdmissionQueue::TierOf(Tier tier) {
  return tiers_[static_cast<size_t>(tier)];
}

void AdmissionQueue::Insert(QueuedCall call) {
  TierQueue& tier = TierOf(call.tier);
  const auto [caller, is_new] = tier.callers.try_emplace(call.caller_key);
  if (is_new) tier.turns.push_back(call.caller_key);
  tier.by_age.emplace(call.enqueued, call.id);
  by_deadline_.emplace(call.deadline, call.id);
  Calls& calls = caller->second.calls;
  calls.push_back(std::move(call));
  const Calls::iterator added = std::prev(calls.end());
  places_[added->id] = Place{added->tier, added->caller_key, added};
}

QueuedCall AdmissionQueue::TakeOut(uint64_t id) {
  const auto found = places_.find(id);
  const Place place = found->second;
  places_.erase(found);
  QueuedCall call = std::move(*place.call);
  TierQueue& tier = TierOf(place.tier);
  tier.by_age.erase({call.enqueued, id});
  by_deadline_.erase({call.deadline, id});
  const auto caller = tier.callers.find(place.caller_key);
  caller->second.calls.erase(place.call);
  if (caller->second.calls.empty()) {
    tier.callers.erase(caller);
    tier.turns.remove(place.caller_key);
  }
  return call;
}

bool AdmissionQueue::MakeRoom(const QueuedCall& newcomer,
                              std::vector<QueuedCall>& evicted) {
  const std::optional<uint64_t> victim = VictimFor(newcomer);
  if (!victim) return false;
  evicted.push_back(TakeOut(*victim));
  return true;
}

std::optional<uint64_t> AdmissionQueue::VictimFor(
    const QueuedCall& newcomer) const {
  const auto lowest =
      std::find_if(tiers_.begin(), tiers_.end(),
                   [](const TierQueue& tier) { return !tier.callers.empty(); });
  if (lowest == tiers_.end()) return std::nullopt;
  const auto rank = static_cast<size_t>(std::distance(tiers_.begin(), lowest));
  const auto own_rank = static_cast<size_t>(newcomer.tier);
  if (rank > own_rank) return std::nullopt;
  const auto hottest =
      std::max_element(lowest->callers.begin(), lowest->callers.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.calls.size() < b.second.calls.size();
                       });
  const Calls& calls = hottest->second.calls;
  if (rank == own_rank) {
    // Among equals only the caller with the most calls gives way, and only if
    // that leaves it with no fewer than the newcomer's.
    const auto own = lowest->callers.find(newcomer.caller_key);
    const size_t own_calls =
        own == lowest->callers.end() ? 0 : own->second.calls.size();
    if (own_calls + 1 >= calls.size()) return std::nullopt;
  }
  const auto victim = std::min_element(
      calls.begin(), calls.end(), [](const QueuedCall& a, const QueuedCall& b) {
        return a.level < b.level;
      });
  return victim->id;
}

void AdmissionQueue::UpdateOverload(TierQueue& tier, TimePoint now,
                                    Duration expected_service) const {
  const Duration target = std::max(options_.target_delay, expected_service);
  if (tier.by_age.empty() || now - tier.by_age.begin()->first <= target) {
    tier.above_since = kNever;
    tier.overloaded = false;
    return;
  }
  if (tier.above_since == kNever) tier.above_since = now;
  if (now - tier.above_since >= options_.interval) tier.overloaded = true;
}

std::optional<uint64_t> AdmissionQueue::NextOf(TierQueue& tier,
                                               bool long_allowed) const {
  const auto may_run = [long_allowed](const QueuedCall& call) {
    return long_allowed || !call.long_work;
  };
  for (auto turn = tier.turns.begin(); turn != tier.turns.end(); ++turn) {
    const Calls& calls = tier.callers.at(*turn).calls;
    std::optional<uint64_t> id;
    if (tier.overloaded) {
      const auto newest = std::find_if(calls.rbegin(), calls.rend(), may_run);
      if (newest != calls.rend()) id = newest->id;
    } else {
      const auto oldest = std::find_if(calls.begin(), calls.end(), may_run);
      if (oldest != calls.end()) id = oldest->id;
    }
    if (!id) continue;
    tier.turns.splice(tier.turns.end(), tier.turns, turn);
    return id;
  }
  return std::nullopt;
}

bool AdmissionQueue::Hopeless(const QueuedCall& call, TimePoint now,
                              Duration expected_service) const {
  return call.deadline <= now + expected_service;
}

void AdmissionQueue::DropLate(TimePoint limit,
                              std::vector<QueuedCall>& expired) {
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= limit) {
    expired.push_back(TakeOut(by_deadline_.begin()->second));
  }
}

void AdmissionQueue::DropImpatient(TierQueue& tier, TimePoint now,
                                   std::vector<QueuedCall>& expired) {
  while (!tier.by_age.empty() &&
         now - tier.by_age.begin()->first >= patience_) {
    expired.push_back(TakeOut(tier.by_age.begin()->second));
  }
}

}  // namespace amaranth
