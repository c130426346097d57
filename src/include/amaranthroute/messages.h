#ifndef AMARANTHROUTE_MESSAGES_H_
#define AMARANTHROUTE_MESSAGES_H_

/// What nodes say to each other, as plain values. libwire turns them into
/// Thrift's compact protocol; the reducer sees only these.

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "amaranthroute/http.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/policy/server_judge.h"
#include "amaranthroute/time.h"
#include "amaranthroute/verdict.h"

namespace amaranth {

/// Importance of a request: higher is shed later.
enum class Tier : uint8_t {
  kBackground = 0,
  kBrowse = 1,  ///< catalogue browsing, memorial page views
  kStandard = 2,
  kCritical = 3,  ///< renewals, payments, bookings, proofs
};
inline constexpr int kTierCount = 4;

/// What travels with a call down the chain.
struct CallContext {
  std::string request_id;  ///< of the whole request, the same at every hop
  std::string mesh;
  std::string service;  ///< the service called in this hop
  std::string request_class;
  std::string tenant;
  std::string caller_key;  ///< for fair shares within a tier
  Tier tier = Tier::kStandard;
  bool idempotent = false;
  bool long_work = false;
  uint8_t depth = 0;           ///< 0 at the edge
  Duration remaining{0};       ///< until the request's deadline
  uint16_t retry_credits = 0;  ///< lent to this hop's subtree
  uint64_t fingerprint = 0;  ///< of the request's content, for poison requests
  /// Tries of this request so far whose backend server broke the connection.
  uint8_t suspected_crashes = 0;
  /// Shedding level, fixed at the edge and the same at every hop (see
  /// policy/shedder.h and policy/caller_shares.h).
  uint32_t level = 0;
};

/// Load of one backend server, piggybacked on each answer.
struct LoadReport {
  std::string server;
  uint32_t in_flight = 0;
  uint32_t limit = 0;
  uint32_t queued = 0;
  /// Shedding threshold of the serving node for this service (see
  /// libpolicy/shedder.h): 0 lets everything in.
  uint32_t shed_threshold = 0;
  /// The highest threshold that a deeper service of this call reported.
  uint32_t downstream_threshold = 0;
  /// Time in which the server ends one call while all its slots are busy; 0 if
  /// not measured. By it a report is brought up to date as it ages.
  uint32_t turn_us = 0;
  /// Time of this very call in the server itself, without the calls that it
  /// made, microseconds; 0 if it was not served.
  uint32_t own_us = 0;
};

/// First frame on a peer link, in both directions.
struct Hello {
  NodeRef node;
  std::string fleet;
  std::string data_centre;
};

/// Entry node to serving node: run this at `server`.
struct CallForward {
  AttemptId attempt = 0;
  std::string server;
  CallContext context;
  HttpRequest request;
  /// What a call of this kind usually takes in a server of this service, by the
  /// answers that the entry node had, microseconds; 0 if it had none.
  uint32_t usual_us = 0;
};

/// How a serving node spent the time for which it held a call.
struct CallTimes {
  /// From its arrival to its answer, microseconds.
  uint32_t held_us = 0;
  /// Of that, what the call waited for a slot, and the calls that the backend
  /// server made for it waited for theirs and on their way, microseconds. What
  /// the sender measured beyond `held_us` was spent between the two nodes.
  uint32_t waited_us = 0;
};

/// Serving node (or home node) to the sender of CallForward or HomeForward.
/// Either a response, or a failure (then `failure.reason` is not kNone).
struct CallAnswer {
  AttemptId attempt = 0;
  uint64_t entry_incarnation = 0;  ///< must be the receiver's, else dropped
  HttpResponse response;
  Failure failure;
  uint16_t credits_returned = 0;
  LoadReport load;
  /// The backend server made calls of its own for this one: a repeat of it
  /// repeats those, too.
  bool made_calls = false;
  CallTimes times;
};

/// The caller has gone or its deadline passed. Answered by a CallAnswer with a
/// failure: kNotRun if the call was still queued, else kMayHaveRun.
struct CallCancel {
  AttemptId attempt = 0;
};

/// A request whose key belongs to another node, passed to that node whole.
/// The receiver treats it as a caller's request that arrived there.
struct HomeForward {
  AttemptId attempt = 0;
  uint64_t home_incarnation = 0;  ///< refused if not the receiver's
  HttpRequest request;
  Duration remaining{0};
};

/// Liveness of a link that has calls outstanding but has gone quiet.
struct LinkPing {
  uint64_t sequence = 0;
};
struct LinkPong {
  uint64_t sequence = 0;
};

/// Asks a peer for the settings snapshot it has, if newer than `have_version`.
struct SettingsRequest {
  uint64_t have_version = 0;
};
/// One whole settings snapshot; `text` is its canonical JSON.
struct SettingsSnapshot {
  uint64_t version = 0;
  uint64_t text_hash = 0;
  std::string text;
};

/// One key to be claimed for a node.
struct KeyClaim {
  uint64_t claim_id = 0;  ///< unique in the holder's incarnation
  std::string key;
};
/// Node to its data centre's claim delegate, which batches.
struct ClaimRequest {
  NodeRef holder;
  std::vector<KeyClaim> claims;
};
/// Who holds the key. `known` is false if the platform did not tell in time.
struct ClaimOutcome {
  uint64_t claim_id = 0;
  bool known = false;
  NodeRef holder;
  uint64_t holder_claim_id = 0;
};
struct ClaimReply {
  std::vector<ClaimOutcome> outcomes;
};

/// How a member or server stands.
enum class MemberState : uint8_t {
  kAlive = 0,
  kSuspect = 1,
  kDead = 2,
  kLeft = 3,  ///< planned stop; takes no new work
};

/// One backend server as its node announces it.
struct ServerRecord {
  std::string server;
  std::string service;
  Endpoint address;
  uint32_t slots = 0;
  bool draining = false;
  /// As the node beside it judges it by all of its calls.
  ServerFitness fitness;
};

/// One node as the fleet knows it. (incarnation, version) only rises; the
/// higher pair wins, and at equal pairs the higher state wins.
struct MemberRecord {
  NodeRef node;
  uint64_t version = 0;
  MemberState state = MemberState::kAlive;
  std::string data_centre;
  std::string region;
  Endpoint peer_address;    ///< TCP
  Endpoint gossip_address;  ///< UDP
  std::vector<ServerRecord> servers;
};

/// Crashes that make a fingerprint a suspect, and that quarantine it.
inline constexpr uint32_t kSuspectCrashes = 1;
inline constexpr uint32_t kQuarantineCrashes = 2;

/// A request fingerprint that crashes backend servers of a service.
struct QuarantineRecord {
  std::string service;
  uint64_t fingerprint = 0;
  uint32_t crashes = 0;
  /// Until every node forgets it; 0 for a record just made. Counted down by
  /// each holder, so that gossip cannot keep a record alive for ever.
  Duration remaining{0};
};

/// Exchange of member records over TCP: at join, for repair, and between data
/// centres. With `bucket_hashes` only the records of buckets that differ are
/// sent back; without them, all.
struct MemberSync {
  bool reply_wanted = false;
  /// Hash of the sender's records whose name falls in each bucket, or empty.
  std::vector<uint32_t> bucket_hashes;
  std::vector<MemberRecord> members;
  std::vector<QuarantineRecord> quarantines;
  uint64_t settings_version = 0;
};

using PeerMessage =
    std::variant<Hello, CallForward, CallAnswer, CallCancel, HomeForward,
                 LinkPing, LinkPong, SettingsRequest, SettingsSnapshot,
                 ClaimRequest, ClaimReply, MemberSync>;

/// Kind of a gossip datagram (SWIM).
enum class GossipKind : uint8_t {
  kPing = 0,
  kAck = 1,
  kPingRequest = 2,  ///< please ping `target` for me
};

/// One UDP datagram between members; updates ride on it.
struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  NodeRef from;
  Endpoint from_address;
  uint64_t sequence = 0;
  std::string target;       ///< kPingRequest: name of the node to probe
  Endpoint target_address;  ///< kPingRequest
  uint64_t settings_version = 0;
  /// How long ago the platform was known to hold nothing newer than
  /// `settings_version`; nothing if the sender does not know.
  std::optional<Duration> settings_confirmed;
  uint64_t membership_hash = 0;
  std::vector<MemberRecord> updates;
  std::vector<QuarantineRecord> quarantines;
};

