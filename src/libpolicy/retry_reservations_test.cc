#include "amaranthroute/policy/retry_reservations.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "amaranthroute/policy/admission_queue.h"
#include "amaranthroute/policy/rank_admission.h"

namespace amaranth {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = FromMicros(1'000'000);

// What a caller does when its request is refused.
enum class CallerKind {
  kHonours,  // returns at the time told, if it can wait that long
  kRetries,  // returns after 40 ms, regardless of the time told
  kLeaves,   // does not return
};

// Results of the callers of one kind whose first request came in the surge.
struct Counts {
  double callers = 0;
  double served = 0;  // in time
  double told = 0;    // got a reservation, and returned
  double served_at_return = 0;

  double ServedShare() const { return served / std::max(1.0, callers); }
};

struct ModelOptions {
  uint64_t seed = 1;
  int entry_nodes = 85;
  double load = 2;  // offered work / capacity, first requests only
  Duration surge = seconds(5);
  double calm_load = 0.7;
  bool reservations = true;
  // Callers return to another node with this probability.
  double other_node = 0;
  // All entry nodes lose their reservations at this time of the surge.
  Duration crash_after = seconds(1000);
};

// One class of a service with one backend server, behind many entry nodes with
// rank admission, in virtual time. A request makes four calls of 25 ms, one
// after the other. 400 requests per second use all 40 slots.
class Model {
 public:
  explicit Model(ModelOptions options)
      : options_(options),
        entries_(static_cast<size_t>(options.entry_nodes)),
        random_(options.seed) {
    AdmissionQueueOptions queue;
    queue.newest_first = false;
    queue.capacity =
        AdmissionQueue::CapacityForWait(256, kSlots, milliseconds(60));
    queue_.Configure(queue);
  }

  std::map<CallerKind, Counts> counts;
  double busy = 0;     // slot seconds in the surge, from 1 s on
  double started = 0;  // slot seconds
  double in_vain = 0;  // slot seconds of requests not served in time

