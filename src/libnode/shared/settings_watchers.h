#ifndef AMARANTHROUTE_LIBNODE_SHARED_SETTINGS_WATCHERS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_SETTINGS_WATCHERS_H_

// Which nodes of a data centre watch the platform for all others, and when a
// node reads the platform itself. The settings apply these rules, and
// membership passes on what the watchers know.

#include <cstddef>
#include <cstdint>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Key of the rendezvous hashing that ranks the nodes of a data centre.
inline constexpr char kSettingsDelegateKey[] = "settings-delegates";

// Number of nodes of a data centre that watch the platform; the others learn
// from them. Each change completes every watch, so if all nodes watched, the
// number of platform calls would grow with the fleet.
inline constexpr size_t kSettingsWatcherCount = 5;

// Number of nodes, in the order of ranks, that read the platform before all
// others do when the watchers' confirmations stay away. They need not know why,
// and one of them that has read confirms for all.
inline constexpr size_t kSettingsStandbyCount = 5;

// Rank of a node among those of its data centre, from 0, and their count, which
// includes the node itself: `rank` is less than `nodes`.
struct DataCentreRank {
  size_t rank = 0;
  size_t nodes = 1;
};

// When a node of a deployment asks, watches and reads. A change has to be in
// force `bound` after the platform has acknowledged it. Half of that time is
// for confirmations to arrive; a node that has none by then reads the platform
// and has the other half for it, enough for a call that is lost and a second
// one. The bound therefore holds for each node that reaches the platform, on
// its own.
class SettingsWatchTimes {
 public:
  explicit SettingsWatchTimes(Duration bound) : bound_(bound) {}

  // Time between the ends of the watches of two watchers, so that every
  // interval of this length brings a confirmation.
  Duration Slot() const { return bound_ / 4; }
  // Shortest watch: one that would end sooner lasts for another round.
  Duration ShortestWatch() const { return Slot() / 4; }
  // Confirmations are passed on if they are this much newer than the last.
  Duration RelayStep() const { return bound_ / 10; }
  // Age of the last confirmation at which a node reads the platform. It rises
  // with the rank, so that the reply to the first reader can reach the others
  // before they read.
  Duration ReadAge(size_t rank) const {
    constexpr size_t kFirstReaders =
        kSettingsWatcherCount + kSettingsStandbyCount;
    if (rank >= kFirstReaders) return bound_ / 2;
    return bound_ * (85 + static_cast<int64_t>(rank)) / 200;
  }
  // Age of the last confirmation at which a node asks others for a newer one,
  // once the first readers have had time to read.
  Duration RequestAge() const { return bound_ * 95 / 200; }
  // How long a read may take after `failures` failed ones in a row. The second
  // of two reads still ends within the bound; later ones allow for a platform
  // that is slow.
  Duration ReadTimeout(int failures) const {
    if (failures == 0) return bound_ / 4;
    return failures == 1 ? bound_ / 2 : bound_;
  }

 private:
  Duration bound_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_SETTINGS_WATCHERS_H_
