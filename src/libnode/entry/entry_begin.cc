// Handles a request until its first attempt.

#include <algorithm>
#include <cmath>

#include "amaranthroute/hash.h"
#include "amaranthroute/policy/retry_after.h"
#include "libnode/entry/entry_role.h"
#include "libnode/shared/answers.h"
#include "libnode/shared/fingerprint_label.h"

namespace amaranth::pvt {
namespace {

// Deeper call chains are taken for loops; those of the users are up to 6 deep.
constexpr uint8_t kMaxDepth = 32;

// Caller key that all customers with a quota share.
constexpr char kWithinQuota[] = "within-quota";

// When the caller of a request without a fair chance should return. Servers
// that refuse calls whatever their load is usually do so for seconds; a caller
// that returned sooner would be refused again.
constexpr Duration kInfeasibleRetryAfter = std::chrono::seconds(1);

// Tenant of the requests on open routes.
constexpr char kNoCustomer[] = "default";

// Headers that are not forwarded: they belong to one connection, or are set by
// the nodes.
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
    kKeyHeader,
    kCustomerHeader,
};

// Removes the headers that are not forwarded. "Host" names this node and is
// removed, unless a route was chosen by it: then the backend server needs it.
HttpRequest WithoutNodeHeaders(const HttpRequest& request, bool routed) {
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

// Applies the settings of the call's own class, which may differ from the class
// of the request that it belongs to.
void ApplyClassSettings(Call& call, const EffectiveSettings& settings,
                        const CallerHeaders& headers, bool routed) {
  CallContext& call_context = call.context;
  call_context.long_work = settings.long_work;
  call_context.idempotent = IsIdempotent(settings, call.request.method);
  call_context.fingerprint = FingerprintOf(call_context.service, call.request);
  call.call_class = headers.request_class;
  if (routed) call.max_attempts = 1 + static_cast<int>(settings.retry_credits);
}

}  // namespace

EntryRole::EntryRole(const Parts& parts)
    : parts_(parts), choice_(parts.data_centre), reservations_(parts.stats) {}

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
    return RefuseUnregistered(waiter, Verdict::kNotRun, Reason::kNoRoute, id,
                              "no route takes this host and path", context);
  }
  const MatchedRoute routed{DrawTarget(*route, context.random), route->name,
                            route->open};
  Begin(waiter, event.request, routed, std::nullopt, context);
}

void EntryRole::OnTicketRequest(CallId http_call, Context& context) {
  const std::string ticket = FormatTicket(keys_.IssueTicket(context));
  context.Emit(AnswerCaller{
      http_call, JsonResponse(200, "{\"ticket\":\"" + ticket + "\"}")});
}

void EntryRole::Begin(const Waiter& waiter, const HttpRequest& request,
                      const std::optional<MatchedRoute>& routed,
                      std::optional<Duration> remaining, Context& context) {
  const Outcome<CallerHeaders> parsed = ParseCallerHeaders(request, routed);
  if (!parsed) {
    return RefuseUnregistered(waiter, Verdict::kNotRun, Reason::kBadRequest, "",
                              parsed.error().message, context);
  }
  CallerHeaders headers = parsed.value();
  const Customer* customer = nullptr;
  const bool nested = !headers.context_token.empty();
  if (!parts_.settings.customers().empty() && !nested) {
    const bool needs_key = !(routed && routed->open);
    if (needs_key) customer = FindCustomer(request, waiter.http_call == 0);
    if (needs_key && customer == nullptr) {
      return RefuseUnknownKey(waiter, request, headers.request_id, context);
    }
    // The name that the caller stated is not proved by a key.
    headers.tenant = customer != nullptr ? customer->name : kNoCustomer;
  }
  Outcome<Call> built =
      BuildCall(request, headers, routed, customer, remaining, context);
  if (!built) {
    return RefuseUnregistered(waiter, Verdict::kNotRun, Reason::kBadRequest,
                              headers.request_id, built.error().message,
                              context);
  }
  Call call = std::move(built.value());
  if (!context.identity.rules.request_id_per_send) AssignKey(call, headers);
  if (!parts_.membership.IsServiceKnown(headers.service)) {
    ReturnGrant(call);
    // This node knows no server of the service, but an earlier request with the
    // same key may have come to a node that did.
    const Verdict verdict =
        call.key.empty() ? Verdict::kNotRun : Verdict::kMayHaveRun;
    return RefuseUnregistered(
        waiter, verdict, Reason::kUnknownService, call.context.request_id,
        "no backend server has announced this service", context);
  }
  if (call.is_root) {
    admission_.AssignLevel(call, context.identity.rules.admit_at_edge,
                           context.now);
  }
  parts_.stats.Count("amaranth_requests_total");
  call.joinable = call.is_root && !headers.request_id.empty() &&
                  !context.identity.rules.request_id_per_send;
  if (JoinInFlight(call, waiter)) return;
  call.waiters.push_back(waiter);
  if (RefuseNestedRetry(call, context)) return;

  if (!call.key.empty()) {
    BeginKeyed(std::move(call), waiter.http_call == 0, context);
    return;
  }
  Call& running = calls_.at(Register(std::move(call)));
  StartRunning(running, context);
}

