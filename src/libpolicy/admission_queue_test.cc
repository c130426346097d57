#include "amaranthroute/policy/admission_queue.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "libpolicy/fake_node.h"

namespace amaranth {
namespace {

using std::chrono::milliseconds;

QueuedCall MakeCall(uint64_t id, Tier tier, const std::string& caller,
                    int64_t at_millis, int64_t deadline_millis) {
  QueuedCall call;
  call.id = id;
  call.tier = tier;
  call.caller_key = caller;
  call.enqueued = TimePoint{} + milliseconds(at_millis);
  call.deadline = TimePoint{} + milliseconds(deadline_millis);
  return call;
}

TimePoint AtMillis(int64_t millis) {
  return TimePoint{} + milliseconds(millis);
}

// A queue together with the calls expected to wait in it.
struct CheckedQueue {
  explicit CheckedQueue(size_t capacity)
      : queue(AdmissionQueueOptions{capacity}),
        long_places(std::max<size_t>(1, capacity / 2)) {}

  void ExpectRemoved(const std::vector<QueuedCall>& removed) {
    for (const QueuedCall& call : removed) {
      RC_ASSERT(waiting.count(call.id) == 1u);
      RC_ASSERT(waiting.at(call.id) == call);
      waiting.erase(call.id);
    }
  }

  void Push(const QueuedCall& call, TimePoint now) {
    // Once long work has reached its own capacity only long work is evicted.
    const auto is_long = [](const auto& entry) {
      return entry.second.long_work;
    };
    const auto long_waiting = static_cast<size_t>(
        std::count_if(waiting.begin(), waiting.end(), is_long));
    const bool long_only = call.long_work && long_waiting >= long_places;
    std::vector<QueuedCall> evicted;
    const PushResult result = queue.Push(call, now, evicted);
    ExpectRemoved(evicted);
    // No call of a lower tier than a refused or evicted one that competes for
    // the same places is left waiting.
    Tier min_tier_waiting = Tier::kBackground;
    if (result == PushResult::kFull) min_tier_waiting = call.tier;
    for (const QueuedCall& victim : evicted) {
      RC_ASSERT(victim.tier <= call.tier);
      min_tier_waiting = victim.tier;
    }
    for (const auto& entry : waiting) {
      RC_ASSERT((long_only && !is_long(entry)) ||
                entry.second.tier >= min_tier_waiting);
    }
    if (result == PushResult::kQueued) waiting[call.id] = call;
  }

  void Pop(TimePoint now, bool long_allowed) {
    std::vector<QueuedCall> expired;
    const std::optional<QueuedCall> call =
        queue.Pop(now, milliseconds(10), long_allowed, expired);
    ExpectRemoved(expired);
    const auto can_run = [&](const auto& entry) {
      return long_allowed || !entry.second.long_work;
    };
    if (!call) {
      RC_ASSERT(std::none_of(waiting.begin(), waiting.end(), can_run));
      return;
    }
    RC_ASSERT(call->deadline > now);
    ExpectRemoved({*call});
    for (const auto& entry : waiting) {
      RC_ASSERT(!can_run(entry) || entry.second.tier <= call->tier);
    }
  }

  AdmissionQueue queue;
  size_t long_places;
  std::map<uint64_t, QueuedCall> waiting;
};

}  // namespace

TEST_GROUP(AdmissionQueueTest){};

TEST(AdmissionQueueTest, EveryCallLeavesOnceAndHigherTiersAreServedFirst) {
  CHECK(rc::check([] {
    CheckedQueue checked(*rc::gen::inRange<size_t>(1, 8));
    int64_t now = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::inRange(0, 60);
      const int action = *rc::gen::inRange(0, 6);
      if (action < 3) {
        QueuedCall call =
            MakeCall(static_cast<uint64_t>(step),
                     static_cast<Tier>(*rc::gen::inRange(0, kTierCount)),
                     std::string(1, *rc::gen::element('a', 'b', 'c')), now,
                     now + *rc::gen::inRange(1, 2000));
        call.expected = milliseconds(*rc::gen::inRange(0, 30));
        call.level = *rc::gen::inRange<uint32_t>(1, 9);
        call.long_work = *rc::gen::arbitrary<bool>();
        checked.Push(call, AtMillis(now));
      } else if (action < 5) {
        checked.Pop(AtMillis(now), *rc::gen::arbitrary<bool>());
      } else {
        const uint64_t id = *rc::gen::inRange<uint64_t>(0, 200);
        RC_ASSERT(checked.queue.Remove(id) == (checked.waiting.erase(id) > 0));
      }
      RC_ASSERT(checked.queue.size() == checked.waiting.size());
      RC_ASSERT((checked.queue.next_deadline() == kNever) ==
                checked.waiting.empty());
    }
  }));
}

