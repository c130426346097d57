// What nodes say to each other, compact protocol. A payload is one Envelope
// followed by the struct that its kind names.
//
// Thrift has no unsigned integers: u64 travels as the i64 with the same bits,
// narrower ones as a wider type and are range-checked on arrival, as are
// enumerations, which travel as i32 so that an unknown value is refused before
// it becomes an enum. The first version's fields are required. Later ones must
// be optional, or the protocol version must rise.

namespace cpp amaranth.wire

enum MessageKind {
  HELLO = 1,
  CALL_FORWARD = 2,
  CALL_ANSWER = 3,
  CALL_CANCEL = 4,
  HOME_FORWARD = 5,
  LINK_PING = 6,
  LINK_PONG = 7,
  SETTINGS_REQUEST = 8,
  SETTINGS_SNAPSHOT = 9,
  CLAIM_REQUEST = 10,
  CLAIM_REPLY = 11,
  MEMBER_SYNC = 12,
  GOSSIP = 13,
  QUOTA_REQUEST = 14,
  QUOTA_REPLY = 15
}

struct Envelope {
  1: required i32 version,
  2: required i32 kind  // MessageKind
}

struct NodeRef {
  1: required string name,
  2: required i64 incarnation
}

struct Endpoint {
  1: required string ip,
  2: required i32 port
}

struct Header {
  1: required string name,
  2: required string value
}

struct HttpRequest {
  1: required string method,
  2: required string target,
  3: required list<Header> headers,
  4: required binary body
}

struct HttpResponse {
  1: required i32 status,
  2: required list<Header> headers,
  3: required binary body
}

struct Failure {
  1: required i32 verdict,
  2: required i32 reason,
  3: required i64 retry_after_us,
  4: required bool is_final,
  5: required string detail
}

struct CallContext {
  1: required string request_id,
  2: required string mesh,
  3: required string service_name,
  4: required string request_class,
  5: required string tenant,
  6: required string caller_key,
  7: required i32 tier,
  8: required bool idempotent,
  9: required bool long_work,
  10: required i32 depth,
  11: required i64 remaining_us,
  12: required i32 retry_credits,
  13: required i64 fingerprint,
  14: required i32 suspected_crashes,
  15: required i64 level,
  16: optional i32 class_tier,
  17: optional i32 admit_share,
  18: optional i32 cost_bucket,
  19: optional i64 target_slack_us,
  20: optional i64 deadline_slack_us,
  21: optional i32 calls_done
}

struct ServiceCost {
  1: required string service_name,
  2: required i64 calls,
  3: required i64 slot_us
}

struct ServicePressure {
  1: required string service_name,
  2: required i64 cut_x256,
  3: optional i32 success_percent,
  4: optional i32 customer_share
}

struct FailedBelow {
  1: required string service_name,
  2: required i32 cause
}

struct LoadReport {
  1: required string server,
  2: required i64 in_flight,
  3: required i64 limit,
  4: required i64 queued,
  5: required i64 shed_threshold,
  6: required i64 downstream_threshold,
  7: optional i64 turn_us,
  8: optional i64 own_us,
  9: optional bool leaving,
  10: optional i64 started_ms,
  11: optional double rate_limit
}

struct Hello {
  1: required NodeRef node,
  2: required string fleet,
  3: required string data_centre
}

struct CallForward {
  1: required i64 attempt,
  2: required string server,
  3: required CallContext context,
  4: required HttpRequest request,
  5: optional i64 usual_us,
  6: optional double rate_limit
}

struct CallTimes {
  1: required i64 held_us,
  2: required i64 waited_us
}

struct CallAnswer {
  1: required i64 attempt,
  2: required i64 entry_incarnation,
  3: required HttpResponse response,
  4: required Failure failure,
  5: required i32 credits_returned,
  6: required LoadReport load,
  7: optional bool made_calls,
  8: optional CallTimes times,
  9: optional list<ServiceCost> costs,
  10: optional list<ServicePressure> pressures,
  11: optional FailedBelow failed_below
}

struct CallCancel {
  1: required i64 attempt,
  2: optional bool only_waiting
}

struct HomeForward {
  1: required i64 attempt,
  2: required i64 home_incarnation,
  3: required HttpRequest request,
  4: required i64 remaining_us
}

struct LinkPing {
  1: required i64 sequence
}

struct LinkPong {
  1: required i64 sequence
}

struct SettingsRequest {
  1: required i64 have_version
}

struct SettingsSnapshot {
  1: required i64 version,
  2: required i64 text_hash,
  3: required string text
}

struct KeyClaim {
  1: required i64 claim_id,
  2: required string key
}

struct ClaimRequest {
  1: required NodeRef holder,
  2: required list<KeyClaim> claims
}

struct ClaimOutcome {
  1: required i64 claim_id,
  2: required bool known,
  3: required NodeRef holder,
  4: required i64 holder_claim_id
}

struct ClaimReply {
  1: required list<ClaimOutcome> outcomes
}

struct QuotaRequest {
  1: required i64 id,
  2: required string customer,
  3: required i64 tokens,
  4: required bool loan
}

struct QuotaReply {
  1: required i64 id,
  2: required string customer,
  3: required i64 tokens,
  4: required i64 retry_after_us,
  5: required bool loan
}

struct ServerRecord {
  1: required string server,
  2: required string service_name,
  3: required Endpoint address,
  4: required i64 slots,
  5: required bool draining,
  6: optional bool failing,
  7: optional i64 slowdown,
  8: optional i64 started_ms
}

struct Departure {
  1: required string server,
  2: optional i64 started_ms,
  3: required i64 sequence,
  4: required bool left,
  5: required i64 age_us
}

struct MemberRecord {
  1: required NodeRef node,
  2: required i64 version,
  3: required i32 state,
  4: required string data_centre,
  5: required string region,
  6: required Endpoint peer_address,
  7: required Endpoint gossip_address,
  8: required list<ServerRecord> servers,
  9: optional list<Departure> departures
}

struct QuarantineRecord {
  1: required string service_name,
  2: required i64 fingerprint,
  3: required i64 crashes,
  4: required i64 remaining_us
}

struct SuspectNews {
  1: required string service_name,
  2: required i64 fingerprint,
  3: required i32 event,
  4: required i64 remaining_us
}

struct MemberSync {
  1: required bool reply_wanted,
  2: required list<MemberRecord> members,
  3: required list<QuarantineRecord> quarantines,
  4: required i64 settings_version,
  5: required list<i32> bucket_hashes,  // u32 with the same bits
  6: optional list<Departure> departures
}

struct Gossip {
  1: required i32 kind,
  2: required NodeRef source,
  3: required Endpoint source_address,
  4: required i64 sequence,
  5: required string target,
  6: required Endpoint target_address,
  7: required i64 settings_version,
  8: required i64 membership_hash,
  9: required list<MemberRecord> updates,
  10: required list<QuarantineRecord> quarantines,
  // 11 was the age of the confirmation, which is not comparable between nodes.
  12: optional i64 platform_epoch,
  13: optional i64 settings_confirmed_at_us,  // on the platform's clock
  14: optional list<SuspectNews> suspect_news,
  15: optional list<Departure> departures
}
