// From a request to its first try.

#include <algorithm>

#include "amaranthroute/hash.h"
#include "amaranthroute/policy/retry_after.h"
#include "libnode/entry/entry_role.h"
#include "libnode/shared/answers.h"

namespace amaranth::pvt {
namespace {

// Deeper chains than this are loops: the users' are up to 6 deep.
constexpr uint8_t kMaxDepth = 32;

// Never passed on: they belong to one connection, or are ours to set.
constexpr std::string_view kStrippedHeaders[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "Content-Length",
    "Upgrade",
    "TE",
    "Trailer",
    "Expect",
    kContextHeader,
    kDeadlineHeader,
    kVerdictHeader,
    kFinalHeader,
    kTicketHeader,
    kRefusedHeader,
};

// The host that a request was sent to is ours, unless a route was chosen by it:
// then it is part of what the backend server is asked for.
HttpRequest Cleaned(const HttpRequest& request, bool routed) {
  HttpRequest cleaned = request;
  for (const std::string_view name : kStrippedHeaders) {
    RemoveHeader(cleaned.headers, name);
  }
  if (!routed) RemoveHeader(cleaned.headers, "Host");
  return cleaned;
}

bool IsIdempotent(const EffectiveSettings& settings,
                  const std::string& method) {
  switch (settings.idempotent) {
    case IdempotentMode::kYes:
      return true;
    case IdempotentMode::kNo:
      return false;
    case IdempotentMode::kAuto:
      break;
  }
  return IsReadMethod(method);
}

uint64_t FingerprintOf(const std::string& service, const HttpRequest& request) {
  const uint64_t head =
      Hash64(service + "\n" + request.method + "\n" + request.target);
  return Hash64(request.body.view(), head);
}

// What the call's own class says of it, whatever request it serves.
void TakeClass(Call& call, const EffectiveSettings& settings,
               const CallerHeaders& headers, bool routed) {
  CallContext& about = call.context;
  about.long_work = settings.long_work;
  about.idempotent = IsIdempotent(settings, call.request.method);
  about.fingerprint = FingerprintOf(about.service, call.request);
  call.own_class = headers.request_class;
  if (routed) call.most_tries = 1 + static_cast<int>(settings.retry_credits);
}

}  // namespace

EntryRole::EntryRole(const Parts& parts)
    : parts_(parts), choice_(parts.data_centre) {}

void EntryRole::OnCallerRequest(const CallerRequest& event, Context& context) {
  Waiter waiter;
  waiter.http_call = event.call;
  const RouteTable& routes = parts_.settings.routes();
  const bool by_route =
      !routes.empty() &&
      FindHeader(event.request.headers, kServiceHeader).empty();
  if (!by_route) {
    Begin(waiter, event.request, std::nullopt, std::nullopt, context);
    return;
  }
  const Route* route = routes.Find(FindHeader(event.request.headers, "Host"),
                                   event.request.target);
  if (route == nullptr) {
    const std::string id(FindHeader(event.request.headers, kRequestIdHeader));
    return RefuseUnbuilt(waiter, Verdict::kNotRun, Reason::kNoRoute, id,
                         "no route takes this host and path", context);
  }
  const RoutedTo routed{DrawTarget(*route, context.random), route->name};
  Begin(waiter, event.request, routed, std::nullopt, context);
}

void EntryRole::OnTicketRequest(CallId http_call, Context& context) {
  const std::string ticket = FormatTicket(keys_.Mint(context));
  context.Emit(AnswerCaller{
      http_call, JsonResponse(200, "{\"ticket\":\"" + ticket + "\"}")});
}

void EntryRole::Begin(const Waiter& waiter, const HttpRequest& request,
                      const std::optional<RoutedTo>& routed,
                      std::optional<Duration> remaining, Context& context) {
  const Outcome<CallerHeaders> parsed = ParseCallerHeaders(request, routed);
  if (!parsed) {
    return RefuseUnbuilt(waiter, Verdict::kNotRun, Reason::kBadRequest, "",
                         parsed.error().message, context);
  }
  const CallerHeaders& headers = parsed.value();
  Outcome<Call> built =
      BuildCall(request, headers, routed.has_value(), remaining, context);
  if (!built) {
    return RefuseUnbuilt(waiter, Verdict::kNotRun, Reason::kBadRequest,
                         headers.request_id, built.error().message, context);
  }
  Call call = std::move(built.value());
  if (!context.identity.rules.ids_name_sendings) TakeKey(call, headers);
  if (!parts_.membership.ServiceKnown(headers.service)) {
    ReturnLoan(call);
    // This node knows of no server, but an earlier asking under the same key
    // may have met a node that did.
    const Verdict verdict =
        call.key.empty() ? Verdict::kNotRun : Verdict::kMayHaveRun;
    return RefuseUnbuilt(
        waiter, verdict, Reason::kUnknownService, call.context.request_id,
        "no backend server has announced this service", context);
  }
  if (call.is_root) {
    admission_.TakeLevel(call, context.identity.rules.admit_at_edge,
                         context.now);
  }
  parts_.stats.Count("amaranth_requests_total");
  call.joinable = call.is_root && !headers.request_id.empty() &&
                  !context.identity.rules.ids_name_sendings;
  if (JoinInFlight(call, waiter)) return;
  call.waiters.push_back(waiter);
  if (RefuseNestedRepeat(call, context)) return;

  if (!call.key.empty()) {
    BeginKeyed(std::move(call), waiter.http_call == 0, context);
    return;
  }
  Call& running = calls_.at(Register(std::move(call)));
  StartRunning(running, context);
}

Outcome<Call> EntryRole::BuildCall(const HttpRequest& request,
                                   const CallerHeaders& headers, bool routed,
                                   std::optional<Duration> remaining,
                                   Context& context) {
  Call call;
  call.id = context.NextId();
  call.request = Cleaned(request, routed);
  call.started = context.now;
  CallContext& about = call.context;
  about.mesh = parts_.settings.mesh();
  about.service = headers.service;
  about.request_class = headers.request_class;
  about.tenant = headers.tenant;
  about.caller_key = headers.caller.empty() ? headers.tenant : headers.caller;
  about.request_id = headers.request_id;
  if (about.request_id.empty()) {
    about.request_id = context.identity.node.name + "-" +
                       std::to_string(context.identity.node.incarnation) + "-" +
                       std::to_string(call.id);
  }
  if (!headers.context_token.empty()) {
    return BuildNested(std::move(call), headers, routed, context);
  }
  const EffectiveSettings& settings =
      parts_.settings.Of(about.service, about.request_class);
  about.tier = settings.tier;
  TakeClass(call, settings, headers, routed);
  Duration limit = headers.deadline.value_or(settings.deadline);
  // A route's time limit is the operators' own: a caller may ask for less only.
  if (routed) limit = std::min(limit, settings.deadline);
  if (remaining) limit = std::min(limit, *remaining);
  call.deadline = context.now + limit;
  call.ledger = CreditLedger(static_cast<uint16_t>(settings.retry_credits));
  return call;
}

Outcome<Call> EntryRole::BuildNested(Call call, const CallerHeaders& headers,
                                     bool routed, Context& context) {
  const std::optional<ContextToken> token =
      ParseContextToken(headers.context_token);
  Hop* hop = token ? parts_.serving.FindHop(*token) : nullptr;
  if (hop == nullptr || hop->state != HopState::kDispatched) {
    return Error{ErrorCode::kInvalid,
                 "context names no request in flight on this host"};
  }
  if (hop->context.depth + 1 >= kMaxDepth) {
    return Error{ErrorCode::kInvalid, "call chain is too deep"};
  }
  // Identity and importance come from the request, not from the backend
  // server: the same request must meet the same fate at every hop.
  CallContext& about = call.context;
  const CallContext& parent = hop->context;
  about.request_id = parent.request_id;
  about.request_class = parent.request_class;
  about.tenant = parent.tenant;
  about.caller_key = parent.caller_key;
  about.tier = parent.tier;
  about.level = parent.level;
  about.depth = static_cast<uint8_t>(parent.depth + 1);
  // A route says of its own calls what may be repeated and for how long they
  // may wait, whatever request they serve.
  const EffectiveSettings& settings = parts_.settings.Of(
      about.service, routed ? headers.request_class : about.request_class);
  TakeClass(call, settings, headers, routed);
  call.is_root = false;
  call.parent_hop = hop->id;
  call.deadline = hop->deadline;
  if (routed) {
    call.deadline = std::min(call.deadline, context.now + settings.deadline);
  }
  if (headers.deadline) {
    call.deadline = std::min(call.deadline, context.now + *headers.deadline);
  }
  ++hop->nested_calls;
  call.lent_by_parent = hop->ledger.LendToNested();
  call.ledger = CreditLedger(call.lent_by_parent);
  return call;
}

void EntryRole::ReturnLoan(const Call& call) {
  Hop* hop = parts_.serving.FindHop(call.parent_hop);
  if (call.is_root || hop == nullptr) return;
  hop->ledger.Return(call.lent_by_parent, call.lent_by_parent);
}

void EntryRole::RefuseUnbuilt(const Waiter& waiter, Verdict verdict,
                              Reason reason, const std::string& request_id,
                              const std::string& detail, Context& context) {
  Failure failure;
  failure.verdict = verdict;
  failure.reason = reason;
  failure.final = true;
  failure.detail = detail;
  // A service may be unknown only because this node has just started.
  if (reason == Reason::kUnknownService) {
    failure.retry_after = RetryAfter(0, 0, context.random);
  }
  parts_.stats.Count("amaranth_refused_total",
                     "reason=\"" + std::string(ToString(reason)) + "\"");
  AnswerWaiter(waiter, failure, request_id, context);
}

bool EntryRole::RefuseNestedRepeat(Call& call, Context& context) {
  if (call.is_root) return false;
  Hop* hop = parts_.serving.FindHop(call.parent_hop);
  if (hop == nullptr) return false;
  const auto failed = hop->failed_nested.find(call.context.fingerprint);
  if (failed == hop->failed_nested.end()) return false;
  // The backend server sends again what this node gave up on: a retry like any
  // other, which would multiply with depth if it were free.
  const bool safe =
      call.context.idempotent || failed->second == Verdict::kNotRun;
  // The loan goes back whole before the repeat is paid for: a call that kept it
  // would have credits that the hop lends out a second time.
  ReturnLoan(call);
  if (safe && hop->ledger.Spend()) {
    call.lent_by_parent = hop->ledger.LendToNested();
    call.ledger = CreditLedger(call.lent_by_parent);
    return false;
  }
  hop->nested_gave_up = true;
  Failure failure;
  failure.verdict = failed->second;
  failure.reason = Reason::kRetriesSpent;
  failure.final = true;
  failure.detail = "this nested call was already given up on";
  AnswerWaiter(call.waiters.front(), failure, call.context.request_id, context);
  return true;
}

bool EntryRole::JoinInFlight(const Call& call, const Waiter& waiter) {
  if (!call.joinable || !call.context.idempotent) return false;
  const auto found =
      joinable_.find(call.context.tenant + "/" + call.context.request_id);
  if (found == joinable_.end()) return false;
  Call& running = calls_.at(found->second);
  if (running.context.fingerprint != call.context.fingerprint) return false;
  // A resend brings no new credits: it shares the try in flight.
  running.waiters.push_back(waiter);
  if (waiter.http_call != 0) by_http_call_[waiter.http_call] = running.id;
  parts_.stats.Count("amaranth_joined_total");
  return true;
}

void EntryRole::TakeKey(Call& call, const CallerHeaders& headers) {
  const bool keyed = call.is_root && !call.context.idempotent;
  if (keyed && !headers.idempotency_key.empty()) {
    const bool is_ticket = ParseTicket(headers.idempotency_key).has_value();
    call.key = is_ticket ? headers.idempotency_key
                         : headers.tenant + "/" + headers.idempotency_key;
  } else if (keyed && !headers.request_id.empty()) {
    // A caller that names its request may send it again under that name.
    call.key = headers.tenant + "/request/" + headers.request_id;
  }
}

uint64_t EntryRole::Register(Call call) {
  const uint64_t id = call.id;
  deadlines_.Add(call.deadline, id);
  for (const Waiter& waiter : call.waiters) {
    if (waiter.http_call != 0) by_http_call_[waiter.http_call] = id;
  }
  if (call.joinable) {
    joinable_[call.context.tenant + "/" + call.context.request_id] = id;
  }
  if (!call.is_root) {
    by_parent_hop_.emplace(call.parent_hop, id);
    Hop* hop = parts_.serving.FindHop(call.parent_hop);
    if (hop != nullptr) hop->BeginNested(call.started);
  }
  calls_.emplace(id, std::move(call));
  return id;
}

bool EntryRole::PassesInside(const Call& call, const Context& context) {
  return context.identity.rules.admit_at_edge && !call.is_root;
}

bool EntryRole::IsLetIn(Call& call, Failure& refusal, Context& context) {
  refusal.verdict = Verdict::kNotRun;
  refusal.reason = Reason::kShedAtEntry;
  if (admission_.IsUnderThreshold(call, context.now)) {
    refusal.detail = "a service of this call chain is overloaded";
    return false;
  }
  if (!context.identity.rules.admit_at_edge) return true;
  if (admission_.TakePlace(call, context.random)) return true;
  parts_.stats.Count("amaranth_window_full_total",
                     "class=\"" + call.own_class + "\"");
  refusal.detail = "as many of its class are under way as end in time";
  return false;
}

void EntryRole::StartRunning(Call& call, Context& context) {
  call.phase = CallPhase::kRunning;
  if (parts_.membership.IsQuarantined(call.context.service,
                                      call.context.fingerprint) &&
      !answered_.Contains(call.context.fingerprint, context.now)) {
    Failure failure;
    failure.verdict = Verdict::kNotRun;
    failure.reason = Reason::kQuarantined;
    failure.final = true;
    failure.detail = "requests like this one crash their backend servers";
    return FinishWithFailure(call, std::move(failure), context);
  }
  Failure refusal;
  if (!PassesInside(call, context) && !IsLetIn(call, refusal, context)) {
    TellParent(call, context);
    return FinishWithFailure(call, std::move(refusal), context);
  }
  retry_budgets_[call.context.service].OnFirstTry(context.now);
  if (call.is_root && context.identity.rules.fleet_retry_slack > 0) {
    FleetShareOf(call.context.service, context.identity.rules)
        .OnRequest(context.now);
  }
  if (TryNext(call, std::nullopt, context)) return;
  TellParent(call, context);
  Failure failure;
  failure.verdict = Verdict::kNotRun;
  const bool any = !parts_.membership.ServersOf(call.context.service).empty();
  failure.reason = any ? Reason::kShedAtEntry : Reason::kNoServer;
  failure.detail = any ? "all backend servers of the service are overloaded"
                       : "no usable backend server of the service";
  FinishWithFailure(call, std::move(failure), context);
}

}  // namespace amaranth::pvt
