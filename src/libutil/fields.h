#ifndef AMARANTHROUTE_LIBUTIL_FIELDS_H_
#define AMARANTHROUTE_LIBUTIL_FIELDS_H_

// Fields() returns the members of a message, event or effect as a tuple.
// Comparison and printing are implemented once, on these tuples, so that a
// member added here is both compared and printed. TypeName() returns the name
// that is printed.

#include <tuple>

#include "amaranthroute/effect.h"
#include "amaranthroute/event.h"
#include "amaranthroute/messages.h"
#include "amaranthroute/platform.h"

namespace amaranth::pvt {

inline auto Fields(const CallContext& v) {
  return std::tie(
      v.request_id, v.mesh, v.service, v.request_class, v.tenant, v.caller_key,
      v.tier, v.idempotent, v.long_work, v.depth, v.remaining, v.retry_credits,
      v.fingerprint, v.suspected_crashes, v.level, v.class_tier, v.admit_share,
      v.cost_bucket, v.target_slack, v.deadline_slack, v.calls_done);
}

inline auto Fields(const LoadReport& v) {
  return std::tie(v.server, v.in_flight, v.limit, v.queued, v.shed_threshold,
                  v.downstream_threshold, v.turn_us, v.own_us, v.leaving,
                  v.started_ms, v.rate_limit);
}

inline auto Fields(const Hello& v) {
  return std::tie(v.node, v.fleet, v.data_centre);
}

inline auto Fields(const CallForward& v) {
  return std::tie(v.attempt, v.server, v.context, v.request, v.usual_us,
                  v.rate_limit);
}

inline auto Fields(const CallTimes& v) {
  return std::tie(v.held_us, v.waited_us);
}

inline auto Fields(const CallAnswer& v) {
  return std::tie(v.attempt, v.entry_incarnation, v.response, v.failure,
                  v.credits_returned, v.load, v.made_calls, v.times, v.costs,
                  v.pressures, v.failed_below);
}

inline auto Fields(const ServiceCost& v) {
  return std::tie(v.service, v.calls, v.slot_us);
}

inline auto Fields(const ServicePressure& v) {
  return std::tie(v.service, v.cut_x256, v.success_percent, v.customer_share);
}

inline auto Fields(const FailedBelow& v) {
  return std::tie(v.service, v.cause);
}

inline auto Fields(const CallCancel& v) {
  return std::tie(v.attempt, v.only_waiting);
}

inline auto Fields(const HomeForward& v) {
  return std::tie(v.attempt, v.home_incarnation, v.request, v.remaining);
}

inline auto Fields(const LinkPing& v) { return std::tie(v.sequence); }

inline auto Fields(const LinkPong& v) { return std::tie(v.sequence); }

inline auto Fields(const SettingsRequest& v) {
  return std::tie(v.have_version);
}

inline auto Fields(const SettingsSnapshot& v) {
  return std::tie(v.version, v.text_hash, v.text);
}

inline auto Fields(const KeyClaim& v) { return std::tie(v.claim_id, v.key); }

inline auto Fields(const ClaimRequest& v) {
  return std::tie(v.holder, v.claims);
}

inline auto Fields(const ClaimOutcome& v) {
  return std::tie(v.claim_id, v.known, v.holder, v.holder_claim_id);
}

inline auto Fields(const ClaimReply& v) { return std::tie(v.outcomes); }

inline auto Fields(const QuotaRequest& v) {
  return std::tie(v.id, v.customer, v.tokens, v.loan);
}

inline auto Fields(const QuotaReply& v) {
  return std::tie(v.id, v.customer, v.tokens, v.retry_after, v.loan);
}

inline auto Fields(const ServerFitness& v) {
  return std::tie(v.failing, v.slowdown);
}

inline auto Fields(const ServerRecord& v) {
  return std::tie(v.server, v.service, v.address, v.slots, v.draining,
                  v.fitness, v.started_ms);
}

inline auto Fields(const Departure& v) {
  return std::tie(v.server, v.started_ms, v.sequence, v.left, v.age);
}

inline auto Fields(const MemberRecord& v) {
  return std::tie(v.node, v.version, v.state, v.data_centre, v.region,
                  v.peer_address, v.gossip_address, v.servers, v.departures);
}

inline auto Fields(const QuarantineRecord& v) {
  return std::tie(v.service, v.fingerprint, v.crashes, v.remaining);
}

inline auto Fields(const SuspectNews& v) {
  return std::tie(v.service, v.fingerprint, v.event, v.remaining);
}

inline auto Fields(const MemberSync& v) {
  return std::tie(v.reply_wanted, v.bucket_hashes, v.members, v.quarantines,
                  v.settings_version, v.departures);
}

inline auto Fields(const GossipMessage& v) {
  return std::tie(v.kind, v.from, v.from_address, v.sequence, v.target,
                  v.target_address, v.settings_version, v.settings_confirmed_at,
                  v.platform_epoch, v.membership_hash, v.updates, v.quarantines,
                  v.suspect_news, v.departures);
}

inline auto Fields(const TableClaimRows& v) { return std::tie(v.rows); }

inline std::tuple<> Fields(const TableReadHead&) { return {}; }

inline auto Fields(const TableMoveHead& v) {
  return std::tie(v.expected_version, v.version, v.object, v.change_id);
}

inline auto Fields(const TableReadChange& v) { return std::tie(v.change_id); }

inline auto Fields(const TableReadPeers& v) { return std::tie(v.name, v.from); }

inline auto Fields(const TableWatchSettings& v) {
  return std::tie(v.after, v.wait);
}

inline auto Fields(const TableWritePeer& v) {
  return std::tie(v.name, v.address);
}

inline auto Fields(const TableReadRetained& v) { return std::tie(v.name); }

inline auto Fields(const TableWriteRetained& v) {
  return std::tie(v.name, v.text);
}

inline auto Fields(const ObjectPut& v) { return std::tie(v.name, v.bytes); }

inline auto Fields(const ObjectGet& v) { return std::tie(v.name); }

inline auto Fields(const PlatformReply& v) {
  return std::tie(v.status, v.holders, v.version, v.bytes, v.peers, v.more_from,
                  v.retained, v.epoch, v.clock, v.is_document_invalid);
}

inline auto Fields(const TableClaimRows::Row& v) {
  return std::tie(v.key, v.holder);
}

inline auto Fields(const CallerRequest& v) {
  return std::tie(v.call, v.request, v.from);
}

inline auto Fields(const CallerGone& v) { return std::tie(v.call); }

inline auto Fields(const OperatorRequest& v) {
  return std::tie(v.call, v.request);
}

inline auto Fields(const PeerReceived& v) {
  return std::tie(v.peer, v.message);
}

inline auto Fields(const PeerLost& v) { return std::tie(v.peer); }

inline auto Fields(const PeerSendFailed& v) {
  return std::tie(v.peer, v.message);
}

inline auto Fields(const GossipReceived& v) {
  return std::tie(v.from, v.message);
}

inline auto Fields(const ServerNotice& v) {
  return std::tie(v.rate_limit, v.leaving);
}

inline auto Fields(const ServerReplied& v) {
  return std::tie(v.dispatch, v.response);
}

inline auto Fields(const ServerFailed& v) {
  return std::tie(v.dispatch, v.verdict, v.reason, v.notice);
}

inline auto Fields(const PlatformReplied& v) { return std::tie(v.op, v.reply); }

inline std::tuple<> Fields(const Tick&) { return {}; }

inline std::tuple<> Fields(const StopRequested&) { return {}; }

inline auto Fields(const AnswerCaller& v) {
  return std::tie(v.call, v.response);
}

inline auto Fields(const SendPeer& v) {
  return std::tie(v.peer, v.address, v.message);
}

inline auto Fields(const ClosePeer& v) { return std::tie(v.peer); }

inline auto Fields(const SendGossip& v) { return std::tie(v.to, v.message); }

inline auto Fields(const SendServer& v) {
  return std::tie(v.dispatch, v.server, v.address, v.request, v.timeout);
}

inline auto Fields(const CancelServer& v) { return std::tie(v.dispatch); }

inline auto Fields(const DropIdleConnections& v) { return std::tie(v.address); }

inline auto Fields(const SendPlatform& v) { return std::tie(v.op, v.request); }

inline auto Fields(const WakeAt& v) { return std::tie(v.at); }

inline auto Fields(const WriteLog& v) {
  return std::tie(v.level, v.part, v.text);
}

inline auto Fields(const ExitProcess& v) { return std::tie(v.restart_above); }

inline const char* TypeName(const CallContext&) { return "CallContext"; }
inline const char* TypeName(const LoadReport&) { return "LoadReport"; }
inline const char* TypeName(const Hello&) { return "Hello"; }
inline const char* TypeName(const CallForward&) { return "CallForward"; }
inline const char* TypeName(const CallTimes&) { return "CallTimes"; }
inline const char* TypeName(const CallAnswer&) { return "CallAnswer"; }
inline const char* TypeName(const CallCancel&) { return "CallCancel"; }
inline const char* TypeName(const HomeForward&) { return "HomeForward"; }
inline const char* TypeName(const LinkPing&) { return "LinkPing"; }
inline const char* TypeName(const LinkPong&) { return "LinkPong"; }
inline const char* TypeName(const SettingsRequest&) {
  return "SettingsRequest";
}
inline const char* TypeName(const SettingsSnapshot&) {
  return "SettingsSnapshot";
}
inline const char* TypeName(const KeyClaim&) { return "KeyClaim"; }
inline const char* TypeName(const ClaimRequest&) { return "ClaimRequest"; }
inline const char* TypeName(const ClaimOutcome&) { return "ClaimOutcome"; }
inline const char* TypeName(const ClaimReply&) { return "ClaimReply"; }
inline const char* TypeName(const QuotaRequest&) { return "QuotaRequest"; }
inline const char* TypeName(const QuotaReply&) { return "QuotaReply"; }
inline const char* TypeName(const ServiceCost&) { return "ServiceCost"; }
inline const char* TypeName(const ServicePressure&) {
  return "ServicePressure";
}
inline const char* TypeName(const FailedBelow&) { return "FailedBelow"; }
inline const char* TypeName(const ServerFitness&) { return "ServerFitness"; }
inline const char* TypeName(const ServerRecord&) { return "ServerRecord"; }
inline const char* TypeName(const Departure&) { return "Departure"; }
inline const char* TypeName(const MemberRecord&) { return "MemberRecord"; }
inline const char* TypeName(const QuarantineRecord&) {
  return "QuarantineRecord";
}
inline const char* TypeName(const SuspectNews&) { return "SuspectNews"; }
inline const char* TypeName(const MemberSync&) { return "MemberSync"; }
inline const char* TypeName(const GossipMessage&) { return "GossipMessage"; }
inline const char* TypeName(const TableClaimRows&) { return "TableClaimRows"; }
inline const char* TypeName(const TableReadHead&) { return "TableReadHead"; }
inline const char* TypeName(const TableMoveHead&) { return "TableMoveHead"; }
inline const char* TypeName(const TableReadChange&) {
  return "TableReadChange";
}
inline const char* TypeName(const TableReadPeers&) { return "TableReadPeers"; }
inline const char* TypeName(const TableWatchSettings&) {
  return "TableWatchSettings";
}
inline const char* TypeName(const TableWritePeer&) { return "TableWritePeer"; }
inline const char* TypeName(const TableReadRetained&) {
  return "TableReadRetained";
}
inline const char* TypeName(const TableWriteRetained&) {
  return "TableWriteRetained";
}
inline const char* TypeName(const ObjectPut&) { return "ObjectPut"; }
inline const char* TypeName(const ObjectGet&) { return "ObjectGet"; }
inline const char* TypeName(const PlatformReply&) { return "PlatformReply"; }
inline const char* TypeName(const TableClaimRows::Row&) {
  return "TableClaimRows::Row";
}
inline const char* TypeName(const CallerRequest&) { return "CallerRequest"; }
inline const char* TypeName(const CallerGone&) { return "CallerGone"; }
inline const char* TypeName(const OperatorRequest&) {
  return "OperatorRequest";
}
inline const char* TypeName(const PeerReceived&) { return "PeerReceived"; }
inline const char* TypeName(const PeerLost&) { return "PeerLost"; }
inline const char* TypeName(const PeerSendFailed&) { return "PeerSendFailed"; }
inline const char* TypeName(const GossipReceived&) { return "GossipReceived"; }
inline const char* TypeName(const ServerNotice&) { return "ServerNotice"; }
inline const char* TypeName(const ServerReplied&) { return "ServerReplied"; }
inline const char* TypeName(const ServerFailed&) { return "ServerFailed"; }
inline const char* TypeName(const PlatformReplied&) {
  return "PlatformReplied";
}
inline const char* TypeName(const Tick&) { return "Tick"; }
inline const char* TypeName(const StopRequested&) { return "StopRequested"; }
inline const char* TypeName(const AnswerCaller&) { return "AnswerCaller"; }
inline const char* TypeName(const SendPeer&) { return "SendPeer"; }
inline const char* TypeName(const ClosePeer&) { return "ClosePeer"; }
inline const char* TypeName(const SendGossip&) { return "SendGossip"; }
inline const char* TypeName(const SendServer&) { return "SendServer"; }
inline const char* TypeName(const CancelServer&) { return "CancelServer"; }
inline const char* TypeName(const DropIdleConnections&) {
  return "DropIdleConnections";
}
inline const char* TypeName(const SendPlatform&) { return "SendPlatform"; }
inline const char* TypeName(const WakeAt&) { return "WakeAt"; }
inline const char* TypeName(const WriteLog&) { return "WriteLog"; }
inline const char* TypeName(const ExitProcess&) { return "ExitProcess"; }

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBUTIL_FIELDS_H_