const Customer* EntryRole::FindCustomer(const HttpRequest& request,
                                        bool from_peer) const {
  const CustomerTable& customers = parts_.settings.customers();
  if (!from_peer) {
    return customers.FindByKey(FindHeader(request.headers, kKeyHeader));
  }
  return customers.Find(
      std::string(FindHeader(request.headers, kCustomerHeader)));
}

void EntryRole::RefuseUnknownKey(const Waiter& waiter,
                                 const HttpRequest& request,
                                 const std::string& request_id,
                                 Context& context) {
  // A renewal may have run before its customer's key was taken away.
  const Verdict verdict = UnregisteredVerdict(request, context.identity.rules);
  const std::string_view key = FindHeader(request.headers, kKeyHeader);
  const std::string detail = key.empty()
                                 ? "the request has no customer's key"
                                 : "no customer holds the key with digest " +
                                       std::string(KeyDigest::Of(key).Short());
  context.Log(LogLevel::kInfo, "entry",
              "request=" + request_id + " outcome=unknown-key verdict=" +
                  std::string(ToString(verdict)) + " detail=\"" + detail +
                  "\"");
  RefuseUnregistered(waiter, verdict, Reason::kUnknownKey, request_id, detail,
                     context);
}

Outcome<Call> EntryRole::BuildCall(const HttpRequest& request,
                                   const CallerHeaders& headers,
                                   const std::optional<MatchedRoute>& routed,
                                   const Customer* customer,
                                   std::optional<Duration> remaining,
                                   Context& context) {
  Call call;
  call.id = context.NextId();
  call.request = WithoutNodeHeaders(request, routed.has_value());
  call.started = context.now;
  CallContext& call_context = call.context;
  call_context.mesh = parts_.settings.mesh();
  call_context.service = headers.service;
  call_context.request_class = headers.request_class;
  call_context.tenant = headers.tenant;
  call_context.caller_key =
      headers.caller.empty() ? headers.tenant : headers.caller;
  // Its share is what the operators set, however much others ask for.
  if (customer != nullptr && !customer->quota.unlimited()) {
    call_context.caller_key = kWithinQuota;
  }
  call_context.request_id = headers.request_id;
  if (call_context.request_id.empty()) {
    call_context.request_id =
        context.identity.node.name + "-" +
        std::to_string(context.identity.node.incarnation) + "-" +
        std::to_string(call.id);
  }
  if (!headers.context_token.empty()) {
    return BuildNested(std::move(call), headers, routed, context);
  }
  if (customer != nullptr) {
    SetHeader(call.request.headers, kCustomerHeader, customer->name);
    call.customer = customer->name;
  }
  const EffectiveSettings& settings =
      parts_.settings.Resolve(call_context.service, call_context.request_class);
  call_context.tier = settings.tier;
  call_context.class_tier = settings.tier;
  if (customer != nullptr && customer->tier) {
    call_context.tier = *customer->tier;
  }
  ApplyClassSettings(call, settings, headers, routed.has_value());
  Duration limit = headers.deadline.value_or(settings.deadline);
  // The deadline of a route is set by the operators: a caller may only shorten
  // it.
  if (routed) limit = std::min(limit, settings.deadline);
  if (remaining) limit = std::min(limit, *remaining);
  call.deadline = context.now + limit;
  slack_.Assign(Admission::ClassKey(call), settings, call);
  call.ledger = CreditLedger(static_cast<uint16_t>(settings.retry_credits));
  return call;
}

