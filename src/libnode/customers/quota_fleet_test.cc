// Customers' quotas across all nodes of three data centres, through complete
// nodes in virtual time, while nodes and data centres fail.

#include <CppUTest/TestHarness.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libnode/fakes/fake_fleet.h"
#include "libnode/fakes/most_in_window.h"
#include "libnode/settings/settings_document.h"
#include "libnode/shared/caller_headers.h"

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDataCentres = 3;
constexpr int kNodes = 45;
constexpr Duration kWindow = seconds(5);

constexpr const char* kLarge = "large";
constexpr const char* kSmall = "small";
constexpr Quota kLargeQuota{200, 200};
constexpr Quota kSmallQuota{10, 10};

// The operators' bound for a window.
double AllowedInWindow(const Quota& quota) {
  return (quota.rate * 5 + quota.burst) * 1.1 + 20;
}

std::string NodeName(int i) { return "n" + std::to_string(i); }

std::string KeyOf(const std::string& customer) { return customer + "-key"; }

Customer MakeCustomer(const std::string& name, const Quota& quota) {
  Customer customer;
  customer.name = name;
  customer.keys = {KeyDigest::Of(KeyOf(name))};
  customer.quota = quota;
  return customer;
}

std::string MakeDocument(uint64_t version, const Quota& large) {
  SettingsDocument document;
  document.version = version;
  document.customers = CustomerTable(
      {MakeCustomer(kLarge, large), MakeCustomer(kSmall, kSmallQuota)});
  return ToText(document);
}

struct Tally {
  int sent = 0;
  int served = 0;
  int over_quota = 0;
  double ServedShare() const { return sent == 0 ? 0 : double(served) / sent; }
};

}  // namespace

TEST_GROUP(QuotaFleet) {
  FakeFleet fleet{11};
  std::mt19937_64 random{5};
  std::map<std::string, std::vector<TimePoint>> runs;  // by customer
  std::map<std::string, Tally> tallies;                // by customer
  std::map<uint64_t, std::string> customers;           // by call
  int next_request = 0;

  void setup() override {
    fleet.DiscardHistory();
    fleet.rules.settings_source = SettingsSource::kWatch;
    fleet.rules.request_id_per_send = true;
    fleet.rules.callers_resend = true;
    fleet.rules.admit_at_edge = true;
    fleet.SetDocument(1, MakeDocument(1, kLargeQuota));
    for (int i = 0; i < kNodes; ++i) {
      fleet.AddNode(NodeName(i), DataCentreOf(i), true);
    }
    for (int i = 0; i < 9; ++i) {
      FakeServerOptions server;
      server.name = "s" + std::to_string(i);
      server.service = "catalogue";
      server.slots = 100;
      fleet.AddServer(NodeName(i), server);
    }
    fleet.on_run = [this](const FakeServerRun& run) {
      const std::string customer =
          run.request_id.substr(0, run.request_id.find('.'));
      runs[customer].push_back(run.at);
    };
    fleet.on_answer = [this](uint64_t call, const FakeAnswer& answer) {
      Tally& tally = tallies[customers[call]];
      if (answer.response.status == 200) ++tally.served;
      if (answer.response.status == 429) ++tally.over_quota;
    };
    fleet.RunFor(seconds(8));
  }

  static std::string DataCentreOf(int node) {
    return "dc" + std::to_string(node % kDataCentres);
  }

  void Send(const std::string& customer, const std::string& node) {
    HttpRequest request =
        MakeRequest("GET", "catalogue", "browse",
                    customer + "." + std::to_string(next_request++));
    request.target = "/" + std::to_string(next_request);
    request.headers.push_back({std::string(kKeyHeader), KeyOf(customer)});
    ++tallies[customer].sent;
    customers[fleet.Call(node, std::move(request))] = customer;
  }

  std::string AnyNode() {
    return NodeName(std::uniform_int_distribution<int>(0, kNodes - 1)(random));
  }

  // Schedules requests with Poisson arrivals at the nodes that `node` names.
  void Schedule(const std::string& customer, double rate, Duration length,
                const std::function<std::string()>& node) {
    std::exponential_distribution<double> gap(rate);
    const double end = static_cast<double>(length.count()) / 1e6;
    for (double at = gap(random); at < end; at += gap(random)) {
      fleet.At(Duration(static_cast<int64_t>(at * 1e6)),
               [this, customer, node] { Send(customer, node()); });
    }
  }

  void ScheduleEverywhere(const std::string& customer, double rate,
                          Duration length) {
    Schedule(customer, rate, length, [this] { return AnyNode(); });
  }

  size_t MostRuns(const std::string& customer, TimePoint since) {
    return MostInWindow(runs[customer], kWindow, since);
  }

  void CheckWithinQuota() {
    CHECK(double(MostRuns(kLarge, TimePoint())) <=
          AllowedInWindow(kLargeQuota));
    CHECK(double(MostRuns(kSmall, TimePoint())) <=
          AllowedInWindow(kSmallQuota));
  }

  void CutNode(int node) {
    for (int i = 0; i < kNodes; ++i) {
      if (i != node) fleet.Cut(NodeName(node), NodeName(i));
    }
  }
};

