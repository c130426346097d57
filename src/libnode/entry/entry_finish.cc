// Answers, deadlines and callers that go away.

#include <algorithm>

#include "amaranthroute/policy/retry_after.h"
#include "libnode/entry/entry_role.h"
#include "libnode/shared/answers.h"

namespace amaranth::pvt {
namespace {

// How long a keyed call whose caller was answered at its deadline is kept for
// its late answer. The serving node waits a little less for the backend
// server (see kLateAnswerGrace there).
constexpr Duration kLinger = std::chrono::seconds(6);
constexpr Duration kExpiryPeriod = std::chrono::seconds(1);

bool ComingBackHelps(Reason reason) {
  return reason != Reason::kQuarantined && reason != Reason::kBadRequest &&
         reason != Reason::kTooLarge;
}

}  // namespace

void EntryRole::FinishWithResponse(Call& call, const HttpResponse& response,
                                   Context& context) {
  HttpResponse whole = response;
  RemoveHeader(whole.headers, kFinalHeader);
  SetHeader(whole.headers, kVerdictHeader, ToString(Verdict::kRan));
  SetHeader(whole.headers, kRequestIdHeader, call.context.request_id);
  if (whole.status < 500) {
    answered_.Insert(call.context.fingerprint, context.now);
  }
  SettleKey(call, &whole, Failure());
  EndPlace(call, whole.status < 500, context.now);
  std::optional<Verdict> failed;
  if (whole.status >= 500) failed = Verdict::kRan;
  ReturnToParent(call, false, failed, context.now);
  const Duration latency = context.now - call.started;
  if (call.is_root) {
    parts_.stats.Observe(call.context.tenant, call.context.request_class,
                         whole.status < 500 ? "ok" : "server-error", latency);
  }
  parts_.records.Add(context.now, call.context.request_id, "answer",
                     "status " + std::to_string(whole.status) + " from " +
                         call.context.service + " after " +
                         std::to_string(call.tries) + " tries, " +
                         std::to_string(latency.count()) + " us");
  const std::vector<Waiter> waiters = call.waiters;
  Remove(call);
  for (const Waiter& waiter : waiters) AnswerWaiter(waiter, whole, context);
}

void EntryRole::FinishWithFailure(Call& call, Failure failure,
                                  Context& context) {
  const CallContext about = call.context;
  if (call.doubt && failure.verdict == Verdict::kNotRun) {
    failure.verdict = Verdict::kMayHaveRun;
  }
  // Layers above must not retry what was retried here, nor add load to what
  // was shed. Without a credit for a try of its own this layer has not
  // retried, and one above that has credits may.
  failure.final = failure.final || call.tries > 1 || IsOverload(failure.reason);
  const Duration target =
      parts_.settings.Of(about.service, call.own_class).target_p99;
  const bool turned_away =
      failure.verdict == Verdict::kNotRun && IsOverload(failure.reason);
  if (context.identity.rules.admit_at_edge && call.is_root && turned_away &&
      target > Duration::zero()) {
    failure.retry_after =
        RetryWithinTarget(target, context.now - call.started, context.random);
  }
  if (failure.retry_after.count() == 0 && ComingBackHelps(failure.reason)) {
    const auto known =
        retry_after_.find(about.service + "/" + about.request_class);
    failure.retry_after = known != retry_after_.end()
                              ? known->second
                              : RetryAfter(0, 0, context.random);
  }
  SettleKey(call, nullptr, failure);
  EndPlace(call, false, context.now);
  ReturnToParent(call, failure.final, failure.verdict, context.now);
  const std::string reason(ToString(failure.reason));
  if (call.is_root) {
    parts_.stats.Observe(about.tenant, about.request_class, reason,
                         context.now - call.started);
  }
  parts_.stats.Count("amaranth_failed_total", "reason=\"" + reason + "\"");
  parts_.records.Add(context.now, about.request_id, "fail",
                     reason + " (" + std::string(ToString(failure.verdict)) +
                         ") at " + about.service + " after " +
                         std::to_string(call.tries) +
                         " tries: " + failure.detail);
  LogFailure(call, failure, context);
  const std::vector<Waiter> waiters = call.waiters;
  Remove(call);
  for (const Waiter& waiter : waiters) {
    AnswerWaiter(waiter, failure, about.request_id, context);
  }
}

// A route's time limit may be shorter than its target: then that is what its
// requests have to end in.
void EntryRole::EndPlace(Call& call, bool served, TimePoint now) {
  if (!call.has_place) return;
  const Duration target =
      parts_.settings.Of(call.context.service, call.own_class).target_p99;
  admission_.EndPlace(call, served,
                      std::min(target, call.deadline - call.started), now);
}

// What an engineer needs who has only the id of a failed request: which call of
// it failed, why, and on what grounds.
void EntryRole::LogFailure(const Call& call, const Failure& failure,
                           Context& context) {
  const CallContext& about = call.context;
  std::string text = "request=" + about.request_id;
  text += " class=" + call.own_class;
  text += " service=" + about.service;
  text += " depth=" + std::to_string(about.depth);
  text += " outcome=" + std::string(ToString(failure.reason));
  text += " verdict=" + std::string(ToString(failure.verdict));
  text += " tries=" + std::to_string(call.tries);
  text += " reached=" + std::to_string(call.reached);
  text += " level=" + std::to_string(about.level);
  text += " threshold=" +
          std::to_string(admission_.ThresholdFor(call, context.now));
  text += " window=" + std::to_string(admission_.WindowOf(call));
  text += " waited_ms=" + std::to_string(ToMillis(call.waited));
  text += " held_ms=" + std::to_string(ToMillis(context.now - call.started));
  text += " left_ms=" + std::to_string(ToMillis(call.deadline - context.now));
  if (!failure.detail.empty()) text += " detail=\"" + failure.detail + "\"";
  context.Log(LogLevel::kInfo, "entry", std::move(text));
}

void EntryRole::ReturnToParent(const Call& call, bool gave_up,
                               std::optional<Verdict> failed, TimePoint now) {
  if (call.is_root) return;
  Hop* hop = parts_.serving.FindHop(call.parent_hop);
  if (hop == nullptr) return;
  hop->EndNested(now);
  hop->ledger.Return(call.lent_by_parent, call.ledger.available());
  hop->nested_waited += call.waited;
  if (!failed) return;
  hop->failed_nested[call.context.fingerprint] = *failed;
  if (gave_up) hop->nested_gave_up = true;
}

void EntryRole::Remove(Call& call) {
  const uint64_t id = call.id;
  deadlines_.Remove(call.deadline, id);
  for (const Waiter& waiter : call.waiters) {
    by_http_call_.erase(waiter.http_call);
  }
  EndAttempt(call, std::nullopt, false, TimePoint());
  admission_.AbandonPlace(call);
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
    // A ticket with every answer: the caller's next renewal then needs no
    // platform, also while it is down.
    if (!context.identity.rules.ids_name_sendings) {
      SetHeader(answer.headers, kTicketHeader,
                FormatTicket(keys_.Mint(context)));
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
  // A keyed call goes on without its caller, who may come back for the answer;
  // stopping a charge half way would leave only doubt.
  if (!call.waiters.empty() || !call.key.empty()) return;
  parts_.stats.Count("amaranth_abandoned_total");
  CancelAttempt(call, context);
  ReturnToParent(call, false, Verdict::kMayHaveRun, context.now);
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

void EntryRole::OnTimer(Context& context) {
  for (const uint64_t id : deadlines_.TakeDue(context.now)) {
    Call* call = FindCall(id);
    if (call == nullptr) continue;
    Failure failure;
    const bool outstanding = call->attempt.has_value();
    // A key that is still being claimed may be another node's, which ran it.
    const bool unknown = outstanding || call->phase == CallPhase::kClaiming;
    failure.verdict = unknown ? Verdict::kMayHaveRun : Verdict::kNotRun;
    failure.reason = Reason::kDeadline;
    failure.detail = "the deadline passed";
    failure.final = true;
    const bool keep = outstanding && !call->key.empty() &&
                      call->phase == CallPhase::kRunning && !call->lingering;
    if (!keep) {
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
    call->lingering = true;
    call->deadline = context.now + kLinger;
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
