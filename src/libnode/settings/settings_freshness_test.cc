#include "libnode/settings/settings_freshness.h"

#include <CppUTest/TestHarness.h>

namespace amaranth::pvt {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

PlatformTime PlatformAt(Duration time) { return PlatformTime(time); }

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(SettingsFreshness) {
  SettingsFreshness freshness;
  TimePoint now = FromMicros(5'000'000);

  // A call that takes 20 ms, answered when the platform's clock shows `clock`.
  void Call(Duration clock) {
    const TimePoint sent = now;
    now += milliseconds(20);
    freshness.OnPlatformClock(PlatformAt(clock), sent, now);
  }

  Duration Age() const { return freshness.Age(now).value_or(Duration::max()); }
};

TEST(SettingsFreshness, NothingIsKnownBeforeTheFirstCall) {
  freshness.OnConfirmed(PlatformAt(seconds(10)), now);
  CHECK_FALSE(freshness.Age(now).has_value());
  CHECK_FALSE(freshness.confirmed_at().has_value());
}

// Guards against a confirmation that looks younger for having been under way,
// or for having waited at a node that stood still.
TEST(SettingsFreshness, TheWayOfAConfirmationCountsForItsAge) {
  Call(seconds(10));
  freshness.OnConfirmed(PlatformAt(seconds(10)), now);
  CHECK(Age() >= Duration(0) && Age() <= milliseconds(30));
  now += seconds(3);
  freshness.OnConfirmed(PlatformAt(seconds(11)), now);
  CHECK(Age() >= seconds(2) && Age() <= milliseconds(2030));
  freshness.OnConfirmed(PlatformAt(milliseconds(10'500)), now);
  CHECK(Age() >= seconds(2));
}

TEST(SettingsFreshness, TheAgeIsNeverTooLow) {
  Call(seconds(10));
  freshness.OnConfirmed(PlatformAt(seconds(10)), now);
  // The platform's clock runs 100 millionths faster than this host's.
  now += hours(1);
  CHECK(Age() >= hours(1) + milliseconds(360));
  CHECK(Age() <= hours(1) + seconds(1));
}

TEST(SettingsFreshness, AQuickCallCorrectsTheEstimateOfASlowOne) {
  freshness.OnPlatformClock(PlatformAt(seconds(10)), now - seconds(2), now);
  freshness.OnConfirmed(PlatformAt(seconds(10)), now);
  CHECK(Age() >= seconds(2));
  Call(milliseconds(10'010));
  CHECK(Age() <= milliseconds(40));
}

// Guards against a host that stood still, with its clock, and counts what it
// knew before as recent.
TEST(SettingsFreshness, AClockThatStoodStillIsNotTrusted) {
  Call(seconds(10));
  freshness.OnConfirmed(PlatformAt(seconds(10)), now);
  freshness.OnConfirmed(PlatformAt(seconds(12)), now);
  CHECK_FALSE(freshness.Age(now).has_value());
  Call(seconds(12));
  freshness.OnConfirmed(PlatformAt(seconds(12)), now);
  CHECK(Age() <= milliseconds(30));
}

TEST(SettingsFreshness, OwnCallsFollowTheClockAfterAStandstill) {
  Call(seconds(10));
  freshness.OnConfirmed(PlatformAt(seconds(10)), now);
  Call(seconds(14));
  CHECK(Age() >= seconds(4));
}

}  // namespace amaranth::pvt
