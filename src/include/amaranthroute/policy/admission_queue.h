#ifndef AMARANTHROUTE_POLICY_ADMISSION_QUEUE_H_
#define AMARANTHROUTE_POLICY_ADMISSION_QUEUE_H_

/// Queue of calls that wait for a slot of a backend server: order, capacity and
/// maximum wait.
///
/// Load pattern: bursts, permanent overload, and a few callers that send most
/// of the load. A plain queue serves in order of arrival. In an overload that
/// outlasts its trigger each call then waits until its caller has nearly timed
/// out, the server computes answers that nobody reads, browsing delays
/// renewals, and one caller with a high rate fills the queue for all others.
///
/// - A higher tier is served strictly first, and replaces a call of a lower
///   tier when the queue is full. Within a tier the tier of the class decides
///   in the same way; what is said of a tier below holds for each such part.
/// - Within a tier callers are served in turn. When the queue is full, the
///   caller with the most waiting calls loses one to a caller with fewer.
/// - The calls of a caller are served oldest first. Once the oldest call of a
///   tier has waited over the target for an interval (the criterion of CoDel),
///   the order is newest first: new calls still have their whole deadline, and
///   old ones would miss theirs anyway.
/// - Of a caller's calls with a known slack, those that can still meet their
///   target are served first, then those with more calls done, then those with
///   the least slack. A request with eight calls thus completes before others
///   begin, instead of failing at its last call. Calls that miss their target
///   follow by deadline; those that cannot meet it are dropped. Calls without a
///   slack keep their place by age. When the queue is full, a call replaces the
///   last one of its own caller; first calls of requests are replaced before
///   others, because refusing them wastes no work.
/// - While a tier is overloaded, calls that waited longer than a timeout are
///   dropped, so that their callers are answered at once and the backlog ends
///   with its cause.
/// - Long work waits in a lane of its own, in at most half of the places. It
///   has its own slots (LongWorkShare); its waits say nothing about short
///   calls, and it must not take their places.
/// - A call that cannot end before its deadline is dropped before it uses a
///   slot. When every waiting call is in that state, one per second runs
///   nevertheless: a wrong estimate of the service time would otherwise never
///   be corrected.

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// A call waiting for a slot.
struct QueuedCall {
  uint64_t id = 0;  ///< unique in the queue
  Tier tier = Tier::kStandard;
  uint32_t level = 0;  ///< SheddingLevel: lower is evicted first in its tier
  std::string caller_key;
  bool long_work = false;
  TimePoint enqueued{};
  TimePoint deadline = kNever;
  /// Expected service time of calls of this kind, nested calls included; 0 if
  /// unknown. With less than that left before its deadline the call is dropped.
  /// This is not the server's mean over all kinds: beside calls of one second,
  /// every call with half a second to its deadline would be refused on arrival,
  /// and because refusing is quick, the server would appear idle and attract
  /// all calls.
  Duration expected{0};
  /// Orders the calls of one tier.
  Tier class_tier = Tier::kStandard;
  /// CallContext::cost_bucket; does not affect the order.
  uint8_t cost_bucket = 0;
  /// Latest starts with which the request meets its latency target and its
  /// deadline, if it does not wait again (CallContext::target_slack and
  /// deadline_slack); nullopt if unknown.
  std::optional<TimePoint> target_start = std::nullopt;
  std::optional<TimePoint> deadline_start = std::nullopt;
  uint8_t calls_done = 0;  ///< CallContext::calls_done

  friend bool operator==(const QueuedCall& a, const QueuedCall& b) {
    return a.id == b.id && a.tier == b.tier && a.level == b.level &&
           a.caller_key == b.caller_key && a.long_work == b.long_work &&
           a.enqueued == b.enqueued && a.deadline == b.deadline &&
           a.expected == b.expected && a.class_tier == b.class_tier &&
           a.cost_bucket == b.cost_bucket && a.target_start == b.target_start &&
           a.deadline_start == b.deadline_start && a.calls_done == b.calls_done;
  }
  friend bool operator!=(const QueuedCall& a, const QueuedCall& b) {
    return !(a == b);
  }
};

/// Result of AdmissionQueue::Push.
enum class PushResult {
  kQueued,
  kFull,  ///< refused: no waiting call may be evicted for it
};

/// Bounds of an AdmissionQueue.
struct AdmissionQueueOptions {
  /// Maximum number of waiting calls. With 100 slots and 10 ms of service time,
  /// 256 calls are 26 ms of work: enough for a burst, too few for a backlog.
  size_t capacity = 256;
  /// Wait up to which a tier is not overloaded. The expected service time is
  /// used if it is longer, because with few slots such a wait is normal.
  Duration target_delay = std::chrono::milliseconds(20);
  /// Whether an overloaded tier is served newest first and its calls are
  /// dropped after wait_timeout. False where requests are admitted at their
  /// entry node and should then be completed: the oldest calls belong to the
  /// requests nearest to their end, and the age of the oldest call is the wait
  /// that controls admission.
  bool newest_first = true;
  /// Time for which the wait must exceed the target before a tier is
  /// overloaded. The 100 ms of CoDel are longer than a burst takes to drain and
  /// shorter than a caller notices.
  Duration interval = std::chrono::milliseconds(100);
  /// Wait after which a call of an overloaded tier is dropped, or twice the
  /// expected service time if that is longer. Half of the recovery target of
  /// one second.
  Duration wait_timeout = std::chrono::milliseconds(500);
  /// Minimum time between two calls that are run although they are not expected
  /// to end before their deadline.
  Duration late_call_period = std::chrono::seconds(1);
};

