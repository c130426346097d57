#include "amaranthroute/policy/progress_watch.h"

#include <CppUTest/TestHarness.h>

namespace amaranth {
namespace {

using Action = ProgressWatch::Action;
using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(int millis) { return TimePoint{} + milliseconds(millis); }

}  // namespace

TEST_GROUP(ProgressWatchTest){};

// Guards against calls that hang until their deadlines on a connection whose
// state a middlebox has dropped: writes succeed and nothing is ever received.
TEST(ProgressWatchTest, ProbesThenDropsAnUnresponsiveLink) {
  ProgressWatch watch;
  watch.OnSent(At(0));
  CHECK(watch.Check(At(249), true) == Action::kNone);
  CHECK(watch.next_check(true) == At(250));
  CHECK(watch.Check(At(250), true) == Action::kProbe);
  CHECK(watch.next_check(true) == At(400));
  CHECK(watch.Check(At(400), true) == Action::kAvoid);
  watch.OnSent(At(900));  // later sends do not delay the drop
  CHECK(watch.Check(At(1000), true) == Action::kNone);
  CHECK(watch.next_check(true) == At(2000));
  CHECK(watch.Check(At(2000), true) == Action::kDrop);
}

TEST(ProgressWatchTest, KeepsAResponsiveLinkDuringLongWork) {
  ProgressWatch watch;
  watch.OnSent(At(0));
  int probes = 0;
  for (int now = 0; now < 60000; now += 100) {
    const Action action = watch.Check(At(now), true);
    CHECK(action != Action::kDrop);
    CHECK(action != Action::kAvoid);
    if (action != Action::kProbe) continue;
    ++probes;
    watch.OnSent(At(now));
    watch.OnReceived(At(now + 3));
  }
  CHECK(probes >= 90);
}

TEST(ProgressWatchTest, IdleLinkIsNotUnresponsive) {
  ProgressWatch watch;
  watch.OnSent(At(0));
  watch.OnReceived(At(5));
  CHECK(watch.Check(At(60000), false) == Action::kNone);
  CHECK(watch.next_check(false) == kNever);
  watch.OnSent(At(60001));
  CHECK(watch.Check(At(60200), true) == Action::kNone);
  CHECK(watch.Check(At(60251), true) == Action::kProbe);
}

TEST(ProgressWatchTest, AttemptTimeoutIsAMultipleOfTheLatency) {
  CHECK(AttemptTimeout(Duration(0), seconds(9)) == seconds(9));
  CHECK(AttemptTimeout(milliseconds(5), seconds(9)) == kMinAttemptTimeout);
  CHECK(AttemptTimeout(milliseconds(300), seconds(9)) == seconds(3));
  CHECK(AttemptTimeout(milliseconds(300), seconds(2)) == seconds(2));
  // With timeouts recorded as latencies, the timeout exceeds the latency of a
  // service that became 20 times slower within a few attempts.
  Duration latency = milliseconds(100);
  for (int attempt = 0; attempt < 5; ++attempt) {
    const Duration timeout = AttemptTimeout(latency, seconds(60));
    latency += (std::min<Duration>(timeout, seconds(2)) - latency) / 5;
  }
  CHECK(AttemptTimeout(latency, seconds(60)) > seconds(2));
}

}  // namespace amaranth