Outcome<Call> EntryRole::BuildNested(Call call, const CallerHeaders& headers,
                                     const std::optional<MatchedRoute>& routed,
                                     Context& context) {
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
  // Identity and tier are those of the request, whatever the backend server
  // sends: a request must be admitted or shed in the same way at every hop.
  CallContext& call_context = call.context;
  const CallContext& parent = hop->context;
  call_context.request_id = parent.request_id;
  call_context.request_class = parent.request_class;
  call_context.tenant = parent.tenant;
  const bool open = routed && routed->open;
  if (!open && parts_.settings.customers().Find(parent.tenant) != nullptr) {
    SetHeader(call.request.headers, kCustomerHeader, parent.tenant);
  }
  call_context.caller_key = parent.caller_key;
  call_context.tier = parent.tier;
  call_context.class_tier = parent.class_tier;
  call_context.level = parent.level;
  call_context.admit_share = parent.admit_share;
  call_context.cost_bucket = parent.cost_bucket;
  call_context.calls_done = static_cast<uint8_t>(
      std::min(parent.calls_done + hop->calls_done, kMaxCallsDone));
  call_context.depth = static_cast<uint8_t>(parent.depth + 1);
  InheritSlack(*hop, context.now, call_context);
  // A route sets for its own calls whether they may be retried and their
  // deadline, independently of the request that they belong to.
  const EffectiveSettings& settings = parts_.settings.Resolve(
      call_context.service,
      routed ? headers.request_class : call_context.request_class);
  ApplyClassSettings(call, settings, headers, routed.has_value());
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
  call.granted_by_parent = hop->ledger.GrantToNested();
  call.ledger = CreditLedger(call.granted_by_parent);
  return call;
}

void EntryRole::ReturnGrant(const Call& call) {
  Hop* hop = parts_.serving.FindHop(call.parent_hop);
  if (call.is_root || hop == nullptr) return;
  hop->ledger.Return(call.granted_by_parent, call.granted_by_parent);
}

void EntryRole::RefuseUnregistered(const Waiter& waiter, Verdict verdict,
                                   Reason reason, const std::string& request_id,
                                   const std::string& detail,
                                   Context& context) {
  Failure failure;
  failure.verdict = verdict;
  failure.reason = reason;
  failure.final = true;
  failure.detail = detail;
  // A service may be unknown because this node has just started.
  if (reason == Reason::kUnknownService) {
    failure.retry_after = RetryAfter(0, 0, context.random);
  }
  parts_.stats.Count("amaranth_refused_total",
                     "reason=\"" + std::string(ToString(reason)) + "\"");
  AnswerWaiter(waiter, failure, request_id, context);
}

bool EntryRole::RefuseNestedRetry(Call& call, Context& context) {
  if (call.is_root) return false;
  Hop* hop = parts_.serving.FindHop(call.parent_hop);
  if (hop == nullptr) return false;
  const auto failed = hop->failed_nested.find(call.context.fingerprint);
  if (failed == hop->failed_nested.end()) return false;
  // The backend server repeats a nested call that failed here. This is a retry
  // and costs a credit: free retries would multiply with depth.
  const bool safe =
      call.context.idempotent || failed->second == Verdict::kNotRun;
  // The whole grant is returned before the retry is paid for. Otherwise the
  // call would keep credits that the hop grants a second time.
  ReturnGrant(call);
  if (safe && hop->ledger.Spend()) {
    call.granted_by_parent = hop->ledger.GrantToNested();
    call.ledger = CreditLedger(call.granted_by_parent);
    return false;
  }
  hop->nested_retries_exhausted = true;
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
  // A resend brings no new credits: it shares the attempt in flight.
  running.waiters.push_back(waiter);
  if (waiter.http_call != 0) by_http_call_[waiter.http_call] = running.id;
  parts_.stats.Count("amaranth_joined_total");
  return true;
}

