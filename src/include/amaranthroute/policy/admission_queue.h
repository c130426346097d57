#ifndef AMARANTHROUTE_POLICY_ADMISSION_QUEUE_H_
#define AMARANTHROUTE_POLICY_ADMISSION_QUEUE_H_

/// What waits for a slot of a backend server, in which order, and how long.
///
/// Load pattern: bursts, standing overload, and a few callers that send most of
/// it. Without it a plain queue serves in order of arrival: in an overload that
/// outlasts its trigger each call waits until its caller has nearly given up,
/// so the server works on answers that nobody takes, browsing delays renewals,
/// and one hot caller fills the queue for all.
///
/// - A higher tier goes strictly first, and takes a lower one's place when the
///   queue is full.
/// - Within a tier callers take turns; when the queue is full the caller with
///   the most calls waiting loses one to a caller with fewer.
/// - A caller's calls go oldest first. Once the oldest call of a tier has
///   waited over the target for an interval (the test of CoDel), newest first:
///   new calls still have their whole deadline, old ones are lost anyway.
/// - While that lasts, calls that waited longer than the patience are given up
///   on, so their callers hear at once and the backlog goes when its cause
///   goes.
/// - Long work waits in a line of its own, in at most half of the places: it
/// has
///   slots of its own (LongWorkShare), and neither its waits, which say nothing
///   of short calls, nor its numbers may cost short calls their places.
/// - A call that cannot be done before its deadline is dropped before it costs
///   a slot. One such call a second runs all the same when nothing else waits:
///   a wrong estimate of the service time would otherwise never be corrected.

#include <array>
#include <cstdint>
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

/// A call that waits for a slot.
struct QueuedCall {
  uint64_t id = 0;  ///< unique in the queue
  Tier tier = Tier::kStandard;
  uint32_t level = 0;  ///< SheddingLevel: lower is evicted first in its tier
  std::string caller_key;
  bool long_work = false;
  TimePoint enqueued{};
  TimePoint deadline = kNever;
  /// Usual time of calls of its kind in the server, 0 if none was seen. With
  /// less than that left it is hopeless. Not the server's mean over all kinds:
  /// beside calls of a second, each call that may take half of one would be
  /// refused as it arrives, and as refusing is quick, its server looks idle and
  /// draws the calls of all others.
  Duration expected{0};

  friend bool operator==(const QueuedCall& a, const QueuedCall& b) {
    return a.id == b.id && a.tier == b.tier && a.level == b.level &&
           a.caller_key == b.caller_key && a.long_work == b.long_work &&
           a.enqueued == b.enqueued && a.deadline == b.deadline &&
           a.expected == b.expected;
  }
  friend bool operator!=(const QueuedCall& a, const QueuedCall& b) {
    return !(a == b);
  }
};

/// What became of a pushed call.
enum class PushResult {
  kQueued,
  kFull,  ///< not taken: all that wait are at least as important
};

/// Bounds of an AdmissionQueue.
struct AdmissionQueueOptions {
  /// Calls that may wait. With 100 slots and 10 ms of service 256 calls are
  /// 26 ms of work: enough for a burst, too few to hold a backlog.
  size_t capacity = 256;
  /// Wait that is no sign of overload; raised to the expected service time if
  /// that is longer, as with few slots one wait of that length is ordinary.
  Duration target_delay = std::chrono::milliseconds(20);
  /// Serve an overloaded tier newest first and give up on what waits beyond the
  /// patience. Off where requests were let in at their entry to be finished:
  /// those that came first are then the nearest to their end, and the age of
  /// the oldest is the true wait by which the entry is steered.
  bool newest_first = true;
  /// How long the wait must stay over the target. CoDel's 100 ms: longer than
  /// a burst takes to drain, shorter than a caller notices.
  Duration interval = std::chrono::milliseconds(100);
  /// Wait after which a call of an overloaded tier is given up on; raised to
  /// twice the expected service time. Half of the 1 s in which we recover.
  Duration patience = std::chrono::milliseconds(500);
  /// How often a call that seems hopeless is run all the same.
  Duration hopeless_period = std::chrono::seconds(1);
};

