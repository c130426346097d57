// Order by progress and slack (queue_order) through complete nodes: a service
// that calls an overloaded one eight times for each request.

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>
#include <vector>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {
namespace {

constexpr int kLoadSeconds = 6;
// Requests per second: two servers with 10 slots, eight calls of 20 ms each.
constexpr double kCapacity = 125;

// Results of a surge at 1.6 times the capacity.
class Surge {
 public:
  explicit Surge(const std::string& queue_order, int deadline_ms = 2000)
      : deadline_ms_(deadline_ms) {
    fleet_.rules.request_id_per_send = true;
    fleet_.rules.admit_at_edge = true;
    fleet_.AddNode("a1", "bilbao-a", true);
    fleet_.AddNode("a2", "bilbao-a", true);
    fleet_.RunFor(std::chrono::seconds(3));
    SetQueueOrder(queue_order);
    for (const std::string host : {"a1", "a2"}) AddServers(host);
    fleet_.RunFor(std::chrono::seconds(10));
    fleet_.on_answer = [this](uint64_t, const FakeAnswer& answer) {
      if (answer.response.status == 200) ++completed;
      if (answer.Verdict() == "ran" && answer.response.status >= 500) ++failed;
    };
    fleet_.on_log = [this](const std::string&, const WriteLog& line) {
      const bool dropped =
          line.text.find("cannot end before its deadline") != std::string::npos;
      if (dropped) ++dropped_as_hopeless;
    };
    Send(40, 3);  // the entry nodes learn the typical time
    completed = failed = 0;
    Send(200, kLoadSeconds);
    fleet_.RunFor(std::chrono::seconds(5));
  }

  int completed = 0;
  int failed = 0;  // after they were started
  int dropped_as_hopeless = 0;

 private:
  void SetQueueOrder(const std::string& value) {
    HttpRequest change;
    change.method = "POST";
    change.target = "/settings";
    change.body =
        Body(R"({"changes":[{"path":"default","name":"queue_order","value":")" +
             value + R"("}]})");
    const HttpResponse accepted =
        fleet_.CallOperatorApi("a1", std::move(change));
    CHECK_EQUAL(200, accepted.status);
    fleet_.RunFor(std::chrono::seconds(5));
  }

  void AddServers(const std::string& host) {
    FakeServerOptions front;
    front.name = "front-" + host;
    front.service = "front";
    front.slots = 1000;
    front.service_time = std::chrono::milliseconds(1);
    front.nested = std::vector<std::string>(8, "POST deep");
    fleet_.AddServer(host, front);
    FakeServerOptions deep;
    deep.name = "deep-" + host;
    deep.service = "deep";
    deep.slots = 10;
    deep.service_time = std::chrono::milliseconds(20);
    deep.random_service_time = true;
    fleet_.AddServer(host, deep);
  }

  void Send(double per_second, int seconds) {
    std::exponential_distribution<double> gap(per_second);
    for (double at = gap(random_); at < seconds; at += gap(random_)) {
      fleet_.At(Duration(static_cast<int64_t>(at * 1e6)), [this] {
        HttpRequest request = MakeRequest("POST", "front", "submission");
        SetHeader(request.headers, "X-Amaranth-Deadline-Ms",
                  std::to_string(deadline_ms_));
        request.target = "/" + std::to_string(next_request_);
        fleet_.Call(next_request_++ % 2 == 0 ? "a1" : "a2", std::move(request));
      });
    }
    fleet_.RunFor(std::chrono::seconds(seconds));
  }

  int deadline_ms_;
  FakeFleet fleet_{9};
  std::mt19937_64 random_{3};
  int next_request_ = 0;
};

}  // namespace

TEST_GROUP(SlackOrderFleet){};

// Guards against work that is started and lost. With half a second to the
// deadline, eight waits at the overloaded service are too long for most
// requests; under a third as many as with order by age may fail after they were
// started. Calls of requests that cannot end are dropped, with that reason.
TEST(SlackOrderFleet, FewStartedRequestsFail) {
  const Surge by_age("age", 500);
  const Surge by_slack("slack", 500);
  CHECK(3 * by_slack.failed < by_age.failed);
  CHECK(by_slack.dropped_as_hopeless > 0);
  CHECK_EQUAL(0, by_age.dropped_as_hopeless);
}

// Guards against shedding by the age of first calls, which wait behind all
// others: with ample time, it refused a third of the requests that the service
// could have served.
TEST(SlackOrderFleet, TheCapacityIsUsed) {
  const Surge by_slack("slack", 2000);
  CHECK_EQUAL(0, by_slack.failed);
  CHECK(by_slack.completed >= 0.9 * kCapacity * kLoadSeconds);
}

}  // namespace amaranth::pvt
