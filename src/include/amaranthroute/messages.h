#ifndef AMARANTHROUTE_MESSAGES_H_
#define AMARANTHROUTE_MESSAGES_H_

/// Messages between nodes, as plain values. The reducer uses only these;
/// libwire encodes them in Thrift's compact protocol.

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

/// Importance of a request. Higher tiers are shed later.
enum class Tier : uint8_t {
  kBackground = 0,
  kBrowse = 1,  ///< for example catalogue browsing, memorial page views
  kStandard = 2,
  kCritical = 3,  ///< for example renewals, payments, bookings, proofs
};
inline constexpr int kTierCount = 4;

/// Value of CallContext::admit_share if all requests are admitted.
inline constexpr uint16_t kFullAdmitShare = 1024;

/// CallContext::calls_done counts up to this.
inline constexpr uint32_t kMaxCallsDone = 255;

/// Metadata of a call, passed on to its nested calls.
struct CallContext {
  std::string request_id;  ///< of the caller's request, the same at every hop
  std::string mesh;
  std::string service;  ///< service called in this hop
  std::string request_class;
  std::string tenant;
  /// Identifies the caller for fair sharing within a service and tier.
  std::string caller_key;
  /// Of the customer if it has one, otherwise of the class.
  Tier tier = Tier::kStandard;
  bool idempotent = false;
  bool long_work = false;
  uint8_t depth = 0;           ///< levels of nesting; 0 for a caller's request
  Duration remaining{0};       ///< until the request's deadline
  uint16_t retry_credits = 0;  ///< granted to this hop and its nested calls
  /// Hash of service, method, target and body, by which requests that crash
  /// backend servers are recognized.
  uint64_t fingerprint = 0;
  /// Attempts of this call so far that ended with a lost connection.
  uint8_t suspected_crashes = 0;
  /// Shedding level, set at the entry node of the caller's request and the same
  /// at every hop (see policy/shedder.h and policy/caller_shares.h).
  uint32_t level = 0;
  /// Of the request's class. Orders requests of the same tier.
  Tier class_tier = Tier::kStandard;
  /// Share of the requests like this one that the entry node admitted, in
  /// 1/kFullAdmitShare. One call stands for kFullAdmitShare / admit_share
  /// offered calls.
  uint16_t admit_share = kFullAdmitShare;
  /// Base-2 logarithm of the slot time that the request needs at its bottleneck
  /// service, see policy/rank_demand.h; 0 to 7.
  uint8_t cost_bucket = 0;
  /// Time left until the request's latency target, or its deadline, less the
  /// time that it still needs without waiting; negative if it cannot be met.
  /// nullopt if unknown.
  std::optional<Duration> target_slack = std::nullopt;
  std::optional<Duration> deadline_slack = std::nullopt;
  /// Calls of the request that were answered before this one; at most 255.
  uint8_t calls_done = 0;
};

/// Why a nested call failed, as the nodes between it and the entry node of its
/// request pass it on.
enum class FailureCause : uint8_t {
  kNone = 0,
  kNoRoom = 1,       ///< the service is short of capacity
  kRefusing = 2,     ///< backend servers refuse calls whatever their load is
  kUnreachable = 3,  ///< no backend server, or the path to it failed
  kBroken = 4,       ///< a backend server failed the call
};

/// What one call cost at one service: its own slot, or the slots of its nested
/// calls there.
struct ServiceCost {
  std::string service;
  uint32_t calls = 0;
  uint32_t slot_us = 0;  ///< sum of the calls' service times, in microseconds
};

/// Load of a service that is short of capacity or refuses calls, as its serving
/// nodes measure it.
struct ServicePressure {
  std::string service;
  /// Cut of the positions that are admitted, in 1/256 of a position; 0 admits
  /// all. See policy/rank_demand.h.
  uint32_t cut_x256 = 0;
  /// Share of the calls that the servers did not refuse, in percent.
  uint8_t success_percent = 100;
  /// Share of the calls of the answered call's customer that are admitted at
  /// the position of the cut, in 1/kFullAdmitShare; nullopt if all customers
  /// share alike.
  std::optional<uint16_t> customer_share = std::nullopt;
};

