#include "libnode/serving/departed_servers.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace amaranth::pvt {

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(DepartedServersGroup) {
  DepartedServers departed;
  TimePoint now = FromMicros(1'000'000);
};

TEST(DepartedServersGroup, OnlyTheProcessThatLeftIsContained) {
  departed.Add("s", 100, now);
  CHECK_TRUE(departed.Contains("s", {100, 7}, now));
  CHECK_FALSE(departed.Contains("s", {200, 2}, now));
  CHECK_FALSE(departed.Contains("t", {100, 7}, now));
}

TEST(DepartedServersGroup, ADelayedAnnouncementSuppliesAnUnknownStartTime) {
  departed.Add("s", std::nullopt, now);
  CHECK_TRUE(departed.Contains("s", {100, 7}, now));
  now += std::chrono::minutes(1);
  CHECK_TRUE(departed.Contains("s", {100, 9}, now));
  CHECK_FALSE(departed.Contains("s", {200, 2}, now));
}

TEST(DepartedServersGroup, ASuccessorOfAnUnknownStartTimeIsNotContained) {
  departed.Add("s", std::nullopt, now);
  CHECK_FALSE(departed.Contains("s", {200, 1}, now));
  CHECK_FALSE(departed.Contains("s", {200, 2}, now));
  departed.Add("u", std::nullopt, now);
  now += std::chrono::seconds(30);
  CHECK_FALSE(departed.Contains("u", {300, 4}, now));
}

TEST(DepartedServersGroup, AServerWithoutAStartTimeMayReturn) {
  departed.Add("s", std::nullopt, now);
  CHECK_FALSE(departed.Contains("s", {0, 1}, now));
  CHECK_FALSE(departed.Contains("s", {0, 2}, now));
}

TEST(DepartedServersGroup, TheOldestEntriesAreDroppedFirst) {
  departed.Add("zoe", 100, now);
  for (int i = 0; i < 255; ++i) departed.Add("s" + std::to_string(i), 100, now);
  CHECK_TRUE(departed.Contains("zoe", {100, 7}, now));
  departed.Add("last", 100, now);
  CHECK_FALSE(departed.Contains("zoe", {100, 7}, now));
  CHECK_TRUE(departed.Contains("s0", {100, 7}, now));
}

}  // namespace amaranth::pvt
