#ifndef AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_FRESHNESS_H_
#define AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_FRESHNESS_H_

// How old this node's knowledge is that its settings are the newest.
//
// A confirmation names the moment at which the platform held nothing newer, on
// the platform's own clock. Such a moment stays true however long the news of
// it was under way, and however long a node that passed it on stood still. Each
// node estimates the platform's clock from its own calls, never too low.

#include <optional>

#include "amaranthroute/platform.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

class SettingsFreshness {
 public:
  // Records that the platform's clock showed `clock` when it answered a call of
  // this node, no earlier than `answered_after`.
  void OnPlatformClock(PlatformTime clock, TimePoint answered_after,
                       TimePoint now);
  // Records that the settings of this node, or newer ones, were the newest when
  // the platform's clock showed `at`. Has no effect before the first
  // OnPlatformClock. A time ahead of the estimated clock shows that the
  // estimate is wrong, for example since this host stood still; all is
  // forgotten then.
  void OnConfirmed(PlatformTime at, TimePoint now);
  // Forgets all, since the platform's clock may have changed.
  void Forget();

  // Returns the latest confirmation.
  const std::optional<PlatformTime>& confirmed_at() const {
    return confirmed_at_;
  }
  // Returns how long ago the latest confirmation was at most; nullopt if there
  // is none.
  std::optional<Duration> Age(TimePoint now) const;
  // Returns what the platform's clock shows at most; nullopt if unknown.
  std::optional<PlatformTime> ClockAt(TimePoint now) const;

 private:
  struct Reading {
    PlatformTime clock{};
    TimePoint at{};
  };

  std::optional<Reading> reading_;
  std::optional<PlatformTime> confirmed_at_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_FRESHNESS_H_
