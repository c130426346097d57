#include "amaranthroute/policy/long_work.h"

#include <CppUTest/TestHarness.h>

namespace amaranth {

TEST_GROUP(LongWorkShareTest){};

TEST(LongWorkShareTest, OneSlotServerStillRunsLongWork) {
  const LongWorkShare share(0.5);
  CHECK_EQUAL(1, share.Slots(1));
  CHECK(share.Allows(0, 1));
  CHECK(!share.Allows(1, 1));
}

}  // namespace amaranth
