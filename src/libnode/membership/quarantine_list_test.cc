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

}  // namespace amaranth::pvt