// Guards against browsing that delays renewals because customers' tiers, which
// go before those of classes, are all the same.
TEST(AdmissionQueueTest, OfOneTierTheMoreImportantClassIsServedFirst) {
  AdmissionQueue queue;
  std::vector<QueuedCall> dropped;
  const auto push = [&](uint64_t id, Tier tier, Tier class_tier) {
    QueuedCall call = MakeCall(id, tier, "a", 0, 5000);
    call.class_tier = class_tier;
    queue.Push(call, AtMillis(0), dropped);
  };
  push(1, Tier::kStandard, Tier::kBrowse);
  push(2, Tier::kStandard, Tier::kCritical);
  push(3, Tier::kCritical, Tier::kBrowse);
  for (const uint64_t expected : {3, 2, 1}) {
    const std::optional<QueuedCall> next =
        queue.Pop(AtMillis(1), milliseconds(10), true, dropped);
    CHECK_EQUAL(expected, next.value().id);
  }
}

TEST(AdmissionQueueTest, PermanentDelayReversesTheOrder) {
  AdmissionQueue queue;
  std::vector<QueuedCall> out;
  for (uint64_t id = 0; id < 30; ++id) {
    queue.Push(MakeCall(id, Tier::kBrowse, "a", 10 * id, 5000),
               AtMillis(10 * static_cast<int64_t>(id)), out);
  }
  CHECK_EQUAL(0u, queue.Pop(AtMillis(300), Duration(0), true, out)->id);
  CHECK_EQUAL(29u, queue.Pop(AtMillis(400), Duration(0), true, out)->id);
  CHECK(queue.overloaded(Tier::kBrowse));
  // Calls over the wait timeout are dropped at once, not at their deadline of
  // 5000 ms.
  queue.DropExpired(AtMillis(650), Duration(0), out);
  CHECK_EQUAL(15u, out.size());
}

// Guards against every call being refused although the server has recovered. A
// stall raised the expected service time to 3 s; no call has a deadline that
// far away, so all calls are dropped, none runs, and the estimate never falls.
TEST(AdmissionQueueTest, WrongServiceTimeIsCorrectedByOneCallPerSecond) {
  AdmissionQueue queue;
  std::vector<QueuedCall> out;
  int ran = 0;
  for (int64_t now = 0; now < 5000; now += 10) {
    QueuedCall call = MakeCall(static_cast<uint64_t>(now), Tier::kStandard, "a",
                               now, now + 2000);
    call.expected = std::chrono::seconds(3);
    queue.Push(call, AtMillis(now), out);
    if (queue.Pop(AtMillis(now), std::chrono::seconds(3), true, out)) ++ran;
  }
  CHECK_EQUAL(5, ran);
}

// Guards against all short calls being refused at once by a healthy server. It
// also runs calls of one second, so the mean service time of the server exceeds
// the deadline of a short call. The expected time must be that of the call's
// own kind.
TEST(AdmissionQueueTest, ShortCallIsNotDroppedBesideLongOnes) {
  AdmissionQueue queue;
  std::vector<QueuedCall> out;
  QueuedCall short_call = MakeCall(1, Tier::kStandard, "a", 0, 500);
  short_call.expected = milliseconds(100);
  QueuedCall long_call = MakeCall(2, Tier::kBrowse, "a", 0, 900);
  long_call.expected = milliseconds(1000);
  queue.Push(short_call, AtMillis(0), out);
  queue.Push(long_call, AtMillis(0), out);
  const std::optional<QueuedCall> popped =
      queue.Pop(AtMillis(10), milliseconds(800), true, out);
  CHECK(popped.has_value());
  CHECK_EQUAL(1u, popped->id);
  CHECK_EQUAL(1u, out.size());
  CHECK_EQUAL(2u, out.front().id);
}

// Guards against nine callers having most of their calls refused because a
// tenth sends ten times as many as all of them together and its calls fill the
// queue.
TEST(AdmissionQueueTest, CallerWithAHighRateDoesNotCrowdOutOthers) {
  pvt::FakeNodeOptions options;
  options.limit.ceiling = 10;
  options.limit.initial = 10;
  options.shed = false;
  std::vector<pvt::FakeLoad> loads;
  for (int caller = 0; caller < 10; ++caller) {
    const double rate = caller == 0 ? 5000 : 50;
    loads.push_back({std::to_string(caller), Tier::kStandard,
                     [rate](double) { return rate; }});
  }
  pvt::FakeNode node(options, loads, 1);
  node.RunUntil(5);
  for (size_t caller = 1; caller < 10; ++caller) {
    CHECK(node.Tally(caller, 1, 4).good_share() >= 0.99);
  }
  CHECK(node.Tally(0, 1, 4).good >= 1350);  // the other half of 1000 per second
}

}  // namespace amaranth
