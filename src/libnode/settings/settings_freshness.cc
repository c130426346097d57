#include "libnode/settings/settings_freshness.h"

#include <algorithm>

namespace amaranth::pvt {

namespace {

// The clocks of hosts differ by less than this share of the time. It makes a
// node that makes no calls read the platform again after about half an hour.
constexpr int64_t kMaxClockDriftPerMillion = 200;
// The platform's clock is read in whole milliseconds.
constexpr Duration kClockResolution = std::chrono::milliseconds(1);

}  // namespace

void SettingsFreshness::OnPlatformClock(PlatformTime clock,
                                        TimePoint answered_after,
                                        TimePoint now) {
  const std::optional<PlatformTime> known = ClockAt(now);
  const PlatformTime latest_now =
      clock + kClockResolution + (now - answered_after);
  const bool is_behind = known && *known < clock;
  if (known && !is_behind && *known <= latest_now) return;
  reading_ = Reading{latest_now, now};
}

void SettingsFreshness::OnConfirmed(PlatformTime at, TimePoint now) {
  const std::optional<PlatformTime> clock = ClockAt(now);
  if (!clock) return;
  if (at > *clock) {
    Forget();
    return;
  }
  if (!confirmed_at_ || *confirmed_at_ < at) confirmed_at_ = at;
}

void SettingsFreshness::Forget() {
  reading_.reset();
  confirmed_at_.reset();
}

std::optional<Duration> SettingsFreshness::Age(TimePoint now) const {
  const std::optional<PlatformTime> clock = ClockAt(now);
  if (!clock || !confirmed_at_) return std::nullopt;
  return *clock - *confirmed_at_;
}

std::optional<PlatformTime> SettingsFreshness::ClockAt(TimePoint now) const {
  if (!reading_) return std::nullopt;
  const Duration since = now - reading_->at;
  const Duration drift =
      Duration(since.count() * kMaxClockDriftPerMillion / 1'000'000);
  return reading_->clock + since + drift;
}

}  // namespace amaranth::pvt