// Guards against a customer that sends four times its quota through all nodes:
// each of them sees only a small part of it.
TEST(QuotaFleet, ACustomerThroughAllNodesIsHeldToItsQuota) {
  ScheduleEverywhere(kLarge, 800, seconds(15));
  ScheduleEverywhere(kSmall, 6, seconds(15));
  fleet.RunFor(seconds(16));
  CheckWithinQuota();
  CHECK(tallies[kLarge].served >= 0.95 * 200 * 15);
  CHECK_EQUAL(0, tallies[kSmall].over_quota);
}

// Guards against a quota that is refused in parts: a customer within it is
// refused because its requests come through one data centre, or one node.
TEST(QuotaFleet, ACustomerThroughOneNodeGetsItsWholeQuota) {
  Schedule(kLarge, 180, seconds(15), [] { return NodeName(4); });
  Schedule(kSmall, 6, seconds(15), [] { return NodeName(7); });
  fleet.RunFor(seconds(16));
  CHECK(tallies[kLarge].ServedShare() >= 0.99);
  CHECK(tallies[kSmall].ServedShare() >= 0.97);
}

// Guards against two halves of the fleet that each give out the whole quota
// while they are cut off from each other, and against a cut that leaves one of
// them without any.
TEST(QuotaFleet, ADataCentreThatIsCutOffGivesOutItsPartOnly) {
  ScheduleEverywhere(kLarge, 800, seconds(20));
  fleet.RunFor(seconds(5));
  for (int i = 0; i < kNodes; ++i) {
    for (int j = 0; j < kNodes; ++j) {
      const bool crosses = i % kDataCentres == 0 && j % kDataCentres != 0;
      if (crosses) fleet.Cut(NodeName(i), NodeName(j));
    }
  }
  fleet.RunFor(seconds(9));
  fleet.Heal();
  fleet.RunFor(seconds(7));
  CheckWithinQuota();
  CHECK(tallies[kLarge].served >= 0.8 * 200 * 20);
}

// Guards against nodes that are cut off from all others and each give out a
// quota of their own.
TEST(QuotaFleet, NodesThatAreCutOffAloneStayWithinTheQuota) {
  ScheduleEverywhere(kLarge, 800, seconds(20));
  fleet.RunFor(seconds(5));
  for (int i = 0; i < kNodes; i += 4) CutNode(i);
  fleet.RunFor(seconds(9));
  fleet.Heal();
  fleet.RunFor(seconds(7));
  CheckWithinQuota();
}

// Guards against a quota that starts anew, with its whole burst, at each node
// when all processes are killed at the same moment.
TEST(QuotaFleet, ARestartOfAllNodesGivesOutNoSecondBurst) {
  ScheduleEverywhere(kLarge, 800, seconds(6));
  fleet.RunFor(seconds(6));
  for (int i = 0; i < kNodes; ++i) fleet.Kill(NodeName(i));
  fleet.RunFor(seconds(1));
  for (int i = 0; i < kNodes; ++i) fleet.Restart(NodeName(i));
  ScheduleEverywhere(kLarge, 800, seconds(8));
  fleet.RunFor(seconds(9));
  CheckWithinQuota();
}

// Guards against homes that move with each restart of a rolling update, where
// each new home gives out a burst of its own.
TEST(QuotaFleet, ARollingRestartKeepsTheQuotaAndRefusesNobodyWithinIt) {
  ScheduleEverywhere(kLarge, 800, seconds(20));
  ScheduleEverywhere(kSmall, 6, seconds(20));
  for (int i = 9; i < kNodes; ++i) {
    fleet.At(milliseconds(500) * (i - 8),
             [this, i] { fleet.Kill(NodeName(i)); });
    fleet.At(milliseconds(500) * (i - 8) + milliseconds(700),
             [this, i] { fleet.Restart(NodeName(i)); });
  }
  fleet.RunFor(seconds(21));
  CheckWithinQuota();
  CHECK(tallies[kSmall].over_quota <= 2);
}

// Guards against a lower quota that is not kept because tokens of the higher
// one are still held.
TEST(QuotaFleet, ALowerQuotaIsKeptSoonAfterItIsSet) {
  ScheduleEverywhere(kLarge, 180, seconds(16));
  fleet.RunFor(seconds(4));
  const Quota lower{20, 20};
  fleet.SetDocument(2, MakeDocument(2, lower));
  const TimePoint in_force = fleet.now() + milliseconds(2500);
  fleet.RunFor(seconds(13));
  CHECK(double(MostRuns(kLarge, in_force)) <= AllowedInWindow(lower));
}

}  // namespace amaranth::pvt
