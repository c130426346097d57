#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_LIMITS_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_LIMITS_H_

// Times and counts of the membership protocol; docs/design/membership.md says
// how they were weighed.

#include <cstddef>
#include <cstdint>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

inline constexpr char kMembershipPart[] = "membership";

// One probe a period. Round trips are a few milliseconds, so an ack that takes
// 150 ms is lost or late by far; the rest of the period is for others to try.
inline constexpr Duration kPeriod = std::chrono::milliseconds(500);
inline constexpr Duration kAckTimeout = std::chrono::milliseconds(150);
inline constexpr size_t kIndirectProbes = 3;
inline constexpr Duration kRelayTime = std::chrono::seconds(1);

// A timer that comes this late means that acks may lie unread in the socket:
// a starved prober must not blame others.
inline constexpr Duration kStarved = std::chrono::milliseconds(100);
// A timer that comes this late means that the process was paused, and others
// may have called it dead meanwhile.
inline constexpr Duration kPaused = std::chrono::milliseconds(1500);

// Suspicion lasts factor * log10(n) periods, and three seconds at least, so
// that a refutation gets through with every fifth datagram lost.
inline constexpr double kSuspicionFactor = 5.0;
inline constexpr Duration kMinSuspicion = std::chrono::seconds(3);

// Dead records are kept so that a late "alive" does not bring them back. Ten
// minutes outlast any record under way; a member cut off for longer is found
// dead again by probes.
inline constexpr Duration kTombstoneTime = std::chrono::minutes(10);

// A member that is gone is asked for each period for this long: a planned
// restart takes seconds, with a drain before it ten or so.
inline constexpr Duration kReturnTime = std::chrono::seconds(30);

// News that stops new work is pushed on by each who learns it.
inline constexpr Duration kPushInterval = std::chrono::milliseconds(100);
inline constexpr size_t kPushFanout = 3;
inline constexpr size_t kOwnPushFanout = 8;
inline constexpr int kPushes = 2;
inline constexpr int kOwnPushes = 5;

inline constexpr uint64_t kContactPeriods = 2;    // other data centres: 1 s
inline constexpr uint64_t kReconnectPeriods = 4;  // dead members, seeds: 2 s
inline constexpr size_t kDelegatesPerDataCentre = 2;
inline constexpr Duration kRemoteSilence = std::chrono::seconds(3);

// Bytes that records may take, on datagrams and in syncs, beside the sender's
// own. When whole regions come back each node has up to 240 KB to learn, and
// the nodes that all others ask would pay for it in one burst that delays
// callers' work; so it is spread over half a minute, nearest records first.
inline constexpr size_t kGossipBytesPerSecond = 3 * 1024;
inline constexpr size_t kGossipBurst = 8 * 1024;
inline constexpr size_t kSyncBytesPerSecond = 8 * 1024;
inline constexpr size_t kSyncBurst = 24 * 1024;
inline constexpr size_t kMaxSyncBytes = 12 * 1024;
// Below this an answer to a sync is not worth its digest.
inline constexpr size_t kMinSyncBytes = 2 * 1024;
inline constexpr int kSyncAnswersPerPeriod = 3;
inline constexpr Duration kJoinSyncInterval = std::chrono::milliseconds(250);
inline constexpr Duration kMinSyncInterval = std::chrono::seconds(1);
inline constexpr Duration kMaxSyncInterval = std::chrono::seconds(4);
// Gossip alone settles a difference within this; longer is worth a sync.
inline constexpr Duration kMismatchPatience = std::chrono::seconds(2);
inline constexpr Duration kRemoteSyncInterval = std::chrono::seconds(2);
// A sync that teaches more records than this was likely cut short and goes on
// at once; one that teaches nothing makes the next one come later.
inline constexpr size_t kFewRecords = 5;
inline constexpr size_t kQuarantinesPerSync = 64;

inline constexpr Duration kPlatformInterval = std::chrono::seconds(2);
inline constexpr Duration kMaxPlatformInterval = std::chrono::seconds(16);
inline constexpr size_t kPeersFromPlatform = 5;
// A living seed answers within a round trip or two.
inline constexpr Duration kSeedsBeforePlatform = std::chrono::seconds(1);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_LIMITS_H_
