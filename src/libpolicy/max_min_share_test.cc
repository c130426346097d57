#include "amaranthroute/policy/max_min_share.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "amaranthroute/policy/admission_queue.h"
#include "amaranthroute/policy/rank_admission.h"

namespace amaranth {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = FromMicros(1'000'000);
constexpr char kService[] = "schedules";

struct FleetOptions {
  int entry_nodes = 13;
  int servers = 2;
  int slots = 52;       // of each server
  double short_by = 2;  // offered slot time / slots, during the surge
  // Factors on the usual demand during the surge, by customer.
  std::map<int, double> surge;
  bool weighted = true;  // by quotas of 1.6 times the usual demand
  bool fairness = true;
  double critical_part = 0.2;  // of the slots, asked for at the rank above
  double lost_reports = 0;
  Duration surge_length = seconds(6);
  Duration after = seconds(1);
};

struct Counts {
  double offered = 0;
  double served = 0;
  double admitted = 0;
  double Share() const { return offered > 0 ? served / offered : 1; }
};

// 82 customers by a power law with exponent 1.2 at the backend servers of one
// service behind many entry nodes, in virtual time. The two calls of a request
// follow each other, each at the less loaded of two servers.
class Fleet {
 public:
  static constexpr int kCustomers = 82;
  static constexpr int kCalls = 2;
  static constexpr Duration kCallTime = milliseconds(100);
  static constexpr Duration kTarget = milliseconds(1000);
  static constexpr Duration kCalm = seconds(1);  // before the surge

  explicit Fleet(FleetOptions options)
      : options_(std::move(options)),
        entries_(static_cast<size_t>(options_.entry_nodes)),
        servers_(static_cast<size_t>(options_.servers)) {
    AdmissionQueueOptions queue;
    queue.newest_first = false;
    queue.capacity =
        AdmissionQueue::CapacityForWait(256, options_.slots, kCallTime);
    for (Server& server : servers_) server.queue.Configure(queue);
    double surging = 0;
    for (int i = 0; i < kCustomers; ++i) {
      const double part = std::pow(i + 1, -1.2);
      usual_rate_.push_back(part);
      surging += part * FactorOf(i);
    }
    const double needed = kCalls * Seconds(kCallTime);
    requests_per_second_ = options_.slots * options_.servers / needed;
    critical_rate_ = options_.critical_part * requests_per_second_;
    const double offered =
        options_.short_by * requests_per_second_ - critical_rate_;
    for (double& rate : usual_rate_) rate *= offered / surging;
  }

  void Run() {
    end_ = kStart + kCalm + options_.surge_length + options_.after;
    for (int i = -1; i < kCustomers; ++i) ScheduleArrival(i);
    while (!events_.empty() && events_.top().at < end_) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }

  // Requests of the customer that arrived in the seconds [from, to) of the
  // surge; customer -1 is all of the critical class.
  Counts CountsOf(int customer, int from, int to) const {
    Counts sum;
    for (int second = from; second < to; ++second) {
      const auto found = counts_.find({second, customer});
      if (found == counts_.end()) continue;
      sum.offered += found->second.offered;
      sum.served += found->second.served;
      sum.admitted += found->second.admitted;
    }
    return sum;
  }

  // Rate of the customer during the surge, and what max-min fairness gives it.
  double RateOf(int i) const {
    return usual_rate_[static_cast<size_t>(i)] * FactorOf(i);
  }
  double FairRateOf(int i) const {
    // By bisection, independently of MaxMinLevel.
    double low = 0;
    double high = 1e6;
    for (int step = 0; step < 100; ++step) {
      const double level = (low + high) / 2;
      double sum = 0;
      for (int c = 0; c < kCustomers; ++c) {
        sum += std::min(RateOf(c), WeightOf(c) * level);
      }
      (sum < requests_per_second_ - critical_rate_ ? low : high) = level;
    }
    return std::min(RateOf(i), WeightOf(i) * low);
  }
  double WeightOf(int i) const {
    return options_.weighted ? 1.6 * usual_rate_[static_cast<size_t>(i)] : 1;
  }
  double capacity() const { return requests_per_second_; }

 private:
  struct Request {
    int customer = 0;
    size_t entry = 0;
    TimePoint started{};
    int calls_left = kCalls;
    AdmitDecision decision;
    Tier tier() const { return customer < 0 ? Tier::kCritical : Tier::kBrowse; }
  };
  struct Entry {
    CostProfile profile;
    RankAdmission admission;
  };
  struct Server {
    RankDemand demand;
    MaxMinShare shares;
    AdmissionQueue queue;
    std::map<uint64_t, Request> waiting;
    int in_flight = 0;
    size_t Calls() const {
      return queue.size() + static_cast<size_t>(in_flight);
    }
  };
  struct Event {
    TimePoint at{};
    uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  static constexpr Duration kLink = milliseconds(2);