// Comparison and printing for all of the above, so that effects compare and a
// failed test shows what differed. Printing is one line of JSON-like text.
bool operator==(const CallContext& a, const CallContext& b);
bool operator==(const LoadReport& a, const LoadReport& b);
bool operator==(const Hello& a, const Hello& b);
bool operator==(const CallForward& a, const CallForward& b);
bool operator==(const CallTimes& a, const CallTimes& b);
bool operator==(const CallAnswer& a, const CallAnswer& b);
bool operator==(const CallCancel& a, const CallCancel& b);
bool operator==(const HomeForward& a, const HomeForward& b);
bool operator==(const LinkPing& a, const LinkPing& b);
bool operator==(const LinkPong& a, const LinkPong& b);
bool operator==(const SettingsRequest& a, const SettingsRequest& b);
bool operator==(const SettingsSnapshot& a, const SettingsSnapshot& b);
bool operator==(const KeyClaim& a, const KeyClaim& b);
bool operator==(const ClaimRequest& a, const ClaimRequest& b);
bool operator==(const ClaimOutcome& a, const ClaimOutcome& b);
bool operator==(const ClaimReply& a, const ClaimReply& b);
bool operator==(const ServerRecord& a, const ServerRecord& b);
bool operator==(const MemberRecord& a, const MemberRecord& b);
bool operator==(const QuarantineRecord& a, const QuarantineRecord& b);
bool operator==(const MemberSync& a, const MemberSync& b);
bool operator==(const GossipMessage& a, const GossipMessage& b);

std::string_view ToString(Tier tier);
std::string_view ToString(MemberState state);
std::ostream& operator<<(std::ostream& out, const PeerMessage& message);
std::ostream& operator<<(std::ostream& out, const GossipMessage& message);
std::ostream& operator<<(std::ostream& out, const MemberRecord& member);

}  // namespace amaranth

#endif  // AMARANTHROUTE_MESSAGES_H_
