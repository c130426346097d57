// The order of AdmissionQueue by progress and slack: the load of several
// request classes that share an overloaded service, and single decisions.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "amaranthroute/policy/admission_queue.h"

namespace amaranth {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = FromMicros(1'000'000);
constexpr int kSlots = 104;
constexpr int kLoadSeconds = 8;

struct RequestClass {
  std::string name;
  Tier tier = Tier::kStandard;
  int calls = 1;
  Duration service{0};  // of one call
  double part = 0;      // of the offered slot time
  Duration target{0};
};

// The least important class makes one long call directly to the service, the
// others make four or eight short calls in a row.
const std::vector<RequestClass> kClasses = {
    {"browse", Tier::kBrowse, 1, milliseconds(610), 0.3, seconds(3)},
    {"view", Tier::kStandard, 4, milliseconds(38), 0.4, milliseconds(1000)},
    {"approve", Tier::kStandard, 8, milliseconds(38), 0.3, milliseconds(1200)},
};

// One backend server with that load for kLoadSeconds.
class OverloadedServer {
 public:
  OverloadedServer(double load, bool by_slack, uint64_t seed)
      : load_(load), by_slack_(by_slack), random_(seed) {
    AdmissionQueueOptions options;
    options.newest_first = false;
    options.capacity =
        AdmissionQueue::CapacityForWait(256, kSlots, milliseconds(60));
    queue_.Configure(options);
    for (const RequestClass& of : kClasses) Schedule(of);
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }

  // Requests that failed after their first call was served.
  int FailedLate() const { return failed_late_; }
  // Requests of a class that were completed in one second.
  int ServedIn(int second, const std::string& name) const {
    const auto found = served_.find({second, name});
    return found == served_.end() ? 0 : found->second;
  }
  bool IsEmpty() const { return waiting_.empty() && queue_.size() == 0; }

 private:
  struct Request {
    const RequestClass* of = nullptr;
    TimePoint started{};
    Duration waited{0};
    int done = 0;
  };
  struct Event {
    TimePoint at{};
    uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  static constexpr Duration kLink = milliseconds(4);

  void At(Duration from_now, std::function<void()> action) {
    events_.push({now_ + from_now, ++order_, std::move(action)});
  }
  Duration Drawn(double mean_seconds) {
    std::exponential_distribution<double> draw(1 / mean_seconds);
    return Duration(static_cast<int64_t>(draw(random_) * 1e6));
  }

  void Schedule(const RequestClass& of) {
    const double needed =
        of.calls * static_cast<double>(of.service.count()) / 1e6;
    At(Drawn(needed / (load_ * kSlots * of.part)), [this, &of] {
      if (now_ - kStart > seconds(kLoadSeconds)) return;
      Arrive({&of, now_, Duration(0), 0});
      Schedule(of);
    });
  }

  void Arrive(const Request& request) {
    const RequestClass& of = *request.of;
    const Duration busy = of.calls * (of.service + kLink);
    const Duration deadline = 2 * of.target;
    QueuedCall call;
    call.id = ++order_;
    call.tier = of.tier;
    call.class_tier = of.tier;
    call.expected = of.service;
    call.enqueued = now_;
    call.deadline = request.started + deadline;
    if (by_slack_) {
      call.target_start = now_ + of.target - busy - request.waited;
      call.deadline_start = now_ + deadline - busy - request.waited;
      call.calls_done = static_cast<uint8_t>(request.done);
    }
    std::vector<QueuedCall> lost;
    waiting_[call.id] = {request, now_};
    if (queue_.Push(call, now_, lost) == PushResult::kFull) {
      lost.push_back(call);
    }
    Fail(lost);
    StartWaiting();
  }

  void Fail(const std::vector<QueuedCall>& lost) {
    for (const QueuedCall& call : lost) {
      const Request request = waiting_.at(call.id).first;
      waiting_.erase(call.id);
      if (request.done > 0) ++failed_late_;
    }
  }

  void StartWaiting() {
    while (in_flight_ < kSlots) {
      std::vector<QueuedCall> lost;
      const std::optional<QueuedCall> next =
          queue_.Pop(now_, milliseconds(60), true, lost);
      Fail(lost);
      if (!next) return;
      auto [request, arrived] = waiting_.at(next->id);
      waiting_.erase(next->id);
      request.waited += now_ - arrived;
      ++in_flight_;
      const double mean =
          static_cast<double>(request.of->service.count()) / 1e6;
      At(Drawn(mean), [this, request = request] { End(request); });
    }
  }

  void End(Request request) {
    --in_flight_;
    StartWaiting();
    if (++request.done < request.of->calls) {
      return At(kLink, [this, request] { Arrive(request); });
    }
    const int second = static_cast<int>((now_ - kStart) / seconds(1));
    ++served_[{second, request.of->name}];
  }

