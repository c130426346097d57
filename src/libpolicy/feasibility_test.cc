#include "amaranthroute/policy/feasibility.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace amaranth {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = FromMicros(10'000'000);
constexpr char kService[] = "schedules";

struct RequestClass {
  std::string name;
  bool idempotent = true;
  int calls = 1;  // at the service, one after the other
  Duration service{0};
  double per_second = 0;  // requests at each entry node
};

// The classes of a deployment with 10 slots of the service per entry node, at
// 0.8 of the capacity.
const std::vector<RequestClass> kClasses = {
    {"sheet", true, 4, milliseconds(63), 12.7},
    {"report", true, 1, milliseconds(170), 14},
    {"submission", false, 8, milliseconds(63), 4.8},
};

struct Load {
  int entry_nodes = 13;
  double refused = 0.55;  // share of the calls while the servers refuse
  Duration refusing = milliseconds(3000);
  double lost_reports = 0;
  bool check = true;
};

struct Counts {
  int offered = 0;
  int sent = 0;
  int completed = 0;
  int failed_late = 0;  // after their first call was served
};

// Requests with several calls in a row at one service whose servers refuse a
// share of their calls, in virtual time. A request fails with its first refused
// call. The answer to a call reports the success share of its server to the
// node of the service between, which is the entry node of other requests; the
// answer to the request reports that node's mean to the entry node.
class RefusingService {
 public:
  explicit RefusingService(const Load& load)
      : load_(load),
        nodes_(static_cast<size_t>(load.entry_nodes)),
        meters_(static_cast<size_t>(std::max(2, load.entry_nodes / 17))) {}

  void Run(Duration length) {
    end_ = kStart + length;
    for (const RequestClass& of : kClasses) Schedule(of);
    while (!events_.empty() && events_.top().at < end_) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }

  // Counts of the requests that arrived in [from, to) after the start.
  Counts Sum(Duration from, Duration to) const {
    Counts sum;
    for (int64_t at = from / kBucket; at < to / kBucket; ++at) {
      const auto found = counts_.find(at);
      if (found == counts_.end()) continue;
      sum.offered += found->second.offered;
      sum.sent += found->second.sent;
      sum.completed += found->second.completed;
      sum.failed_late += found->second.failed_late;
    }
    return sum;
  }
  // Largest number of requests that a node refused in a row.
  int longest_block() const { return longest_block_; }

  static constexpr Duration kCalm = seconds(1);  // before the servers refuse

 private:
  struct Entry {
    Feasibility feasibility;
    int blocked = 0;  // requests refused in a row
  };
  struct Request {
    const RequestClass* of = nullptr;
    Entry* entry = nullptr;
    Entry* between = nullptr;
    Counts* counts = nullptr;
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
  static constexpr Duration kBucket = milliseconds(100);
  static constexpr Duration kLink = milliseconds(2);