void EntryRole::AssignKey(Call& call, const CallerHeaders& headers) {
  const bool keyed = call.is_root && !call.context.idempotent;
  if (keyed && !headers.idempotency_key.empty()) {
    const bool is_ticket = ParseTicket(headers.idempotency_key).has_value();
    call.key = is_ticket ? headers.idempotency_key
                         : headers.tenant + "/" + headers.idempotency_key;
  } else if (keyed && !headers.request_id.empty()) {
    // A caller that sends a request id may resend the request with it.
    call.key = headers.tenant + "/request/" + headers.request_id;
  }
}

bool EntryRole::CheckFeasibility(Call& call, Failure& refusal,
                                 Context& context) {
  if (!call.is_root || call.context.idempotent) return true;
  const EffectiveSettings& settings =
      parts_.settings.Resolve(call.context.service, call.context.request_class);
  if (!settings.feasibility_check) return true;
  const FeasibilityEstimate estimate =
      bottlenecks_.Feasible(Admission::ClassKey(call), context.now);
  if (estimate.chance >= Feasibility::kMinChance) return true;
  Feasibility& feasibility = bottlenecks_.feasibility();
  const bool admitted = feasibility.LetThrough(estimate, context.now);
  parts_.stats.Count("amaranth_feasibility_total",
                     "service=\"" + estimate.service + "\",class=\"" +
                         call.call_class + "\",outcome=\"" +
                         (admitted ? "probe" : "refused") + "\"");
  if (admitted) return true;
  call.infeasible = true;
  refusal.retry_after = kInfeasibleRetryAfter;
  refusal.detail = DetailOf(estimate);
  return false;
}

bool EntryRole::AdmitByRank(Call& call, Failure& refusal, Context& context) {
  const EffectiveSettings& settings =
      parts_.settings.Resolve(call.context.service, call.context.request_class);
  // Long work has a share of the slots of its own.
  if (!call.is_root || !settings.rank_admission || call.context.long_work) {
    return true;
  }
  const AdmitDecision decision =
      bottlenecks_.Decide(Admission::ClassKey(call), call.context, context.now);
  call.context.cost_bucket = decision.cost_bucket;
  if (decision.service.empty()) return true;
  const double share = decision.share * call.reservable.ShareForNew();
  std::uniform_real_distribution<double> draw(0, 1);
  const double drawn = call.reservable.arrival ? call.reservable.arrival->draw
                                               : draw(context.random);
  const bool admitted = call.reservable.ReturnedInTime() || drawn < share;
  call.refused_for_reserved =
      !admitted && (decision.share >= 1 || drawn < decision.share);
  parts_.stats.Count("amaranth_rank_admission_total",
                     "service=\"" + decision.service + "\",class=\"" +
                         bottlenecks_.LabelOf(call.call_class) +
                         "\",outcome=\"" + (admitted ? "admitted" : "refused") +
                         "\"");
  if (admitted) {
    if (call.reservable.ReturnedInTime()) return true;
    call.context.admit_share =
        static_cast<uint16_t>(std::lround(share * kFullAdmitShare));
    return true;
  }
  refusal.detail = DetailOf(decision);
  return false;
}

