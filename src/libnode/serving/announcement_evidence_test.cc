#include "libnode/serving/announcement_evidence.h"

#include <CppUTest/TestHarness.h>

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kNodeStartedMs = 1'000'000;
constexpr uint64_t kServerStartedMs = 900'000;
const TimePoint kStart = FromMicros(5'000'000);

}  // namespace

TEST_GROUP(AnnouncementEvidence) {
  AnnouncementEvidence evidence;
  DepartureKnowledge knowledge = DepartureKnowledge::kIncomplete;

  void setup() override {
    NodeIdentity identity;
    identity.started_ms = kNodeStartedMs;
    identity.rules.server_lease = seconds(6);  // periods of 1.5 s
    evidence.Start(identity, kStart);
  }

  // Records an announcement that arrives `after` the start; returns whether the
  // server may be used then.
  bool Announce(Duration after, uint64_t sequence,
                uint64_t started_ms = kServerStartedMs) {
    const AnnouncementStamp stamp{started_ms, sequence};
    evidence.Count("i-1", stamp, kStart + after);
    return evidence.Suffices("i-1", stamp, knowledge, kStart + after);
  }
};

// Guards against late announcements that arrive together and pass for several.
TEST(AnnouncementEvidence, LateAnnouncementsAtTheSameTimeCountOnce) {
  CHECK(!Announce(milliseconds(3000), 40));
  CHECK(!Announce(milliseconds(3001), 41));
  CHECK(!Announce(milliseconds(3002), 42));
  CHECK(!Announce(milliseconds(3003), 43));
}

// Guards against an announcement that is delivered several times.
TEST(AnnouncementEvidence, DuplicatesDoNotCount) {
  for (int i = 1; i <= 5; ++i) CHECK(!Announce(seconds(2 * i), 40));
}

TEST(AnnouncementEvidence, TheThirdAnnouncementProvesThatAServerIsInUse) {
  CHECK(!Announce(milliseconds(1500), 40));
  CHECK(!Announce(milliseconds(3000), 41));
  CHECK(Announce(milliseconds(4500), 42));
}

// Guards against one wrong number after which a server never proves anything.
TEST(AnnouncementEvidence, ALowerNumberStartsANewCount) {
  CHECK(!Announce(milliseconds(1500), 1'000'000));
  CHECK(!Announce(milliseconds(3000), 41));
  CHECK(!Announce(milliseconds(4500), 42));
  CHECK(Announce(milliseconds(6000), 43));
}

// Guards against one wrong start time after which a server never proves
// anything.
TEST(AnnouncementEvidence, AStartTimeThatIsNotHeardAgainIsForgotten) {
  CHECK(!Announce(milliseconds(1500), 40, kServerStartedMs + 1));
  CHECK(!Announce(milliseconds(3000), 41));
  CHECK(!Announce(milliseconds(4500), 42));
  CHECK(!Announce(milliseconds(6000), 43));
  CHECK(Announce(milliseconds(7500), 44));
}

TEST(AnnouncementEvidence, AServerThatStartedLaterIsUsedAtOnce) {
  CHECK(Announce(seconds(10), 3, kNodeStartedMs + 8'000));
}

// Guards against a start time in the future that passes for a new server.
TEST(AnnouncementEvidence, AStartTimeInTheFutureProvesNothing) {
  CHECK(!Announce(seconds(10), 3, kNodeStartedMs + 60'000));
  CHECK(!Announce(seconds(10), 3, UINT64_MAX));
}

TEST(AnnouncementEvidence, TheFirstAnnouncementInTimeIsEnoughIfAllIsKnown) {
  knowledge = DepartureKnowledge::kLearned;
  CHECK(Announce(milliseconds(2200), 40));
  CHECK(!evidence.IsOverdue("i-1", kStart + milliseconds(5200)));
  CHECK(evidence.IsOverdue("i-1", kStart + milliseconds(5300)));
  evidence.Withdraw("i-1");
  CHECK(!Announce(milliseconds(6000), 41));
}

// Guards against an announcement that a server in use would have sent earlier.
TEST(AnnouncementEvidence, TheFirstAnnouncementIsNotEnoughIfItIsLate) {
  knowledge = DepartureKnowledge::kLearned;
  CHECK(!Announce(milliseconds(2300), 40));
  CHECK(!Announce(milliseconds(3800), 41));
  CHECK(Announce(milliseconds(5300), 42));
}

TEST(AnnouncementEvidence, NothingIsDoubtedAfterDeparturesAreForgotten) {
  CHECK(Announce(std::chrono::minutes(10), 40));
}

}  // namespace amaranth::pvt
