// Refused callers that return at the time told, through complete nodes in
// virtual time.

#include <CppUTest/TestHarness.h>

#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "libnode/fakes/fake_fleet.h"
#include "libnode/reservations/reservation_keeper.h"

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kMetric[] = "amaranth_retry_reservations_total";

}  // namespace

// Two nodes with a server each, which ends 200 requests per second. The class
// has a latency target of 3 s.
TEST_GROUP(RetryReservationsFleet) {
  struct Caller {
    std::string node;
    std::string target;
    bool told = false;  // has a reservation
  };
  struct Tally {
    int refused = 0;
    int told = 0;
    int served_at_return = 0;
  };
  FakeFleet fleet{11};
  std::mt19937_64 random{5};
  std::map<uint64_t, Caller> callers;  // by call
  Tally tally;
  bool return_elsewhere = false;
  int next_caller = 0;

  void Start(const std::string& reservations) {
    fleet.rules.admit_at_edge = true;
    fleet.rules.request_id_per_send = true;
    fleet.rules.callers_resend = true;
    for (const char* node : {"a1", "a2"}) fleet.AddNode(node, "a", true);
    fleet.RunFor(seconds(3));
    HttpRequest settings;
    settings.method = "POST";
    settings.target = "/settings";
    settings.body = Body(R"({"changes":[
      {"path":"","name":"rank_admission","value":"true"},
      {"path":"","name":"retry_reservations","value":")" +
                         reservations + R"("},
      {"path":"","name":"deadline_ms","value":"12000"},
      {"path":"","name":"target_p99_ms","value":"3000"}]})");
    const HttpResponse accepted =
        fleet.CallOperatorApi("a1", std::move(settings));
    CHECK_EQUAL(200, accepted.status);
    fleet.RunFor(seconds(5));
    for (const char* node : {"a1", "a2"}) {
      FakeServerOptions server;
      server.name = std::string("p-") + node;
      server.service = "progress";
      server.service_time = milliseconds(50);
      server.random_service_time = true;
      fleet.AddServer(node, server);
    }
    fleet.on_answer = [this](uint64_t call, const FakeAnswer& answer) {
      const auto found = callers.find(call);
      if (found == callers.end()) return;
      const Caller caller = found->second;
      callers.erase(found);
      OnAnswer(caller, answer);
    };
    fleet.RunFor(seconds(10));
  }

  void Send(const Caller& caller) {
    HttpRequest request = MakeRequest("GET", "progress", "sheet");
    request.target = caller.target;
    callers[fleet.Call(caller.node, std::move(request))] = caller;
  }

  void OnAnswer(Caller caller, const FakeAnswer& answer) {
    if (answer.response.status == 200) {
      if (caller.told) ++tally.served_at_return;
      return;
    }
    ++tally.refused;
    const nlohmann::json body =
        nlohmann::json::parse(answer.response.body.view());
    const std::string detail = body["detail"];
    caller.told = detail.find("reserved=yes") != std::string::npos;
    if (!caller.told) return;
    ++tally.told;
    for (const char* fact :
         {"shortage_age_ms=", "expected_end_ms=", "slot_ms="}) {
      CHECK(detail.find(fact) != std::string::npos);
    }
    const milliseconds wait(body["retry_after_ms"].get<int>());
    if (return_elsewhere) caller.node = caller.node == "a1" ? "a2" : "a1";
    fleet.At(wait + milliseconds(5), [this, caller] { Send(caller); });
  }

  // Sends requests with Poisson arrivals, each with another target.
  void SendStream(double per_second, Duration length) {
    std::exponential_distribution<double> gap(per_second);
    const double end = std::chrono::duration<double>(length).count();
    for (double at = gap(random); at < end; at += gap(random)) {
      fleet.At(Duration(static_cast<int64_t>(at * 1e6)), [this] {
        const int number = ++next_caller;
        Send({number % 2 ? "a1" : "a2", "/" + std::to_string(number)});
      });
    }
    fleet.RunFor(length);
  }

  double CountOf(const std::string& outcome) {
    double sum = 0;
    for (const char* node : {"a1", "a2"}) {
      HttpRequest request;
      request.method = "GET";
      request.target = "/metrics";
      const std::string text(
          fleet.CallOperatorApi(node, std::move(request)).body.view());
      const std::string series = std::string(kMetric) +
                                 "{class=\"progress/sheet\",outcome=\"" +
                                 outcome + "\"} ";
      const size_t at = text.find(series);
      if (at != std::string::npos) {
        sum += std::stod(text.substr(at + series.size()));
      }
    }
    return sum;
  }
};