/// The nested call that made a call fail.
struct FailedBelow {
  std::string service;
  FailureCause cause = FailureCause::kNone;
};

/// Load of one backend server. Each answer carries one.
struct LoadReport {
  std::string server;
  uint32_t in_flight = 0;
  uint32_t limit = 0;
  uint32_t queued = 0;
  /// Shedding threshold for this backend server (see policy/shedder.h); 0
  /// admits every level.
  uint32_t shed_threshold = 0;
  /// Highest shedding threshold that the services of nested calls reported.
  uint32_t downstream_threshold = 0;
  /// Time between two completed calls while the server is at its concurrency
  /// limit, in microseconds: the expected service time divided by the limit; 0
  /// if unknown. Entry nodes extrapolate an aging report with it.
  uint32_t turn_us = 0;
  /// Service time of this call without nested calls, in microseconds; 0 if the
  /// call failed or its response has a 5xx status.
  uint32_t own_us = 0;
  /// The server has said in an answer that it is shutting down.
  bool leaving = false;
  /// If `leaving`: ServerRecord::started_ms of the process that said so.
  uint64_t started_ms = 0;
  /// Requests per second that the server accepts; nullopt if it names no limit.
  std::optional<double> rate_limit = std::nullopt;
};

/// First message on a peer link, in both directions.
struct Hello {
  NodeRef node;
  std::string fleet;
  std::string data_centre;
};

/// Asks a serving node to run an attempt at `server`. Sent by the entry node.
struct CallForward {
  AttemptId attempt = 0;
  std::string server;
  CallContext context;
  HttpRequest request;
  /// Typical service time, without nested calls, of calls of this kind, in
  /// microseconds, by the answers that the entry node received; 0 if unknown.
  uint32_t usual_us = 0;
  /// Rate limit of the server in the last load report that the entry node
  /// received. The serving node uses it until the server has answered, because
  /// it may have restarted since the report.
  std::optional<double> rate_limit = std::nullopt;
};

/// Time that a call spent at its serving node.
struct CallTimes {
  /// From the arrival of the call to its answer, in microseconds.
  uint32_t held_us = 0;
  /// The part of `held_us` that the call waited for a slot and that its nested
  /// calls waited for slots or spent between nodes, in microseconds. The round
  /// trip measured by the sender minus `held_us` is the time between the two
  /// nodes.
  uint32_t waited_us = 0;
};

/// Answers a CallForward (from the serving node) or a HomeForward (from the
/// home node): either a response, or a failure, whose `failure.reason` is not
/// kNone.
struct CallAnswer {
  AttemptId attempt = 0;
  uint64_t entry_incarnation = 0;  ///< dropped if not the receiver's
  HttpResponse response;
  Failure failure;
  uint16_t credits_returned = 0;
  LoadReport load;
  /// Whether the backend server made nested calls for this call. A retry
  /// repeats them, too.
  bool made_calls = false;
  CallTimes times;
  /// Costs of this call and its nested calls, by service. Empty if the call was
  /// not served, or nobody uses them.
  std::vector<ServiceCost> costs;
  /// Services at or below the called one that are short of capacity or refuse
  /// calls.
  std::vector<ServicePressure> pressures;
  FailedBelow failed_below;
};

/// Cancels an attempt because the caller disconnected or the deadline passed.
/// Answered by a CallAnswer, normally with a failure: kNotRun if nothing was
/// sent to the backend server, otherwise kMayHaveRun.
struct CallCancel {
  AttemptId attempt = 0;
  /// Cancel the call only if nothing was sent to the backend server yet. There
  /// is no answer to this message otherwise.
  bool only_waiting = false;
};

/// Forwards a complete request to the home node of its idempotency key. The
/// receiver handles it as a caller's request that arrived there.
struct HomeForward {
  AttemptId attempt = 0;
  uint64_t home_incarnation = 0;  ///< refused if not the receiver's
  HttpRequest request;
  Duration remaining{0};
};