  void Run() {
    const TimePoint end = SurgeEnd() + seconds(4);
    ScheduleArrival();
    UpdateShare();
    At(kCalm + options_.crash_after, [this] {
      for (Entry& entry : entries_) entry.reservations = RetryReservations();
    });
    while (!events_.empty() && events_.top().at < end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }

  double Utilization() const {
    const double window = ToSeconds(options_.surge - seconds(1));
    return busy / window / kSlots;
  }
  double InVainShare() const { return in_vain / started; }

 private:
  static constexpr int kSlots = 40;
  static constexpr int kCalls = 4;
  static constexpr double kServiceSeconds = 0.025;
  static constexpr Duration kTarget = seconds(3);
  static constexpr Duration kDeadline = seconds(12);
  static constexpr Duration kLink = milliseconds(2);
  static constexpr Duration kCalm = seconds(3);

  struct Entry {
    RetryReservations reservations;
  };
  struct Caller {
    uint64_t identity = 0;
    CallerKind kind = CallerKind::kHonours;
    size_t entry = 0;
    TimePoint sent{};
    bool in_surge = false;
    bool told = false;  // has a reservation
  };
  struct Request {
    Caller caller;
    RequestArrival arrival;
    int calls_left = kCalls;
    double slot_seconds = 0;
  };
  struct Event {
    TimePoint at{};
    uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  void At(Duration from_now, std::function<void()> action) {
    events_.push({now_ + from_now, ++order_, std::move(action)});
  }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  Duration Drawn(double mean_seconds) {
    std::exponential_distribution<double> draw(1 / mean_seconds);
    return Duration(static_cast<int64_t>(draw(random_) * 1e6));
  }
  // Link and timer of a caller.
  Duration CallerDelay() {
    return milliseconds(1) + Duration(static_cast<int64_t>(Uniform() * 29e3));
  }
  TimePoint SurgeStart() const { return kStart + kCalm; }
  TimePoint SurgeEnd() const { return SurgeStart() + options_.surge; }

  void ScheduleArrival() {
    const bool surge = now_ >= SurgeStart() && now_ < SurgeEnd();
    const double load = surge ? options_.load : options_.calm_load;
    At(Drawn(kCalls * kServiceSeconds / (load * kSlots)), [this] {
      Caller caller;
      caller.identity = random_();
      const double kind = Uniform();
      caller.kind = kind < 0.6   ? CallerKind::kHonours
                    : kind < 0.8 ? CallerKind::kRetries
                                 : CallerKind::kLeaves;
      caller.entry = random_() % entries_.size();
      caller.sent = now_;
      caller.in_surge = now_ >= SurgeStart() && now_ < SurgeEnd();
      if (caller.in_surge) ++counts[caller.kind].callers;
      Arrive(caller);
      ScheduleArrival();
    });
  }

  void Arrive(Caller caller) {
    Entry& entry = entries_[caller.entry];
    Request request;
    request.caller = caller;
    request.arrival.draw = Uniform();
    if (options_.reservations) {
      request.arrival =
          entry.reservations.OnArrival(caller.identity, now_, random_);
    }
    const RequestArrival& arrival = request.arrival;
    const double share = share_;
    if (arrival.kind != ReturnKind::kEarly) ++offered_in_window_;
    if (arrival.kind == ReturnKind::kInTime) return Send(request);
    if (arrival.draw < share * arrival.share_for_new) return Send(request);
    Refuse(request, arrival.draw, share < 1 && arrival.draw >= share);
  }

  void Refuse(const Request& request, double draw, bool shows_shortage) {
    Caller caller = request.caller;
    in_vain += request.slot_seconds;
    const Duration elapsed = now_ - caller.sent;
    RefusedRequest refused;
    refused.identity = caller.identity;
    refused.draw = draw;
    refused.shows_shortage = shows_shortage;
    refused.shortest = RangeWithinTarget(kTarget, elapsed);
    refused.target_left = kTarget - elapsed;
    refused.max_wait = (kDeadline - elapsed) / 3;
    Duration wait = RetryWithinTarget(kTarget, elapsed, random_);
    // A late answer is of no use.
    if (elapsed > kTarget) return;
    caller.told = false;
    if (options_.reservations) {
      const RetryDecision decision =
          entries_[caller.entry].reservations.OnRefused(refused, now_, random_);
      wait = decision.retry_after;
      caller.told = decision.reserved;
      CHECK(wait >= RangeWithinTarget(kTarget, elapsed).earliest);
    }
    if (caller.kind == CallerKind::kLeaves) return;
    if (caller.kind == CallerKind::kRetries) {
      caller.told = false;
      wait = milliseconds(40);
    }
    if (wait > refused.max_wait) return;
    if (Uniform() < options_.other_node) {
      caller.entry = random_() % entries_.size();
    }
    if (caller.told && caller.in_surge) ++counts[caller.kind].told;
    At(wait + CallerDelay(), [this, caller] { Arrive(caller); });
  }

  void Send(const Request& request) {
    At(kLink, [this, request] { ArriveAtServer(request); });
  }

  void ArriveAtServer(const Request& request) {
    QueuedCall call;
    call.id = ++order_;
    call.tier = Tier::kStandard;
    call.class_tier = Tier::kStandard;
    call.expected = FromSeconds(kServiceSeconds);
    call.enqueued = now_;
    call.deadline = request.caller.sent + kTarget;
    std::vector<QueuedCall> lost;
    waiting_[call.id] = request;
    const bool full = queue_.Push(call, now_, lost) == PushResult::kFull;
    if (full) lost.push_back(call);
    RefuseAtServer(lost);
    StartWaiting();
  }

  void RefuseAtServer(const std::vector<QueuedCall>& lost) {
    for (const QueuedCall& call : lost) {
      const Request request = waiting_.at(call.id);
      waiting_.erase(call.id);
      At(kLink, [this, request] { Refuse(request, kWorstDraw, true); });
    }
  }

  void StartWaiting() {
    while (in_flight_ < kSlots) {
      std::vector<QueuedCall> expired;
      const std::optional<QueuedCall> next =
          queue_.Pop(now_, milliseconds(60), true, expired);
      RefuseAtServer(expired);
      if (!next) {
        was_idle_ = true;
        return;
      }
      Request request = waiting_.at(next->id);
      waiting_.erase(next->id);
      ++in_flight_;
      const Duration service = Drawn(kServiceSeconds);
      const double spent = ToSeconds(service);
      request.slot_seconds += spent;
      started += spent;
      CountBusy(now_, now_ + service);
      At(service, [this, request] { End(request); });
    }
  }

  void CountBusy(TimePoint from, TimePoint to) {
    from = std::max(from, SurgeStart() + seconds(1));
    to = std::min(to, SurgeEnd());
    if (to > from) busy += ToSeconds(to - from);
  }

  void End(Request request) {
    --in_flight_;
    StartWaiting();
    --request.calls_left;
    At(kLink, [this, request] { Answer(request); });
  }

  void Answer(const Request& request) {
    const Caller& caller = request.caller;
    Entry& entry = entries_[caller.entry];
    if (request.calls_left > 0) return Send(request);
    const Duration latency = now_ - caller.sent;
    if (latency > kTarget) {
      in_vain += request.slot_seconds;
      return;
    }
    entry.reservations.OnServed(kLink * 8 + FromSeconds(request.slot_seconds),
                                now_);
    if (!caller.in_surge) return;
    ++counts[caller.kind].served;
    if (caller.told) ++counts[caller.kind].served_at_return;
  }

  // Rank admission as in RankDemand, but with exact knowledge of what was
  // offered, so that the results do not depend on its estimates.
  void UpdateShare() {
    constexpr Duration kWindow = milliseconds(200);
    const double capacity =
        kSlots * ToSeconds(kWindow) / (kCalls * kServiceSeconds);
    const double waiting = static_cast<double>(queue_.size()) / kCalls;
    if (was_idle_ && share_ < 1) correction_ *= 1.03;
    if (!was_idle_ && waiting > capacity * 0.06 / ToSeconds(kWindow))
      correction_ *= 0.97;
    correction_ = share_ < 1 ? std::clamp(correction_, 0.5, 1.2) : 1;
    offered_ += 0.4 * (offered_in_window_ - offered_);
    share_ =
        std::clamp((capacity * correction_ - waiting) / std::max(1.0, offered_),
                   RankAdmission::kMinShare, 1.0);
    offered_in_window_ = 0;
    was_idle_ = false;
    At(kWindow, [this] { UpdateShare(); });
  }

  static double ToSeconds(Duration value) {
    return std::chrono::duration<double>(value).count();
  }
  static Duration FromSeconds(double value) {
    return Duration(static_cast<int64_t>(value * 1e6));
  }
  static constexpr double kWorstDraw = 0.999;

  ModelOptions options_;
  std::vector<Entry> entries_;
  AdmissionQueue queue_;
  std::map<uint64_t, Request> waiting_;
  int in_flight_ = 0;
  double share_ = 1;  // as known to all entry nodes
  double offered_in_window_ = 0;
  double offered_ = 0;  // per window, smoothed
  double correction_ = 1;
  bool was_idle_ = false;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  TimePoint now_ = kStart;
  std::mt19937_64 random_;
};

// Means over several runs.
struct Results {
  double told = 0;
  double served_at_return = 0;
  double utilization = 0;
  double in_vain_share = 0;
  std::map<CallerKind, double> served;  // share of the callers
};

Results RunModel(ModelOptions options) {
  // A long surge has many callers and takes long to simulate.
  const int runs = options.surge < seconds(20) ? 4 : 2;
  Results results;
  for (int run = 0; run < runs; ++run) {
    options.seed = static_cast<uint64_t>(run) + 1;
    Model model(options);
    model.Run();
    results.utilization += model.Utilization() / runs;
    results.in_vain_share += model.InVainShare() / runs;
    for (const auto& [kind, counts] : model.counts) {
      results.served[kind] += counts.ServedShare() / runs;
      if (kind != CallerKind::kHonours) continue;
      results.told += counts.told;
      results.served_at_return += counts.served_at_return;
    }
  }
  return results;
}

// Checks the criteria for surges of this length at 1.3, 2 and 4 times the
// capacity.
void CheckSurges(int entry_nodes, Duration surge) {
  double in_vain = 0;
  double in_vain_today = 0;
  for (const double load : {1.3, 2.0, 4.0}) {
    ModelOptions options;
    options.entry_nodes = entry_nodes;
    options.surge = surge;
    options.load = load;
    Results results = RunModel(options);
    options.reservations = false;
    Results today = RunModel(options);
    CHECK(results.told >= 100);
    CHECK(results.served_at_return >= 0.9 * results.told);
    CHECK(results.utilization >= 0.95);
    CHECK(results.served[CallerKind::kRetries] <=
          results.served[CallerKind::kHonours]);
    in_vain += results.in_vain_share;
    in_vain_today += today.in_vain_share;
  }
  CHECK(in_vain <= in_vain_today);
}

}  // namespace

// Load pattern: see Model.
TEST_GROUP(RetryReservationsLoad){};

TEST(RetryReservationsLoad, SurgesOf2SecondsAtFewNodes) {
  CheckSurges(4, seconds(2));
}
TEST(RetryReservationsLoad, SurgesOf5SecondsAtFewNodes) {
  CheckSurges(4, seconds(5));
}
TEST(RetryReservationsLoad, SurgesOf20SecondsAtFewNodes) {
  CheckSurges(4, seconds(20));
}
// With 85 nodes, each serves five requests per second.
TEST(RetryReservationsLoad, SurgesOf2SecondsAtManyNodes) {
  CheckSurges(85, seconds(2));
}
TEST(RetryReservationsLoad, SurgesOf5SecondsAtManyNodes) {
  CheckSurges(85, seconds(5));
}
TEST(RetryReservationsLoad, SurgesOf20SecondsAtManyNodes) {
  CheckSurges(85, seconds(20));
}

// All callers return to another node than the one that told them when: at most
// the reserve goes unused.
TEST(RetryReservationsLoad, CallersReturnAtOtherNodes) {
  ModelOptions options;
  options.other_node = 1;
  const Results results = RunModel(options);
  options.reservations = false;
  const Results today = RunModel(options);
  CHECK(results.utilization >=
        (1 - RetryReservations::kReserve) * today.utilization);
  CHECK(results.in_vain_share <= today.in_vain_share);
}

// A crash of all entry nodes in the surge loses the reservations and the age of
// the shortage. Callers with a lost reservation count as new.
TEST(RetryReservationsLoad, ACrashLosesOnlyTheReservations) {
  ModelOptions options;
  options.crash_after = seconds(2);
  const Results results = RunModel(options);
  options.reservations = false;
  const Results today = RunModel(options);
  CHECK(results.utilization >= 0.95);
  CHECK(results.in_vain_share <= today.in_vain_share);
}

TEST_GROUP(RetryReservations) {
  RetryReservations reservations;
  std::mt19937_64 random{3};
  TimePoint now = kStart;

  // Serves requests at this rate for some time.
  void Serve(double per_second, Duration length) {
    const TimePoint end = now + length;
    while (now < end) {
      reservations.OnServed(milliseconds(200), now);
      now += Duration(static_cast<int64_t>(1e6 / per_second));
    }
  }

  static RefusedRequest Refused(uint64_t identity) {
    RefusedRequest refused;
    refused.identity = identity;
    refused.draw = 0.5;
    refused.shortest = RangeWithinTarget(seconds(3), Duration(0));
    refused.target_left = seconds(3);
    refused.max_wait = seconds(4);
    return refused;
  }
  RetryDecision Refuse(uint64_t identity) {
    return reservations.OnRefused(Refused(identity), now, random);
  }
  ReturnKind Arrive(uint64_t identity) {
    return reservations.OnArrival(identity, now, random).kind;
  }
};

TEST(RetryReservations, ACallerThatReturnsInItsSlotIsRecognizedOnce) {
  Serve(100, seconds(3));
  CHECK(Arrive(1) == ReturnKind::kNew);
  const RetryDecision decision = Refuse(1);
  CHECK(decision.reserved);
  now += decision.retry_after;
  CHECK(reservations.ShareForNew(now) < 1);
  CHECK(Arrive(2) == ReturnKind::kNew);
  CHECK(Arrive(1) == ReturnKind::kInTime);
  CHECK(Arrive(1) == ReturnKind::kNew);
  now += seconds(5);
  CHECK_EQUAL(0, reservations.TakeUnused(now));
}

TEST(RetryReservations, AnEarlyReturnLosesTheReservation) {
  Serve(100, seconds(3));
  const RetryDecision decision = Refuse(1);
  CHECK(decision.reserved);
  const TimePoint due = now + decision.retry_after;
  const RequestArrival early = reservations.OnArrival(1, now, random);
  CHECK(early.kind == ReturnKind::kEarly);
  CHECK(early.draw > 0.5);
  const RetryDecision again = Refuse(1);
  CHECK_FALSE(again.reserved);
  // A caller must not get an earlier time by returning.
  CHECK(now + again.retry_after >= due - RetryReservations::kSlot);
  DOUBLES_EQUAL(1, reservations.ShareForNew(due), 1e-6);
  now += again.retry_after;
  CHECK(Arrive(1) == ReturnKind::kLate);
}

// Guards against callers that retry until the admitted share exceeds the draw
// of their first attempt for a moment.
TEST(RetryReservations, RepeatedEarlyReturnsAreNotAdmittedByAVaryingShare) {
  Serve(100, seconds(3));
  Refuse(1);
  for (int i = 0; i < 9; ++i) {
    now += milliseconds(20);
    CHECK(Arrive(1) == ReturnKind::kEarly);
    Refuse(1);
  }
  now += milliseconds(20);
  DOUBLES_EQUAL(1, reservations.OnArrival(1, now, random).draw, 0);
}

// Guards against a caller that is refused once the shortage is over.
TEST(RetryReservations, EarlyReturnsAreAdmittedAfterTheShortage) {
  Serve(100, seconds(3));
  Refuse(1);
  Serve(100, seconds(5));
  Refuse(2);
  const RetryDecision decision = Refuse(3);
  for (int i = 0; i < 9; ++i) Arrive(3);
  Serve(100, milliseconds(1100));
  CHECK(decision.retry_after > milliseconds(0));
  CHECK(reservations.OnArrival(3, now, random).draw < 1);
}

// Guards against new requests that are refused in favour of callers of which
// none returns.
TEST(RetryReservations, LessIsKeptIfCallersDoNotReturn) {
  Serve(100, seconds(3));
  for (uint64_t i = 0; i < 200; ++i) {
    Serve(100, milliseconds(10));
    Refuse(i);
  }
  double least = 1;
  for (int i = 0; i < 20; ++i) {
    now += RetryReservations::kSlot / 2;
    Arrive(1000);
    least = std::min(least, reservations.ShareForNew(now));
  }
  CHECK(least >= 1 - RetryReservations::kReserve / 2);
}

TEST(RetryReservations, ALateReturnCountsAsNew) {
  Serve(100, seconds(3));
  const RetryDecision decision = Refuse(1);
  now += decision.slot_start + RetryReservations::kSlot +
         RetryReservations::kArrivalTolerance;
  CHECK(Arrive(1) == ReturnKind::kLate);
  CHECK_EQUAL(1, reservations.TakeUnused(now));
  CHECK_EQUAL(0, reservations.TakeUnused(now + seconds(10)));
}

// Guards against capacity that is kept, slot after slot, for callers that never
// return or return with another body.
TEST(RetryReservations, AnUnusedReservationEndsWithItsSlot) {
  Serve(100, seconds(3));
  const RetryDecision decision = Refuse(1);
  const Duration after = decision.slot_start + seconds(1);
  DOUBLES_EQUAL(1, reservations.ShareForNew(now + after), 1e-6);
  CHECK_EQUAL(1, reservations.TakeUnused(now + after));
  CHECK_EQUAL(0, reservations.TakeUnused(now + seconds(10)));
}

// At the start of a shortage its age says nothing: the times are those that
// RetryWithinTarget() gives.
TEST(RetryReservations, TheFirstReturnTimesAreThoseWithoutReservations) {
  Serve(100, seconds(3));
  const RetryRange range = RangeWithinTarget(seconds(3), Duration(0));
  for (uint64_t i = 0; i < 200; ++i) {
    const RetryDecision decision = Refuse(i);
    CHECK(decision.retry_after >= range.earliest);
    CHECK(decision.retry_after <= range.latest + milliseconds(1));
    now += milliseconds(1);
  }
}

TEST(RetryReservations, WithoutAReservationTheExpectedEndIsTold) {
  Serve(100, seconds(3));
  for (uint64_t i = 0; i < 60; ++i) {
    const RetryDecision decision = Refuse(i);
    const Duration age = milliseconds(100) * static_cast<int64_t>(i);
    CHECK(decision.shortage_age == age);
    CHECK(decision.expected_end == age);
    CHECK(decision.retry_after >= age);
    CHECK(decision.retry_after >=
          RangeWithinTarget(seconds(3), Duration(0)).earliest);
    // Too late for the target of 3 s.
    if (age > seconds(3)) CHECK_FALSE(decision.reserved);
    Serve(100, milliseconds(100));
  }
}

TEST(RetryReservations, AClassOfWhichNothingIsServedGetsNoReservation) {
  CHECK_FALSE(Refuse(1).reserved);
}

// Guards against reservations of a whole time slot at a node that serves a
// request in two slots: one request takes the reserve of ten slots.
TEST(RetryReservations, ANodeWithFewRequestsReservesItsShare) {
  Serve(5, seconds(3));
  std::vector<Duration> starts;
  for (uint64_t i = 0; i < 100; ++i) {
    const RetryDecision decision = Refuse(i);
    if (decision.reserved) starts.push_back(decision.slot_start);
  }
  // Of 5 requests per second, 0.2 in the 0.75 s of the range.
  CHECK(!starts.empty());
  CHECK(starts.size() <= 2);
  for (Duration at{0}; at < seconds(8); at += RetryReservations::kSlot) {
    CHECK(reservations.ShareForNew(now + at) >=
          1 - RetryReservations::kReserve - 1e-6);
  }
}

// Guards against a shortage that seems to have ended because none of a few
// requests was refused for a second, and then to have just begun.
TEST(RetryReservations, AShortageGoesOnWhileFewRequestsAreServed) {
  Refuse(1);
  Serve(5, milliseconds(1400));
  CHECK(reservations.ShortageAge(now).has_value());
  Serve(5, milliseconds(400));
  CHECK_FALSE(reservations.ShortageAge(now).has_value());
  Refuse(2);
  now += RetryReservations::kMaxQuietTime;
  CHECK(reservations.ShortageAge(now).has_value());
  now += milliseconds(1);
  CHECK_FALSE(reservations.ShortageAge(now).has_value());
}

// Guards against reservations that prolong the shortage that they are made for.
TEST(RetryReservations, RefusalsForReservedCapacityDoNotProlongTheShortage) {
  Refuse(1);
  for (uint64_t i = 2; i < 20; ++i) {
    Serve(100, milliseconds(100));
    RefusedRequest refused = Refused(i);
    refused.shows_shortage = false;
    reservations.OnRefused(refused, now, random);
  }
  CHECK_FALSE(reservations.ShortageAge(now).has_value());
}

// Guards against memory that grows with the number of refused requests.
TEST(RetryReservations, MemoryIsBounded) {
  Serve(1000, seconds(3));
  for (uint64_t i = 0; i < 20'000; ++i) {
    const RetryDecision decision = Refuse(i);
    CHECK(decision.retry_after > Duration(0));
    CHECK(reservations.remembered() <= RetryReservations::kMaxRemembered);
  }
  CHECK_EQUAL(RetryReservations::kMaxRemembered, reservations.remembered());
  now += kMaxRetryAfter + seconds(3);
  reservations.TakeUnused(now);
  CHECK_EQUAL(0, reservations.remembered());
}

}  // namespace amaranth
