#include "libnode/serving/left_servers.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace amaranth::pvt {

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(LeftServersGroup) {
  LeftServers left;
  TimePoint now = FromMicros(1'000'000);
};

TEST(LeftServersGroup, OnlyTheStartThatLeftHasLeft) {
  left.Add("s", 100, now);
  CHECK_TRUE(left.Contains("s", {100, 7}, now));
  CHECK_FALSE(left.Contains("s", {200, 2}, now));
  CHECK_FALSE(left.Contains("t", {100, 7}, now));
}

TEST(LeftServersGroup, ALateAnnouncementTellsAnUnknownStart) {
  left.Add("s", std::nullopt, now);
  CHECK_TRUE(left.Contains("s", {100, 7}, now));
  now += std::chrono::minutes(1);
  CHECK_TRUE(left.Contains("s", {100, 9}, now));
  CHECK_FALSE(left.Contains("s", {200, 2}, now));
}

TEST(LeftServersGroup, ASuccessorOfAnUnknownStartIsNotHeldToHaveLeft) {
  left.Add("s", std::nullopt, now);
  CHECK_FALSE(left.Contains("s", {200, 1}, now));
  CHECK_FALSE(left.Contains("s", {200, 2}, now));
  left.Add("u", std::nullopt, now);
  now += std::chrono::seconds(30);
  CHECK_FALSE(left.Contains("u", {300, 4}, now));
}

TEST(LeftServersGroup, AServerThatTellsNoStartMayComeBack) {
  left.Add("s", std::nullopt, now);
  CHECK_FALSE(left.Contains("s", {0, 1}, now));
  CHECK_FALSE(left.Contains("s", {0, 2}, now));
}

TEST(LeftServersGroup, TheOldestAreForgottenFirst) {
  left.Add("zoe", 100, now);
  for (int i = 0; i < 255; ++i) left.Add("s" + std::to_string(i), 100, now);
  CHECK_TRUE(left.Contains("zoe", {100, 7}, now));
  left.Add("last", 100, now);
  CHECK_FALSE(left.Contains("zoe", {100, 7}, now));
  CHECK_TRUE(left.Contains("s0", {100, 7}, now));
}

}  // namespace amaranth::pvt