void EntryRole::RecognizeReturn(Call& call, Context& context) {
  const EffectiveSettings& settings =
      parts_.settings.Resolve(call.context.service, call.context.request_class);
  if (!call.is_root || !settings.retry_reservations) return;
  call.reservable =
      reservations_.OnArrival(Admission::ClassKey(call), call.context,
                              call.customer, context.now, context.random);
  // A shedding threshold may exceed the levels of a whole tier for a moment.
  // The reserved capacity is part of what the class is served on average, so it
  // must not be refused then.
  if (call.reservable.ReturnedInTime()) call.context.level = kMaxSheddingLevel;
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

bool EntryRole::SkipsAdmission(const Call& call, const Context& context) {
  return context.identity.rules.admit_at_edge && !call.is_root;
}

bool EntryRole::TryAdmit(Call& call, Failure& refusal, Context& context) {
  refusal.verdict = Verdict::kNotRun;
  refusal.reason = Reason::kShedAtEntry;
  RecognizeReturn(call, context);
  if (admission_.IsBelowThreshold(call, context.now)) {
    refusal.detail = "a service of this call chain is overloaded";
    return false;
  }
  if (!CheckFeasibility(call, refusal, context)) return false;
  if (!AdmitByRank(call, refusal, context)) return false;
  if (!reservations_.LeavesReservedCapacity(call.reservable, context.now,
                                            refusal)) {
    call.refused_for_reserved = true;
    return false;
  }
  call.passed_admission = true;
  if (!context.identity.rules.admit_at_edge) return true;
  if (admission_.TryEnterWindow(call, context.random)) return true;
  parts_.stats.Count("amaranth_window_full_total",
                     "class=\"" + call.call_class + "\"");
  refusal.detail = "as many of its class are under way as end in time";
  return false;
}

void EntryRole::StartRunning(Call& call, Context& context) {
  call.phase = CallPhase::kRunning;
  if (parts_.membership.IsQuarantined(call.context.service,
                                      call.context.fingerprint)) {
    Failure failure;
    failure.verdict = Verdict::kNotRun;
    failure.reason = Reason::kQuarantined;
    failure.final = true;
    failure.detail = "requests like this one crash their backend servers: " +
                     FingerprintLabel(call.context.fingerprint);
    return FinishWithFailure(call, std::move(failure), context);
  }
  Failure refusal;
  if (!SkipsAdmission(call, context) && !TryAdmit(call, refusal, context)) {
    PropagateThreshold(call, context);
    return FinishWithFailure(call, std::move(refusal), context);
  }
  if (TakeQuotaToken(call, context)) StartFirstAttempt(call, context);
}

bool EntryRole::TakeQuotaToken(Call& call, Context& context) {
  if (call.customer.empty()) return true;
  const Customer* customer = parts_.settings.customers().Find(call.customer);
  if (customer == nullptr || customer->quota.unlimited()) return true;
  call.phase = CallPhase::kAwaitingQuota;
  const std::optional<QuotaDecision> decision =
      parts_.quotas.Ask(call.id, *customer, context);
  if (!decision) return false;
  if (!decision->granted) {
    RefuseOverQuota(call, decision->retry_after, context);
    return false;
  }
  call.phase = CallPhase::kRunning;
  call.has_quota_token = true;
  return true;
}

bool EntryRole::OnQuotaDecision(uint64_t id, const QuotaDecision& decision,
                                Context& context) {
  Call* call = FindCall(id);
  if (call == nullptr || call->phase != CallPhase::kAwaitingQuota) return false;
  if (!decision.granted) {
    RefuseOverQuota(*call, decision.retry_after, context);
    return true;
  }
  call->phase = CallPhase::kRunning;
  call->has_quota_token = true;
  StartFirstAttempt(*call, context);
  return true;
}

void EntryRole::RefuseOverQuota(Call& call, Duration retry_after,
                                Context& context) {
  parts_.stats.Count("amaranth_over_quota_total",
                     "customer=\"" + call.customer + "\"");
  // Its end says nothing about the load.
  admission_.AbandonInWindow(call);
  Failure refusal;
  refusal.verdict = Verdict::kNotRun;
  refusal.reason = Reason::kOverQuota;
  refusal.final = true;
  refusal.retry_after = retry_after;
  refusal.detail = "customer " + call.customer + " is over its quota";
  FinishWithFailure(call, std::move(refusal), context);
}

void EntryRole::StartFirstAttempt(Call& call, Context& context) {
  retry_budgets_[call.context.service].OnFirstAttempt(context.now);
  if (call.is_root && context.identity.rules.fleet_retry_slack > 0) {
    FleetShareOf(call.context.service, context.identity.rules)
        .OnRequest(context.now);
  }
  if (StartNextAttempt(call, std::nullopt, context)) return;
  PropagateThreshold(call, context);
  Failure failure;
  failure.verdict = Verdict::kNotRun;
  const bool any = !parts_.membership.ServersOf(call.context.service).empty();
  failure.reason = any ? Reason::kShedAtEntry : Reason::kNoServer;
  failure.detail = any ? "all backend servers of the service are overloaded"
                       : "no usable backend server of the service";
  FinishWithFailure(call, std::move(failure), context);
}

}  // namespace amaranth::pvt
