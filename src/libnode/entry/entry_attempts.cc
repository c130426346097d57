// Tries of a call at backend servers, and what comes of them.

#include <algorithm>

#include "amaranthroute/policy/retry_after.h"
#include "libnode/entry/entry_role.h"
#include "libnode/shared/durations.h"

namespace amaranth::pvt {
namespace {

// The serving node gets a little less time than is left, so that its proof
// that a queued call was dropped unrun is here before this node must answer
// "may have run" for want of it. Covers the longest one-way latency of the
// users' meshes (1.5 ms) with room; a twentieth where deadlines are short.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(10);
constexpr int kShortDeadlineShare = 20;

constexpr size_t kMaxRetryAfters = 4096;

// Tries of a call that no backend server has met: two further ones pass a dead
// host and a full server, more would only keep its caller waiting.
constexpr int kMostUnseenTries = 3;

bool IsRetryableStatus(int status) {
  return status == 502 || status == 503 || status == 504;
}

bool RetryCannotHelp(Reason reason) {
  return reason == Reason::kQuarantined || reason == Reason::kCancelled ||
         reason == Reason::kTooLarge || reason == Reason::kBadRequest;
}

// The request met no overloaded server, but a broken way to one.
bool IsFailureOfTheWay(Reason reason) {
  return reason == Reason::kConnectFailed ||
         reason == Reason::kConnectionLost || reason == Reason::kDeadline;
}

// What a try waited: in queues, as its serving node told, and between the two
// nodes, where bytes wait for a node that is short of processor time.
Duration WaitOf(const Attempt& attempt, const CallTimes& times, TimePoint now) {
  const Duration held(times.held_us);
  const Duration on_the_way = std::max(Duration(0), now - attempt.sent - held);
  return on_the_way + Duration(times.waited_us);
}

// Whether a failed try came as far as a backend server.
bool ReachedServer(const Failure& failure) {
  return failure.verdict != Verdict::kNotRun ||
         failure.reason == Reason::kServerRefused;
}

}  // namespace

Duration EntryRole::RemainingFor(const Call& call, TimePoint now) const {
  const Duration remaining = call.deadline - now;
  return remaining - std::min(kAnswerMargin, remaining / kShortDeadlineShare);
}

bool EntryRole::TryNext(Call& call, const std::optional<Reason>& last,
                        Context& context) {
  if (context.now >= call.deadline) return false;
  const std::vector<ServerPlace>& places =
      parts_.membership.ServersOf(call.context.service);
  const EffectiveSettings& settings =
      parts_.settings.Of(call.context.service, call.context.request_class);
  std::optional<uint32_t> level;
  if (!PassesInside(call, context)) level = call.context.level;
  std::optional<ServerPlace> place = choice_.Choose(
      places, settings, call.tried, level, context.now, context.random);
  if (!place && last && !IsOverload(*last)) {
    // Every server was tried once. After a lost connection the same server on
    // a fresh connection is worth the credit.
    call.tried.clear();
    place = choice_.Choose(places, settings, call.tried, level, context.now,
                           context.random);
  }
  if (!place) return false;
  if (last && !PayRetry(call, *last, *place, context)) return false;
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
  attempt.lent = call.ledger.LendToAttempt();

  CallForward forward;
  forward.attempt = attempt.id;
  forward.server = place.server;
  forward.context = call.context;
  forward.context.remaining = RemainingFor(call, context.now);
  forward.context.retry_credits = attempt.lent;
  forward.request = call.request;
  forward.usual_us = ToWireMicros(usual_times_.Of(call.context));

  const std::string server_key = ServerKey(place.node, place.server);
  CountChoice(server_key, context.now);
  call.tried.insert(server_key);
  ++call.tries;
  SetAttempt(call, attempt);
  choice_.OnSent(server_key);
  choice_.OnTried(place.node, context.now);
  parts_.stats.Count("amaranth_tries_total");
  parts_.outbox.Send(place.node, place.peer_address, std::move(forward),
                     context);
}

void EntryRole::CountChoice(const std::string& server_key, TimePoint now) {
  const std::optional<Duration> age = choice_.ReportAge(server_key, now);
  if (!age) {
    parts_.stats.Count("amaranth_choices_unreported_total");
    return;
  }
  parts_.stats.Observe("node", "choice", "report-age", *age);
}

void EntryRole::OnCallAnswer(const NodeRef& from, const CallAnswer& answer,
                             Context& context) {
  // Answers are matched by ids unique to this incarnation and must come from
  // the very process that was asked: a late answer to an earlier process of
  // this node, or one crossed by a restarted peer, ends here.
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
  call.ledger.Return(attempt.lent, answer.credits_returned);
  LearnLoad(call, answer, context);
  const bool answered = answer.failure.reason == Reason::kNone;
  if (answered) ++call.reached;
  if (answer.made_calls) admission_.LearnMakesCalls(call);
  call.waited += WaitOf(attempt, answer.times, context.now);
  const bool broke = !answered && answer.failure.verdict != Verdict::kNotRun;
  const bool final =
      answered && !FindHeader(answer.response.headers, kFinalHeader).empty();
  // A final answer passes on a failure below: ejecting its server would blame
  // the whole service above an overloaded one.
  const bool server_error = answered && answer.response.status >= 500 && !final;
  std::optional<Duration> latency;
  if (answered) latency = context.now - attempt.sent;
  EndAttempt(call, latency, broke || server_error, context.now);
  if (!answered) {
    Failure failure = answer.failure;
    if (failure.reason == Reason::kConnectionLost) {
      CountCrash(call, failure, context);
    }
    OnAttemptFailed(call, std::move(failure), context);
    return;
  }
  const bool left_to_caller =
      context.identity.rules.callers_repeat && call.is_root;
  if (IsRetryableStatus(answer.response.status) && !final && !left_to_caller &&
      call.context.idempotent && TryNext(call, Reason::kServerError, context)) {
    // It ran once, whatever the next try proves about itself.
    call.doubt = true;
    return;
  }
  FinishWithResponse(call, answer.response, context);
}

void EntryRole::LearnLoad(const Call& call, const CallAnswer& answer,
                          Context& context) {
  const LoadReport& load = answer.load;
  if (!load.server.empty()) {
    choice_.OnReport(ServerKey(call.attempt->node.name, load.server), load,
                     context.now);
    if (load.own_us > 0) {
      usual_times_.Learn(call.context, Duration(load.own_us));
    }
  }
  // A call that was refused unrun has asked nothing of the services below: its
  // zero is no news, and would let in what they go on turning away.
  const bool asked_below = answer.failure.verdict != Verdict::kNotRun ||
                           answer.failure.reason == Reason::kNone ||
                           load.downstream_threshold > 0;
  if (asked_below) {
    admission_.LearnThreshold(call, load.downstream_threshold, context.now);
  }
  TellParent(call, context);
}

void EntryRole::TellParent(const Call& call, const Context& context) {
  if (call.is_root) return;
  Hop* hop = parts_.serving.FindHop(call.parent_hop);
  if (hop == nullptr) return;
  const std::vector<ServerPlace>& places =
      parts_.membership.ServersOf(call.context.service);
  const uint32_t here = context.identity.rules.admit_at_edge
                            ? choice_.MeanThreshold(places, context.now)
                            : choice_.Threshold(places, context.now);
  const uint32_t threshold =
      std::max(here, admission_.ThresholdFor(call, context.now));
  hop->downstream_threshold = std::max(hop->downstream_threshold, threshold);
}

void EntryRole::OnAttemptFailed(Call& call, Failure failure, Context& context) {
  if (failure.verdict != Verdict::kNotRun) call.doubt = true;
  if (ReachedServer(failure)) ++call.reached;
  if (failure.retry_after.count() > 0) {
    // Callers choose class names: the table must not grow with them.
    if (retry_after_.size() >= kMaxRetryAfters) retry_after_.clear();
    retry_after_[call.context.service + "/" + call.context.request_class] =
        failure.retry_after;
  }
  if (MayRetry(call, failure, context.identity.rules) &&
      TryNext(call, failure.reason, context)) {
    parts_.records.Add(context.now, call.context.request_id, "retry",
                       "after " + std::string(ToString(failure.reason)) +
                           " now at " + call.attempt->server);
    return;
  }
  FinishWithFailure(call, std::move(failure), context);
}

bool EntryRole::MayRetry(const Call& call, const Failure& failure,
                         const DeploymentRules& rules) const {
  if (failure.final || RetryCannotHelp(failure.reason)) return false;
  const bool unproved = failure.verdict != Verdict::kNotRun;
  if (unproved && rules.callers_repeat && call.is_root) return false;
  return failure.verdict == Verdict::kNotRun || call.context.idempotent;
}

// Two backend servers in a row broke the connection of this very call, and
// nobody has lately had an answer to the same request: it goes no further. The
// serving nodes reach the same verdict from their own crash windows, but only
// when the last connection of the crashed server is down, while this call
// would already be on its way to a third server.
void EntryRole::CountCrash(Call& call, Failure& failure, Context& context) {
  ++call.context.suspected_crashes;
  if (call.context.suspected_crashes < kQuarantineCrashes) return;
  if (answered_.Contains(call.context.fingerprint, context.now)) return;
  parts_.membership.AddQuarantine(
      {call.context.service, call.context.fingerprint, kQuarantineCrashes},
      context);
  failure.reason = Reason::kQuarantined;
  failure.final = true;
  failure.detail = "this request broke two backend servers in a row";
}

bool EntryRole::PayRetry(Call& call, Reason last, const ServerPlace& place,
                         Context& context) {
  // A planned leave costs no credit: nothing ran, each server refuses a call
  // at most once, and a planned stop must not cut a request that has none.
  if (last == Reason::kDraining) return true;
  if (context.identity.rules.fleet_retry_slack > 0) {
    return PayFromFleetShare(call, context);
  }
  if (call.ledger.available() == 0) return false;
  // The budget keeps retries from loading a service that is short of capacity.
  // A host that dies or a connection that goes silent is no such shortage: all
  // its calls fail at once, far over any ratio, while the servers left have
  // room for them. So a failure of the way there is budgeted only if the next
  // server is not known to have room.
  const std::string server_key = ServerKey(place.node, place.server);
  const bool harmless =
      IsFailureOfTheWay(last) && choice_.HasRoom(server_key, context.now);
  RetryBudget& budget = retry_budgets_[call.context.service];
  budget.SetRatio(
      parts_.settings.Of(call.context.service, call.context.request_class)
          .retry_ratio);
  if (!harmless && !budget.TryRetry(context.now)) {
    parts_.stats.Count("amaranth_retries_over_budget_total");
    return false;
  }
  parts_.stats.Count("amaranth_retries_total");
  return call.ledger.Spend();
}

// Where the budget is the fleet's, what counts are arrivals at backend servers:
// a try that a serving node turned away, or that met no host, has cost the
// service nothing and its repeat is the first that it sees.
bool EntryRole::PayFromFleetShare(Call& call, Context& context) {
  if (call.reached == 0) return call.tries < kMostUnseenTries;
  if (call.most_tries > 0 && call.reached >= call.most_tries) return false;
  // The repeat of a call that made others repeats those too, and so on down:
  // the budget of the deepest service would be gone after a few.
  if (admission_.MakesCalls(call)) return false;
  if (call.ledger.available() == 0) return false;
  const DeploymentRules& rules = context.identity.rules;
  const size_t nodes = parts_.membership.NodesKnown();
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
  ++awaited_[attempt.node.name];
}

void EntryRole::EndAttempt(Call& call, std::optional<Duration> latency,
                           bool failed, TimePoint now) {
  if (!call.attempt) return;
  const Attempt attempt = *call.attempt;
  by_attempt_.erase(attempt.id);
  call.attempt.reset();
  const auto awaited = awaited_.find(attempt.node.name);
  if (--awaited->second == 0) awaited_.erase(awaited);
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
  // A home goes on: its other waiters, or a resend, want the answer.
  if (attempt.server.empty()) return;
  parts_.outbox.Send(attempt.node.name, address, CallCancel{attempt.id},
                     context);
}

void EntryRole::OnPeerQuiet(const std::string& peer, Context& context) {
  choice_.OnUnreachable(peer, context.now);
  context.Log(LogLevel::kInfo, "entry",
              "Node " + peer + " is not heard from; new calls go elsewhere.");
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
  call.ledger.Return(call.attempt->lent, call.attempt->lent);
  EndAttempt(call, std::nullopt, !forwarded, context.now);
  choice_.OnUnreachable(peer, context.now);
  Failure failure;
  // This message never left, but an earlier sending of the same key may have
  // reached its home.
  failure.verdict = forwarded ? Verdict::kMayHaveRun : Verdict::kNotRun;
  failure.reason =
      forwarded ? Reason::kHomeUnreachable : Reason::kConnectFailed;
  failure.detail = "node " + peer + " cannot be reached";
  OnAttemptFailed(call, std::move(failure), context);
}

}  // namespace amaranth::pvt
