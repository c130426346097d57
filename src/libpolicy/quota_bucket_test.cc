#include "amaranthroute/policy/quota_bucket.h"

#include <CppUTest/TestHarness.h>

namespace amaranth {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Quota kPart{10, 20};

int TakeAll(QuotaBucket& bucket) {
  int taken = 0;
  while (bucket.TryTake()) ++taken;
  return taken;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(QuotaBucketGroup) {
  TimePoint start = FromMicros(1'000'000);
  QuotaBucket bucket;
};

TEST(QuotaBucketGroup, HoldsTheBurstAfterAQuietTime) {
  bucket.Refill(kPart, start, start + seconds(60));
  CHECK_EQUAL(20, TakeAll(bucket));
}

TEST(QuotaBucketGroup, GivesOutTheRateWhileAllIsTaken) {
  bucket.Refill(kPart, start, start + seconds(60));
  TakeAll(bucket);
  int taken = 0;
  for (int i = 1; i <= 50; ++i) {
    bucket.Refill(kPart, start, start + seconds(60) + milliseconds(100) * i);
    taken += TakeAll(bucket);
  }
  CHECK(taken >= 49 && taken <= 50);
}

// Guards against a quota that is given out twice because another node gave out
// the tokens of the time before this one became the home.
TEST(QuotaBucketGroup, HasNoTokensOfTheTimeBeforeItWasOwned) {
  bucket.Refill(kPart, start + seconds(60), start + seconds(60));
  CHECK_EQUAL(0, TakeAll(bucket));
  bucket.Refill(kPart, start + seconds(60), start + seconds(61));
  CHECK_EQUAL(10, TakeAll(bucket));
}

TEST(QuotaBucketGroup, ALowerQuotaTakesTokensAway) {
  bucket.Refill(kPart, start, start + seconds(60));
  bucket.Refill({1, 2}, start, start + seconds(60));
  CHECK_EQUAL(2, TakeAll(bucket));
}

// Guards against a customer of a few requests per second that never gets a
// token because its part of the burst is less than one.
TEST(QuotaBucketGroup, ASmallPartStillGivesOutTokens) {
  bucket.Refill({0.2, 0.1}, start, start + seconds(6));
  CHECK_EQUAL(1, TakeAll(bucket));
}

TEST(QuotaBucketGroup, LendsAtMostHalfOfItsTokens) {
  bucket.Refill(kPart, start, start + seconds(60));
  DOUBLES_EQUAL(10, bucket.TakeForLoan(100), 0);
  DOUBLES_EQUAL(3, bucket.TakeForLoan(3), 0);
  CHECK_EQUAL(7, TakeAll(bucket));
}

// Guards against tokens that are given out twice, by a node that did not reach
// the home and by the home afterwards.
TEST(QuotaBucketGroup, ChargedTokensAreMissingLater) {
  bucket.Refill(kPart, start, start + seconds(1));
  bucket.Charge(15);
  CHECK_EQUAL(0, TakeAll(bucket));
  bucket.Refill(kPart, start, start + seconds(2));
  CHECK_EQUAL(5, TakeAll(bucket));
}

TEST(QuotaBucketGroup, LendsItsLastToken) {
  bucket.Refill(kPart, start, start + milliseconds(150));
  DOUBLES_EQUAL(1, bucket.TakeForLoan(5), 0);
  DOUBLES_EQUAL(0, bucket.TakeForLoan(5), 0);
}

// Guards against refused callers that all come back at once and are refused
// again.
TEST(QuotaBucketGroup, RefusedCallersComeBackOneAfterAnother) {
  bucket.Refill(kPart, start, start);
  const Duration first = bucket.Reserve(start);
  const Duration second = bucket.Reserve(start);
  CHECK(first >= milliseconds(100));
  CHECK(second >= first + milliseconds(99));
  for (int i = 0; i < 100; ++i) bucket.Reserve(start);
  CHECK(bucket.Reserve(start) == QuotaBucket::kMaxReservation);
}

}  // namespace amaranth