/// The calls that wait for one backend server. Every pushed call leaves exactly
/// once: refused (kFull), evicted, popped, expired or removed.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionQueueOptions options = {});

  /// Places for `max_wait` of work of a server with `slots` that takes
  /// `service` for a call, but no fewer than `least`. A number of places that
  /// suits 15 slots is a wait of 56 ms with 110 slots of 24 ms: where the wait
  /// steers what is let in (ShedderOptions::steer_by_wait) the queue must hold
  /// what that takes, or it refuses calls of requests that were let in to be
  /// ended.
  static size_t CapacityForWait(size_t least, int slots, Duration service,
                                Duration max_wait = kSteeringWait);
  /// A third more than the wait at which the threshold has cut the lowest group
  /// of levels whole (ShedderOptions::calm_wait and group_wait).
  static constexpr Duration kSteeringWait = std::chrono::milliseconds(300);

  /// Changes the bounds; calls that wait stay, also beyond a lower capacity.
  void Configure(const AdmissionQueueOptions& options);

  /// Adds `call`, with a new id. If the queue is full a less important call may
  /// be put into `evicted` in its stead; the caller of Push answers for those.
  PushResult Push(QueuedCall call, TimePoint now,
                  std::vector<QueuedCall>& evicted);

  /// The call that the free slot goes to, or nothing. Long work is passed over
  /// unless `long_allowed`. Calls that were given up on go to `expired`.
  std::optional<QueuedCall> Pop(TimePoint now, Duration expected_service,
                                bool long_allowed,
                                std::vector<QueuedCall>& expired);

  /// Takes out a cancelled call; false if it is not (or no longer) waiting.
  bool Remove(uint64_t id);

  /// Gives up on calls that missed, or will miss, their deadline, or waited
  /// beyond the patience; also done by Pop.
  void DropExpired(TimePoint now, Duration expected_service,
                   std::vector<QueuedCall>& expired);

  size_t size() const;
  /// Age of the oldest call that waits for any slot; zero if none. Leaves out
  /// long work while its own share is what it waits for. Feed it to
  /// Shedder::OnQueueDelay.
  Duration standing_delay(TimePoint now) const;
  /// When DropExpired may next have work; kNever when nothing waits.
  TimePoint next_deadline() const;
  /// Whether `tier` is served newest first.
  bool overloaded(Tier tier) const;

 private:
  using Calls = std::list<QueuedCall>;  // of one caller, oldest first
  // The calls of one tier that compete for the same slots.
  struct Lane {
    std::map<std::string, Calls> callers;
    std::list<std::string> turns;                     // next caller first
    std::set<std::pair<TimePoint, uint64_t>> by_age;  // enqueued, id
    TimePoint above_since = kNever;
    bool overloaded = false;
  };
  struct TierLanes {
    Lane brief;
    Lane lengthy;
  };
  struct Place {
    Tier tier = Tier::kStandard;
    Calls::iterator call;
  };

  Lane& LaneOf(const QueuedCall& call);
  void Insert(QueuedCall call);
  QueuedCall TakeOut(uint64_t id);
  bool MakeRoom(const QueuedCall& newcomer, std::vector<QueuedCall>& evicted);
  std::optional<uint64_t> VictimFor(const QueuedCall& newcomer,
                                    bool long_only) const;
  void UpdateOverload(Lane& lane, TimePoint now,
                      Duration expected_service) const;
  void DropLate(TimePoint now, std::vector<QueuedCall>& expired);
  void DropImpatient(const Lane& lane, TimePoint now,
                     std::vector<QueuedCall>& expired);

  AdmissionQueueOptions options_;
  std::array<TierLanes, kTierCount> tiers_;
  std::unordered_map<uint64_t, Place> places_;
  std::set<std::pair<TimePoint, uint64_t>> by_deadline_;
  // By the last moment at which a call may start to end in time.
  std::set<std::pair<TimePoint, uint64_t>> by_latest_start_;
  size_t long_waiting_ = 0;
  bool long_allowed_ = true;  // at the last Pop
  TimePoint next_hopeless_{};
  Duration patience_;  // raised to the last expected service time
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_ADMISSION_QUEUE_H_
