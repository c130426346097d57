#include "libnode/serving/departed_servers.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace amaranth::pvt {

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(DepartedServersGroup) {
  DepartedServers departed;
  TimePoint now = FromMicros(1'000'000);

  void AddLeave(const std::string& server, std::optional<uint64_t> started_ms) {
    departed.Add({server, started_ms, 0, true}, "leave", now);
  }
};

TEST(DepartedServersGroup, OnlyTheProcessThatLeftIsContained) {
  AddLeave("s", 100);
  CHECK_TRUE(departed.Contains("s", {100, 7}, now));
  CHECK_FALSE(departed.Contains("s", {200, 2}, now));
  CHECK_FALSE(departed.Contains("t", {100, 7}, now));
}

TEST(DepartedServersGroup, ADelayedAnnouncementSuppliesAnUnknownStartTime) {
  AddLeave("s", std::nullopt);
  CHECK_TRUE(departed.Contains("s", {100, 7}, now));
  now += std::chrono::minutes(1);
  CHECK_TRUE(departed.Contains("s", {100, 9}, now));
  CHECK_FALSE(departed.Contains("s", {200, 2}, now));
}

TEST(DepartedServersGroup, ASuccessorOfAnUnknownStartTimeIsNotContained) {
  AddLeave("s", std::nullopt);
  CHECK_FALSE(departed.Contains("s", {200, 1}, now));
  CHECK_FALSE(departed.Contains("s", {200, 2}, now));
  AddLeave("u", std::nullopt);
  now += std::chrono::seconds(30);
  CHECK_FALSE(departed.Contains("u", {300, 4}, now));
}

TEST(DepartedServersGroup, AServerWithoutAStartTimeMayReturn) {
  AddLeave("s", std::nullopt);
  CHECK_FALSE(departed.Contains("s", {0, 1}, now));
  CHECK_FALSE(departed.Contains("s", {0, 2}, now));
}

TEST(DepartedServersGroup, WithoutStartTimesASuccessorHasANewName) {
  AddLeave("s", std::nullopt);
  now += std::chrono::minutes(1);
  CHECK_TRUE(departed.Contains("s", {0, 7}, now));
}

TEST(DepartedServersGroup, ADrainCoversEarlierAnnouncementsOnly) {
  departed.Add({"s", 100, 7, false}, "drain", now);
  CHECK_TRUE(departed.Contains("s", {100, 6}, now));
  CHECK_TRUE(departed.Contains("s", {100, 7}, now));
  CHECK_FALSE(departed.Contains("s", {200, 1}, now));
  CHECK_FALSE(departed.Contains("s", {100, 8}, now));
  CHECK_FALSE(departed.Contains("s", {100, 6}, now));
}

TEST(DepartedServersGroup, ALeaveReplacesTheDrainOfTheSameProcess) {
  departed.Add({"s", 100, 7, false}, "drain", now);
  AddLeave("s", 100);
  CHECK_TRUE(departed.Contains("s", {100, 8}, now));
}

TEST(DepartedServersGroup, TheOldestEntriesAreDroppedFirst) {
  AddLeave("zoe", 100);
  for (int i = 0; i < 255; ++i) AddLeave("s" + std::to_string(i), 100);
  CHECK_TRUE(departed.Contains("zoe", {100, 7}, now));
  AddLeave("last", 100);
  CHECK_FALSE(departed.Contains("zoe", {100, 7}, now));
  CHECK_TRUE(departed.Contains("s0", {100, 7}, now));
}

}  // namespace amaranth::pvt
