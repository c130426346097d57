#include "amaranthroute/policy/admission_queue.h"

#include <algorithm>
#include <iterator>

namespace amaranth {
namespace {

// Lower bound of the wait timeout, in expected service times: with few slots
// and long calls a wait for a single call may take 500 ms.
constexpr int kTimeoutServiceTimes = 2;
// Divisor of the capacity that gives the maximum number of waiting long work.
constexpr size_t kLongPlacesDivisor = 2;

// Returns the latest time at which `call` can start and end before its
// deadline. kNever is kept as it is, since it stands for no deadline.
TimePoint LatestStart(const QueuedCall& call) {
  return call.deadline == kNever ? kNever : call.deadline - call.expected;
}

// Compares calls whose target_start is known.
bool PrecedesBySlack(const QueuedCall& a, const QueuedCall& b, TimePoint now) {
  const bool a_in_time = *a.target_start >= now;
  const bool b_in_time = *b.target_start >= now;
  if (a_in_time != b_in_time) return a_in_time;
  if (!a_in_time) return a.deadline < b.deadline;
  if (a.calls_done != b.calls_done) return a.calls_done > b.calls_done;
  return *a.target_start < *b.target_start;
}

// Returns whether `a` is kept rather than `b` when the queue is full. A request
// whose first call is refused has cost nothing.
bool IsKeptBefore(const QueuedCall& a, const QueuedCall& b, TimePoint now) {
  const bool a_began = a.calls_done > 0;
  const bool b_began = b.calls_done > 0;
  if (a_began != b_began) return a_began;
  return PrecedesBySlack(a, b, now);
}

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : options_(options), wait_timeout_(options.wait_timeout) {}

size_t AdmissionQueue::CapacityForWait(size_t min_places, int slots,
                                       Duration service, Duration max_wait) {
  if (service <= Duration::zero() || slots <= 0) return min_places;
  const double places = static_cast<double>(slots) *
                        static_cast<double>(max_wait.count()) /
                        static_cast<double>(service.count());
  return std::max(min_places, static_cast<size_t>(places));
}

size_t AdmissionQueue::CapacityForRate(double per_second, Duration max_wait) {
  constexpr size_t kMinPlaces = 2;
  const double places =
      per_second * std::chrono::duration<double>(max_wait).count();
  return std::max(kMinPlaces, static_cast<size_t>(places));
}

void AdmissionQueue::Configure(const AdmissionQueueOptions& options) {
  options_ = options;
}

PushResult AdmissionQueue::Push(QueuedCall call, TimePoint now,
                                std::vector<QueuedCall>& evicted) {
  if (!MakeRoom(call, now, evicted)) return PushResult::kFull;
  Insert(std::move(call));
  return PushResult::kQueued;
}

std::optional<QueuedCall> AdmissionQueue::Pop(
    TimePoint now, Duration expected_service, bool long_allowed,
    std::vector<QueuedCall>& expired) {
  DropExpired(now, expected_service, expired);
  long_allowed_ = long_allowed;
  for (auto rank = ranks_.rbegin(); rank != ranks_.rend(); ++rank) {
    Lane* lane = &rank->short_calls;
    const Lane& long_calls = rank->long_calls;
    const bool long_waits = long_allowed && !long_calls.by_age.empty();
    if (long_waits && (lane->by_age.empty() ||
                       *long_calls.by_age.begin() < *lane->by_age.begin())) {
      lane = &rank->long_calls;
    }
    if (lane->turn_order.empty()) continue;
    const Calls& calls = lane->callers.at(lane->turn_order.front());
    const uint64_t id = NextOf(calls, lane->overloaded, now);
    lane->turn_order.splice(lane->turn_order.end(), lane->turn_order,
                            lane->turn_order.begin());
    QueuedCall call = Extract(id);
    // Whether the share of long work has a further slot is unknown until the
    // next Pop, so long work still waiting is assumed to wait for its share.
    if (call.long_work) long_allowed_ = false;
    if (LatestStart(call) <= now) {
      next_late_call_ = now + options_.late_call_period;
    }
    return call;
  }
  return std::nullopt;
}

bool AdmissionQueue::Remove(uint64_t id) {
  if (places_.count(id) == 0) return false;
  Extract(id);
  return true;
}

void AdmissionQueue::DropExpired(TimePoint now, Duration expected_service,
                                 std::vector<QueuedCall>& expired) {
  wait_timeout_ =
      std::max(options_.wait_timeout, expected_service * kTimeoutServiceTimes);
  DropMissingDeadline(now, expired);
  for (RankLanes& rank : ranks_) {
    UpdateOverloaded(rank.short_calls, now, expected_service);
    if (rank.short_calls.overloaded) DropOld(rank.short_calls, now, expired);
  }
}

void AdmissionQueue::ForEach(
    const std::function<void(const QueuedCall&)>& visit) const {
  for (const auto& [id, place] : places_) visit(*place);
}

size_t AdmissionQueue::size() const { return places_.size(); }

Duration AdmissionQueue::oldest_wait(TimePoint now) const {
  Duration oldest{0};
  const auto include = [&](const Lane& lane) {
    if (lane.by_age.empty()) return;
    oldest = std::max(oldest, now - lane.by_age.begin()->first);
  };
  for (const RankLanes& rank : ranks_) {
    include(rank.short_calls);
    if (long_allowed_) include(rank.long_calls);
  }
  return oldest;
}

TimePoint AdmissionQueue::next_deadline() const {
  if (by_deadline_.empty()) return kNever;
  TimePoint next = by_deadline_.begin()->first;
  if (!by_deadline_start_.empty()) {
    next = std::min(next, by_deadline_start_.begin()->first + Duration(1));
  }
  for (const RankLanes& rank : ranks_) {
    const Lane& lane = rank.short_calls;
    if (!lane.overloaded || lane.by_age.empty()) continue;
    next = std::min(next, lane.by_age.begin()->first + wait_timeout_);
  }
  return next;
}

bool AdmissionQueue::overloaded(Tier tier) const {
  const size_t first = static_cast<size_t>(tier) * kTierCount;
  for (size_t rank = first; rank < first + kTierCount; ++rank) {
    if (ranks_[rank].short_calls.overloaded) return true;
  }
  return false;
}

size_t AdmissionQueue::RankOf(const QueuedCall& call) {
  return static_cast<size_t>(call.tier) * kTierCount +
         static_cast<size_t>(call.class_tier);
}

AdmissionQueue::Lane& AdmissionQueue::LaneOf(const QueuedCall& call) {
  RankLanes& rank = ranks_[RankOf(call)];
  return call.long_work ? rank.long_calls : rank.short_calls;
}

void AdmissionQueue::Insert(QueuedCall call) {
  Lane& lane = LaneOf(call);
  const auto [caller, is_new] = lane.callers.try_emplace(call.caller_key);
  if (is_new) lane.turn_order.push_back(call.caller_key);
  lane.by_age.emplace(call.enqueued, call.id);
  by_deadline_.emplace(call.deadline, call.id);
  by_latest_start_.emplace(LatestStart(call), call.id);
  if (call.deadline_start) {
    by_deadline_start_.emplace(*call.deadline_start, call.id);
  }
  if (call.long_work) ++long_waiting_;
  if (call.target_start) ++with_slack_;
  Calls& calls = caller->second;
  calls.push_back(std::move(call));
  const Calls::iterator added = std::prev(calls.end());
  places_[added->id] = added;
}

QueuedCall AdmissionQueue::Extract(uint64_t id) {
  const auto place = places_.find(id);
  const Calls::iterator at = place->second;
  places_.erase(place);
  QueuedCall call = *at;
  Lane& lane = LaneOf(call);
  lane.by_age.erase({call.enqueued, id});
  by_deadline_.erase({call.deadline, id});
  by_latest_start_.erase({LatestStart(call), id});
  if (call.deadline_start) by_deadline_start_.erase({*call.deadline_start, id});
  if (call.long_work) --long_waiting_;
  if (call.target_start) --with_slack_;
  const auto caller = lane.callers.find(call.caller_key);
  caller->second.erase(at);
  if (caller->second.empty()) {
    lane.callers.erase(caller);
    lane.turn_order.remove(call.caller_key);
  }
  return call;
}

bool AdmissionQueue::MakeRoom(const QueuedCall& newcomer, TimePoint now,
                              std::vector<QueuedCall>& evicted) {
  const bool full = places_.size() >= options_.capacity;
  const size_t long_places =
      std::max<size_t>(1, options_.capacity / kLongPlacesDivisor);
  const bool long_full = newcomer.long_work && long_waiting_ >= long_places;
  if (!full && !long_full) return true;
  const std::optional<uint64_t> victim = VictimFor(newcomer, long_full, now);
  if (!victim) return false;
  evicted.push_back(Extract(*victim));
  return true;
}

std::optional<uint64_t> AdmissionQueue::VictimFor(const QueuedCall& newcomer,
                                                  bool long_only,
                                                  TimePoint now) const {
  const auto own_rank = RankOf(newcomer);
  for (size_t rank = 0; rank <= own_rank; ++rank) {
    // The caller with the most waiting calls in one lane, over both lanes.
    const Lane* busiest_lane = nullptr;
    const std::string* busiest_caller = nullptr;
    size_t most = 0;
    for (const Lane* lane :
         {&ranks_[rank].long_calls, &ranks_[rank].short_calls}) {
      if (long_only && lane == &ranks_[rank].short_calls) continue;
      for (const auto& [caller, calls] : lane->callers) {
        if (calls.size() <= most) continue;
        most = calls.size();
        busiest_caller = &caller;
        busiest_lane = lane;
      }
    }
    if (busiest_caller == nullptr) continue;
    if (rank == own_rank) {
      // In the newcomer's own rank only the caller with the most waiting calls
      // loses one, and only if it keeps at least as many as the newcomer's
      // caller then has.
      const Lane& own = newcomer.long_work ? ranks_[rank].long_calls
                                           : ranks_[rank].short_calls;
      const auto found = own.callers.find(newcomer.caller_key);
      const size_t own_calls =
          found == own.callers.end() ? 0 : found->second.size();
      if (own_calls + 1 >= most) {
        if (own_calls == 0 || !newcomer.target_start) return std::nullopt;
        const QueuedCall& last = LastOf(found->second, now);
        const bool precedes =
            last.target_start && IsKeptBefore(newcomer, last, now);
        return precedes ? std::make_optional(last.id) : std::nullopt;
      }
    }
    const Calls& calls = busiest_lane->callers.at(*busiest_caller);
    return LastOf(calls, now).id;
  }
  return std::nullopt;
}

const QueuedCall& AdmissionQueue::LastOf(const Calls& calls, TimePoint now) {
  const QueuedCall* last = nullptr;
  for (const QueuedCall& call : calls) {
    if (!call.target_start) continue;
    if (last == nullptr || IsKeptBefore(*last, call, now)) last = &call;
  }
  if (last != nullptr) return *last;
  return *std::min_element(calls.begin(), calls.end(),
                           [](const QueuedCall& a, const QueuedCall& b) {
                             return a.level < b.level;
                           });
}

void AdmissionQueue::UpdateOverloaded(Lane& lane, TimePoint now,
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

void AdmissionQueue::DropMissingDeadline(TimePoint now,
                                         std::vector<QueuedCall>& expired) {
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    expired.push_back(Extract(by_deadline_.begin()->second));
  }
  while (!by_deadline_start_.empty() &&
         by_deadline_start_.begin()->first < now) {
    expired.push_back(Extract(by_deadline_start_.begin()->second));
  }
  const bool all_late =
      !by_latest_start_.empty() && by_latest_start_.rbegin()->first <= now;
  if (all_late && now >= next_late_call_) return;
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now) {
    expired.push_back(Extract(by_latest_start_.begin()->second));
  }
}

uint64_t AdmissionQueue::NextOf(const Calls& calls, bool newest_first,
                                TimePoint now) const {
  if (with_slack_ == 0)
    return newest_first ? calls.back().id : calls.front().id;
  const QueuedCall* by_age = nullptr;
  const QueuedCall* by_slack = nullptr;
  for (const QueuedCall& call : calls) {
    if (call.target_start) {
      if (by_slack == nullptr || PrecedesBySlack(call, *by_slack, now)) {
        by_slack = &call;
      }
    } else if (by_age == nullptr || newest_first) {
      by_age = &call;
    }
  }
  if (by_slack == nullptr) return by_age->id;
  if (by_age == nullptr) return by_slack->id;
  const bool age_first = newest_first ? by_age->enqueued > by_slack->enqueued
                                      : by_age->enqueued <= by_slack->enqueued;
  return age_first ? by_age->id : by_slack->id;
}

void AdmissionQueue::DropOld(const Lane& lane, TimePoint now,
                             std::vector<QueuedCall>& expired) {
  while (!lane.by_age.empty() &&
         now - lane.by_age.begin()->first >= wait_timeout_) {
    expired.push_back(Extract(lane.by_age.begin()->second));
  }
}

}  // namespace amaranth
