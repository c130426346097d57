#include "libnode/serving/crash_window.h"

#include <CppUTest/TestHarness.h>

namespace amaranth::pvt {

TEST_GROUP(CrashWindow) {
  using InFlight = std::vector<std::pair<uint64_t, uint64_t>>;
  const InFlight three = {{1, 11}, {2, 22}, {3, 33}};
  CrashWindow window;
};

// The caller sees its request broken off; its backend server closed just this
// one connection and answers the others, so nobody is blamed.
TEST(CrashWindow, OneBrokenConnectionIsNoCrash) {
  window.OnReset(1, three, FromMicros(0));
  window.OnAnswered(2);
  window.OnReset(3, {{3, 33}}, FromMicros(10));
  const std::vector<uint64_t> victims = window.TakeCrash();
  CHECK_EQUAL(1u, victims.size());
  CHECK_EQUAL(33u, victims.front());
}

TEST(CrashWindow, AllBrokenIsACrashOfAllInFlight) {
  window.OnReset(1, three, FromMicros(0));
  window.OnReset(2, three, FromMicros(1));
  CHECK(window.TakeCrash().empty());
  window.OnReset(3, three, FromMicros(2));
  CHECK_EQUAL(3u, window.TakeCrash().size());
  CHECK(window.TakeCrash().empty());
}

// A process paused in the middle of the resets sees the refused connection of
// a later dispatch before the remaining resets.
TEST(CrashWindow, ARefusedConnectionConfirmsTheCrash) {
  window.OnReset(1, three, FromMicros(0));
  window.OnRefused();
  CHECK_EQUAL(3u, window.TakeCrash().size());
}

TEST(CrashWindow, AnOldResetIsForgotten) {
  window.OnReset(1, three, FromMicros(0));
  window.Expire(FromMicros(2'000'000));
  window.OnRefused();
  CHECK(window.TakeCrash().empty());
}

}  // namespace amaranth::pvt
