// Rank admission through complete nodes in virtual time: two classes compete
// for a service that is short of capacity.

#include <CppUTest/TestHarness.h>

#include <map>
#include <random>
#include <string>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 4;

struct Tally {
  int sent = 0;
  int good = 0;
  double share() const { return sent == 0 ? 0 : double(good) / sent; }
};

std::string NodeName(int i) { return "n" + std::to_string(i); }

}  // namespace

TEST_GROUP(RankAdmissionNodes) {
  FakeFleet fleet{17};
  std::mt19937_64 random{3};
  std::map<std::string, Tally> tallies;
  std::map<uint64_t, std::string> classes_by_call;
  int refused_by_rank = 0;
  int cuts_logged = 0;
  int next_request = 0;

  // "schedules" has 2 servers with 20 slots each. "approval" makes four calls
  // of 40 ms there through "front"; "browse" makes one of 600 ms directly.
  void Start(bool rank_admission) {
    fleet.rules.admit_at_edge = true;
    for (int i = 0; i < kNodes; ++i) fleet.AddNode(NodeName(i), "a", true);
    fleet.RunFor(seconds(3));
    ChangeSettings(rank_admission);
    for (int i = 0; i < 2; ++i) {
      FakeServerOptions server;
      server.name = "s" + std::to_string(i);
      server.service = "schedules";
      server.slots = 20;
      server.service_time = milliseconds(40);
      server.random_service_time = true;
      server.slow_body = "browse";
      server.slow_factor = 15;
      fleet.AddServer(NodeName(i), server);
      FakeServerOptions front;
      front.name = "f" + std::to_string(i);
      front.service = "front";
      front.slots = 400;
      front.service_time = milliseconds(2);
      front.nested = {"schedules", "schedules", "schedules", "schedules"};
      fleet.AddServer(NodeName(i + 2), front);
    }
    fleet.on_answer = [this](uint64_t call, const FakeAnswer& answer) {
      const auto found = classes_by_call.find(call);
      if (found == classes_by_call.end()) return;
      const bool in_time = answer.at - answer.sent_at <= seconds(3);
      if (answer.response.status == 200 && in_time) {
        ++tallies[found->second].good;
      }
    };
    fleet.on_log = [this](const std::string&, const WriteLog& log) {
      if (log.text.find("is short of capacity: cut=") != std::string::npos) {
        ++refused_by_rank;
      }
      if (log.text.find(" correction=") != std::string::npos) ++cuts_logged;
    };
    fleet.RunFor(seconds(10));
  }

  void ChangeSettings(bool rank_admission) {
    HttpRequest change;
    change.method = "POST";
    change.target = "/settings";
    change.body = Body(std::string(R"({"changes":[
      {"path":"default/*/browse","name":"tier","value":"browse"},
      {"path":"default/*/browse","name":"target_p99_ms","value":"3000"},
      {"path":"default/*/approval","name":"target_p99_ms","value":"1000"},
      {"path":"","name":"concurrency","value":"throughput"},
      {"path":"","name":"deadline_ms","value":"4000"},
      {"path":"","name":"rank_admission","value":")") +
                       (rank_admission ? "true" : "false") + R"("}]})");
    CHECK_EQUAL(200, fleet.CallOperatorApi(NodeName(0), change).status);
    fleet.RunFor(seconds(5));
  }

  void Send(const std::string& request_class) {
    const bool direct = request_class == "browse";
    HttpRequest request =
        MakeRequest("GET", direct ? "schedules" : "front", request_class,
                    "r" + std::to_string(next_request++));
    request.target = "/" + std::to_string(next_request);
    if (direct) request.body = Body("browse");
    SetHeader(request.headers, "X-Amaranth-Deadline-Ms", "4000");
    ++tallies[request_class].sent;
    const int node = static_cast<int>(random() % kNodes);
    classes_by_call[fleet.Call(NodeName(node), std::move(request))] =
        request_class;
  }

  // Sends both classes for `length`, each with this part of the capacity.
  void SendBoth(double approval, double browse, Duration length) {
    tallies.clear();
    SendClass("approval", approval * 40 / 0.160, length);
    SendClass("browse", browse * 40 / 0.600, length);
    fleet.RunFor(length);
    fleet.RunFor(seconds(6));
  }

  void SendClass(const std::string& request_class, double per_second,
                 Duration length) {
    std::exponential_distribution<double> gap(per_second);
    const double end = static_cast<double>(length.count()) / 1e6;
    for (double at = gap(random); at < end; at += gap(random)) {
      fleet.At(Duration(static_cast<int64_t>(at * 1e6)),
               [this, request_class] { Send(request_class); });
    }
  }
};

// Guards against the lowest class being served best because it is never late,
// and against a shedding threshold that rises with the wait of its calls and
// sheds the higher class.
TEST(RankAdmissionNodes, TheHigherClassGetsItsDemandFirst) {
  Start(true);
  SendBoth(0.3, 0.3, seconds(4));
  SendBoth(0.8, 0.9, seconds(12));
  CHECK(tallies["approval"].share() >= 0.95);
  CHECK(refused_by_rank > 0);
  CHECK(cuts_logged > 0);
}

// Without the setting nothing is refused by rank or logged about it, and the
// higher class is refused by its window as before.
TEST(RankAdmissionNodes, NothingChangesWithoutTheSetting) {
  Start(false);
  SendBoth(0.3, 0.3, seconds(4));
  SendBoth(0.8, 0.9, seconds(12));
  CHECK(tallies["approval"].share() < 0.95);
  CHECK_EQUAL(0, refused_by_rank);
  CHECK_EQUAL(0, cuts_logged);
}

}  // namespace amaranth::pvt
