#include "amaranthroute/policy/outlier.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "amaranthroute/policy/slow_start.h"

namespace amaranth {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Calls each server that is not ejected every 10 ms; server `failing` fails at
// once and server `slow` takes 200 ms.
void RunCalls(OutlierDetector& detector, int servers, int failing, int slow,
              TimePoint from, Duration length) {
  for (TimePoint now = from; now < from + length; now += milliseconds(10)) {
    for (int server = 0; server < servers; ++server) {
      const std::string name = std::to_string(server);
      if (detector.Ejected(name, now)) continue;
      const Duration latency = milliseconds(server == slow ? 200 : 10);
      detector.OnResult(name, server == failing ? Duration(100) : latency,
                        server == failing, now);
    }
  }
}

constexpr int kNoServer = -1;

}  // namespace

TEST_GROUP(OutlierTest){};

TEST(OutlierTest, EjectsFailingAndSlowServers) {
  OutlierDetector detector;
  RunCalls(detector, 5, 1, 3, TimePoint{}, seconds(1));
  const TimePoint now = TimePoint{} + seconds(1);
  CHECK(detector.Ejected("1", now));
  CHECK(detector.Ejected("3", now));
  CHECK_EQUAL(2u, detector.EjectedCount(now));
}

// Guards against a failing server whose few results decay before they suffice.
TEST(OutlierTest, EjectsARarelyCalledServer) {
  OutlierDetector detector;
  TimePoint now{};
  for (int call = 0; call < 8; ++call) {
    now += seconds(1);
    detector.OnResult("good", milliseconds(10), false, now);
    detector.OnResult("bad", milliseconds(10), true, now);
  }
  CHECK_EQUAL(1u, detector.EjectedCount(now - seconds(2)));
  CHECK(!detector.Ejected("good", now));
}

// Guards against ejections that double the load of the other servers when all
// servers of a service fail because of a nested call's service.
TEST(OutlierTest, EjectsNoServerForACommonCause) {
  OutlierDetector detector;
  for (int call = 0; call < 1000; ++call) {
    const TimePoint now = TimePoint{} + milliseconds(call);
    detector.OnResult(std::to_string(call % 4), milliseconds(900),
                      call % 8 != 0, now);
    CHECK_EQUAL(0u, detector.EjectedCount(now));
  }
}

TEST(OutlierTest, EjectionsBecomeLongerUpToABound) {
  OutlierDetector detector;
  TimePoint now{};
  Duration longest{0};
  for (int round = 0; round < 8; ++round) {
    const TimePoint begin = now;
    RunCalls(detector, 3, 0, kNoServer, now, milliseconds(200));
    now += milliseconds(200);
    CHECK(detector.Ejected("0", now));
    while (detector.Ejected("0", now)) now += milliseconds(100);
    CHECK(now - begin >= longest || longest >= seconds(30));
    longest = now - begin;
    CHECK(longest <= seconds(31));
  }
  CHECK(longest >= seconds(30));
  // Afterwards its weight is ramped up, and it is not ejected while healthy.
  CHECK(detector.Weight("0", now) < 0.2);
  RunCalls(detector, 3, kNoServer, kNoServer, now, seconds(3));
  now += seconds(3);
  CHECK(!detector.Ejected("0", now));
  CHECK(detector.Weight("0", now) == 1.0);
}

TEST(OutlierTest, EjectedShareStaysWithinTheCap) {
  CHECK(rc::check([] {
    OutlierDetector detector;
    double share = OutlierOptions{}.max_share;
    TimePoint now{};
    const int steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 3000));
      const std::string server = std::to_string(*rc::gen::inRange(0, 6));
      const int action = *rc::gen::inRange(0, 10);
      if (action == 0) detector.Forget(server);
      if (action == 1) {
        share = *rc::gen::element(0.0, 0.2, 0.5, 1.0);
        detector.SetMaxShare(share);
      }
      const bool failed = *rc::gen::arbitrary<bool>();
      for (int call = 0; action > 1 && call < 15; ++call) {
        detector.OnResult(server, milliseconds(10), failed, now);
        const auto ejected = static_cast<double>(detector.EjectedCount(now));
        RC_ASSERT(ejected <= share * static_cast<double>(detector.size()));
      }
      const auto ejected = static_cast<double>(detector.EjectedCount(now));
      RC_ASSERT(ejected <= share * static_cast<double>(detector.size()));
    }
  }));
}

TEST(OutlierTest, SlowStartRampsUpFromAMinimumWeight) {
  const TimePoint start = TimePoint{} + seconds(5);
  CHECK(SlowStartWeight(start, start, seconds(10)) == kMinSlowStartWeight);
  CHECK(SlowStartWeight(start, start + seconds(5), seconds(10)) == 0.5);
  CHECK(SlowStartWeight(start, start + seconds(50), seconds(10)) == 1.0);
  CHECK(SlowStartWeight(start, start, Duration(0)) == 1.0);
}

}  // namespace amaranth
