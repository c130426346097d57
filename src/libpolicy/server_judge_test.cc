#include "amaranthroute/policy/server_judge.h"

#include <CppUTest/TestHarness.h>

namespace amaranth {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTypicalTime = milliseconds(50);
constexpr Duration kCallInterval = milliseconds(50);

// Records a call every 50 ms for `length`, of which every `failing`-th fails
// (0: none). Returns the end time.
TimePoint RunCalls(ServerJudge& judge, Duration service_time, int failing,
                   TimePoint from, Duration length) {
  int calls = 0;
  TimePoint now = from;
  for (; now < from + length; now += kCallInterval) {
    ++calls;
    const bool failed = failing > 0 && calls % failing == 0;
    judge.OnEnded(service_time, kTypicalTime, failed, now);
  }
  return now;
}

}  // namespace

TEST_GROUP(ServerJudgeTest) {
  ServerJudge judge;
  const TimePoint start = FromMicros(1'000'000);
};

// Guards against a failing server that each of many entry nodes calls too
// rarely to detect: its serving node has enough results within half a second.
TEST(ServerJudgeTest, ReportsAFailingServerWithinASecond) {
  const TimePoint now =
      RunCalls(judge, kTypicalTime, 2, start, milliseconds(600));
  CHECK(judge.Fitness(now).failing);
}

// Guards against a slow server that keeps its full share of the calls.
TEST(ServerJudgeTest, ReportsTheSlowdownOfAServer) {
  const TimePoint now =
      RunCalls(judge, kTypicalTime * 5, 0, start, milliseconds(600));
  CHECK(!judge.Fitness(now).failing);
  CHECK_EQUAL(5u, judge.Fitness(now).slowdown);
}

// Guards against verdicts on servers that differ only a little from the typical
// ones.
TEST(ServerJudgeTest, AServerWithASmallSlowdownAndFewFailuresIsHealthy) {
  const TimePoint now =
      RunCalls(judge, kTypicalTime * 3 / 2, 10, start, seconds(20));
  CHECK(judge.Fitness(now).healthy());
}

// Guards against a verdict on a server whose calls have no typical service time
// to compare with.
TEST(ServerJudgeTest, NoServerIsSlowWithoutATypicalTime) {
  TimePoint now = start;
  for (int i = 0; i < 100; ++i) {
    now += kCallInterval;
    judge.OnEnded(seconds(1), Duration(0), false, now);
  }
  CHECK(judge.Fitness(now).healthy());
}

// Guards against verdicts on a server that happens to receive many long calls
// for a while: one call in seven takes fifteen times as long.
TEST(ServerJudgeTest, AMixOfManyLongCallsIsNoSlowdown) {
  TimePoint now = start;
  for (int i = 0; i < 500; ++i) {
    now += kCallInterval;
    const bool is_long = i % 7 == 0 || (i > 200 && i < 220);
    const Duration typical_time = is_long ? kTypicalTime * 15 : kTypicalTime;
    judge.OnEnded(typical_time * 6 / 5, typical_time, false, now);
    CHECK(judge.Fitness(now).healthy());
  }
}

// Guards against a server that is never called again: without calls it could
// not show that it has recovered.
TEST(ServerJudgeTest, AVerdictExpiresWithoutCalls) {
  const TimePoint now =
      RunCalls(judge, kTypicalTime, 2, start, milliseconds(600));
  CHECK(!judge.Fitness(now).healthy());
  CHECK(judge.Fitness(now + seconds(5)).healthy());
}

// Guards against a persistently failing server that gets full load again every
// few seconds.
TEST(ServerJudgeTest, ARepeatedVerdictHoldsLonger) {
  TimePoint now = RunCalls(judge, kTypicalTime, 2, start, milliseconds(600));
  now = RunCalls(judge, kTypicalTime, 2, now + seconds(5), milliseconds(600));
  CHECK(!judge.Fitness(now + seconds(6)).healthy());
  CHECK(judge.Fitness(now + seconds(9)).healthy());
}

// Guards against a recovered server that is avoided for seconds although the
// calls that it still receives show its recovery.
TEST(ServerJudgeTest, HealthyResultsEndAVerdictEarly) {
  TimePoint now =
      RunCalls(judge, kTypicalTime * 5, 0, start, milliseconds(600));
  CHECK(!judge.Fitness(now).healthy());
  now = RunCalls(judge, kTypicalTime, 0, now, seconds(1));
  CHECK(judge.Fitness(now).healthy());
}

}  // namespace amaranth