  void At(Duration from_now, std::function<void()> action) {
    events_.push({now_ + from_now, ++order_, std::move(action)});
  }
  bool Drawn(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  void Schedule(const RequestClass& of) {
    std::exponential_distribution<double> gap(of.per_second *
                                              load_.entry_nodes);
    At(Duration(static_cast<int64_t>(gap(random_) * 1e6)), [this, &of] {
      Arrive(of, nodes_[random_() % nodes_.size()]);
      Schedule(of);
    });
  }

  void Arrive(const RequestClass& of, Entry& node) {
    Request request;
    request.of = &of;
    request.entry = &node;
    // Three of ten nodes have a server of the service between on their host.
    request.between =
        &nodes_[random_() % std::max<size_t>(1, nodes_.size() * 3 / 10)];
    request.counts = &counts_[(now_ - kStart) / kBucket];
    if (!of.idempotent) {
      ++request.counts->offered;
      if (!Admit(of, node)) return;
      ++request.counts->sent;
    }
    At(kLink, [this, request] { CallServer(request); });
  }

  bool Admit(const RequestClass& of, Entry& node) {
    CostProfile profile;
    profile.by_service[kService].calls = of.calls;
    const FeasibilityEstimate estimate =
        node.feasibility.Estimate(profile, now_);
    const bool admitted = !load_.check ||
                          estimate.chance >= Feasibility::kMinChance ||
                          node.feasibility.LetThrough(estimate, now_);
    if (admitted) {
      node.blocked = 0;
    } else {
      longest_block_ = std::max(longest_block_, ++node.blocked);
    }
    return admitted;
  }

  void CallServer(const Request& request) {
    SuccessMeter& meter = meters_[random_() % meters_.size()];
    const Duration elapsed = now_ - kStart - kCalm;
    const bool refusing =
        elapsed >= Duration::zero() && elapsed < load_.refusing;
    const bool refused = refusing && Drawn(load_.refused);
    At(refused ? kLink : request.of->service,
       [this, &meter, request, refused] { End(meter, request, refused); });
  }

  void End(SuccessMeter& meter, Request request, bool refused) {
    meter.OnAnswered(refused, now_);
    Report(*request.between, meter.Share(now_).value_or(1), refused);
    if (!refused && ++request.done < request.of->calls) {
      return At(2 * kLink, [this, request] { CallServer(request); });
    }
    if (!request.of->idempotent) {
      if (!refused) ++request.counts->completed;
      if (refused && request.done > 0) ++request.counts->failed_late;
    }
    const double mean = request.between->feasibility.SuccessOf(kService, now_);
    At(kLink, [this, request, mean, refused] {
      Report(*request.entry, mean, refused);
    });
  }

  void Report(Entry& node, double share, bool refused) {
    const double reported = share < Feasibility::kReportBelow ? share : 1;
    // A refused call without a report says nothing about the service.
    if (Drawn(load_.lost_reports) || (refused && reported == 1)) return;
    node.feasibility.OnReport(kService, reported, now_);
  }

  Load load_;
  std::vector<Entry> nodes_;
  std::vector<SuccessMeter> meters_;
  std::map<int64_t, Counts> counts_;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  TimePoint now_ = kStart;
  TimePoint end_{};
  int longest_block_ = 0;
  std::mt19937_64 random_{23};
};

CostProfile EightCalls() {
  CostProfile profile;
  profile.by_service[kService].calls = 8;
  return profile;
}

// Records `calls` at even distances in the 500 ms before `end`; of ten, the
// first `refused` are refused.
void AnswerCalls(SuccessMeter& meter, int calls, int refused, TimePoint end) {
  for (int i = 0; i < calls; ++i) {
    const TimePoint at =
        end - milliseconds(499) + i * milliseconds(499) / calls;
    meter.OnAnswered(i % 10 < refused, at);
  }
}

}  // namespace

TEST_GROUP(Feasibility) {
  Feasibility feasibility;

  bool Refuses(TimePoint now) {
    return feasibility.Estimate(EightCalls(), now).chance <
           Feasibility::kMinChance;
  }

  // Compares the load with and without the check, and calls the outcomes good
  // if fewer than a third of the requests fail after their first call.
  void CheckLateFailures(Load load) {
    RefusingService checked(load);
    load.check = false;
    RefusingService unchecked(load);
    const Duration end = RefusingService::kCalm + load.refusing;
    checked.Run(end + seconds(1));
    unchecked.Run(end + seconds(1));
    const Counts with = checked.Sum(RefusingService::kCalm, end);
    const Counts without = unchecked.Sum(RefusingService::kCalm, end);
    CHECK(without.failed_late > 0);
    CHECK(3 * with.failed_late < without.failed_late);
    CHECK(checked.longest_block() < static_cast<int>(Feasibility::kProbeEvery));
  }

  // Recovery must be seen within 300 ms: the requests after that are sent.
  void CheckRecovery(const Load& load) {
    RefusingService service(load);
    const Duration end = RefusingService::kCalm + load.refusing;
    service.Run(end + seconds(1));
    const Counts after =
        service.Sum(end + milliseconds(300), end + milliseconds(500));
    CHECK(after.offered > 0);
    CHECK(after.sent >= 0.95 * after.offered);
  }
};

// Requests that fail after their first call was served must be under a third of
// those without the check. Not asserted: 0.3 refused for 3 s, where half of the
// late failures end before the window of the meter shows the refusals.
TEST(Feasibility, FewRequestsFailAfterTheirFirstCall) {
  for (const int nodes : {13, 85}) {
    for (const double refused : {0.55, 0.8}) {
      CheckLateFailures({nodes, refused, seconds(3)});
    }
    for (const double refused : {0.3, 0.55, 0.8}) {
      CheckLateFailures({nodes, refused, seconds(10)});
    }
  }
  CheckLateFailures({1000, 0.55, seconds(3)});
}

TEST(Feasibility, RecoveryIsSeenWithin300Milliseconds) {
  for (const double refused : {0.3, 0.55, 0.8}) {
    CheckRecovery({85, refused, seconds(3)});
  }
  CheckRecovery({1000, 0.8, seconds(3)});
}

// Guards against refusing on the word of a service that answers all calls.
TEST(Feasibility, NothingIsRefusedWhileServersAnswerAllCalls) {
  RefusingService service({13, 0, seconds(3)});
  service.Run(seconds(4));
  const Counts all = service.Sum(seconds(0), seconds(4));
  CHECK(all.offered > 0);
  CHECK_EQUAL(all.offered, all.sent);
}

// Failure: all reports are lost. Requests are sent as without the check.
TEST(Feasibility, NothingIsRefusedWithoutReports) {
  Load load;
  load.lost_reports = 1;
  RefusingService service(load);
  service.Run(seconds(4));
  const Counts all = service.Sum(seconds(0), seconds(4));
  CHECK_EQUAL(all.offered, all.sent);
}

// Failure: half of the reports are lost. The rest suffice.
TEST(Feasibility, HalfOfTheReportsSuffice) {
  Load load{85, 0.55, seconds(10)};
  load.lost_reports = 0.5;
  CheckLateFailures(load);
}

// Failure: reports stop, because a data centre is disconnected or no call is
// sent. A share that refuses all requests of a node must not stay forever.
TEST(Feasibility, AShareWithoutNewReportsReturnsToOne) {
  feasibility.OnReport(kService, 0.45, kStart);
  CHECK_TRUE(Refuses(kStart + milliseconds(250)));
  CHECK_FALSE(Refuses(kStart + milliseconds(750)));
  DOUBLES_EQUAL(1, feasibility.SuccessOf(kService, kStart + milliseconds(750)),
                1e-9);
}

// Failure: a node has just started, or sees a class first. Its profile is
// empty, and nothing is known of its chance.
TEST(Feasibility, AClassWithoutCostsIsNotRefused) {
  feasibility.OnReport(kService, 0.1, kStart);
  DOUBLES_EQUAL(1, feasibility.Estimate(CostProfile(), kStart).chance, 0);
}

// Failure: one server of five refuses its calls, the others do not.
TEST(Feasibility, OneRefusingServerOfFiveBlocksNothing) {
  for (int i = 0; i < 500; ++i) {
    const TimePoint now = kStart + i * milliseconds(2);
    feasibility.OnReport(kService, i % 5 == 0 ? 0.45 : 1, now);
    // The first report counts alone until others arrive.
    if (i >= 50) CHECK_FALSE(Refuses(now));
  }
}

TEST(Feasibility, ChancesOfServicesMultiply) {
  CostProfile profile = EightCalls();
  profile.by_service["rooms"].calls = 2;
  feasibility.OnReport(kService, 0.8, kStart);
  feasibility.OnReport("rooms", 0.5, kStart);
  const FeasibilityEstimate estimate = feasibility.Estimate(profile, kStart);
  DOUBLES_EQUAL(0.16777216 * 0.25, estimate.chance, 1e-9);
  CHECK_EQUAL(std::string(kService), estimate.service);
}

// One request in 100 ms is let through if nothing newer is known, and one in 32
// otherwise.
TEST(Feasibility, AShareIsAlwaysLetThrough) {
  FeasibilityEstimate estimate;
  estimate.age = milliseconds(100);
  CHECK_TRUE(feasibility.LetThrough(estimate, kStart));
  CHECK_FALSE(feasibility.LetThrough(estimate, kStart + milliseconds(99)));
  CHECK_TRUE(feasibility.LetThrough(estimate, kStart + milliseconds(100)));
  estimate.age = milliseconds(10);
  int sent = 0;
  for (int i = 0; i < 64; ++i) {
    sent += feasibility.LetThrough(estimate, kStart + seconds(1)) ? 1 : 0;
  }
  CHECK_EQUAL(2, sent);
}

TEST_GROUP(SuccessMeter) { SuccessMeter meter; };

TEST(SuccessMeter, CountsTheLast500Milliseconds) {
  AnswerCalls(meter, 100, 9, kStart);
  AnswerCalls(meter, 100, 3, kStart + milliseconds(550));
  DOUBLES_EQUAL(0.7, *meter.Share(kStart + milliseconds(550)), 0.05);
}

// Guards against an idle server that is taken for one that refuses no calls.
TEST(SuccessMeter, FewerThanTenCallsHaveNoShare) {
  AnswerCalls(meter, 9, 9, kStart);
  CHECK_FALSE(meter.Share(kStart).has_value());
  meter.OnAnswered(true, kStart);
  DOUBLES_EQUAL(0, *meter.Share(kStart), 1e-9);
}

// Guards against oscillation: a server that hardly gets calls, because requests
// are refused for it, must not be taken for one that refuses none.
TEST(SuccessMeter, EarlierCallsCountWhileThereAreFew) {
  AnswerCalls(meter, 10, 10, kStart);
  CHECK_TRUE(meter.Share(kStart + milliseconds(1400)).has_value());
  CHECK_FALSE(meter.Share(kStart + milliseconds(2100)).has_value());
}

TEST(SuccessMeter, TwentyCallsInARowEndTheRefusals) {
  AnswerCalls(meter, 100, 8, kStart);
  for (int i = 0; i < 20; ++i) meter.OnAnswered(false, kStart);
  DOUBLES_EQUAL(1, *meter.Share(kStart), 1e-9);
}

}  // namespace amaranth
