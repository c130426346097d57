#include "amaranthroute/policy/admission_window.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <vector>

namespace amaranth {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTarget = milliseconds(1000);

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

void EndRequest(AdmissionWindow& window, const EndedRequest& ended, int at_ms) {
  if (window.OnEnd(ended, kTarget)) window.Shrink(ended.latency, At(at_ms));
}

// Simulates entry nodes with a window each, and one service at which each
// request makes kCalls sequential calls, in virtual time with steps of 1 ms.
class ChainFleet {
 public:
  struct Result {
    int admitted = 0;
    int in_time = 0;
  };

  ChainFleet(int nodes, bool use_windows) : use_windows_(use_windows) {
    windows_.resize(static_cast<size_t>(nodes));
  }

  // Offers `per_second` requests from 0 to end_ms; counts those that arrived in
  // [from_ms, to_ms).
  Result Run(double per_second, int from_ms, int to_ms, int end_ms) {
    Result result;
    for (int ms = 0; ms < end_ms; ++ms) {
      due_ += per_second / 1000;
      for (; due_ >= 1; due_ -= 1) Arrive(ms, ms >= from_ms && ms < to_ms);
      AdvanceRequests(ms);
    }
    result.admitted = admitted_;
    result.in_time = in_time_;
    return result;
  }

  static constexpr int kCalls = 4;
  static constexpr size_t kSlots = 45;
  static constexpr int kServiceMs = 40;
  static constexpr int kMillisBeforeFirstCall = 100;
  static constexpr double kCapacity =
      1000.0 * kSlots / kServiceMs / kCalls;  // requests a second

 private:
  struct Request {
    size_t node;
    int arrived_ms;
    int calls_left;
    int time_ms;  // waiting: enqueued at; running: ends at
    int waited_ms;
    bool in_sample;
  };

  void Arrive(int ms, bool in_sample) {
    const size_t node = next_node_++ % windows_.size();
    AdmissionWindow& window = windows_[node];
    if (use_windows_ && !window.HasRoom(random_)) return;
    window.OnBegin();
    if (in_sample) ++admitted_;
    before_first_call_.push_back(
        {node, ms, kCalls, ms + kMillisBeforeFirstCall, 0, in_sample});
  }

  void AdvanceRequests(int ms) {
    while (!before_first_call_.empty() &&
           before_first_call_.front().time_ms <= ms) {
      waiting_.push_back(before_first_call_.front());
      waiting_.back().time_ms = ms;
      before_first_call_.pop_front();
    }
    std::vector<Request> unfinished;
    for (Request& request : running_) {
      if (request.time_ms > ms) {
        unfinished.push_back(request);
      } else if (--request.calls_left > 0) {
        request.time_ms = ms;
        waiting_.push_back(request);
      } else {
        FinishRequest(request, ms);
      }
    }
    running_ = unfinished;
    while (running_.size() < kSlots && !waiting_.empty()) {
      Request request = waiting_.front();
      waiting_.pop_front();
      request.waited_ms += ms - request.time_ms;
      request.time_ms = ms + kServiceMs;
      running_.push_back(request);
    }
  }

  void FinishRequest(const Request& request, int ms) {
    const EndedRequest ended{milliseconds(ms - request.arrived_ms),
                             milliseconds(request.waited_ms), true};
    EndRequest(windows_[request.node], ended, ms);
    if (request.in_sample && ended.latency <= kTarget) ++in_time_;
  }

  bool use_windows_;
  std::vector<AdmissionWindow> windows_;
  std::mt19937_64 random_{7};
  std::deque<Request> before_first_call_;
  std::deque<Request> waiting_;
  std::vector<Request> running_;
  size_t next_node_ = 0;
  double due_ = 0;  // arrivals not generated yet
  int admitted_ = 0;
  int in_time_ = 0;
};

EndedRequest MakeResult(int latency_ms, int waited_ms, bool served = true) {
  return {milliseconds(latency_ms), milliseconds(waited_ms), served};
}

// Returns a window with `count` requests in flight.
AdmissionWindow WindowWithInFlight(int count) {
  AdmissionWindow window;
  for (int i = 0; i < count; ++i) window.OnBegin();
  return window;
}

}  // namespace

TEST_GROUP(AdmissionWindowTest) { std::mt19937_64 random_{1}; };

