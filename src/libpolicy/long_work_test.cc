#include "amaranthroute/policy/long_work.h"

#include <CppUTest/TestHarness.h>

#include "libpolicy/fake_node.h"

namespace amaranth {
namespace {

pvt::FakeTally ShortCallsAmongLong(double long_share) {
  pvt::FakeNodeOptions options;
  options.limit.ceiling = 10;
  options.limit.initial = 10;
  options.long_share = long_share;
  pvt::FakeLoad brief{"reader", Tier::kStandard, [](double) { return 300.0; }};
  pvt::FakeLoad lengthy{"download", Tier::kStandard,
                        [](double) { return 10.0; }};
  lengthy.service = std::chrono::seconds(2);
  lengthy.long_work = true;
  lengthy.deadline = std::chrono::seconds(60);
  pvt::FakeNode node(options, {brief, lengthy}, 1);
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

// Readers see calls of 10 ms fail at a server with ten slots, because ten
// downloads a second of 2 s each hold all slots; with a share they hold half.
TEST(LongWorkShareTest, ShortCallsPassLongOnes) {
  CHECK(ShortCallsAmongLong(0.5).good_share() >= 0.99);
  CHECK(ShortCallsAmongLong(0.5).mean_millis < 20);
  CHECK(ShortCallsAmongLong(1.0).good_share() < 0.9);
}

}  // namespace amaranth
