#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_LIMITS_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_LIMITS_H_

// Times and counts of the membership protocol. See docs/design/membership.md
// for the trade-offs.

#include <cstddef>
#include <cstdint>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

inline constexpr char kMembershipPart[] = "membership";

// Each node sends one probe per period. Round trips take a few milliseconds, so
// an ack that has not arrived after 150 ms is lost or very late; the rest of
// the period is left for indirect probes.
inline constexpr Duration kProbePeriod = std::chrono::milliseconds(500);
inline constexpr Duration kAckTimeout = std::chrono::milliseconds(150);
inline constexpr size_t kIndirectProbes = 3;
inline constexpr Duration kRelayTimeout = std::chrono::seconds(1);

// If a timer fires this late, acks may be unread in the socket. The open
// probe is dropped: a node short of CPU time must not suspect others.
inline constexpr Duration kStarvedTimerDelay = std::chrono::milliseconds(100);
// If a timer fires this late, the process was paused, and others may
// have declared it dead meanwhile.
inline constexpr Duration kPausedTimerDelay = std::chrono::milliseconds(1500);

// Suspicion lasts factor * log10(n) periods and at least three seconds, so that
// a refutation arrives even if every fifth datagram is lost. Each node extends
// it by a random share of up to half.
inline constexpr double kSuspicionFactor = 5.0;
inline constexpr Duration kMinSuspicionTimeout = std::chrono::seconds(3);

// Records of members that died or left are kept as tombstones, so that a
// delayed "alive" record does not bring them back. Ten minutes outlast any
// record in transit. A node that was cut off for longer may still bring such a
// member back; probes then detect it as dead again.
inline constexpr Duration kTombstoneRetention = std::chrono::minutes(10);

// A member that left or died is pinged in each period for this long, by a few
// nodes chosen at random, in case it restarts. A planned restart takes seconds,
// about ten with a drain before it.
inline constexpr Duration kReturnPingTime = std::chrono::seconds(30);

// Changes that stop new work are pushed on at once by each node that learns of
// them.
inline constexpr Duration kPushInterval = std::chrono::milliseconds(100);
inline constexpr size_t kPushFanout = 3;
inline constexpr size_t kOwnPushFanout = 8;
inline constexpr int kPushRounds = 2;
inline constexpr int kOwnPushRounds = 5;

// Confirmations that the settings in force are the newest are passed on along a
// tree (settings_watchers.h has the times). A node asks this many others for
// one that it misses.
inline constexpr size_t kRelayFanout = 4;
inline constexpr size_t kConfirmationRequests = 2;

inline constexpr uint64_t kContactPeriods = 2;    // other data centres: 1 s
inline constexpr uint64_t kReconnectPeriods = 4;  // dead members, seeds: 2 s
inline constexpr size_t kDelegatesPerDataCentre = 2;
inline constexpr Duration kRemoteTimeout = std::chrono::seconds(3);

// Byte rates of records in datagrams and in syncs, apart from the sender's own
// record. When whole regions come back, each node has up to 240 KB to learn.
// Sent in one burst, this would delay callers' requests at the nodes that all
// others contact, so it is spread over half a minute, nearest records first.
inline constexpr size_t kGossipBytesPerSecond = 3 * 1024;
inline constexpr size_t kGossipBurst = 8 * 1024;
inline constexpr size_t kSyncBytesPerSecond = 8 * 1024;
inline constexpr size_t kSyncBurst = 24 * 1024;
inline constexpr size_t kMaxSyncBytes = 12 * 1024;
// A sync is not answered if less than this is left in the byte budget: the few
// records would not be worth the digest that is sent with them.
inline constexpr size_t kMinSyncBytes = 2 * 1024;
inline constexpr int kSyncAnswersPerPeriod = 3;
inline constexpr Duration kJoinSyncInterval = std::chrono::milliseconds(250);
inline constexpr Duration kMinSyncInterval = std::chrono::seconds(1);
inline constexpr Duration kMaxSyncInterval = std::chrono::seconds(4);
// Gossip alone resolves most differences within this time; a longer one starts
// a sync.
inline constexpr Duration kMismatchTimeout = std::chrono::seconds(2);
inline constexpr Duration kRemoteSyncInterval = std::chrono::seconds(2);
// A sync that brings at least this many new records was probably cut short by
// the byte limit and is followed up soon. A sync that brings none doubles the
// interval to the next.
inline constexpr size_t kFollowUpMinRecords = 5;
inline constexpr size_t kQuarantinesPerSync = 64;

// Departures of local servers are part of a node's record for this long. Other
// nodes tell the next process of the node of them for somewhat less, so that
// none is told after it has expired there.
inline constexpr Duration kDepartureRetention = std::chrono::minutes(10);
inline constexpr Duration kDepartureTellingTime = std::chrono::minutes(9);
// Limit on their size in a record, which has to fit into a datagram.
inline constexpr size_t kMaxDepartureBytes = 400;
// How long an acknowledgement waits until another node and the platform's table
// have confirmed that they hold the departure. A server expects the
// acknowledgement within a second.
inline constexpr Duration kMaxCopyWait = std::chrono::milliseconds(400);
inline constexpr size_t kLocalWitnesses = 2;
// Requests that crashed servers in a row of retained state. One crash leaves 16
// suspects at most.
inline constexpr size_t kMaxRetainedQuarantines = 32;
// How long a node that has started waits for departures that its earlier
// processes have acknowledged. Shorter than the time between two announcements,
// so a server that has not left is used at its first or second one.
inline constexpr Duration kMaxLearningTime = std::chrono::seconds(1);

inline constexpr Duration kPlatformInterval = std::chrono::seconds(2);
inline constexpr Duration kMaxPlatformInterval = std::chrono::seconds(16);
inline constexpr size_t kPeersFromPlatform = 5;
// A node that finds no peer among them goes on with twice as many at a time.
inline constexpr size_t kMaxDialsAtOnce = 40;
inline constexpr Duration kDialInterval = std::chrono::milliseconds(250);
// A seed that is up answers within one or two round trips, so after this time
// the platform is asked for peers.
inline constexpr Duration kSeedTimeoutBeforePlatform = std::chrono::seconds(1);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_LIMITS_H_