// Guards against answers that are nearly all late: at twice the capacity of the
// deepest service each request waits there four times and the queue grows
// without bound. With windows nine in ten admitted requests end in time and use
// nine tenths of the capacity, with a few large entry nodes as with many small
// ones.
TEST(AdmissionWindowTest, AdmittedRequestsEndInTimeAtTwiceTheCapacity) {
  for (const int nodes : {3, 13, 40}) {
    ChainFleet fleet(nodes, true);
    const ChainFleet::Result with =
        fleet.Run(2 * ChainFleet::kCapacity, 5000, 15000, 18000);
    CHECK(with.in_time >= 0.9 * with.admitted);
    CHECK(with.in_time >= 0.9 * 10 * ChainFleet::kCapacity);
  }
  ChainFleet unlimited(13, false);
  const ChainFleet::Result without =
      unlimited.Run(2 * ChainFleet::kCapacity, 5000, 15000, 18000);
  CHECK(without.in_time < 0.1 * without.admitted);
}

// Guards against half of the admitted requests ending late at four times the
// capacity. A window that shrinks by only a fifth per step, one request latency
// apart, needs the whole surge to converge.
TEST(AdmissionWindowTest, AdmittedRequestsEndInTimeAtFourTimesTheCapacity) {
  for (const int nodes : {3, 13, 40}) {
    ChainFleet fleet(nodes, true);
    const ChainFleet::Result result =
        fleet.Run(4 * ChainFleet::kCapacity, 5000, 15000, 18000);
    CHECK(result.in_time >= 0.9 * result.admitted);
    CHECK(result.in_time >= 0.9 * 10 * ChainFleet::kCapacity);
  }
}

TEST(AdmissionWindowTest, NothingIsRefusedBelowTheCapacity) {
  ChainFleet fleet(13, true);
  const double rate = 0.9 * ChainFleet::kCapacity;
  const ChainFleet::Result result = fleet.Run(rate, 1000, 9000, 11000);
  CHECK(result.in_time >= 0.99 * 8 * rate);
}

TEST(AdmissionWindowTest, WithoutALateRequestThereIsNoLimit) {
  AdmissionWindow window = WindowWithInFlight(500);
  EndRequest(window, MakeResult(300, 200), 0);
  CHECK(window.HasRoom(random_));
  DOUBLES_EQUAL(0, window.limit(), 0);
}

TEST(AdmissionWindowTest, LateRequestsInFlightTogetherShrinkTheWindowOnce) {
  AdmissionWindow window = WindowWithInFlight(10);
  EndRequest(window, MakeResult(1200, 600), 2000);
  DOUBLES_EQUAL(5, window.limit(), 0.01);
  EndRequest(window, MakeResult(1300, 700), 2010);
  DOUBLES_EQUAL(5, window.limit(), 0.01);
  CHECK_FALSE(window.HasRoom(random_));
}

// A server at a twelfth of its speed makes every request late, whatever the
// number in flight; refusing requests would not help.
TEST(AdmissionWindowTest, LongServiceTimeDoesNotShrinkTheWindow) {
  AdmissionWindow window = WindowWithInFlight(10);
  EndRequest(window, MakeResult(3000, 100), 2000);
  EndRequest(window, MakeResult(50, 0, false), 2000);
  CHECK(window.HasRoom(random_));
}

TEST(AdmissionWindowTest, FailureAfterALongWaitShrinksTheWindow) {
  AdmissionWindow window = WindowWithInFlight(10);
  EndRequest(window, MakeResult(700, 400, false), 2000);
  CHECK(window.limit() > 0);
}

// The limit is removed once the overload has ended: requests must not be
// refused because of a past burst.
TEST(AdmissionWindowTest, LimitIsRemovedAfterTheOverload) {
  AdmissionWindow window = WindowWithInFlight(10);
  EndRequest(window, MakeResult(1200, 600), 0);
  for (int i = 0; i < 9; ++i) EndRequest(window, MakeResult(300, 0), 2000);
  for (int i = 0; i < 12; ++i) {
    window.OnBegin();
    EndRequest(window, MakeResult(300, 0), 2000 + i);
  }
  DOUBLES_EQUAL(0, window.limit(), 0);
}

TEST(AdmissionWindowTest, WindowNeverRefusesEverything) {
  AdmissionWindow window;
  for (int i = 0; i < 50; ++i) {
    window.OnBegin();
    EndRequest(window, MakeResult(2000, 1900), i * 5000);
  }
  CHECK(window.HasRoom(random_));
}

}  // namespace amaranth
