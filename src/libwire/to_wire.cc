#include <algorithm>
#include <tuple>
#include <utility>

#include "amaranthroute/wire.h"
#include "libutil/fields.h"
#include "libwire/convert.h"

namespace amaranth::pvt {
namespace {

// A new member that is not converted would arrive with its default value, and a
// round-trip test of the other members would not show it. So the number of
// members is checked: whoever raises a number below must also add the member to
// amaranth.thrift, ToWire, FromWire and the generators.
template <typename Message, size_t count>
constexpr bool kHasFields =
    std::tuple_size_v<decltype(Fields(std::declval<const Message&>()))> ==
    count;

static_assert(kHasFields<CallContext, 21>);
static_assert(kHasFields<LoadReport, 11>);
static_assert(kHasFields<Hello, 3>);
static_assert(kHasFields<CallForward, 6>);
static_assert(kHasFields<CallTimes, 2>);
static_assert(kHasFields<CallAnswer, 11>);
static_assert(kHasFields<CallCancel, 2>);
static_assert(kHasFields<HomeForward, 4>);
static_assert(kHasFields<LinkPing, 1>);
static_assert(kHasFields<LinkPong, 1>);
static_assert(kHasFields<SettingsRequest, 1>);
static_assert(kHasFields<SettingsSnapshot, 3>);
static_assert(kHasFields<KeyClaim, 2>);
static_assert(kHasFields<ClaimRequest, 2>);
static_assert(kHasFields<ClaimOutcome, 4>);
static_assert(kHasFields<ClaimReply, 1>);
static_assert(kHasFields<QuotaRequest, 4>);
static_assert(kHasFields<QuotaReply, 5>);
static_assert(kHasFields<ServiceCost, 3>);
static_assert(kHasFields<ServicePressure, 4>);
static_assert(kHasFields<FailedBelow, 2>);
static_assert(kHasFields<ServerRecord, 7>);
static_assert(kHasFields<Departure, 5>);
static_assert(kHasFields<MemberRecord, 9>);
static_assert(kHasFields<QuarantineRecord, 4>);
static_assert(kHasFields<SuspectNews, 4>);
static_assert(kHasFields<MemberSync, 6>);
static_assert(kHasFields<GossipMessage, 14>);

int64_t Signed(uint64_t value) { return static_cast<int64_t>(value); }

template <typename Enum>
int32_t ToNumber(Enum value) {
  return static_cast<int32_t>(value);
}

int64_t ClampedMicros(Duration duration) {
  return std::clamp(duration, Duration(0), kMaxWireDuration).count();
}

template <typename In, typename Out>
void ToWireList(const std::vector<In>& in, std::vector<Out>& out);

void ToWire(const NodeRef& in, wire::NodeRef& out) {
  out.name = in.name;
  out.incarnation = Signed(in.incarnation);
}

void ToWire(const Endpoint& in, wire::Endpoint& out) {
  out.ip = in.ip;
  out.port = in.port;
}

void ToWire(const Header& in, wire::Header& out) {
  out.name = in.name;
  out.value = in.value;
}

void ToWire(const HttpRequest& in, wire::HttpRequest& out) {
  out.method = in.method;
  out.target = in.target;
  ToWireList(in.headers, out.headers);
  out.body = in.body.view();
}

void ToWire(const HttpResponse& in, wire::HttpResponse& out) {
  out.status = in.status;
  ToWireList(in.headers, out.headers);
  out.body = in.body.view();
}

void ToWire(const Failure& in, wire::Failure& out) {
  out.verdict = ToNumber(in.verdict);
  out.reason = ToNumber(in.reason);
  out.retry_after_us = ClampedMicros(in.retry_after);
  out.is_final = in.final;
  out.detail = in.detail;
}

void ToWire(const CallContext& in, wire::CallContext& out) {
  out.request_id = in.request_id;
  out.mesh = in.mesh;
  out.service_name = in.service;
  out.request_class = in.request_class;
  out.tenant = in.tenant;
  out.caller_key = in.caller_key;
  out.tier = ToNumber(in.tier);
  out.idempotent = in.idempotent;
  out.long_work = in.long_work;
  out.depth = in.depth;
  out.remaining_us = ClampedMicros(in.remaining);
  out.retry_credits = in.retry_credits;
  out.fingerprint = Signed(in.fingerprint);
  out.suspected_crashes = in.suspected_crashes;
  out.level = in.level;
  if (in.class_tier != in.tier) out.__set_class_tier(ToNumber(in.class_tier));
  if (in.admit_share != kFullAdmitShare) out.__set_admit_share(in.admit_share);
  if (in.cost_bucket > 0) out.__set_cost_bucket(in.cost_bucket);
  if (in.target_slack) out.__set_target_slack_us(in.target_slack->count());
  if (in.deadline_slack) {
    out.__set_deadline_slack_us(in.deadline_slack->count());
  }
  if (in.calls_done > 0) out.__set_calls_done(in.calls_done);
}

void ToWire(const ServiceCost& in, wire::ServiceCost& out) {
  out.service_name = in.service;
  out.calls = in.calls;
  out.slot_us = in.slot_us;
}

void ToWire(const ServicePressure& in, wire::ServicePressure& out) {
  out.service_name = in.service;
  out.cut_x256 = in.cut_x256;
  if (in.success_percent != 100) out.__set_success_percent(in.success_percent);
  if (in.customer_share) out.__set_customer_share(*in.customer_share);
}

void ToWire(const LoadReport& in, wire::LoadReport& out) {
  out.server = in.server;
  out.in_flight = in.in_flight;
  out.limit = in.limit;
  out.queued = in.queued;
  out.shed_threshold = in.shed_threshold;
  out.downstream_threshold = in.downstream_threshold;
  if (in.turn_us > 0) out.__set_turn_us(in.turn_us);
  if (in.own_us > 0) out.__set_own_us(in.own_us);
  if (in.leaving) out.__set_leaving(true);
  if (in.started_ms > 0) out.__set_started_ms(Signed(in.started_ms));
  if (in.rate_limit) out.__set_rate_limit(*in.rate_limit);
}

void ToWire(const KeyClaim& in, wire::KeyClaim& out) {
  out.claim_id = Signed(in.claim_id);
  out.key = in.key;
}

void ToWire(const ClaimOutcome& in, wire::ClaimOutcome& out) {
  out.claim_id = Signed(in.claim_id);
  out.known = in.known;
  ToWire(in.holder, out.holder);
  out.holder_claim_id = Signed(in.holder_claim_id);
}

void ToWire(const ServerRecord& in, wire::ServerRecord& out) {
  out.server = in.server;
  out.service_name = in.service;
  ToWire(in.address, out.address);
  out.slots = in.slots;
  out.draining = in.draining;
  if (in.fitness.failing) out.__set_failing(true);
  if (in.fitness.slowdown != 1) out.__set_slowdown(in.fitness.slowdown);
  if (in.started_ms > 0) out.__set_started_ms(Signed(in.started_ms));
}

void ToWire(const Departure& in, wire::Departure& out) {
  out.server = in.server;
  if (in.started_ms) out.__set_started_ms(Signed(*in.started_ms));
  out.sequence = Signed(in.sequence);
  out.left = in.left;
  out.age_us = ClampedMicros(in.age);
}

// Sets the optional field `departures` unless it is empty.
template <typename Out>
void SetDepartures(const std::vector<Departure>& in, Out& out) {
  if (in.empty()) return;
  ToWireList(in, out.departures);
  out.__isset.departures = true;
}

void ToWire(const MemberRecord& in, wire::MemberRecord& out) {
  ToWire(in.node, out.node);
  out.version = Signed(in.version);
  out.state = ToNumber(in.state);
  out.data_centre = in.data_centre;
  out.region = in.region;
  ToWire(in.peer_address, out.peer_address);
  ToWire(in.gossip_address, out.gossip_address);
  ToWireList(in.servers, out.servers);
  SetDepartures(in.departures, out);
}

void ToWire(const QuarantineRecord& in, wire::QuarantineRecord& out) {
  out.service_name = in.service;
  out.fingerprint = Signed(in.fingerprint);
  out.crashes = in.crashes;
  out.remaining_us = in.remaining.count();
}

void ToWire(const SuspectNews& in, wire::SuspectNews& out) {
  out.service_name = in.service;
  out.fingerprint = Signed(in.fingerprint);
  out.event = ToNumber(in.event);
  out.remaining_us = ClampedMicros(in.remaining);
}

template <typename In, typename Out>
void ToWireList(const std::vector<In>& in, std::vector<Out>& out) {
  out.resize(in.size());
  for (size_t i = 0; i < in.size(); ++i) {
    ToWire(in[i], out[i]);
  }
}

}  // namespace

void ToWire(const Hello& in, wire::Hello& out) {
  ToWire(in.node, out.node);
  out.fleet = in.fleet;
  out.data_centre = in.data_centre;
}

void ToWire(const CallForward& in, wire::CallForward& out) {
  out.attempt = Signed(in.attempt);
  out.server = in.server;
  ToWire(in.context, out.context);
  ToWire(in.request, out.request);
  if (in.usual_us > 0) out.__set_usual_us(in.usual_us);
  if (in.rate_limit) out.__set_rate_limit(*in.rate_limit);
}

void ToWire(const CallAnswer& in, wire::CallAnswer& out) {
  out.attempt = Signed(in.attempt);
  out.entry_incarnation = Signed(in.entry_incarnation);
  ToWire(in.response, out.response);
  ToWire(in.failure, out.failure);
  out.credits_returned = in.credits_returned;
  ToWire(in.load, out.load);
  if (in.made_calls) out.__set_made_calls(true);
  if (!(in.times == CallTimes())) {
    wire::CallTimes times;
    times.held_us = in.times.held_us;
    times.waited_us = in.times.waited_us;
    out.__set_times(times);
  }
  if (!in.costs.empty()) {
    out.__isset.costs = true;
    ToWireList(in.costs, out.costs);
  }
  if (!in.pressures.empty()) {
    out.__isset.pressures = true;
    ToWireList(in.pressures, out.pressures);
  }
  if (in.failed_below.cause != FailureCause::kNone) {
    wire::FailedBelow failed_below;
    failed_below.service_name = in.failed_below.service;
    failed_below.cause = ToNumber(in.failed_below.cause);
    out.__set_failed_below(failed_below);
  }
}

void ToWire(const CallCancel& in, wire::CallCancel& out) {
  out.attempt = Signed(in.attempt);
  if (in.only_waiting) out.__set_only_waiting(true);
}

void ToWire(const HomeForward& in, wire::HomeForward& out) {
  out.attempt = Signed(in.attempt);
  out.home_incarnation = Signed(in.home_incarnation);
  ToWire(in.request, out.request);
  out.remaining_us = ClampedMicros(in.remaining);
}

void ToWire(const LinkPing& in, wire::LinkPing& out) {
  out.sequence = Signed(in.sequence);
}

void ToWire(const LinkPong& in, wire::LinkPong& out) {
  out.sequence = Signed(in.sequence);
}

void ToWire(const SettingsRequest& in, wire::SettingsRequest& out) {
  out.have_version = Signed(in.have_version);
}

void ToWire(const SettingsSnapshot& in, wire::SettingsSnapshot& out) {
  out.version = Signed(in.version);
  out.text_hash = Signed(in.text_hash);
  out.text = in.text;
}

void ToWire(const ClaimRequest& in, wire::ClaimRequest& out) {
  ToWire(in.holder, out.holder);
  ToWireList(in.claims, out.claims);
}

void ToWire(const ClaimReply& in, wire::ClaimReply& out) {
  ToWireList(in.outcomes, out.outcomes);
}

void ToWire(const QuotaRequest& in, wire::QuotaRequest& out) {
  out.id = Signed(in.id);
  out.customer = in.customer;
  out.tokens = in.tokens;
  out.loan = in.loan;
}

void ToWire(const QuotaReply& in, wire::QuotaReply& out) {
  out.id = Signed(in.id);
  out.customer = in.customer;
  out.tokens = in.tokens;
  out.retry_after_us = ClampedMicros(in.retry_after);
  out.loan = in.loan;
}

void ToWire(const MemberSync& in, wire::MemberSync& out) {
  out.reply_wanted = in.reply_wanted;
  ToWireList(in.members, out.members);
  ToWireList(in.quarantines, out.quarantines);
  out.settings_version = Signed(in.settings_version);
  out.bucket_hashes.assign(in.bucket_hashes.begin(), in.bucket_hashes.end());
  SetDepartures(in.departures, out);
}

void ToWire(const GossipMessage& in, wire::Gossip& out) {
  out.kind = ToNumber(in.kind);
  ToWire(in.from, out.source);
  ToWire(in.from_address, out.source_address);
  out.sequence = Signed(in.sequence);
  out.target = in.target;
  ToWire(in.target_address, out.target_address);
  out.settings_version = Signed(in.settings_version);
  out.membership_hash = Signed(in.membership_hash);
  if (in.settings_confirmed_at) {
    out.__set_settings_confirmed_at_us(
        in.settings_confirmed_at->time_since_epoch().count());
  }
  if (in.platform_epoch > 0) {
    out.__set_platform_epoch(Signed(in.platform_epoch));
  }
  ToWireList(in.updates, out.updates);
  ToWireList(in.quarantines, out.quarantines);
  if (!in.suspect_news.empty()) {
    ToWireList(in.suspect_news, out.suspect_news);
    out.__isset.suspect_news = true;
  }
  SetDepartures(in.departures, out);
}

}  // namespace amaranth::pvt
