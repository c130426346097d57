// At-most-once execution of keyed requests: each key has one dispatcher
// permanently.

#include "amaranthroute/policy/retry_after.h"
#include "libnode/entry/entry_role.h"

namespace amaranth::pvt {
namespace {

Failure KeyFailure(Verdict verdict, Reason reason, std::string detail) {
  Failure failure;
  failure.verdict = verdict;
  failure.reason = reason;
  failure.final = true;
  failure.detail = std::move(detail);
  return failure;
}

}  // namespace

void EntryRole::BeginKeyed(Call call, bool forwarded_here, Context& context) {
  KeyRecord* record = keys_.Find(call.key);
  if (record != nullptr) {
    return BeginWithRecord(std::move(call), *record, context);
  }
  const std::optional<Ticket> ticket = ParseTicket(call.key);
  if (ticket) return BeginWithTicket(std::move(call), *ticket, context);
  if (forwarded_here) {
    // By the platform's table this process holds the key, but it has no record:
    // the record has expired. Whether the request ran is no longer known.
    Call& registered = calls_.at(Register(std::move(call)));
    return FinishWithFailure(
        registered,
        KeyFailure(Verdict::kMayHaveRun, Reason::kClaimedElsewhere,
                   "the key was used before; its result is forgotten"),
        context);
  }
  record = keys_.Create(call.key, call.context.fingerprint, context.now);
  if (record == nullptr) {
    Call& registered = calls_.at(Register(std::move(call)));
    return FinishWithFailure(
        registered,
        KeyFailure(Verdict::kMayHaveRun, Reason::kTooLarge,
                   "this node remembers as many keys as it can"),
        context);
  }
  BeginClaim(std::move(call), *record, context);
}

void EntryRole::BeginWithRecord(Call call, KeyRecord& record,
                                Context& context) {
  const Waiter waiter = call.waiters.front();
  const std::string& request_id = call.context.request_id;
  if (record.fingerprint != call.context.fingerprint) {
    const Failure failure =
        KeyFailure(Verdict::kNotRun, Reason::kBadRequest,
                   "this idempotency key was used for a different request");
    return AnswerWaiter(waiter, failure, request_id, context);
  }
  switch (record.state) {
    case KeyState::kClaiming:
    case KeyState::kRunning: {
      Call& running = calls_.at(record.call);
      running.waiters.push_back(waiter);
      if (waiter.http_call != 0) by_http_call_[waiter.http_call] = running.id;
      // The deadline of the first caller has passed; that of the resend applies
      // from here on.
      if (running.awaits_late_answer) {
        deadlines_.Remove(running.deadline, running.id);
        running.awaits_late_answer = false;
        running.deadline = call.deadline;
        deadlines_.Add(running.deadline, running.id);
      }
      parts_.stats.Count("amaranth_joined_total");
      return;
    }
    case KeyState::kDone:
      parts_.stats.Count("amaranth_remembered_total");
      return AnswerWaiter(waiter, record.answer, context);
    case KeyState::kAnswerEvicted:
      return AnswerWaiter(
          waiter,
          KeyFailure(Verdict::kRan, Reason::kClaimedElsewhere,
                     "the request ran; its answer is no longer at hand"),
          request_id, context);
    case KeyState::kOutcomeUnknown:
      return AnswerWaiter(waiter, record.failure, request_id, context);
    case KeyState::kUnclaimed:
      return BeginClaim(std::move(call), record, context);
    case KeyState::kProvedNotRun:
      break;
  }
  record.state = KeyState::kRunning;
  record.call = call.id;
  Call& running = calls_.at(Register(std::move(call)));
  StartRunning(running, context);
}

void EntryRole::BeginWithTicket(Call call, const Ticket& ticket,
                                Context& context) {
  Call& registered = calls_.at(Register(std::move(call)));
  const NodeRef home{ticket.home, ticket.incarnation};
  if (home != context.identity.node) {
    return ForwardToHome(registered, home, context);
  }
  KeyRecord* record = nullptr;
  if (keys_.IsUsable(ticket, context.now)) {
    record = keys_.Create(registered.key, registered.context.fingerprint,
                          context.now);
  }
  if (record == nullptr) {
    // The record of a ticket that is too old was dropped, even if the ticket
    // was used.
    return FinishWithFailure(
        registered,
        KeyFailure(Verdict::kMayHaveRun, Reason::kBadRequest,
                   "the ticket is too old, or this node did not mint it"),
        context);
  }
  record->state = KeyState::kRunning;
  record->call = registered.id;
  StartRunning(registered, context);
}

void EntryRole::BeginClaim(Call call, KeyRecord& record, Context& context) {
  if (record.claim_id == 0) record.claim_id = context.NextId();
  record.state = KeyState::kClaiming;
  record.call = call.id;
  const uint64_t claim_id = record.claim_id;
  call.phase = CallPhase::kClaiming;
  Call& registered = calls_.at(Register(std::move(call)));
  claims_[claim_id] = registered.key;
  parts_.claims.Claim(claim_id, registered.key, context);
}

void EntryRole::OnClaimResult(const ClaimResult& result, Context& context) {
  const auto claim = claims_.find(result.claim_id);
  if (claim == claims_.end()) return;
  const std::string key = claim->second;
  claims_.erase(claim);
  KeyRecord* record = keys_.Find(key);
  if (record == nullptr || record->state != KeyState::kClaiming) return;
  Call* call = FindCall(record->call);
  const bool ours = result.known && result.holder == context.identity.node &&
                    result.holder_claim_id == result.claim_id;
  if (!result.known) {
    record->state = KeyState::kUnclaimed;
    if (call == nullptr) return;
    // Nothing was dispatched here. But the request may be a resend by a caller
    // that lost its answer, and only the platform knows of the run at another
    // node. Answered "not run", the caller would send its renewal with a new
    // key and pay twice.
    Failure failure =
        KeyFailure(Verdict::kMayHaveRun, Reason::kPlatformDown,
                   "the idempotency key could not be claimed in time");
    failure.retry_after = RetryAfter(0, 0, context.random);
    return FinishWithFailure(*call, std::move(failure), context);
  }
  if (ours) {
    record->state = KeyState::kProvedNotRun;
    if (call == nullptr) return;
    record->state = KeyState::kRunning;
    return StartRunning(*call, context);
  }
  keys_.Erase(key);
  if (call == nullptr) return;
  if (result.holder == context.identity.node) {
    // Claimed by this process for a record that it has since dropped.
    return FinishWithFailure(
        *call,
        KeyFailure(Verdict::kMayHaveRun, Reason::kClaimedElsewhere,
                   "the key was used before; its result is forgotten"),
        context);
  }
  ForwardToHome(*call, result.holder, context);
}

void EntryRole::ForwardToHome(Call& call, const NodeRef& home,
                              Context& context) {
  call.phase = CallPhase::kForwarded;
  const MemberRecord* member = parts_.membership.Find(home.name);
  const bool reachable = member != nullptr && member->node == home &&
                         member->state != MemberState::kDead;
  if (!reachable || call.waiters.front().http_call == 0) {
    // The process that may have run it is gone, or this request was already
    // forwarded once. Whether it ran is unknown, so it must not run here.
    return FinishWithFailure(
        call,
        KeyFailure(Verdict::kMayHaveRun, Reason::kHomeUnreachable,
                   "node " + home.name +
                       ", which alone may run this key, "
                       "cannot be reached"),
        context);
  }
  Attempt attempt;
  attempt.id = context.NextId();
  attempt.node = home;
  attempt.sent = context.now;
  HomeForward forward;
  forward.attempt = attempt.id;
  forward.home_incarnation = home.incarnation;
  forward.request = call.request;
  SetHeader(forward.request.headers, kRequestIdHeader, call.context.request_id);
  forward.remaining = RemainingFor(call, context.now);
  SetAttempt(call, attempt);
  parts_.stats.Count("amaranth_forwarded_home_total");
  parts_.outbox.Send(home.name, member->peer_address, std::move(forward),
                     context);
}

void EntryRole::OnHomeForward(const NodeRef& from, const HomeForward& forward,
                              Context& context) {
  Waiter waiter;
  waiter.peer = from;
  waiter.peer_attempt = forward.attempt;
  if (forward.home_incarnation != context.identity.node.incarnation) {
    return AnswerWaiter(
        waiter,
        KeyFailure(Verdict::kMayHaveRun, Reason::kHomeUnreachable,
                   "the process that alone may run this key is gone"),
        "", context);
  }
  Begin(waiter, forward.request, std::nullopt, forward.remaining, context);
}

void EntryRole::UpdateKeyRecord(const Call& call, const HttpResponse* response,
                                const Failure& failure) {
  if (call.key.empty() || call.phase == CallPhase::kForwarded) return;
  KeyRecord* record = keys_.Find(call.key);
  if (record == nullptr || record->call != call.id) return;
  if (call.phase == CallPhase::kClaiming) {
    record->state = KeyState::kUnclaimed;
  } else if (response != nullptr) {
    keys_.StoreAnswer(*record, call.key, *response);
  } else if (failure.verdict == Verdict::kNotRun) {
    record->state = KeyState::kProvedNotRun;
  } else {
    record->state = KeyState::kOutcomeUnknown;
    record->failure = failure;
  }
  record->call = 0;
}

}  // namespace amaranth::pvt
