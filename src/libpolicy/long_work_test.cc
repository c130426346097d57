#include "amaranthroute/policy/long_work.h"

#include <CppUTest/TestHarness.h>

#include "libpolicy/fake_node.h"

namespace amaranth {
namespace {

pvt::FakeTally TallyOfShortCalls(double long_share) {
  pvt::FakeNodeOptions options;
  options.limit.ceiling = 10;
  options.limit.initial = 10;
  options.long_share = long_share;
  pvt::FakeLoad short_calls{"reader", Tier::kStandard,
                            [](double) { return 300.0; }};
  pvt::FakeLoad long_calls{"download", Tier::kStandard,
                           [](double) { return 10.0; }};
  long_calls.service = std::chrono::seconds(2);
  long_calls.long_work = true;
  long_calls.deadline = std::chrono::seconds(60);
  pvt::FakeNode node(options, {short_calls, long_calls}, 1);
  node.RunUntil(11);
  return node.Tally(0, 2, 10);
}

}  // namespace

TEST_GROUP(LongWorkShareTest){};

TEST(LongWorkShareTest, OneSlotServerStillRunsLongWork) {
  const LongWorkShare share(0.5);
  CHECK_EQUAL(1, share.Slots(1));
  CHECK(share.Allows(0, 1));
  CHECK(!share.Allows(1, 1));
  CHECK_EQUAL(9, LongWorkShare(1.0).Slots(10));
  CHECK_EQUAL(1, LongWorkShare(0.0).Slots(10));
}

// Guards against calls of 10 ms failing at a server with ten slots because ten
// downloads per second of 2 s each hold all slots. With a share they hold half.
TEST(LongWorkShareTest, LongWorkLeavesSlotsToShortCalls) {
  CHECK(TallyOfShortCalls(0.5).good_share() >= 0.99);
  CHECK(TallyOfShortCalls(0.5).mean_millis < 20);
  CHECK(TallyOfShortCalls(1.0).good_share() < 0.9);
}

}  // namespace amaranth