/// Probes a link that has calls in flight but is unresponsive.
struct LinkPing {
  uint64_t sequence = 0;
};
struct LinkPong {
  uint64_t sequence = 0;
};

/// Requests the settings snapshot of a peer if it is newer than `have_version`.
struct SettingsRequest {
  uint64_t have_version = 0;
};
/// A complete settings snapshot. `text` is its canonical JSON.
struct SettingsSnapshot {
  uint64_t version = 0;
  uint64_t text_hash = 0;
  std::string text;
};

/// An idempotency key to be claimed for a node.
struct KeyClaim {
  uint64_t claim_id = 0;  ///< unique within the holder's incarnation
  std::string key;
};
/// Sends claims to a claim delegate of the data centre, which batches them.
struct ClaimRequest {
  NodeRef holder;
  std::vector<KeyClaim> claims;
};
/// Holder of a claimed key. `known` is false if the platform did not answer in
/// time.
struct ClaimOutcome {
  uint64_t claim_id = 0;
  bool known = false;
  NodeRef holder;
  uint64_t holder_claim_id = 0;
};
struct ClaimReply {
  std::vector<ClaimOutcome> outcomes;
};

/// Asks for tokens of a customer's quota. An entry node asks the home of the
/// customer in its data centre for one, before it sends a request to a backend
/// server, and for those that it has given out by itself since; a home asks
/// those of other data centres for a loan.
struct QuotaRequest {
  uint64_t id = 0;
  std::string customer;
  uint32_t tokens = 1;
  bool loan = false;
};
/// Answers a QuotaRequest.
struct QuotaReply {
  uint64_t id = 0;
  std::string customer;
  uint32_t tokens = 0;  ///< granted
  /// When a refused caller should come back; 0 with no tokens: the home does
  /// not know the customer.
  Duration retry_after{0};
  bool loan = false;
};

/// State of a member.
enum class MemberState : uint8_t {
  kAlive = 0,
  kSuspect = 1,
  kDead = 2,
  kLeft = 3,  ///< planned stop; accepts no new calls
};

/// A backend server as announced by its node.
struct ServerRecord {
  std::string server;
  std::string service;
  Endpoint address;
  uint32_t slots = 0;
  bool draining = false;
  /// Judged by the node of the same host from all calls of the server.
  ServerFitness fitness;
  /// Unix time of the start of the server's process; 0 if it does not report
  /// it. Distinguishes processes with the same name.
  uint64_t started_ms = 0;
};

/// A backend server that has said that it leaves or drains, as the node of its
/// host has acknowledged it. Other nodes and the platform's table keep it for
/// the next process of that node.
struct Departure {
  std::string server;
  /// Start time of the server's process as in ServerRecord; nullopt if its node
  /// does not know it.
  std::optional<uint64_t> started_ms;
  /// Number of the last announcement that it covers. A later one of the same
  /// process ends a drain, but no leave.
  uint64_t sequence = 0;
  bool left = false;  ///< the server leaves; otherwise it drains
  /// Time since the acknowledgement. Each holder counts it on.
  Duration age{0};
};

/// A node as known to the fleet. (incarnation, version) never decreases. Of two
/// records the higher pair wins; if the pairs are equal, the higher state wins.
struct MemberRecord {
  NodeRef node;
  uint64_t version = 0;
  MemberState state = MemberState::kAlive;
  std::string data_centre;
  std::string region;
  Endpoint peer_address;    ///< TCP
  Endpoint gossip_address;  ///< UDP
  std::vector<ServerRecord> servers;
  /// Recent departures of servers of its host.
  std::vector<Departure> departures = {};
};

/// Numbers of crashes from which a fingerprint is a suspect, or quarantined.
/// One with kInFlightOnly was in flight at a crash without being suspected of
/// it: it had been answered before, or too many others were in flight with it.
inline constexpr uint32_t kInFlightOnly = 0;
inline constexpr uint32_t kSuspectCrashes = 1;
inline constexpr uint32_t kQuarantineCrashes = 2;

/// A request fingerprint that crashes backend servers of a service.
struct QuarantineRecord {
  std::string service;
  uint64_t fingerprint = 0;
  uint32_t crashes = 0;
  /// Time until the record expires; 0 for a new record. Each holder counts it
  /// down, so that gossip cannot keep a record alive forever.
  Duration remaining{0};
};

