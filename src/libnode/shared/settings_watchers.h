#ifndef AMARANTHROUTE_LIBNODE_SHARED_SETTINGS_WATCHERS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_SETTINGS_WATCHERS_H_

// Which nodes of a data centre watch the platform for all others. The settings
// choose the watchers, and membership passes on what they know.

#include <cstddef>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Key of the rendezvous hashing that ranks the nodes of a data centre.
inline constexpr char kSettingsDelegateKey[] = "settings-delegates";

// Number of nodes of a data centre that watch the platform; the others learn
// from them. Each change completes every watch, so if all nodes watched, the
// number of platform calls would grow with the fleet. There are several, since
// a data centre that loses all of them at once learns of a change only when
// other nodes miss their confirmations.
inline constexpr size_t kSettingsWatcherCount = 5;

// A node that has received no confirmation for this long that the platform
// holds nothing newer starts a watch of its own.
inline constexpr Duration kSettingsConfirmationLifetime =
    std::chrono::seconds(2);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_SETTINGS_WATCHERS_H_
