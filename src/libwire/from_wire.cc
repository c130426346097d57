#include <utility>

#include "amaranthroute/wire.h"
#include "libwire/convert.h"

namespace amaranth::pvt {

Duration RangeCheck::ToDuration(int64_t micros, std::string_view field) {
  const bool fits = micros >= 0 && micros <= kMaxWireDuration.count();
  return fits ? Duration(micros) : Reject<Duration>(field);
}

Duration RangeCheck::ToSlack(int64_t micros, std::string_view field) {
  const int64_t limit = kMaxWireDuration.count();
  const bool fits = micros >= -limit && micros <= limit;
  return fits ? Duration(micros) : Reject<Duration>(field);
}

namespace {

uint64_t Unsigned(int64_t value) { return static_cast<uint64_t>(value); }

template <typename In, typename Out>
void FromWireList(std::vector<In>& in, std::vector<Out>& out,
                  RangeCheck& check);

void FromWire(wire::NodeRef& in, NodeRef& out, RangeCheck&) {
  out.name = std::move(in.name);
  out.incarnation = Unsigned(in.incarnation);
}

void FromWire(wire::Endpoint& in, Endpoint& out, RangeCheck& check) {
  out.ip = std::move(in.ip);
  out.port = check.Narrow<uint16_t>(in.port, "port");
}

void FromWire(wire::Header& in, Header& out, RangeCheck&) {
  out.name = std::move(in.name);
  out.value = std::move(in.value);
}

void FromWire(wire::HttpRequest& in, HttpRequest& out, RangeCheck& check) {
  out.method = std::move(in.method);
  out.target = std::move(in.target);
  FromWireList(in.headers, out.headers, check);
  out.body = Body(std::move(in.body));
}

void FromWire(wire::HttpResponse& in, HttpResponse& out, RangeCheck& check) {
  out.status = check.Narrow<uint16_t>(in.status, "status");
  FromWireList(in.headers, out.headers, check);
  out.body = Body(std::move(in.body));
}

void FromWire(wire::Failure& in, Failure& out, RangeCheck& check) {
  out.verdict = check.ToEnum(in.verdict, Verdict::kRan, "verdict");
  out.reason = check.ToEnum(in.reason, Reason::kOverQuota, "reason");
  out.retry_after = check.ToDuration(in.retry_after_us, "retry_after_us");
  out.final = in.is_final;
  out.detail = std::move(in.detail);
}

void FromWire(wire::CallContext& in, CallContext& out, RangeCheck& check) {
  out.request_id = std::move(in.request_id);
  out.mesh = std::move(in.mesh);
  out.service = std::move(in.service_name);
  out.request_class = std::move(in.request_class);
  out.tenant = std::move(in.tenant);
  out.caller_key = std::move(in.caller_key);
  out.tier = check.ToEnum(in.tier, Tier::kCritical, "tier");
  out.idempotent = in.idempotent;
  out.long_work = in.long_work;
  out.depth = check.Narrow<uint8_t>(in.depth, "depth");
  out.remaining = check.ToDuration(in.remaining_us, "remaining_us");
  out.retry_credits = check.Narrow<uint16_t>(in.retry_credits, "retry_credits");
  out.fingerprint = Unsigned(in.fingerprint);
  out.suspected_crashes =
      check.Narrow<uint8_t>(in.suspected_crashes, "suspected_crashes");
  out.level = check.Narrow<uint32_t>(in.level, "level");
  out.class_tier = out.tier;
  if (in.__isset.class_tier) {
    out.class_tier = check.ToEnum(in.class_tier, Tier::kCritical, "class_tier");
  }
  if (in.__isset.admit_share) {
    out.admit_share = check.Narrow<uint16_t>(in.admit_share, "admit_share");
  }
  if (in.__isset.cost_bucket) {
    out.cost_bucket = check.Narrow<uint8_t>(in.cost_bucket, "cost_bucket");
  }
  if (in.__isset.target_slack_us) {
    out.target_slack = check.ToSlack(in.target_slack_us, "target_slack_us");
  }
  if (in.__isset.deadline_slack_us) {
    out.deadline_slack =
        check.ToSlack(in.deadline_slack_us, "deadline_slack_us");
  }
  if (in.__isset.calls_done) {
    out.calls_done = check.Narrow<uint8_t>(in.calls_done, "calls_done");
  }
}

void FromWire(wire::ServiceCost& in, ServiceCost& out, RangeCheck& check) {
  out.service = std::move(in.service_name);
  out.calls = check.Narrow<uint32_t>(in.calls, "calls");
  out.slot_us = check.Narrow<uint32_t>(in.slot_us, "slot_us");
}

void FromWire(wire::ServicePressure& in, ServicePressure& out,
              RangeCheck& check) {
  out.service = std::move(in.service_name);
  out.cut_x256 = check.Narrow<uint32_t>(in.cut_x256, "cut_x256");
  if (in.__isset.success_percent) {
    out.success_percent =
        check.Narrow<uint8_t>(in.success_percent, "success_percent");
  }
  if (in.__isset.customer_share) {
    out.customer_share =
        check.Narrow<uint16_t>(in.customer_share, "customer_share");
  }
}

void FromWire(wire::LoadReport& in, LoadReport& out, RangeCheck& check) {
  out.server = std::move(in.server);
  out.in_flight = check.Narrow<uint32_t>(in.in_flight, "in_flight");
  out.limit = check.Narrow<uint32_t>(in.limit, "limit");
  out.queued = check.Narrow<uint32_t>(in.queued, "queued");
  out.shed_threshold =
      check.Narrow<uint32_t>(in.shed_threshold, "shed_threshold");
  out.downstream_threshold =
      check.Narrow<uint32_t>(in.downstream_threshold, "downstream_threshold");
  if (in.__isset.turn_us) {
    out.turn_us = check.Narrow<uint32_t>(in.turn_us, "turn_us");
  }
  if (in.__isset.own_us) {
    out.own_us = check.Narrow<uint32_t>(in.own_us, "own_us");
  }
  if (in.__isset.leaving) out.leaving = in.leaving;
  if (in.__isset.started_ms) out.started_ms = Unsigned(in.started_ms);
  if (in.__isset.rate_limit)
    out.rate_limit = check.ToRate(in.rate_limit, "rate_limit");
}

void FromWire(wire::KeyClaim& in, KeyClaim& out, RangeCheck&) {
  out.claim_id = Unsigned(in.claim_id);
  out.key = std::move(in.key);
}

void FromWire(wire::ClaimOutcome& in, ClaimOutcome& out, RangeCheck& check) {
  out.claim_id = Unsigned(in.claim_id);
  out.known = in.known;
  FromWire(in.holder, out.holder, check);
  out.holder_claim_id = Unsigned(in.holder_claim_id);
}

void FromWire(wire::ServerRecord& in, ServerRecord& out, RangeCheck& check) {
  out.server = std::move(in.server);
  out.service = std::move(in.service_name);
  FromWire(in.address, out.address, check);
  out.slots = check.Narrow<uint32_t>(in.slots, "slots");
  out.draining = in.draining;
  if (in.__isset.failing) out.fitness.failing = in.failing;
  if (in.__isset.slowdown) {
    out.fitness.slowdown = check.Narrow<uint32_t>(in.slowdown, "slowdown");
  }
  if (in.__isset.started_ms) out.started_ms = Unsigned(in.started_ms);
}

void FromWire(wire::Departure& in, Departure& out, RangeCheck& check) {
  out.server = std::move(in.server);
  if (in.__isset.started_ms) out.started_ms = Unsigned(in.started_ms);
  out.sequence = Unsigned(in.sequence);
  out.left = in.left;
  out.age = check.ToDuration(in.age_us, "age_us");
}

void FromWire(wire::MemberRecord& in, MemberRecord& out, RangeCheck& check) {
  FromWire(in.node, out.node, check);
  out.version = Unsigned(in.version);
  out.state = check.ToEnum(in.state, MemberState::kLeft, "state");
  out.data_centre = std::move(in.data_centre);
  out.region = std::move(in.region);
  FromWire(in.peer_address, out.peer_address, check);
  FromWire(in.gossip_address, out.gossip_address, check);
  FromWireList(in.servers, out.servers, check);
  if (in.__isset.departures) {
    FromWireList(in.departures, out.departures, check);
  }
}

void FromWire(wire::QuarantineRecord& in, QuarantineRecord& out,
              RangeCheck& check) {
  out.service = std::move(in.service_name);
  out.fingerprint = Unsigned(in.fingerprint);
  out.crashes = check.Narrow<uint32_t>(in.crashes, "crashes");
  out.remaining = Duration(in.remaining_us);
}

void FromWire(wire::SuspectNews& in, SuspectNews& out, RangeCheck& check) {
  out.service = std::move(in.service_name);
  out.fingerprint = Unsigned(in.fingerprint);
  out.event = check.ToEnum(in.event, SuspectEvent::kAnswered, "event");
  out.remaining = check.ToDuration(in.remaining_us, "remaining_us");
}

template <typename In, typename Out>
void FromWireList(std::vector<In>& in, std::vector<Out>& out,
                  RangeCheck& check) {
  out.resize(in.size());
  for (size_t i = 0; i < in.size(); ++i) {
    FromWire(in[i], out[i], check);
  }
}

}  // namespace

void FromWire(wire::Hello& in, Hello& out, RangeCheck& check) {
  FromWire(in.node, out.node, check);
  out.fleet = std::move(in.fleet);
  out.data_centre = std::move(in.data_centre);
}

void FromWire(wire::CallForward& in, CallForward& out, RangeCheck& check) {
  out.attempt = Unsigned(in.attempt);
  out.server = std::move(in.server);
  FromWire(in.context, out.context, check);
  FromWire(in.request, out.request, check);
  if (in.__isset.usual_us) {
    out.usual_us = check.Narrow<uint32_t>(in.usual_us, "usual_us");
  }
  if (in.__isset.rate_limit) {
    out.rate_limit = check.ToRate(in.rate_limit, "rate_limit");
  }
}

void FromWire(wire::CallAnswer& in, CallAnswer& out, RangeCheck& check) {
  out.attempt = Unsigned(in.attempt);
  out.entry_incarnation = Unsigned(in.entry_incarnation);
  FromWire(in.response, out.response, check);
  FromWire(in.failure, out.failure, check);
  out.credits_returned =
      check.Narrow<uint16_t>(in.credits_returned, "credits_returned");
  FromWire(in.load, out.load, check);
  out.made_calls = in.__isset.made_calls && in.made_calls;
  if (in.__isset.times) {
    out.times.held_us = check.Narrow<uint32_t>(in.times.held_us, "held_us");
    out.times.waited_us =
        check.Narrow<uint32_t>(in.times.waited_us, "waited_us");
  }
  if (in.__isset.costs) FromWireList(in.costs, out.costs, check);
  if (in.__isset.pressures) FromWireList(in.pressures, out.pressures, check);
  if (in.__isset.failed_below) {
    out.failed_below.service = std::move(in.failed_below.service_name);
    out.failed_below.cause =
        check.ToEnum(in.failed_below.cause, FailureCause::kBroken, "cause");
  }
}

void FromWire(wire::CallCancel& in, CallCancel& out, RangeCheck&) {
  out.attempt = Unsigned(in.attempt);
  out.only_waiting = in.only_waiting;
}

void FromWire(wire::HomeForward& in, HomeForward& out, RangeCheck& check) {
  out.attempt = Unsigned(in.attempt);
  out.home_incarnation = Unsigned(in.home_incarnation);
  FromWire(in.request, out.request, check);
  out.remaining = check.ToDuration(in.remaining_us, "remaining_us");
}

void FromWire(wire::LinkPing& in, LinkPing& out, RangeCheck&) {
  out.sequence = Unsigned(in.sequence);
}

void FromWire(wire::LinkPong& in, LinkPong& out, RangeCheck&) {
  out.sequence = Unsigned(in.sequence);
}

void FromWire(wire::SettingsRequest& in, SettingsRequest& out, RangeCheck&) {
  out.have_version = Unsigned(in.have_version);
}

void FromWire(wire::SettingsSnapshot& in, SettingsSnapshot& out, RangeCheck&) {
  out.version = Unsigned(in.version);
  out.text_hash = Unsigned(in.text_hash);
  out.text = std::move(in.text);
}

void FromWire(wire::ClaimRequest& in, ClaimRequest& out, RangeCheck& check) {
  FromWire(in.holder, out.holder, check);
  FromWireList(in.claims, out.claims, check);
}

void FromWire(wire::ClaimReply& in, ClaimReply& out, RangeCheck& check) {
  FromWireList(in.outcomes, out.outcomes, check);
}

void FromWire(wire::QuotaRequest& in, QuotaRequest& out, RangeCheck& check) {
  out.id = Unsigned(in.id);
  out.customer = std::move(in.customer);
  out.tokens = check.Narrow<uint32_t>(in.tokens, "tokens");
  out.loan = in.loan;
}

void FromWire(wire::QuotaReply& in, QuotaReply& out, RangeCheck& check) {
  out.id = Unsigned(in.id);
  out.customer = std::move(in.customer);
  out.tokens = check.Narrow<uint32_t>(in.tokens, "tokens");
  out.retry_after = check.ToDuration(in.retry_after_us, "retry_after_us");
  out.loan = in.loan;
}

void FromWire(wire::MemberSync& in, MemberSync& out, RangeCheck& check) {
  out.reply_wanted = in.reply_wanted;
  FromWireList(in.members, out.members, check);
  FromWireList(in.quarantines, out.quarantines, check);
  out.settings_version = Unsigned(in.settings_version);
  out.bucket_hashes.assign(in.bucket_hashes.begin(), in.bucket_hashes.end());
  if (in.__isset.departures) {
    FromWireList(in.departures, out.departures, check);
  }
}

void FromWire(wire::Gossip& in, GossipMessage& out, RangeCheck& check) {
  out.kind = check.ToEnum(in.kind, GossipKind::kPingRequest, "kind");
  FromWire(in.source, out.from, check);
  FromWire(in.source_address, out.from_address, check);
  out.sequence = Unsigned(in.sequence);
  out.target = std::move(in.target);
  FromWire(in.target_address, out.target_address, check);
  out.settings_version = Unsigned(in.settings_version);
  out.membership_hash = Unsigned(in.membership_hash);
  if (in.__isset.settings_confirmed_at_us) {
    out.settings_confirmed_at = PlatformTime(Duration(check.Narrow<int64_t>(
        in.settings_confirmed_at_us, "settings_confirmed_at_us")));
  }
  if (in.__isset.platform_epoch) {
    out.platform_epoch = Unsigned(in.platform_epoch);
  }
  FromWireList(in.updates, out.updates, check);
  FromWireList(in.quarantines, out.quarantines, check);
  if (in.__isset.suspect_news) {
    FromWireList(in.suspect_news, out.suspect_news, check);
  }
  if (in.__isset.departures) {
    FromWireList(in.departures, out.departures, check);
  }
}

}  // namespace amaranth::pvt
