#ifndef AMARANTHROUTE_LIBPOLICY_FAKE_NODE_H_
#define AMARANTHROUTE_LIBPOLICY_FAKE_NODE_H_

// A serving node and its one backend server in virtual time, for tests: random
// arrivals go through the shedder, the queue and the limit into a fake server.

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

// A function of the seconds since the start.
using Profile = std::function<double(double)>;

// Callers of one kind; arrivals are a Poisson process.
struct FakeLoad {
  std::string caller;
  Tier tier = Tier::kStandard;
  Profile per_second;
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
  // Calls that the server runs at once at full speed; more share its power.
  double knee = 10;
  // Factor on service times that no number of calls changes: the server waits
  // for a slow service below it.
  Profile slowness = [](double) { return 1.0; };
};

// What became of one load's calls that arrived in a stretch of time.
struct FakeTally {
  int offered = 0;
  int let_in = 0;  // by the shedder
  int good = 0;    // answered before the deadline
  double mean_millis = 0;
  double good_share() const {
    return offered == 0 ? 1.0 : static_cast<double>(good) / offered;
  }
};

class FakeNode {
 public:
  FakeNode(FakeNodeOptions options, std::vector<FakeLoad> loads, uint64_t seed);

  void RunUntil(double seconds);
  // Of calls of load number `load` that arrived in [from, to) seconds.
  FakeTally Tally(size_t load, double from, double to) const;
  // Threshold and limit at the ends of 10 ms steps since the start.
  const std::vector<uint32_t>& thresholds() const { return thresholds_; }
  const std::vector<int>& limits() const { return limits_; }
  Duration baseline() const { return limit_.baseline(); }

 private:
  enum class Kind { kArrival, kDone, kStep };
  struct FakeEvent {
    TimePoint at;
    Kind kind;
    size_t subject;  // load or call number
    bool operator<(const FakeEvent& other) const { return at > other.at; }
  };
  struct Call {
    size_t load = 0;
    TimePoint arrived{};
    TimePoint started{};
    int in_flight = 0;
    bool let_in = false;
    bool good = false;
    Duration took{0};
  };

  void PlanArrival(size_t load, TimePoint now);
  void OnArrival(size_t load, TimePoint now);
  void OnDone(size_t number, TimePoint now);
  void OnStep(TimePoint now);
  void FillSlots(TimePoint now);
  void Start(size_t number, TimePoint now);

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
  double service_micros_ = 0;  // moving average of short calls
  std::vector<uint32_t> thresholds_;
  std::vector<int> limits_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPOLICY_FAKE_NODE_H_
