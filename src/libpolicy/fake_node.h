#ifndef AMARANTHROUTE_LIBPOLICY_FAKE_NODE_H_
#define AMARANTHROUTE_LIBPOLICY_FAKE_NODE_H_

// Simulates a serving node and its one backend server in virtual time, for
// tests: random arrivals go through the shedder, the admission queue and the
// concurrency limit on their way to a simulated server.

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "amaranthroute/policy/admission_queue.h"
#include "amaranthroute/policy/concurrency_limit.h"
#include "amaranthroute/policy/long_work.h"
#include "amaranthroute/policy/shedder.h"

namespace amaranth::pvt {

// A value as a function of the seconds since the start.
using TimeProfile = std::function<double(double)>;

// Callers of one kind; arrivals are a Poisson process.
struct FakeLoad {
  std::string caller;
  Tier tier = Tier::kStandard;
  TimeProfile per_second;
  Duration service = std::chrono::milliseconds(10);
  bool long_work = false;
  Duration deadline = std::chrono::seconds(1);
};

struct FakeNodeOptions {
  ConcurrencyLimitOptions limit;
  AdmissionQueueOptions queue;
  ShedderOptions shedder;
  bool shed = true;
  double long_share = 0.5;
  // Calls that the server runs at full speed at the same time; with more, their
  // service times grow in proportion.
  double knee = 10;
  // Factor on service times, independent of the number of calls in flight, as
  // if the server waited for a slow nested call.
  TimeProfile slowness = [](double) { return 1.0; };
};

// Results of the calls of one load that arrived within a time range.
struct FakeTally {
  int offered = 0;
  int admitted = 0;        // admitted by the shedder
  int good = 0;            // answered before the deadline
  double mean_millis = 0;  // response time of good calls
  double good_share() const {
    return offered == 0 ? 1.0 : static_cast<double>(good) / offered;
  }
};

class FakeNode {
 public:
  FakeNode(FakeNodeOptions options, std::vector<FakeLoad> loads, uint64_t seed);

  void RunUntil(double seconds);
  // Returns the results of calls of load number `load` that arrived in
  // [from, to) seconds.
  FakeTally Tally(size_t load, double from, double to) const;
  // Shedding threshold and concurrency limit at the end of each 10 ms step.
  const std::vector<uint32_t>& thresholds() const { return thresholds_; }
  const std::vector<int>& limits() const { return limits_; }
  Duration baseline() const { return limit_.baseline(); }

 private:
  enum class Kind { kArrival, kCompletion, kStep };
  struct FakeEvent {
    TimePoint at;
    Kind kind;
    size_t subject;  // load number or call id
    bool operator<(const FakeEvent& other) const { return at > other.at; }
  };
  struct Call {
    size_t load = 0;
    TimePoint arrived{};
    TimePoint started{};
    int in_flight = 0;
    bool admitted = false;
    bool good = false;
    Duration response_time{0};
  };

  void ScheduleArrival(size_t load, TimePoint now);
  void OnArrival(size_t load, TimePoint now);
  void OnCompletion(size_t call_id, TimePoint now);
  void OnStep(TimePoint now);
  void FillSlots(TimePoint now);
  void Start(size_t call_id, TimePoint now);

  FakeNodeOptions options_;
  std::vector<FakeLoad> loads_;
  std::mt19937_64 random_;
  ConcurrencyLimit limit_;
  AdmissionQueue queue_;
  Shedder shedder_;
  LongWorkShare long_share_;
  std::priority_queue<FakeEvent> events_;
  std::vector<Call> calls_;
  int in_flight_ = 0;
  int long_in_flight_ = 0;
  double service_micros_ = 0;  // moving average, without long work
  std::vector<uint32_t> thresholds_;
  std::vector<int> limits_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPOLICY_FAKE_NODE_H_
