// Requests through complete nodes while the servers of the deepest service
// refuse a share of their calls.

#include <CppUTest/TestHarness.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {
namespace {

constexpr const char* kHosts[] = {"a1", "a2", "a3"};

}  // namespace

// A service that calls the deepest one eight times for each request, on three
// nodes.
TEST_GROUP(FeasibilityFleet) {
  FakeFleet fleet{7};
  std::mt19937_64 random{5};
  int next_request = 0;
  int refused_unsent = 0;
  int failed_after_work = 0;
  int completed = 0;
  std::vector<std::string> failure_lines;

  void Start(bool check,
             const std::vector<std::string>& deep_hosts = {"a1", "a2", "a3"}) {
    fleet.rules.admit_at_edge = true;
    fleet.rules.request_id_per_send = true;
    for (const char* host : kHosts) fleet.AddNode(host, "bilbao-a", true);
    fleet.RunFor(std::chrono::seconds(3));
    if (check) ChangeSetting("feasibility_check", "true");
    for (const char* host : kHosts) {
      FakeServerOptions front;
      front.name = std::string("front-") + host;
      front.service = "front";
      front.slots = 200;
      front.service_time = std::chrono::milliseconds(1);
      front.nested = std::vector<std::string>(8, "POST deep");
      fleet.AddServer(host, front);
    }
    for (const std::string& host : deep_hosts) {
      FakeServerOptions deep;
      deep.name = "deep-" + host;
      deep.service = "deep";
      deep.slots = 100;
      deep.service_time = std::chrono::milliseconds(20);
      fleet.AddServer(host, deep);
    }
    fleet.on_answer = [this](uint64_t, const FakeAnswer& answer) {
      if (answer.response.status == 200) {
        ++completed;
      } else if (answer.Verdict() == "not-run") {
        ++refused_unsent;
      } else {
        ++failed_after_work;
      }
    };
    fleet.on_log = [this](const std::string&, const WriteLog& line) {
      if (line.text.find("failed_below=") != std::string::npos) {
        failure_lines.push_back(line.text);
      }
    };
    fleet.RunFor(std::chrono::seconds(10));
  }

  void ChangeSetting(const std::string& name, const std::string& value) {
    HttpRequest change;
    change.method = "POST";
    change.target = "/settings";
    change.body = Body(R"({"changes":[{"path":"default","name":")" + name +
                       R"(","value":")" + value + R"("}]})");
    const HttpResponse accepted =
        fleet.CallOperatorApi("a1", std::move(change));
    CHECK_EQUAL(200, accepted.status);
    fleet.RunFor(std::chrono::seconds(5));
  }

  void SetRefusing(double share) {
    for (const char* host : kHosts) {
      fleet.SetRefusingShare(std::string("deep-") + host, share);
    }
  }

  // Sends 150 requests a second and counts their ends.
  void Send(Duration length) {
    refused_unsent = failed_after_work = completed = 0;
    std::exponential_distribution<double> gap(150);
    const double seconds = std::chrono::duration<double>(length).count();
    for (double at = gap(random); at < seconds; at += gap(random)) {
      fleet.At(Duration(static_cast<int64_t>(at * 1e6)), [this] {
        HttpRequest request = MakeRequest("POST", "front", "submission");
        request.target = "/" + std::to_string(next_request);
        fleet.Call(kHosts[next_request++ % 3], std::move(request));
      });
    }
    fleet.RunFor(length);
  }
};

// Guards against work that is started although it cannot be completed and must
// not be repeated. Requests that fail without the check: 0.95 of all; the check
// must leave under a third of these, and refuse the others as not run.
TEST(FeasibilityFleet, RequestsWithoutAChanceAreRefusedUnsent) {
  Start(true);
  Send(std::chrono::seconds(3));
  CHECK_EQUAL(0, refused_unsent + failed_after_work);
  SetRefusing(0.55);
  Send(std::chrono::seconds(5));
  const int sent_in_vain = failed_after_work;
  CHECK(3 * sent_in_vain < refused_unsent + failed_after_work);
  SetRefusing(0);
  Send(std::chrono::milliseconds(300));
  Send(std::chrono::seconds(2));
  CHECK_EQUAL(0, refused_unsent + failed_after_work);
}

// The entry node logs why a request failed at the service called by the service
// that it called.
TEST(FeasibilityFleet, TheCauseOfAFailureIsLogged) {
  Start(true);
  SetRefusing(0.55);
  Send(std::chrono::seconds(1));
  CHECK(failed_after_work > 0);
  CHECK(failure_lines.size() >= static_cast<size_t>(failed_after_work));
  for (const std::string& line : failure_lines) {
    CHECK(line.find("failed_below=deep:refusing") != std::string::npos);
  }
}

// Failure: the data centre is cut off from the only server of the deepest
// service. Its requests fail as unreachable, which is no refusal.
TEST(FeasibilityFleet, AnUnreachableServerIsNotTakenForARefusingOne) {
  Start(true, {"a1"});
  Send(std::chrono::seconds(2));
  fleet.Cut("a1", "a2");
  fleet.Cut("a1", "a3");
  Send(std::chrono::seconds(8));
  int unreachable = 0;
  for (const std::string& line : failure_lines) {
    if (line.find("failed_below=deep:unreachable") != std::string::npos) {
      ++unreachable;
    }
    CHECK(line.find("failed_below=deep:refusing") == std::string::npos);
  }
  CHECK(unreachable > 0);
}

// Defaults: nothing is refused for its chance, and no line names a cause.
TEST(FeasibilityFleet, NothingChangesWithoutTheSetting) {
  Start(false);
  SetRefusing(0.55);
  Send(std::chrono::seconds(2));
  CHECK_EQUAL(0, refused_unsent);
  CHECK(failure_lines.empty());
}

}  // namespace amaranth::pvt
