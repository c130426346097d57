#include "amaranthroute/policy/server_judge.h"

#include <CppUTest/TestHarness.h>

namespace amaranth {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kUsual = milliseconds(50);
constexpr Duration kGap = milliseconds(50);

// A call each 50 ms for `length`; every `failing`-th fails (0: none).
TimePoint Play(ServerJudge& judge, Duration own_time, int failing,
               TimePoint from, Duration length) {
  int calls = 0;
  TimePoint now = from;
  for (; now < from + length; now += kGap) {
    ++calls;
    const bool failed = failing > 0 && calls % failing == 0;
    judge.OnEnded(own_time, kUsual, failed, now);
  }
  return now;
}

}  // namespace

TEST_GROUP(ServerJudgeTest) {
  ServerJudge judge;
  const TimePoint start = FromMicros(1'000'000);
};

// Guards against a bad server that each of many callers meets too rarely to
// tell: its own node has the results within half a second.
TEST(ServerJudgeTest, TellsOfAFailingServerWithinASecond) {
  const TimePoint now = Play(judge, kUsual, 2, start, milliseconds(600));
  CHECK(judge.Fitness(now).failing);
}

TEST(ServerJudgeTest, TellsHowMuchSlowerThanItsPeersAServerIs) {
  const TimePoint now = Play(judge, kUsual * 5, 0, start, milliseconds(600));
  CHECK(!judge.Fitness(now).failing);
  CHECK_EQUAL(5u, judge.Fitness(now).slowdown);
}

// Guards against verdicts on servers that merely differ a little.
TEST(ServerJudgeTest, ASomewhatSlowerServerThatLosesFewAnswersIsSound) {
  const TimePoint now = Play(judge, kUsual * 3 / 2, 10, start, seconds(20));
  CHECK(judge.Fitness(now).sound());
}

// Guards against a verdict without anything to compare with.
TEST(ServerJudgeTest, NobodyIsSlowWhereTheUsualTimeIsNotKnown) {
  TimePoint now = start;
  for (int i = 0; i < 100; ++i) {
    now += kGap;
    judge.OnEnded(seconds(1), Duration(0), false, now);
  }
  CHECK(judge.Fitness(now).sound());
}

// Guards against verdicts on a server that happens to get more of the long
// calls for a while: one call in seven takes fifteen times as long.
TEST(ServerJudgeTest, ManyLongCallsAreNoSlowServer) {
  TimePoint now = start;
  for (int i = 0; i < 500; ++i) {
    now += kGap;
    const bool is_long = i % 7 == 0 || (i > 200 && i < 220);
    const Duration usual = is_long ? kUsual * 15 : kUsual;
    judge.OnEnded(usual * 6 / 5, usual, false, now);
    CHECK(judge.Fitness(now).sound());
  }
}

// Guards against a server that no caller tries again: without calls it could
// never show that it has recovered.
TEST(ServerJudgeTest, AVerdictEndsWithoutCalls) {
  const TimePoint now = Play(judge, kUsual, 2, start, milliseconds(600));
  CHECK(!judge.Fitness(now).sound());
  CHECK(judge.Fitness(now + seconds(5)).sound());
}

// Guards against full load on a bad server every few seconds for as long as it
// is bad.
TEST(ServerJudgeTest, ARepeatedVerdictStandsLonger) {
  TimePoint now = Play(judge, kUsual, 2, start, milliseconds(600));
  now = Play(judge, kUsual, 2, now + seconds(5), milliseconds(600));
  CHECK(!judge.Fitness(now + seconds(6)).sound());
  CHECK(judge.Fitness(now + seconds(9)).sound());
}

// Guards against a slow server that is passed by for seconds after its time is
// good again, while some callers still reach it.
TEST(ServerJudgeTest, GoodCallsEndAVerdictEarly) {
  TimePoint now = Play(judge, kUsual * 5, 0, start, milliseconds(600));
  CHECK(!judge.Fitness(now).sound());
  now = Play(judge, kUsual, 0, now, seconds(1));
  CHECK(judge.Fitness(now).sound());
}

}  // namespace amaranth
