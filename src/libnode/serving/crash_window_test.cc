#include "libnode/serving/crash_window.h"

#include <CppUTest/TestHarness.h>

namespace amaranth::pvt {

TEST_GROUP(CrashWindow) {
  const TimePoint start = FromMicros(1'000'000);
  const std::vector<InFlightCall> three = {
      {1, 11, start}, {2, 22, start}, {3, 33, start}};
  CrashWindow window;
  TimePoint At(int64_t micros) const {
    return start + std::chrono::microseconds(micros);
  }
};

// A late answer on another connection shows that the process is running: the
// reset before it is not a crash. A reset of the only call in flight is one.
TEST(CrashWindow, AnAnswerAfterAResetIsNoCrash) {
  window.OnReset(1, start, three, At(0));
  window.OnAnswered(2, start, At(100'000));
  window.OnReset(3, start, {{3, 33, start}}, At(100'010));
  const std::vector<uint64_t> fingerprints =
      window.TakeCrashedFingerprints(At(100'010));
  CHECK_EQUAL(1u, fingerprints.size());
  CHECK_EQUAL(33u, fingerprints.front());
}

TEST(CrashWindow, AnAnswerToALaterCallIsNoCrash) {
  window.OnReset(1, start, three, At(0));
  window.OnAnswered(4, At(10), At(20));
  window.OnConnectionRefused();
  CHECK(window.TakeCrashedFingerprints(At(30)).empty());
}

// Guards against a crash whose cause is not among its suspects: an answer that
// was sent before the crash arrives between its resets.
TEST(CrashWindow, AnAnswerOnItsWayDoesNotHideACrash) {
  window.OnReset(1, start, three, At(0));
  window.OnAnswered(2, start, At(5));
  window.OnReset(3, start, {{3, 33, start}}, At(10));
  const std::vector<uint64_t> fingerprints =
      window.TakeCrashedFingerprints(At(10));
  CHECK(fingerprints == (std::vector<uint64_t>{11, 33}));
}

TEST(CrashWindow, ResetsOfAllCallsInFlightAreACrash) {
  window.OnReset(1, start, three, At(0));
  window.OnReset(2, start, three, At(1));
  CHECK(window.TakeCrashedFingerprints(At(1)).empty());
  window.OnReset(3, start, three, At(2));
  CHECK_EQUAL(3u, window.TakeCrashedFingerprints(At(2)).size());
  CHECK(window.TakeCrashedFingerprints(At(2)).empty());
}

TEST(CrashWindow, ACancelledCallDoesNotHideACrash) {
  window.OnReset(1, start, three, At(0));
  window.OnEndedOtherwise(2);
  window.OnReset(3, start, three, At(2));
  CHECK_EQUAL(3u, window.TakeCrashedFingerprints(At(2)).size());
}

// A node that is paused between the resets sees the refused connection of a
// later dispatch before the remaining resets.
TEST(CrashWindow, ARefusedConnectionAfterAResetIsACrash) {
  window.OnReset(1, start, three, At(0));
  window.OnConnectionRefused();
  CHECK_EQUAL(3u, window.TakeCrashedFingerprints(At(1)).size());
}

// Guards against one crash that is counted as several: the remaining resets of
// the crashed process arrive after a refused connection.
TEST(CrashWindow, ResetsOfACrashedProcessAreNoFurtherCrash) {
  window.OnReset(1, start, three, At(0));
  window.OnConnectionRefused();
  CHECK_EQUAL(3u, window.TakeCrashedFingerprints(At(1)).size());
  window.OnReset(2, start, {{2, 22, start}, {3, 33, start}}, At(2));
  window.OnConnectionRefused();
  window.OnReset(3, start, {{3, 33, start}}, At(4));
  CHECK(window.TakeCrashedFingerprints(At(4)).empty());
}

TEST(CrashWindow, ACrashOfTheNextProcessIsACrash) {
  window.OnReset(1, start, three, At(0));
  window.OnConnectionRefused();
  CHECK_EQUAL(3u, window.TakeCrashedFingerprints(At(1)).size());
  // A reset of the crashed process is still on its way.
  const TimePoint later = At(200'000);
  window.OnReset(4, later, {{3, 33, start}, {4, 44, later}}, At(200'010));
  const std::vector<uint64_t> fingerprints =
      window.TakeCrashedFingerprints(At(200'010));
  CHECK(fingerprints == std::vector<uint64_t>{44});
}

TEST(CrashWindow, AResetExpiresWithItsWindow) {
  window.OnReset(1, start, three, At(0));
  window.Expire(At(2'000'000));
  window.OnConnectionRefused();
  CHECK(window.TakeCrashedFingerprints(At(2'000'000)).empty());
}

}  // namespace amaranth::pvt
