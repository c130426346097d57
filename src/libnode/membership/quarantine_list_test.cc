#include <CppUTest/TestHarness.h>

#include "libnode/membership/membership_updates.h"

namespace amaranth::pvt {

TEST_GROUP(QuarantineList) {
  QuarantineList list;
  const TimePoint start = FromMicros(1'000'000);
};

// Guards against requests that are still refused long after the service was
// fixed because nodes that dropped the record receive it again from others.
// Each holder passes on only the remaining time, so gossip cannot renew a
// record.
TEST(QuarantineList, GossipDoesNotExtendARecordsLifetime) {
  list.Add({"proofing", 7, kQuarantineCrashes}, start);
  const TimePoint late = start + std::chrono::minutes(29);
  QuarantineList other;
  for (const QuarantineRecord& record : list.All(late)) {
    other.Add(record, late);
  }
  CHECK_EQUAL(kQuarantineCrashes, other.CrashesOf("proofing", 7));
  other.Expire(late + std::chrono::minutes(2));
  CHECK_EQUAL(0u, other.CrashesOf("proofing", 7));
}

TEST(QuarantineList, SuspectsAreEvictedForAQuarantinedFingerprint) {
  for (uint64_t fingerprint = 1; fingerprint <= 5000; ++fingerprint) {
    list.Add({"proofing", fingerprint, kSuspectCrashes}, start);
  }
  CHECK(list.Add({"proofing", 9999, kQuarantineCrashes}, start));
  CHECK_EQUAL(kQuarantineCrashes, list.CrashesOf("proofing", 9999));
}

// Guards against an answer from before a crash that clears a request of it: a
// later crash counts, also one of which the request was not suspected.
TEST(QuarantineList, ALaterCrashIsKept) {
  CHECK_FALSE(list.LastCrashOf("proofing", 7).has_value());
  CHECK(list.Add({"proofing", 7, kSuspectCrashes}, start));
  const TimePoint later = start + std::chrono::seconds(2);
  CHECK(list.Add({"proofing", 7, kInFlightOnly}, later));
  CHECK_EQUAL(kSuspectCrashes, list.CrashesOf("proofing", 7));
  CHECK(later == *list.LastCrashOf("proofing", 7));
}

// Guards against gossip that takes the delayed news of a crash for a second
// one, and so keeps a suspicion alive.
TEST(QuarantineList, DelayedNewsOfACrashIsNoLaterCrash) {
  list.Add({"proofing", 7, kSuspectCrashes}, start);
  const std::vector<QuarantineRecord> sent = list.All(start);
  const TimePoint arrival = start + std::chrono::milliseconds(100);
  CHECK_FALSE(list.Add(sent.front(), arrival));
  CHECK(start == *list.LastCrashOf("proofing", 7));
}

TEST(QuarantineList, ACrashWithoutSuspicionIsForgottenFirst) {
  list.Add({"proofing", 7, kInFlightOnly}, start);
  list.Add({"proofing", 8, kSuspectCrashes}, start);
  list.Expire(start + std::chrono::seconds(31));
  CHECK_FALSE(list.LastCrashOf("proofing", 7).has_value());
  CHECK(list.LastCrashOf("proofing", 8).has_value());
}

// Guards against a restarted node that lets a quarantined request through
// because suspects fill the sync from which it learns of it.
TEST(QuarantineList, ANodeThatJoinsLearnsQuarantinesFirst) {
  constexpr uint64_t kQuarantined = 1'000;
  constexpr size_t kRecords = 64;
  for (uint64_t fingerprint = 1; fingerprint <= 300; ++fingerprint) {
    list.Add({"proofing", fingerprint, kSuspectCrashes}, start);
    list.Add({"imagery", fingerprint, kInFlightOnly}, start);
  }
  list.Add({"proofing", kQuarantined, kQuarantineCrashes}, start);
  const std::vector<QuarantineRecord> sent =
      list.QuarantinedFirst(kRecords, start);
  CHECK_EQUAL(kRecords, sent.size());
  CHECK_EQUAL(kQuarantined, sent.front().fingerprint);
}

// Guards against gossip of many fingerprints that no node is to run otherwise.
TEST(QuarantineList, GossipLeavesOutWhatWasOnlyInFlight) {
  list.Add({"proofing", 7, kInFlightOnly}, start);
  CHECK(list.Next(4, start).empty());
}

// Guards against evidence of two servers that is taken for one crash, because
// they crash at nearly the same time.
TEST(QuarantineList, ReportsOfCrashesAreCounted) {
  CHECK_EQUAL(0u, list.ReportedCrashesOf("proofing", 7));
  list.Add({"proofing", 7, kInFlightOnly}, start);
  CHECK(list.Add({"proofing", 7, kSuspectCrashes}, start));
  const std::vector<QuarantineRecord> gossip = list.All(start);
  list.Add(gossip.front(), start + std::chrono::seconds(1));
  CHECK_EQUAL(2u, list.ReportedCrashesOf("proofing", 7));
}

TEST(QuarantineList, ARunOfASuspectEndsWithNewsOrInTime) {
  list.Add({"proofing", 7, kSuspectCrashes}, start);
  const SuspectNews started{"proofing", 7, SuspectEvent::kStarted,
                            std::chrono::seconds(2)};
  list.OnNews(started, "a", start);
  CHECK(list.IsRunning("proofing", 7, start + std::chrono::seconds(1)));
  CHECK_FALSE(list.IsRunning("proofing", 7, start + std::chrono::seconds(2)));
  list.OnNews({"proofing", 7, SuspectEvent::kEnded}, "a", start);
  CHECK_FALSE(list.IsRunning("proofing", 7, start));
  CHECK_FALSE(list.ClearedAt("proofing", 7).has_value());
}

// Guards against a request that crashes most servers and is cleared by one that
// survives it.
TEST(QuarantineList, AnswersAtTwoNodesClearASuspect) {
  list.Add({"proofing", 7, kSuspectCrashes}, start);
  const TimePoint later = start + std::chrono::seconds(1);
  const SuspectNews answered{"proofing", 7, SuspectEvent::kAnswered};
  list.OnNews(answered, "a", later);
  CHECK_FALSE(list.CanBeCleared("proofing", 7, "a"));
  list.OnNews(answered, "a", later);
  CHECK_FALSE(list.ClearedAt("proofing", 7).has_value());
  CHECK(list.CanBeCleared("proofing", 7, "b"));
  list.OnNews(answered, "b", later);
  CHECK(list.ClearedAt("proofing", 7) == later);
}

// Guards against the same where more servers survive it: suspected again
// shortly afterwards, it is not cleared by the answers of others.
TEST(QuarantineList, ASuspectIsNotClearedAgainSoon) {
  TimePoint now = start;
  for (const int wait : {1, 31}) {
    list.Add({"proofing", 7, kSuspectCrashes}, now);
    for (const char* node : {"a", "b"}) {
      list.OnNews({"proofing", 7, SuspectEvent::kAnswered}, node,
                  now + std::chrono::milliseconds(500));
    }
    CHECK(list.ClearedAt("proofing", 7) > now);
    now += std::chrono::seconds(wait);
    list.Add({"proofing", 7, kSuspectCrashes}, now);
    CHECK_EQUAL(wait > 30, list.CanBeCleared("proofing", 7, "a"));
    now += std::chrono::seconds(31);
  }
}

}  // namespace amaranth::pvt