// Guards against callers that wait as told and are then refused by the same
// overload, twice the capacity.
TEST(RetryReservationsFleet, ARefusedCallerReturnsInTimeAndIsServed) {
  Start("true");
  SendStream(300, seconds(4));
  SendStream(800, seconds(5));
  fleet.RunFor(seconds(10));
  CHECK(tally.told >= 20);
  CHECK_EQUAL(tally.told, CountOf("reserved"));
  CHECK_EQUAL(tally.told, CountOf("returned-in-time"));
  CHECK_EQUAL(0, CountOf("unused"));
  CHECK(tally.served_at_return >= 0.9 * tally.told);
}

// A caller that returns at another node counts as new there, and its
// reservation ends unused.
TEST(RetryReservationsFleet, ACallerThatReturnsAtAnotherNodeCountsAsNew) {
  return_elsewhere = true;
  Start("true");
  SendStream(300, seconds(4));
  SendStream(800, seconds(5));
  fleet.RunFor(seconds(10));
  SendStream(10, seconds(1));
  CHECK(tally.told >= 20);
  CHECK_EQUAL(0, CountOf("returned-in-time"));
  CHECK_EQUAL(tally.told, CountOf("unused"));
}

TEST(RetryReservationsFleet, NothingIsReservedWhileTheSettingIsFalse) {
  Start("false");
  SendStream(800, seconds(5));
  fleet.RunFor(seconds(5));
  CHECK(tally.refused >= 100);
  CHECK_EQUAL(0, tally.told);
  CHECK_EQUAL(0, CountOf("reserved") + CountOf("not-reserved"));
}

TEST_GROUP(ReservationKeeper) {
  Stats stats;
  ReservationKeeper keeper{stats};
  std::mt19937_64 random{5};

  ReservableRequest Arrive(const std::string& class_key, TimePoint now) {
    return keeper.OnArrival(class_key, CallContext(), "", now, random);
  }
};

// Guards against memory that grows with the class names that callers choose,
// and against classes that are kept out by names that are no longer used.
TEST(ReservationKeeper, TheNumberOfClassesIsBounded) {
  const TimePoint now = FromMicros(1'000'000);
  for (int i = 0; i < 1000; ++i) {
    const ReservableRequest request =
        Arrive("progress/" + std::to_string(i), now);
    CHECK_EQUAL(keeper.classes() == ReservationKeeper::kMaxClasses &&
                    i >= static_cast<int>(ReservationKeeper::kMaxClasses),
                !request.arrival.has_value());
  }
  CHECK_EQUAL(ReservationKeeper::kMaxClasses, keeper.classes());
  CHECK(Arrive("progress/new", now + std::chrono::minutes(2))
            .arrival.has_value());
  CHECK_EQUAL(ReservationKeeper::kMaxClasses, keeper.classes());
}

// Guards against two customers whose equal requests are taken for one.
TEST(ReservationKeeper, EqualRequestsOfTwoCustomersAreDistinguished) {
  const TimePoint now = FromMicros(1'000'000);
  const CallContext call;
  const ReservableRequest first =
      keeper.OnArrival("progress/sheet", call, "one", now, random);
  const ReservableRequest second =
      keeper.OnArrival("progress/sheet", call, "two", now, random);
  CHECK(first.identity != second.identity);
}

}  // namespace amaranth::pvt