  double load_;
  bool by_slack_;
  AdmissionQueue queue_;
  std::map<uint64_t, std::pair<Request, TimePoint>> waiting_;
  std::map<std::pair<int, std::string>, int> served_;
  int failed_late_ = 0;
  int in_flight_ = 0;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  TimePoint now_ = kStart;
  std::mt19937_64 random_;
};

TimePoint AtMillis(int64_t millis) { return kStart + milliseconds(millis); }

}  // namespace

TEST_GROUP(SlackOrder) {
  AdmissionQueue queue;
  std::vector<QueuedCall> dropped;
  uint64_t next_id = 1;

  // Queues a call with a deadline of 10 s; `target_start` in milliseconds.
  uint64_t Push(int64_t target_start, uint8_t calls_done,
                int64_t deadline = 10'000) {
    QueuedCall call;
    call.id = next_id++;
    call.enqueued = kStart;
    call.deadline = AtMillis(deadline);
    call.target_start = AtMillis(target_start);
    call.deadline_start = call.deadline;
    call.calls_done = calls_done;
    queue.Push(call, kStart, dropped);
    return call.id;
  }
  uint64_t Pop(int64_t at) {
    const std::optional<QueuedCall> next =
        queue.Pop(AtMillis(at), milliseconds(10), true, dropped);
    return next ? next->id : 0;
  }
};

TEST(SlackOrder, MoreCallsDoneThenLeastSlackComeFirst) {
  const uint64_t patient = Push(900, 0);
  const uint64_t urgent = Push(300, 0);
  const uint64_t advanced = Push(800, 3);
  CHECK_EQUAL(advanced, Pop(1));
  CHECK_EQUAL(urgent, Pop(1));
  CHECK_EQUAL(patient, Pop(1));
}

// Guards against starvation of requests that have missed their target.
TEST(SlackOrder, CallsThatMissTheirTargetRunLastByDeadline) {
  const uint64_t late = Push(10, 7, 9000);
  const uint64_t later = Push(5, 0, 8000);
  const uint64_t in_time = Push(500, 0);
  CHECK_EQUAL(in_time, Pop(20));
  CHECK_EQUAL(later, Pop(20));
  CHECK_EQUAL(late, Pop(20));
}

TEST(SlackOrder, ACallThatCannotEndInTimeIsDroppedAtOnce) {
  QueuedCall call;
  call.id = 1;
  call.enqueued = kStart;
  call.deadline = AtMillis(5000);
  call.target_start = AtMillis(50);
  call.deadline_start = AtMillis(100);
  queue.Push(call, kStart, dropped);
  queue.DropExpired(AtMillis(100), milliseconds(10), dropped);
  CHECK(dropped.empty());
  CHECK(queue.next_deadline() == AtMillis(100) + Duration(1));
  queue.DropExpired(queue.next_deadline(), milliseconds(10), dropped);
  CHECK_EQUAL(1U, dropped.size());
  CHECK_EQUAL(0U, queue.size());
}

// Failure: calls of an older node carry no slack. They keep their place by age.
TEST(SlackOrder, ACallWithoutSlackKeepsItsPlaceByAge) {
  QueuedCall old;
  old.id = 100;
  old.enqueued = kStart - milliseconds(1);
  QueuedCall young = old;
  young.id = 101;
  young.enqueued = kStart + milliseconds(1);
  queue.Push(old, kStart, dropped);
  const uint64_t with_slack = Push(900, 5);
  queue.Push(young, kStart, dropped);
  const std::vector<uint64_t> order = {Pop(2), Pop(2), Pop(2)};
  CHECK(order == (std::vector<uint64_t>{old.id, with_slack, young.id}));
}

// Guards against refusing the last calls of a request as readily as its first:
// when the queue is full, a call of a request that has begun replaces the first
// call of another one, and is not replaced by it.
TEST(SlackOrder, AFullQueueKeepsRequestsThatHaveBegun) {
  AdmissionQueueOptions options;
  options.capacity = 1;
  queue.Configure(options);
  const uint64_t first = Push(300, 0);
  const uint64_t begun = Push(10, 4);
  CHECK_EQUAL(1U, dropped.size());
  CHECK_EQUAL(first, dropped.front().id);
  Push(300, 0);
  CHECK_EQUAL(1U, dropped.size());
  CHECK_EQUAL(begun, Pop(20));
}

// Requests that fail after their first call was served must be under a third of
// those with order by age.
TEST(SlackOrder, FewRequestsFailAfterTheirFirstCall) {
  for (const uint64_t seed : {31, 32, 33}) {
    for (const double load : {1.7, 3.0}) {
      const OverloadedServer by_age(load, false, seed);
      const OverloadedServer by_slack(load, true, seed);
      CHECK(by_age.FailedLate() > 0);
      CHECK(3 * by_slack.FailedLate() < by_age.FailedLate());
    }
  }
}

// Where the classes of the highest rank fit, order by slack fails none of them.
TEST(SlackOrder, NoRequestFailsBelowCapacity) {
  const OverloadedServer server(1.2, true, 31);
  CHECK_EQUAL(0, server.FailedLate());
}

// Nothing starves: in each second, both classes that share the highest rank
// complete requests, and no call is left in the queue.
TEST(SlackOrder, NoClassOfARankStarves) {
  for (const double load : {1.2, 1.7, 3.0}) {
    const OverloadedServer server(load, true, 31);
    CHECK(server.IsEmpty());
    for (int second = 1; second < kLoadSeconds; ++second) {
      CHECK(server.ServedIn(second, "view") > 0);
      CHECK(server.ServedIn(second, "approve") > 0);
    }
  }
}

}  // namespace amaranth
