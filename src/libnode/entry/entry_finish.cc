// Answers, deadlines, and callers that disconnect.

#include <algorithm>

#include "amaranthroute/policy/retry_after.h"
#include "libnode/bottleneck/failure_cause.h"
#include "libnode/entry/entry_role.h"
#include "libnode/shared/answers.h"

namespace amaranth::pvt {
namespace {

// How long a keyed call whose caller was answered at the deadline is kept for
// its late answer. The serving node waits a little less for the backend server
// (see kLateAnswerGrace there).
constexpr Duration kLateAnswerTimeout = std::chrono::seconds(6);
constexpr Duration kExpiryPeriod = std::chrono::seconds(1);

// Returns the failure that an error response stands for.
Failure FailureOf(const HttpResponse& response) {
  Failure failure;
  failure.verdict = Verdict::kRan;
  failure.reason = Reason::kServerError;
  failure.detail = "status " + std::to_string(response.status);
  return failure;
}

bool ResendMayHelp(Reason reason) {
  return reason != Reason::kQuarantined && reason != Reason::kBadRequest &&
         reason != Reason::kTooLarge;
}

}  // namespace

void EntryRole::FinishWithResponse(Call& call, const HttpResponse& response,
                                   Context& context) {
  HttpResponse annotated = response;
  RemoveHeader(annotated.headers, kFinalHeader);
  SetHeader(annotated.headers, kVerdictHeader, ToString(Verdict::kRan));
  SetHeader(annotated.headers, kRequestIdHeader, call.context.request_id);
  if (annotated.status < 500) {
    answered_.Insert(call.context.fingerprint, context.now);
  }
  UpdateKeyRecord(call, &annotated, Failure());
  CompleteInWindow(call, annotated.status < 500, context.now);
  std::optional<Failure> failed;
  if (annotated.status >= 500) {
    failed = FailureOf(annotated);
    LogFailedBelow(call, *failed, context);
  }
  ReportToParent(call, false, failed, context.now);
  const Duration latency = context.now - call.started;
  if (annotated.status < 500) {
    reservations_.OnServed(call.reservable, latency, context.now);
  }
  if (call.is_root && annotated.status < 500 && call.attempts == 1) {
    slack_.OnServed(Admission::ClassKey(call), latency - call.waited);
  }
  if (call.is_root) {
    parts_.stats.Observe(call.context.tenant, call.context.request_class,
                         annotated.status < 500 ? "ok" : "server-error",
                         latency);
  }
  parts_.records.Add(context.now, call.context.request_id, "answer",
                     "status " + std::to_string(annotated.status) + " from " +
                         call.context.service + " after " +
                         std::to_string(call.attempts) + " attempts, " +
                         std::to_string(latency.count()) + " us");
  const std::vector<Waiter> waiters = call.waiters;
  Remove(call);
  for (const Waiter& waiter : waiters) AnswerWaiter(waiter, annotated, context);
}

void EntryRole::FinishWithFailure(Call& call, Failure failure,
                                  Context& context) {
  const CallContext call_context = call.context;
  if (call.may_have_run && failure.verdict == Verdict::kNotRun) {
    failure.verdict = Verdict::kMayHaveRun;
  }
  // Upstream layers must not retry what was retried here, nor add load to a
  // service that sheds it. If this layer had no credit and has not retried, an
  // upstream layer that has credits may.
  failure.final =
      failure.final || call.attempts > 1 || IsOverload(failure.reason);
  const Duration target =
      parts_.settings.Resolve(call_context.service, call.call_class).target_p99;
  const bool shed =
      failure.verdict == Verdict::kNotRun && IsOverload(failure.reason);
  if (context.identity.rules.admit_at_edge && call.is_root && shed &&
      !call.infeasible && target > Duration::zero() &&
      !HasRetryTimeOfHome(call, failure)) {
    failure.retry_after =
        RetryWithinTarget(target, context.now - call.started, context.random);
  }
  if (failure.retry_after.count() == 0 && ResendMayHelp(failure.reason)) {
    const auto known = retry_after_.find(call_context.service + "/" +
                                         call_context.request_class);
    failure.retry_after = known != retry_after_.end()
                              ? known->second
                              : RetryAfter(0, 0, context.random);
  }
  if (shed && !call.infeasible) {
    SetRetryTime(call, target, failure, context);
  }
  if (call.has_quota_token && failure.verdict == Verdict::kNotRun) {
    parts_.quotas.GiveBack(call.customer, context.now);
  }
  UpdateKeyRecord(call, nullptr, failure);
  CompleteInWindow(call, false, context.now);
  ReportToParent(call, failure.final, failure, context.now);
  const std::string reason(ToString(failure.reason));
  if (call.is_root) {
    parts_.stats.Observe(call_context.tenant, call_context.request_class,
                         reason, context.now - call.started);
  }
  parts_.stats.Count("amaranth_failed_total", "reason=\"" + reason + "\"");
  parts_.records.Add(context.now, call_context.request_id, "fail",
                     reason + " (" + std::string(ToString(failure.verdict)) +
                         ") at " + call_context.service + " after " +
                         std::to_string(call.attempts) +
                         " attempts: " + failure.detail);
  LogFailure(call, failure, context);
  const std::vector<Waiter> waiters = call.waiters;
  Remove(call);
  for (const Waiter& waiter : waiters) {
    AnswerWaiter(waiter, failure, call_context.request_id, context);
  }
}

// The home of a key runs the request and holds its reservation.
bool EntryRole::HasRetryTimeOfHome(const Call& call,
                                   const Failure& failure) const {
  return call.phase == CallPhase::kForwarded &&
         failure.retry_after > Duration::zero() &&
         parts_.settings.Resolve(call.context.service, call.call_class)
             .retry_reservations;
}

void EntryRole::SetRetryTime(const Call& call, Duration target,
                             Failure& failure, Context& context) {
  const Duration elapsed = context.now - call.started;
  RefusalFacts facts;
  facts.deadline_left = call.deadline - context.now;
  facts.target_left = facts.deadline_left;
  facts.shortest = {failure.retry_after, failure.retry_after};
  if (target > Duration::zero()) facts.target_left = target - elapsed;
  if (target > Duration::zero() && context.identity.rules.admit_at_edge) {
    facts.shortest = RangeWithinTarget(target, elapsed);
  }
  facts.admitted = call.passed_admission;
  facts.for_reserved_capacity = call.refused_for_reserved;
  reservations_.OnRefused(call.reservable, facts, failure, context.now,
                          context.random);
}

// The target is limited by the time that the request had, because the deadline
// of a route may be shorter than its latency target.
void EntryRole::CompleteInWindow(Call& call, bool served, TimePoint now) {
  if (!call.in_window) return;
  const Duration target =
      parts_.settings.Resolve(call.context.service, call.call_class).target_p99;
  const bool shrinks = admission_.CompleteInWindow(
      call, served, std::min(target, call.deadline - call.started), now);
  if (!shrinks) return;
  parts_.stats.Count("amaranth_window_shrinks_total",
                     "class=\"" + call.call_class + "\"");
}

// Logs which call of a request failed, the reason, and the figures behind the
// decision, so that an engineer can explain a failure from the request id
// alone.
void EntryRole::LogFailure(const Call& call, const Failure& failure,
                           Context& context) {
  const CallContext& call_context = call.context;
  const bool logs_cause =
      parts_.settings.Resolve(call_context.service, call_context.request_class)
          .feasibility_check;
  std::string text = "request=" + call_context.request_id;
  text += " class=" + call.call_class;
  if (!call.customer.empty()) text += " customer=" + call.customer;
  text += " service=" + call_context.service;
  text += " depth=" + std::to_string(call_context.depth);
  text += " outcome=" + std::string(ToString(failure.reason));
  text += " verdict=" + std::string(ToString(failure.verdict));
  text += " tries=" + std::to_string(call.attempts);
  text += " reached=" + std::to_string(call.arrivals);
  text += " level=" + std::to_string(call_context.level);
  text += " threshold=" +
          std::to_string(admission_.ThresholdFor(call, context.now));
  text += " window=" + std::to_string(admission_.WindowLimit(call));
  text += " waited_ms=" + std::to_string(ToMillis(call.waited));
  text += " held_ms=" + std::to_string(ToMillis(context.now - call.started));
  text += " left_ms=" + std::to_string(ToMillis(call.deadline - context.now));
  if (call.failed_below.cause != FailureCause::kNone && logs_cause) {
    text += " failed_below=" + call.failed_below.service + ":" +
            std::string(ToString(call.failed_below.cause));
  }
  if (!failure.detail.empty()) text += " detail=\"" + failure.detail + "\"";
  context.Log(LogLevel::kInfo, "entry", std::move(text));
}

void EntryRole::LogFailedBelow(const Call& call, const Failure& failure,
                               Context& context) {
  const bool is_used =
      parts_.settings.Resolve(call.context.service, call.context.request_class)
          .feasibility_check;
  if (!is_used || call.failed_below.cause == FailureCause::kNone) return;
  LogFailure(call, failure, context);
}

void EntryRole::ReportToParent(const Call& call, bool gave_up,
                               const std::optional<Failure>& failed,
                               TimePoint now) {
  if (call.is_root) return;
  Hop* hop = parts_.serving.FindHop(call.parent_hop);
  if (hop == nullptr) return;
  hop->EndNested(now);
  hop->ledger.Return(call.granted_by_parent, call.ledger.available());
  hop->nested_wait_time += call.waited;
  if (!failed) {
    ++hop->calls_done;
    return;
  }
  hop->failed_nested[call.context.fingerprint] = failed->verdict;
  const FailureCause cause = CauseOf(*failed);
  if (call.failed_below.cause != FailureCause::kNone) {
    hop->failed_below = call.failed_below;
  } else if (cause != FailureCause::kNone) {
    hop->failed_below = {call.context.service, cause};
  }
  if (gave_up) hop->nested_retries_exhausted = true;
}

void EntryRole::Remove(Call& call) {
  const uint64_t id = call.id;
  deadlines_.Remove(call.deadline, id);
  for (const Waiter& waiter : call.waiters) {
    by_http_call_.erase(waiter.http_call);
  }
  EndAttempt(call, std::nullopt, false, TimePoint());
  admission_.AbandonInWindow(call);
  if (call.joinable) {
    const auto joined =
        joinable_.find(call.context.tenant + "/" + call.context.request_id);
    if (joined != joinable_.end() && joined->second == id) {
      joinable_.erase(joined);
    }
  }
  if (!call.is_root) {
    const auto range = by_parent_hop_.equal_range(call.parent_hop);
    for (auto it = range.first; it != range.second; ++it) {
      if (it->second != id) continue;
      by_parent_hop_.erase(it);
      break;
    }
  }
  calls_.erase(id);
}

void EntryRole::AnswerWaiter(const Waiter& waiter, const HttpResponse& response,
                             Context& context) {
  if (waiter.http_call != 0) {
    HttpResponse answer = response;
    // Every answer carries a ticket, so that the caller's next renewal does not
    // depend on the platform.
    if (!context.identity.rules.request_id_per_send) {
      SetHeader(answer.headers, kTicketHeader,
                FormatTicket(keys_.IssueTicket(context)));
    }
    context.Emit(AnswerCaller{waiter.http_call, std::move(answer)});
    return;
  }
  CallAnswer answer;
  answer.response = response;
  AnswerPeer(waiter, std::move(answer), context);
}

void EntryRole::AnswerWaiter(const Waiter& waiter, const Failure& failure,
                             const std::string& request_id, Context& context) {
  if (waiter.http_call != 0) {
    context.Emit(AnswerCaller{
        waiter.http_call,
        FailureResponse(failure, request_id, context.identity.node.name)});
    return;
  }
  CallAnswer answer;
  answer.failure = failure;
  AnswerPeer(waiter, std::move(answer), context);
}

void EntryRole::AnswerPeer(const Waiter& waiter, CallAnswer answer,
                           Context& context) {
  answer.attempt = waiter.peer_attempt;
  answer.entry_incarnation = waiter.peer.incarnation;
  const Endpoint address = parts_.membership.PeerAddressOf(waiter.peer.name);
  parts_.outbox.Send(waiter.peer.name, address, std::move(answer), context);
}

Call* EntryRole::FindCall(uint64_t id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

void EntryRole::OnCallerGone(CallId http_call, Context& context) {
  const auto found = by_http_call_.find(http_call);
  if (found == by_http_call_.end()) return;
  Call& call = calls_.at(found->second);
  by_http_call_.erase(found);
  RemoveWaiter(call, http_call, context);
}

void EntryRole::RemoveWaiter(Call& call, CallId http_call, Context& context) {
  call.waiters.erase(std::remove_if(call.waiters.begin(), call.waiters.end(),
                                    [&](const Waiter& waiter) {
                                      return waiter.http_call == http_call;
                                    }),
                     call.waiters.end());
  // A keyed call continues without its caller, which may resend it to get the
  // answer. Cancelling a charge in progress would leave its outcome unknown.
  if (!call.waiters.empty() || !call.key.empty()) return;
  parts_.stats.Count("amaranth_abandoned_total");
  CancelAttempt(call, context);
  Failure cancelled;
  cancelled.reason = Reason::kCancelled;
  ReportToParent(call, false, cancelled, context.now);
  Remove(call);
}

void EntryRole::OnHopCancelled(uint64_t hop, Context& context) {
  const auto range = by_parent_hop_.equal_range(hop);
  std::vector<uint64_t> nested;
  for (auto it = range.first; it != range.second; ++it) {
    nested.push_back(it->second);
  }
  for (const uint64_t id : nested) {
    Call& call = calls_.at(id);
    CancelAttempt(call, context);
    Failure failure;
    failure.verdict = Verdict::kMayHaveRun;
    failure.reason = Reason::kCancelled;
    failure.final = true;
    FinishWithFailure(call, std::move(failure), context);
  }
}

void EntryRole::WithdrawWaiting(Context& context) {
  std::vector<uint64_t> not_sent;
  for (auto& [id, call] : calls_) {
    call.withdrawn = true;
    if (!call.attempt) {
      not_sent.push_back(id);
      continue;
    }
    // The home of a key runs the call for other waiters as well.
    if (call.attempt->server.empty()) continue;
    const NodeRef& node = call.attempt->node;
    parts_.outbox.Send(node.name, parts_.membership.PeerAddressOf(node.name),
                       CallCancel{call.attempt->id, true}, context);
  }
  for (const uint64_t id : not_sent) FailAtExit(id, context);
}

void EntryRole::FailAll(Context& context) {
  std::vector<uint64_t> left;
  for (const auto& [id, call] : calls_) left.push_back(id);
  for (const uint64_t id : left) FailAtExit(id, context);
}

void EntryRole::FailAtExit(uint64_t id, Context& context) {
  Call* call = FindCall(id);
  if (call == nullptr || call->waiters.empty()) return;
  const bool outcome_unknown =
      call->attempt || call->phase == CallPhase::kClaiming;
  Failure failure;
  failure.verdict = outcome_unknown ? Verdict::kMayHaveRun : Verdict::kNotRun;
  failure.reason = Reason::kDraining;
  failure.detail = "this node stops";
  failure.final = true;
  FinishWithFailure(*call, std::move(failure), context);
}

void EntryRole::OnTimer(Context& context) {
  for (const uint64_t id : deadlines_.TakeDue(context.now)) {
    Call* call = FindCall(id);
    if (call == nullptr) continue;
    Failure failure;
    const bool in_flight = call->attempt.has_value();
    // A key whose claim is in flight may be held by another node, which ran it.
    const bool outcome_unknown =
        in_flight || call->phase == CallPhase::kClaiming;
    failure.verdict = outcome_unknown ? Verdict::kMayHaveRun : Verdict::kNotRun;
    failure.reason = Reason::kDeadline;
    failure.detail = "the deadline passed";
    failure.final = true;
    const bool wait_for_answer = in_flight && !call->key.empty() &&
                                 call->phase == CallPhase::kRunning &&
                                 !call->awaits_late_answer;
    if (!wait_for_answer) {
      CancelAttempt(*call, context);
      FinishWithFailure(*call, std::move(failure), context);
      continue;
    }
    failure.retry_after = RetryAfter(0, 0, context.random);
    for (const Waiter& waiter : call->waiters) {
      by_http_call_.erase(waiter.http_call);
      AnswerWaiter(waiter, failure, call->context.request_id, context);
    }
    call->waiters.clear();
    call->awaits_late_answer = true;
    call->deadline = context.now + kLateAnswerTimeout;
    deadlines_.Add(call->deadline, id);
  }
  if (context.now >= next_expiry_) {
    next_expiry_ = context.now + kExpiryPeriod;
    keys_.Expire(context.now);
    choice_.Expire(context.now);
  }
}

TimePoint EntryRole::next_timer() const { return deadlines_.next(); }

}  // namespace amaranth::pvt