  static double Seconds(Duration d) {
    return std::chrono::duration<double>(d).count();
  }
  static std::string NameOf(int customer) {
    return "customer-" + std::to_string(customer);
  }
  double FactorOf(int customer) const {
    const auto found = options_.surge.find(customer);
    return found == options_.surge.end() ? 1 : found->second;
  }
  void At(Duration from_now, std::function<void()> action) {
    events_.push({now_ + from_now, ++order_, std::move(action)});
  }
  Duration Drawn(double mean_seconds) {
    std::exponential_distribution<double> draw(1 / mean_seconds);
    return Duration(static_cast<int64_t>(draw(random_) * 1e6));
  }
  bool Lucky(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  int SecondOf(TimePoint t) const {
    return static_cast<int>(std::floor(Seconds(t - kStart - kCalm)));
  }

  // All customers send less before and after the surge, so that there is no
  // shortage then.
  void ScheduleArrival(int customer) {
    double rate = critical_rate_;
    if (customer >= 0) {
      const Duration elapsed = now_ - kStart - kCalm;
      const bool surge =
          elapsed >= Duration(0) && elapsed < options_.surge_length;
      rate = surge ? RateOf(customer)
                   : usual_rate_[static_cast<size_t>(customer)] * 0.5;
    }
    // Rates change at the surge's ends: redrawn each 100 ms.
    const Duration gap = Drawn(1 / rate);
    if (gap > milliseconds(100)) {
      return At(milliseconds(100),
                [this, customer] { ScheduleArrival(customer); });
    }
    At(gap, [this, customer] {
      Arrive(customer);
      ScheduleArrival(customer);
    });
  }

  void Arrive(int customer) {
    Request request;
    request.customer = customer;
    request.entry = random_() % entries_.size();
    request.started = now_;
    Entry& entry = entries_[request.entry];
    entry.profile.by_service[kService] = {kCalls, 200'000};
    request.decision =
        entry.admission.Decide(kService, &entry.profile, request.tier(),
                               request.tier(), now_, NameOf(customer));
    ++counts_[{SecondOf(now_), customer}].offered;
    if (!Lucky(request.decision.share)) return;
    ++counts_[{SecondOf(now_), customer}].admitted;
    Send(request);
  }

  void Send(const Request& request) {
    At(kLink, [this, request] { ArriveAtServer(request); });
  }

  Server& PickServer() {
    Server& first = servers_[random_() % servers_.size()];
    Server& second = servers_[random_() % servers_.size()];
    return first.Calls() <= second.Calls() ? first : second;
  }

  void ArriveAtServer(const Request& request) {
    Server& server = PickServer();
    QueuedCall call;
    call.id = ++order_;
    call.tier = request.tier();
    call.class_tier = request.tier();
    call.cost_bucket = request.decision.cost_bucket;
    call.expected = kCallTime;
    call.enqueued = now_;
    call.deadline = request.started + kTarget;
    const int position =
        PositionOf(call.tier, call.class_tier, call.cost_bucket);
    const uint16_t share = static_cast<uint16_t>(
        std::lround(request.decision.share * kFullAdmitShare));
    server.demand.OnArrival(position, kCallTime, share, true, now_);
    const double weight = request.customer < 0 ? 1 : WeightOf(request.customer);
    server.shares.OnArrival(NameOf(request.customer), weight, position,
                            kCallTime, share, now_);
    server.waiting[call.id] = request;
    std::vector<QueuedCall> evicted;
    if (server.queue.Push(call, now_, evicted) == PushResult::kFull) {
      server.waiting.erase(call.id);
    }
    for (const QueuedCall& lost : evicted) server.waiting.erase(lost.id);
    StartWaiting(server);
  }

  void StartWaiting(Server& server) {
    std::vector<QueuedCall> expired;
    while (server.in_flight < options_.slots) {
      const std::optional<QueuedCall> next =
          server.queue.Pop(now_, kCallTime, true, expired);
      for (const QueuedCall& lost : expired) server.waiting.erase(lost.id);
      expired.clear();
      if (!next) {
        server.demand.OnIdle();
        return;
      }
      const Request request = server.waiting.at(next->id);
      server.waiting.erase(next->id);
      ++server.in_flight;
      At(Drawn(Seconds(kCallTime)),
         [this, &server, request] { End(server, request); });
    }
  }

  void End(Server& server, Request request) {
    --server.in_flight;
    StartWaiting(server);
    --request.calls_left;
    if (server.demand.WindowIsOver(now_)) {
      std::vector<WaitingWork> waiting;
      server.queue.ForEach([&](const QueuedCall& call) {
        waiting.push_back(
            {PositionOf(call.tier, call.class_tier, call.cost_bucket),
             call.expected});
      });
      server.demand.Close(options_.slots, waiting, now_);
      server.shares.Close(server.demand.cut(), now_);
    }
    const double cut = server.demand.cut();
    const double share = server.shares.ShareOf(NameOf(request.customer));
    At(kLink, [this, request, cut, share] { Answer(request, cut, share); });
  }

  void Answer(const Request& request, double cut, double share) {
    Entry& entry = entries_[request.entry];
    if (!Lucky(options_.lost_reports)) {
      entry.admission.OnReport(kService, cut, now_);
      if (options_.fairness) {
        entry.admission.customer_cuts().OnReport(
            kService, NameOf(request.customer), cut, share, now_);
      }
    }
    if (request.calls_left > 0) return Send(request);
    if (now_ - request.started > kTarget) return;
    ++counts_[{SecondOf(request.started), request.customer}].served;
  }

  FleetOptions options_;
  std::vector<double> usual_rate_;
  double requests_per_second_ = 0;
  double critical_rate_ = 0;
  std::vector<Entry> entries_;
  std::vector<Server> servers_;
  std::map<std::pair<int, int>, Counts> counts_;  // by second and customer
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  TimePoint now_ = kStart;
  TimePoint end_{};
  std::mt19937_64 random_{11};
};

}  // namespace

TEST_GROUP(MaxMinShare) {
  MaxMinShare shares;

  // One window of `length` in which each of the customers makes `calls` calls
  // of 10 ms at a position.
  void Offer(const std::string& customer, double weight, int calls,
             int position = 40, uint16_t admit_share = kFullAdmitShare) {
    for (int i = 0; i < calls; ++i) {
      shares.OnArrival(customer, weight, position, milliseconds(10),
                       admit_share, kStart);
    }
  }
  void Close(double cut) { shares.Close(cut, kStart + milliseconds(200)); }
};

// Guards against a division that leaves capacity unused, or gives out more than
// there is.
TEST(MaxMinShare, WhatSmallDemandsLeaveGoesToTheOthers) {
  DOUBLES_EQUAL(4, MaxMinLevel({{1, 1}, {9, 1}, {20, 1}}, 9), 1e-9);
  DOUBLES_EQUAL(2, MaxMinLevel({{1, 1}, {9, 1}, {20, 3}}, 9), 1e-9);
  CHECK(std::isinf(MaxMinLevel({{1, 1}, {9, 1}}, 10)));
  DOUBLES_EQUAL(0, MaxMinLevel({{1, 1}, {9, 1}}, 0), 1e-9);
}

// Guards against a common cut: the customer that asks for nine tenths of the
// capacity loses, the small one does not.
TEST(MaxMinShare, OnlyTheCustomerAboveTheLevelIsCut) {
  Offer("large", 1, 900);
  Offer("small", 1, 100);
  Close(40.5);
  DOUBLES_EQUAL(1, shares.ShareOf("small"), 0);
  CHECK(shares.ShareOf("large") >= 0.44);
  CHECK(shares.ShareOf("large") <= 0.5);
}

// Guards against a surge that is divided by size alone, whatever the customers
// are entitled to.
TEST(MaxMinShare, AQuotaThreeTimesAsLargeGetsThreeTimesAsMuch) {
  Offer("large", 300, 1000);
  Offer("small", 100, 1000);
  Close(40.5);
  DOUBLES_EQUAL(3, shares.ShareOf("large") / shares.ShareOf("small"), 0.01);
}

// Guards against a customer whose demand shrinks with its admitted calls: its
// share would rise and fall in turn.
TEST(MaxMinShare, AnAdmittedCallCountsForThoseThatWereRefused) {
  Offer("large", 1, 225, 40, kFullAdmitShare / 4);
  Offer("small", 1, 100);
  Close(40.5);
  DOUBLES_EQUAL(1, shares.ShareOf("small"), 0);
  CHECK(shares.ShareOf("large") <= 0.55);
}

// Guards against a customer of one call in the measured time, whose demand
// appears to be several times its mean whenever it is told its share.
TEST(MaxMinShare, ASingleCallIsNotTakenForASurge) {
  Offer("large", 1000, 1000);
  Offer("rare", 0.01, 1);
  Close(40.5);
  DOUBLES_EQUAL(1, shares.ShareOf("rare"), 0);
}

// Guards against cutting a customer for what it asks at another rank.
TEST(MaxMinShare, OnlyDemandAtTheCutCounts) {
  Offer("large", 1, 900, 48);
  Offer("large", 1, 100);
  Offer("other", 1, 300);
  Close(40.5);
  DOUBLES_EQUAL(1, shares.ShareOf("large"), 0);
  CHECK(shares.ShareOf("other") < 1);
  Close(0);
  DOUBLES_EQUAL(1, shares.ShareOf("other"), 0);
}

// Guards against memory that grows with the names that callers invent, and
// against a caller that gets more by inventing names.
TEST(MaxMinShare, TheTableIsBounded) {
  Offer("large", 1, 900);
  for (int position = 0; position < kPositions; ++position) {
    for (int i = 0; i < 1000; ++i) {
      Offer("name-" + std::to_string(i), 1, 1, position);
    }
  }
  Close(40.5);
  CHECK(shares.size() <=
        MaxMinShare::kMaxCustomers * MaxMinShare::kMaxPositions);
  // "large" was first at position 40 and is one of the largest there.
  CHECK(shares.ShareOf("large") < 1);
}

// Results of the third second of the surge and later.
TEST_GROUP(CustomerFleet) {
  FleetOptions options;

  void SetNodes(int nodes) {
    options.entry_nodes = nodes;
    options.servers = std::max(2, nodes * 8 / options.slots);
  }
  // Sets the factor of the largest customer, and of the fourth if `two`.
  void SetSurge(double factor, double short_by, bool two) {
    options.surge = {{0, factor}};
    if (two) options.surge[3] = factor;
    options.short_by = short_by;
  }
  int LastSecond() const {
    return static_cast<int>(options.surge_length / seconds(1));
  }
  // Returns the results of the customers whose demand is below their share.
  Counts BelowTheirShare(const Fleet& fleet) const {
    Counts sum;
    for (int i = 0; i < Fleet::kCustomers; ++i) {
      if (fleet.FairRateOf(i) < fleet.RateOf(i) * 0.999) continue;
      const Counts counted = fleet.CountsOf(i, 2, LastSecond());
      sum.offered += counted.offered;
      sum.served += counted.served;
    }
    return sum;
  }
  void CheckOthersAreServed() {
    Fleet fleet(options);
    fleet.Run();
    const Counts below = BelowTheirShare(fleet);
    const Counts critical = fleet.CountsOf(-1, 2, LastSecond());
    CHECK(below.offered > 0);
    CHECK_COMPARE(below.Share(), >=, 0.95);
    CHECK_COMPARE(critical.Share(), >=, 0.95);
  }
};

// Guards against one customer whose surge takes what the others are entitled
// to, and against a division among customers that reaches into the rank above.
TEST(CustomerFleet, ASurgeOfOneCustomerTakesNothingFromTheOthers) {
  SetNodes(85);
  for (const auto& [factor, short_by] : std::vector<std::pair<double, double>>{
           {3, 1.3}, {5, 1.3}, {7.5, 1.3}, {5, 1.6}, {7.5, 2}}) {
    SetSurge(factor, short_by, false);
    CheckOthersAreServed();
  }
}

// The same with two customers.
TEST(CustomerFleet, ASurgeOfTwoCustomersTakesNothingFromTheOthers) {
  SetNodes(85);
  for (const auto& [factor, short_by] : std::vector<std::pair<double, double>>{
           {3, 1.3}, {5, 1.3}, {7.5, 1.3}, {7.5, 2}}) {
    SetSurge(factor, short_by, true);
    CheckOthersAreServed();
  }
}

// Guards against a division that needs quotas.
TEST(CustomerFleet, CustomersWithoutQuotasShareAlike) {
  SetNodes(85);
  options.weighted = false;
  SetSurge(7.5, 2, false);
  CheckOthersAreServed();
}

// Guards against noise at a few servers that is taken for surges.
TEST(CustomerFleet, AFewNodes) {
  SetNodes(13);
  for (const double factor : {3.0, 5.0, 7.5}) {
    SetSurge(factor, 1.3, true);
    CheckOthersAreServed();
  }
  for (const bool two : {false, true}) {
    SetSurge(7.5, 2, two);
    CheckOthersAreServed();
  }
}

// Guards against unknown customers: each node sees two or three requests per
// minute of the median one.
TEST(CustomerFleet, AThousandNodes) {
  SetNodes(1000);
  options.servers = 77;
  options.surge_length = seconds(4);
  SetSurge(7.5, 2, false);
  CheckOthersAreServed();
}

// Guards against shares that depend on each single report.
TEST(CustomerFleet, AThirdOfTheReportsIsLost) {
  SetNodes(85);
  options.lost_reports = 1.0 / 3;
  SetSurge(7.5, 1.3, false);
  CheckOthersAreServed();
}

// Guards against customers that stay cut after the shortage.
TEST(CustomerFleet, AllAreServedTwoSecondsAfterTheSurge) {
  SetNodes(85);
  options.after = seconds(4);
  SetSurge(7.5, 2, false);
  Fleet fleet(options);
  fleet.Run();
  Counts after;
  for (int i = 0; i < Fleet::kCustomers; ++i) {
    const Counts counted =
        fleet.CountsOf(i, LastSecond() + 2, LastSecond() + 3);
    after.offered += counted.offered;
    after.served += counted.served;
  }
  CHECK_COMPARE(after.Share(), >=, 0.99);
}

TEST_GROUP(CustomerCuts) {
  RankAdmission admission;
  CostProfile profile;

  void setup() override {
    profile.by_service[kService] = {1, 10'000};
    admission.OnReport(kService, kCut, kStart);
  }

  // A cut in the position of the cheapest requests of Tier::kBrowse.
  static constexpr double kCut = 47.5;

  AdmitDecision Decide(const std::string& customer, Tier tier = Tier::kBrowse,
                       TimePoint now = kStart) {
    return admission.Decide(kService, &profile, tier, tier, now, customer);
  }
  void Report(const std::string& customer, double share,
              TimePoint now = kStart) {
    admission.customer_cuts().OnReport(kService, customer, kCut, share, now);
  }
};

// Guards against nodes that refuse customers by a common share although the
// serving nodes divide the capacity among them.
TEST(CustomerCuts, TheShareOfTheCustomerReplacesTheCommonOne) {
  DOUBLES_EQUAL(0.5, Decide("large").share, 1e-9);
  CHECK(!Decide("large").by_customer);
  Report("large", 0.1);
  DOUBLES_EQUAL(0.1, Decide("large").share, 1e-9);
  CHECK(Decide("large").by_customer);
  DOUBLES_EQUAL(1, Decide("unknown").share, 1e-9);
}

// Guards against customers' shares that reach into the order of ranks.
TEST(CustomerCuts, OtherRanksAreNotTouched) {
  Report("large", 0);
  DOUBLES_EQUAL(1, Decide("large", Tier::kStandard).share, 0);
  DOUBLES_EQUAL(RankAdmission::kMinShare, Decide("large").share, 0);
  DOUBLES_EQUAL(RankAdmission::kMinShare,
                Decide("unknown", Tier::kBackground).share, 0);
}

// Guards against unknown customers that fill what is left of a position when
// that is next to nothing: together they may be most of the demand.
TEST(CustomerCuts, UnknownCustomersAreCutIfAlmostNothingIsLeft) {
  const double cut = 47.99;
  admission = RankAdmission();
  admission.OnReport(kService, cut, kStart);
  admission.customer_cuts().OnReport(kService, "large", cut, 0, kStart);
  CHECK(Decide("unknown").share < 0.1);
}

// Guards against a share that outlives the shortage, or that is applied for
// long after the customer has become smaller.
TEST(CustomerCuts, ReportsFade) {
  Report("large", 0.1);
  const TimePoint ended =
      kStart + RankAdmission::kDecayDelay + RankAdmission::kDecayTime;
  DOUBLES_EQUAL(1, Decide("large", Tier::kBrowse, ended).share, 0);
  const TimePoint later =
      kStart + CustomerCuts::kFadeDelay + CustomerCuts::kFadeTime;
  admission.OnReport(kService, kCut, later);
  Report("other", 1, later);
  DOUBLES_EQUAL(1, Decide("large", Tier::kBrowse, later).share, 1e-9);
}

// Guards against memory that grows with the names that callers invent.
TEST(CustomerCuts, TheTableIsBounded) {
  for (size_t i = 0; i < 2 * CustomerCuts::kMaxCustomers; ++i) {
    Report("name-" + std::to_string(i), 0.1);
  }
  CHECK(admission.customer_cuts().size() <= CustomerCuts::kMaxCustomers);
  const TimePoint later =
      kStart + CustomerCuts::kFadeDelay + CustomerCuts::kFadeTime;
  Report("large", 0.1, later);
  CHECK_EQUAL(1, admission.customer_cuts().size());
}

}  // namespace amaranth