/// What became of a run of a suspected request.
enum class SuspectEvent : uint8_t {
  kStarted = 0,
  kEnded = 1,     ///< without showing whether the request crashes servers
  kAnswered = 2,  ///< by a server that ran it and did not fail
};

/// Tells the nodes with a server of the service of a run of a suspect, so that
/// it runs at one server of the fleet at a time and answers at two nodes clear
/// it at all.
struct SuspectNews {
  std::string service;
  uint64_t fingerprint = 0;
  SuspectEvent event = SuspectEvent::kStarted;
  /// kStarted: time within which the run ends.
  Duration remaining{0};
};

/// Exchanges member records over TCP: at join, for repair, and between data
/// centres. With `bucket_hashes` the reply holds only the records of buckets
/// that differ; without them it holds all.
struct MemberSync {
  bool reply_wanted = false;
  /// Hash of the sender's records in each bucket (by node name), or empty.
  std::vector<uint32_t> bucket_hashes;
  std::vector<MemberRecord> members;
  std::vector<QuarantineRecord> quarantines;
  uint64_t settings_version = 0;
  /// Departures that an earlier process of the receiver has acknowledged.
  std::vector<Departure> departures;
};

using PeerMessage =
    std::variant<Hello, CallForward, CallAnswer, CallCancel, HomeForward,
                 LinkPing, LinkPong, SettingsRequest, SettingsSnapshot,
                 ClaimRequest, ClaimReply, QuotaRequest, QuotaReply,
                 MemberSync>;

/// Kind of a gossip datagram (SWIM).
enum class GossipKind : uint8_t {
  kPing = 0,
  kAck = 1,
  kPingRequest = 2,  ///< asks the receiver to ping `target`
};

/// One UDP datagram between members. Member updates are piggybacked on it.
struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  NodeRef from;
  Endpoint from_address;
  uint64_t sequence = 0;
  std::string target;       ///< kPingRequest: name of the node to probe
  Endpoint target_address;  ///< kPingRequest
  uint64_t settings_version = 0;
  /// Latest time at which the platform is known to have had nothing newer than
  /// `settings_version`; nullopt if the sender does not know.
  std::optional<PlatformTime> settings_confirmed_at;
  /// Highest PlatformReply::epoch known to the sender.
  uint64_t platform_epoch = 0;
  uint64_t membership_hash = 0;
  std::vector<MemberRecord> updates;
  std::vector<QuarantineRecord> quarantines;
  std::vector<SuspectNews> suspect_news;
  /// As in MemberSync.
  std::vector<Departure> departures;
};

// Comparison and printing of the messages, used to compare effects and to show
// what differs in a failed test. Prints one line of JSON-like text.
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
bool operator==(const QuotaRequest& a, const QuotaRequest& b);
bool operator==(const QuotaReply& a, const QuotaReply& b);
bool operator==(const ServiceCost& a, const ServiceCost& b);
bool operator==(const ServicePressure& a, const ServicePressure& b);
bool operator==(const FailedBelow& a, const FailedBelow& b);
bool operator==(const ServerRecord& a, const ServerRecord& b);
bool operator==(const Departure& a, const Departure& b);
bool operator==(const MemberRecord& a, const MemberRecord& b);
bool operator==(const QuarantineRecord& a, const QuarantineRecord& b);
bool operator==(const SuspectNews& a, const SuspectNews& b);
bool operator==(const MemberSync& a, const MemberSync& b);
bool operator==(const GossipMessage& a, const GossipMessage& b);

std::string_view ToString(Tier tier);
std::string_view ToString(MemberState state);
std::string_view ToString(FailureCause cause);
std::ostream& operator<<(std::ostream& out, const PeerMessage& message);
std::ostream& operator<<(std::ostream& out, const GossipMessage& message);
std::ostream& operator<<(std::ostream& out, const MemberRecord& member);

}  // namespace amaranth

#endif  // AMARANTHROUTE_MESSAGES_H_
