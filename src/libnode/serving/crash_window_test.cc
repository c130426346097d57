#include "libnode/serving/crash_window.h"

#include <CppUTest/TestHarness.h>

namespace amaranth::pvt {

TEST_GROUP(CrashWindow) {
  using InFlight = std::vector<std::pair<uint64_t, uint64_t>>;
  const InFlight three = {{1, 11}, {2, 22}, {3, 33}};
  CrashWindow window;
};

// An answer on another connection shows that the process is running: the reset
// before it is not a crash. A reset of the only call in flight is one.
TEST(CrashWindow, AnAnswerAfterAResetIsNoCrash) {
  window.OnReset(1, three, FromMicros(0));
  window.OnAnswered(2);
  window.OnReset(3, {{3, 33}}, FromMicros(10));
  const std::vector<uint64_t> fingerprints = window.TakeCrashedFingerprints();
  CHECK_EQUAL(1u, fingerprints.size());
  CHECK_EQUAL(33u, fingerprints.front());
}

TEST(CrashWindow, ResetsOfAllCallsInFlightAreACrash) {
  window.OnReset(1, three, FromMicros(0));
  window.OnReset(2, three, FromMicros(1));
  CHECK(window.TakeCrashedFingerprints().empty());
  window.OnReset(3, three, FromMicros(2));
  CHECK_EQUAL(3u, window.TakeCrashedFingerprints().size());
  CHECK(window.TakeCrashedFingerprints().empty());
}

// A node that is paused between the resets sees the refused connection of a
// later dispatch before the remaining resets.
TEST(CrashWindow, ARefusedConnectionAfterAResetIsACrash) {
  window.OnReset(1, three, FromMicros(0));
  window.OnConnectionRefused();
  CHECK_EQUAL(3u, window.TakeCrashedFingerprints().size());
}

TEST(CrashWindow, AResetExpiresWithItsWindow) {
  window.OnReset(1, three, FromMicros(0));
  window.Expire(FromMicros(2'000'000));
  window.OnConnectionRefused();
  CHECK(window.TakeCrashedFingerprints().empty());
}

}  // namespace amaranth::pvt
