// Attempts of a call at backend servers, and their results.

#include <algorithm>

#include "amaranthroute/policy/retry_after.h"
#include "libnode/entry/entry_role.h"
#include "libnode/shared/durations.h"

namespace amaranth::pvt {
namespace {

// The serving node gets a little less time than remains, so that its proof that
// a queued call was dropped without running arrives before the deadline.
// Without that proof the answer must be "may have run". The margin exceeds the
// longest one-way latency of the users' meshes (1.5 ms); for short deadlines it
// is a twentieth of the remaining time.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(10);
constexpr int kShortDeadlineDivisor = 20;

constexpr size_t kMaxRetryAfters = 4096;

// Limits the attempts of a call that has reached no backend server. Two retries
// get past one dead host and one server at capacity; more would only delay the
// caller.
constexpr int kMaxUnreachedAttempts = 3;

bool IsRetryableStatus(int status) {
  return status == 502 || status == 503 || status == 504;
}

bool RetryCannotHelp(Reason reason) {
  return reason == Reason::kQuarantined || reason == Reason::kCancelled ||
         reason == Reason::kTooLarge || reason == Reason::kBadRequest;
}

// Whether an attempt failed on the path to a backend server, rather than
// because the server was overloaded.
bool IsPathFailure(Reason reason) {
  return reason == Reason::kConnectFailed ||
         reason == Reason::kConnectionLost || reason == Reason::kDeadline;
}

// Returns how long an attempt waited: in queues, as its serving node reported,
// and between the two nodes, where messages wait while a node lacks processor
// time.
Duration WaitTime(const Attempt& attempt, const CallTimes& times,
                  TimePoint now) {
  const Duration held(times.held_us);
  const Duration on_the_way = std::max(Duration(0), now - attempt.sent - held);
  return on_the_way + Duration(times.waited_us);
}

// Whether a failed attempt reached a backend server.
bool ReachedServer(const Failure& failure) {
  return failure.verdict != Verdict::kNotRun ||
         failure.reason == Reason::kServerRefused;
}

}  // namespace

Duration EntryRole::RemainingFor(const Call& call, TimePoint now) const {
  const Duration remaining = call.deadline - now;
  return remaining - std::min(kAnswerMargin, remaining / kShortDeadlineDivisor);
}

bool EntryRole::StartNextAttempt(Call& call, const std::optional<Reason>& last,
                                 Context& context) {
  if (context.now >= call.deadline) return false;
  const std::vector<ServerPlace>& places =
      parts_.membership.ServersOf(call.context.service);
  const EffectiveSettings& settings =
      parts_.settings.Resolve(call.context.service, call.context.request_class);
  std::optional<uint32_t> level;
  if (!SkipsAdmission(call, context)) level = call.context.level;
  std::optional<ServerPlace> place = choice_.Choose(
      places, settings, call.tried_servers, level, context.now, context.random);
  if (!place && last && !IsOverload(*last)) {
    // Every server has been tried once. After a failure other than overload,
    // such as a lost connection, trying the same server again over a new
    // connection is worth the credit.
    call.tried_servers.clear();
    place = choice_.Choose(places, settings, call.tried_servers, level,
                           context.now, context.random);
  }
  if (!place) return false;
  if (last && !AuthorizeRetry(call, *last, *place, context)) return false;
  SendAttempt(call, *place, context);
  return true;
}

void EntryRole::SendAttempt(Call& call, const ServerPlace& place,
                            Context& context) {
  const MemberRecord* member = parts_.membership.Find(place.node);
  Attempt attempt;
  attempt.id = context.NextId();
  attempt.node = member == nullptr ? NodeRef{place.node, 0} : member->node;
  attempt.server = place.server;
  attempt.sent = context.now;
  attempt.granted = call.ledger.GrantToAttempt();

  CallForward forward;
  forward.attempt = attempt.id;
  forward.server = place.server;
  forward.context = call.context;
  forward.context.remaining = RemainingFor(call, context.now);
  forward.context.retry_credits = attempt.granted;
  ReduceSlack(context.now - call.started, forward.context);
  forward.request = call.request;
  forward.usual_us = ToWireMicros(typical_service_times_.Of(call.context));

  const std::string server_key = ServerKey(place.node, place.server);
  forward.rate_limit = choice_.ReportedRateLimit(server_key, context.now);
  RecordReportAge(server_key, context.now);
  call.tried_servers.insert(server_key);
  ++call.attempts;
  SetAttempt(call, attempt);
  choice_.OnSent(server_key);
  choice_.OnCalled(place.node, context.now);
  parts_.stats.Count("amaranth_tries_total");
  parts_.outbox.Send(place.node, place.peer_address, std::move(forward),
                     context);
}

void EntryRole::RecordReportAge(const std::string& server_key, TimePoint now) {
  const std::optional<Duration> age = choice_.ReportAge(server_key, now);
  if (!age) {
    parts_.stats.Count("amaranth_choices_unreported_total");
    return;
  }
  parts_.stats.Observe("node", "choice", "report-age", *age);
}

void EntryRole::OnCallAnswer(const NodeRef& from, const CallAnswer& answer,
                             Context& context) {
  // Answers are matched by ids that are unique to this incarnation and must
  // come from the process that the attempt was sent to. An answer to an earlier
  // process of this node, or from a restarted peer, is ignored.
  if (answer.entry_incarnation != context.identity.node.incarnation) return;
  const auto found = by_attempt_.find(answer.attempt);
  if (found == by_attempt_.end()) return;
  Call& call = calls_.at(found->second);
  if (call.attempt->node != from) return;
  if (call.phase == CallPhase::kForwarded) {
    EndAttempt(call, std::nullopt, false, context.now);
    if (answer.failure.reason == Reason::kNone) {
      FinishWithResponse(call, answer.response, context);
    } else {
      FinishWithFailure(call, answer.failure, context);
    }
    return;
  }
  OnAttemptAnswer(call, answer, context);
}

void EntryRole::OnAttemptAnswer(Call& call, const CallAnswer& answer,
                                Context& context) {
  const Attempt attempt = *call.attempt;
  call.ledger.Return(attempt.granted, answer.credits_returned);
  RecordLoad(call, answer, context);
  const bool answered = answer.failure.reason == Reason::kNone;
  if (answered) ++call.arrivals;
  if (answer.made_calls) admission_.RecordNestedCalls(call);
  RecordBottlenecks(call, answer, context.now);
  call.waited += WaitTime(attempt, answer.times, context.now);
  call.failed_below = answer.failed_below;
  const bool failed_after_dispatch =
      !answered && answer.failure.verdict != Verdict::kNotRun;
  const bool final =
      answered && !FindHeader(answer.response.headers, kFinalHeader).empty();
  // A final answer passes on a downstream failure. Counting it against its
  // server would eject servers of every service that calls an overloaded one.
  const bool server_error = answered && answer.response.status >= 500 && !final;
  std::optional<Duration> latency;
  if (answered) latency = context.now - attempt.sent;
  EndAttempt(call, latency, failed_after_dispatch || server_error, context.now);
  if (!answered) {
    Failure failure = answer.failure;
    if (failure.reason == Reason::kConnectionLost) {
      CountCrash(call, failure, context);
    }
    OnAttemptFailed(call, std::move(failure), context);
    return;
  }
  const bool caller_resends =
      context.identity.rules.callers_resend && call.is_root;
  if (IsRetryableStatus(answer.response.status) && !final && !caller_resends &&
      call.context.idempotent &&
      StartNextAttempt(call, Reason::kServerError, context)) {
    // It ran once, whatever the next attempt proves about itself.
    call.may_have_run = true;
    return;
  }
  FinishWithResponse(call, answer.response, context);
}

void EntryRole::RecordBottlenecks(const Call& call, const CallAnswer& answer,
                                  TimePoint now) {
  if (answer.costs.empty() && answer.pressures.empty()) return;
  bottlenecks_.OnAnswer(answer, call.context.tenant, now);
  if (call.is_root) {
    if (!answer.costs.empty()) {
      bottlenecks_.OnServed(Admission::ClassKey(call), answer.costs, now);
    }
    return;
  }
  // The costs of a nested call belong to the request that made it.
  Hop* hop = parts_.serving.FindHop(call.parent_hop);
  if (hop == nullptr) return;
  AddCosts(hop->nested_costs, answer.costs);
  BottleneckState::AddReported(answer, hop->nested_pressures);
}

void EntryRole::RecordLoad(const Call& call, const CallAnswer& answer,
                           Context& context) {
  const LoadReport& load = answer.load;
  if (!load.server.empty()) {
    const std::string key = ServerKey(call.attempt->node.name, load.server);
    choice_.OnReport(key, load, context.now);
    if (load.leaving) choice_.OnLeaving(key, load.started_ms, context.now);
    if (load.own_us > 0) {
      typical_service_times_.Record(call.context, Duration(load.own_us));
    }
  }
  // A call that was refused without running made no nested calls. Its threshold
  // of zero says nothing about downstream services, and recording it would
  // admit requests that they still shed.
  const bool reports_downstream = answer.failure.verdict != Verdict::kNotRun ||
                                  answer.failure.reason == Reason::kNone ||
                                  load.downstream_threshold > 0;
  if (reports_downstream) {
    admission_.RecordThreshold(call, load.downstream_threshold, context.now);
  }
  PropagateThreshold(call, context);
}

void EntryRole::PropagateThreshold(const Call& call, const Context& context) {
  if (call.is_root) return;
  Hop* hop = parts_.serving.FindHop(call.parent_hop);
  if (hop == nullptr) return;
  const std::vector<ServerPlace>& places =
      parts_.membership.ServersOf(call.context.service);
  const uint32_t service_threshold =
      context.identity.rules.admit_at_edge
          ? choice_.MeanThreshold(places, context.now)
          : choice_.LowestThreshold(places, context.now);
  const uint32_t threshold =
      std::max(service_threshold, admission_.ThresholdFor(call, context.now));
  hop->downstream_threshold = std::max(hop->downstream_threshold, threshold);
}

void EntryRole::OnAttemptFailed(Call& call, Failure failure, Context& context) {
  if (failure.verdict != Verdict::kNotRun) call.may_have_run = true;
  if (ReachedServer(failure)) ++call.arrivals;
  if (failure.retry_after.count() > 0) {
    // Callers choose class names: the table must not grow without bound.
    if (retry_after_.size() >= kMaxRetryAfters) retry_after_.clear();
    retry_after_[call.context.service + "/" + call.context.request_class] =
        failure.retry_after;
  }
  if (MayRetry(call, failure, context.identity.rules) &&
      StartNextAttempt(call, failure.reason, context)) {
    parts_.records.Add(context.now, call.context.request_id, "retry",
                       "after " + std::string(ToString(failure.reason)) +
                           ", next attempt at backend server " +
                           call.attempt->server);
    return;
  }
  if (call.withdrawn && failure.reason == Reason::kCancelled) {
    failure.reason = Reason::kDraining;
    failure.detail = "this node stops; the call was withdrawn from a queue";
  }
  FinishWithFailure(call, std::move(failure), context);
}

bool EntryRole::MayRetry(const Call& call, const Failure& failure,
                         const DeploymentRules& rules) const {
  if (call.withdrawn) return false;
  if (failure.final || RetryCannotHelp(failure.reason)) return false;
  const bool outcome_unknown = failure.verdict != Verdict::kNotRun;
  if (outcome_unknown && rules.callers_resend && call.is_root) return false;
  return failure.verdict == Verdict::kNotRun || call.context.idempotent;
}

// Quarantines the request when two attempts of this call have lost the
// connection to a backend server. The serving nodes come to the same result by
// their own crash windows, but only when the last connection of the crashed
// server is down. By then this call would already be on its way to a third
// server. A request that was recently answered here may be a popular page in
// flight at two crashes; the serving nodes decide about it.
void EntryRole::CountCrash(Call& call, Failure& failure, Context& context) {
  ++call.context.suspected_crashes;
  if (call.context.suspected_crashes < kQuarantineCrashes) return;
  if (answered_.LastAnswer(call.context.fingerprint, context.now)) return;
  parts_.membership.AddQuarantine(
      {call.context.service, call.context.fingerprint, kQuarantineCrashes},
      context);
  failure.reason = Reason::kQuarantined;
  failure.final = true;
  failure.detail = "this request broke two backend servers in a row";
}

bool EntryRole::AuthorizeRetry(Call& call, Reason last,
                               const ServerPlace& place, Context& context) {
  // A draining server costs no credit: nothing ran, each server refuses a call
  // at most once, and a planned stop must not fail a request without credits.
  if (last == Reason::kDraining) return true;
  if (context.identity.rules.fleet_retry_slack > 0) {
    return AuthorizeFromFleetShare(call, context);
  }
  if (call.ledger.available() == 0) return false;
  // The budget keeps retries from loading an overloaded service. When a host
  // crashes or a connection becomes unresponsive, all its calls fail at once,
  // far above any retry ratio, but the remaining servers have capacity for
  // them. So a path failure is exempt from the budget if the next server is
  // known to have capacity.
  const std::string server_key = ServerKey(place.node, place.server);
  const bool exempt =
      IsPathFailure(last) && choice_.HasCapacity(server_key, context.now);
  RetryBudget& budget = retry_budgets_[call.context.service];
  budget.SetRatio(
      parts_.settings.Resolve(call.context.service, call.context.request_class)
          .retry_ratio);
  if (!exempt && !budget.TryRetry(context.now)) {
    parts_.stats.Count("amaranth_retries_over_budget_total");
    return false;
  }
  parts_.stats.Count("amaranth_retries_total");
  return call.ledger.Spend();
}

// Applies the retry budget of the whole fleet, which counts arrivals at backend
// servers. An attempt that a serving node shed or refused, or that reached no
// host, has cost the service nothing; its retry is the first arrival.
bool EntryRole::AuthorizeFromFleetShare(Call& call, Context& context) {
  if (call.arrivals == 0) return call.attempts < kMaxUnreachedAttempts;
  if (call.max_attempts > 0 && call.arrivals >= call.max_attempts) return false;
  // Retrying a call that made nested calls repeats those too, at every depth: a
  // few such retries would use up the budget of the deepest service.
  if (admission_.HasNestedCalls(call)) return false;
  if (call.ledger.available() == 0) return false;
  const DeploymentRules& rules = context.identity.rules;
  const size_t nodes = parts_.membership.KnownNodeCount();
  if (!FleetShareOf(call.context.service, rules).TryRetry(nodes, context.now)) {
    parts_.stats.Count("amaranth_retries_over_budget_total");
    return false;
  }
  parts_.stats.Count("amaranth_retries_total");
  return call.ledger.Spend();
}

FleetRetryShare& EntryRole::FleetShareOf(const std::string& service,
                                         const DeploymentRules& rules) {
  const FleetRetryLimits limits{rules.fleet_retry_ratio,
                                static_cast<double>(rules.fleet_retry_slack),
                                rules.fleet_retry_window};
  return fleet_shares_.try_emplace(service, limits).first->second;
}

void EntryRole::SetAttempt(Call& call, const Attempt& attempt) {
  call.attempt = attempt;
  by_attempt_[attempt.id] = call.id;
  ++in_flight_by_peer_[attempt.node.name];
}

void EntryRole::EndAttempt(Call& call, std::optional<Duration> latency,
                           bool failed, TimePoint now) {
  if (!call.attempt) return;
  const Attempt attempt = *call.attempt;
  by_attempt_.erase(attempt.id);
  call.attempt.reset();
  const auto awaited = in_flight_by_peer_.find(attempt.node.name);
  if (--awaited->second == 0) in_flight_by_peer_.erase(awaited);
  if (attempt.server.empty()) return;
  choice_.OnEnded(call.context.service,
                  ServerKey(attempt.node.name, attempt.server), latency, failed,
                  now);
}

void EntryRole::CancelAttempt(Call& call, Context& context) {
  if (!call.attempt) return;
  const Attempt attempt = *call.attempt;
  const Endpoint address = parts_.membership.PeerAddressOf(attempt.node.name);
  EndAttempt(call, std::nullopt, false, context.now);
  // The home of a key continues: its other waiters, or a resend, need the
  // answer.
  if (attempt.server.empty()) return;
  parts_.outbox.Send(attempt.node.name, address, CallCancel{attempt.id},
                     context);
}

void EntryRole::OnPeerUnresponsive(const std::string& peer, Context& context) {
  choice_.OnUnreachable(peer, context.now);
  context.Log(LogLevel::kInfo, "entry",
              "Node " + peer + " is unresponsive; new calls avoid it.");
}

void EntryRole::OnPeerLost(const std::string& peer, Context& context) {
  std::vector<uint64_t> lost;
  for (const auto& [attempt, id] : by_attempt_) {
    if (calls_.at(id).attempt->node.name == peer) lost.push_back(id);
  }
  for (const uint64_t id : lost) {
    Call* call = FindCall(id);
    if (call == nullptr || !call->attempt) continue;
    const bool forwarded = call->phase == CallPhase::kForwarded;
    EndAttempt(*call, std::nullopt, !forwarded, context.now);
    choice_.OnUnreachable(peer, context.now);
    Failure failure;
    failure.verdict = Verdict::kMayHaveRun;
    failure.reason =
        forwarded ? Reason::kHomeUnreachable : Reason::kConnectionLost;
    failure.detail = "the link to node " + peer + " was lost";
    // Unlike a connection that a backend server has lost.
    call->failed_below = {call->context.service, FailureCause::kUnreachable};
    OnAttemptFailed(*call, std::move(failure), context);
  }
}

void EntryRole::OnSendFailed(const std::string& peer,
                             const PeerMessage& message, Context& context) {
  AttemptId attempt = 0;
  if (const CallForward* forward = std::get_if<CallForward>(&message)) {
    attempt = forward->attempt;
  } else if (const HomeForward* home = std::get_if<HomeForward>(&message)) {
    attempt = home->attempt;
  }
  const auto found = by_attempt_.find(attempt);
  if (attempt == 0 || found == by_attempt_.end()) return;
  Call& call = calls_.at(found->second);
  const bool forwarded = call.phase == CallPhase::kForwarded;
  call.ledger.Return(call.attempt->granted, call.attempt->granted);
  EndAttempt(call, std::nullopt, !forwarded, context.now);
  choice_.OnUnreachable(peer, context.now);
  Failure failure;
  // This message was never sent, but an earlier request with the same key may
  // have reached its home.
  failure.verdict = forwarded ? Verdict::kMayHaveRun : Verdict::kNotRun;
  failure.reason =
      forwarded ? Reason::kHomeUnreachable : Reason::kConnectFailed;
  failure.detail = "node " + peer + " cannot be reached";
  OnAttemptFailed(call, std::move(failure), context);
}

}  // namespace amaranth::pvt