/// The calls waiting for one backend server. Every pushed call leaves exactly
/// once: refused (kFull), evicted, popped, expired or removed.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionQueueOptions options = {});

  /// Returns the number of calls that a server with `slots` slots and a service
  /// time of `service` starts within `max_wait`, but at least `min_places`. A
  /// fixed capacity of 256, which is enough for 15 slots, is a wait of only 56
  /// ms with 110 slots and 24 ms of service. Where the wait controls admission
  /// (see ShedderOptions::threshold_from_wait), a smaller queue refuses calls
  /// of admitted requests before the threshold rises enough.
  static size_t CapacityForWait(size_t min_places, int slots, Duration service,
                                Duration max_wait = kMaxControlledWait);
  /// Returns the number of calls that a server with a rate limit starts within
  /// `max_wait`, at least two, so that a higher tier can replace a lower one.
  static size_t CapacityForRate(double per_second,
                                Duration max_wait = kMaxControlledWait);
  /// A third more than the wait at which the lowest group of levels is shed
  /// completely (ShedderOptions::tolerated_wait plus wait_per_group).
  static constexpr Duration kMaxControlledWait = std::chrono::milliseconds(300);

  /// Changes the bounds. Waiting calls stay, even beyond a lower capacity.
  void Configure(const AdmissionQueueOptions& options);

  /// Adds `call`, whose id must be unique. If the queue is full, a less
  /// important call may be evicted and appended to `evicted`; it must be
  /// answered by the caller of Push.
  PushResult Push(QueuedCall call, TimePoint now,
                  std::vector<QueuedCall>& evicted);

  /// Removes and returns the call to run in a free slot, if any. Skips long
  /// work unless `long_allowed`. Appends dropped calls to `expired`.
  std::optional<QueuedCall> Pop(TimePoint now, Duration expected_service,
                                bool long_allowed,
                                std::vector<QueuedCall>& expired);

  /// Removes a cancelled call. Returns false if it is not waiting.
  bool Remove(uint64_t id);

  /// Drops calls that missed or cannot meet their deadline, and calls of an
  /// overloaded tier that reached the wait timeout. Also called by Pop.
  void DropExpired(TimePoint now, Duration expected_service,
                   std::vector<QueuedCall>& expired);

  size_t size() const;
  /// Calls `visit` for each waiting call, in no particular order.
  void ForEach(const std::function<void(const QueuedCall&)>& visit) const;
  /// Returns the age of the oldest waiting call, zero if none. Excludes long
  /// work while it waits for a slot of its own share. Input of
  /// Shedder::OnQueueDelay.
  Duration oldest_wait(TimePoint now) const;
  /// Returns the next time at which DropExpired may have to drop a call; kNever
  /// if no call waits.
  TimePoint next_deadline() const;
  /// Returns whether `tier` is overloaded and thus served newest first.
  bool overloaded(Tier tier) const;

 private:
  using Calls = std::list<QueuedCall>;  // of one caller, oldest first
  // Ranks order calls by tier, then by the tier of their class.
  static constexpr size_t kRankCount = size_t{kTierCount} * kTierCount;

  // The calls of one rank that compete for the same slots: its short calls, or
  // its long work.
  struct Lane {
    std::map<std::string, Calls> callers;
    std::list<std::string> turn_order;  // callers, the next one first
    std::set<std::pair<TimePoint, uint64_t>> by_age;  // enqueued, id
    TimePoint above_since = kNever;  // wait over the target, without a break
    bool overloaded = false;
  };
  struct RankLanes {
    Lane short_calls;
    Lane long_calls;
  };
  using Places = std::unordered_map<uint64_t, Calls::iterator>;

  static size_t RankOf(const QueuedCall& call);
  Lane& LaneOf(const QueuedCall& call);
  void Insert(QueuedCall call);
  QueuedCall Extract(uint64_t id);
  bool MakeRoom(const QueuedCall& newcomer, TimePoint now,
                std::vector<QueuedCall>& evicted);
  std::optional<uint64_t> VictimFor(const QueuedCall& newcomer, bool long_only,
                                    TimePoint now) const;
  // Returns the call of a caller that is evicted first.
  static const QueuedCall& LastOf(const Calls& calls, TimePoint now);
  void UpdateOverloaded(Lane& lane, TimePoint now,
                        Duration expected_service) const;
  void DropMissingDeadline(TimePoint now, std::vector<QueuedCall>& expired);
  // Returns the next call of a caller to run.
  uint64_t NextOf(const Calls& calls, bool newest_first, TimePoint now) const;
  void DropOld(const Lane& lane, TimePoint now,
               std::vector<QueuedCall>& expired);

  AdmissionQueueOptions options_;
  std::array<RankLanes, kRankCount> ranks_;
  Places places_;
  std::set<std::pair<TimePoint, uint64_t>> by_deadline_;
  // By the latest time at which a call can start and end before its deadline.
  std::set<std::pair<TimePoint, uint64_t>> by_latest_start_;
  // By deadline_start, the calls that have one.
  std::set<std::pair<TimePoint, uint64_t>> by_deadline_start_;
  size_t long_waiting_ = 0;
  size_t with_slack_ = 0;     // waiting calls with a target_start
  bool long_allowed_ = true;  // whether long work could run at the last Pop
  TimePoint next_late_call_{};
  Duration wait_timeout_;  // with the last expected service time
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_ADMISSION_QUEUE_H_
