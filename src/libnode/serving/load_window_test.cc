#include "libnode/serving/load_window.h"

#include <CppUTest/TestHarness.h>

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(LoadWindowTest){};

TEST(LoadWindowTest, SummarizesCallsSinceThePreviousSummary) {
  LoadWindow window;
  LoadWindow::Summary load;
  CHECK(window.TakeDue(At(5000), load));
  window.OnStarted(milliseconds(4), 10);
  window.OnStarted(milliseconds(9), 20);
  window.OnEnded(milliseconds(30));
  window.OnEnded(milliseconds(50));
  CHECK_FALSE(window.TakeDue(At(5900), load));
  CHECK(window.TakeDue(At(6000), load));
  CHECK_EQUAL(2u, load.ended);
  CHECK(load.mean_service_time == milliseconds(40));
  DOUBLES_EQUAL(15, load.mean_in_flight, 0.01);
  CHECK(load.longest_wait == milliseconds(9));
}

TEST(LoadWindowTest, APeriodWithoutCallsIsReported) {
  LoadWindow window;
  LoadWindow::Summary load;
  CHECK(window.TakeDue(At(5000), load));
  CHECK(window.TakeDue(At(6000), load));
  CHECK_EQUAL(0u, load.ended);
  CHECK(load.longest_wait == Duration::zero());
}

}  // namespace amaranth::pvt
