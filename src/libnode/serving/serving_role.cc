#include "libnode/serving/serving_role.h"

#include <algorithm>
#include <utility>

#include "amaranthroute/policy/progress_watch.h"
#include "libnode/shared/fingerprint_label.h"

namespace amaranth::pvt {
namespace {

constexpr const char* kPart = "serving";

// Suspects that may wait at one server. Further ones are refused as not run.
constexpr size_t kMaxWaitingSuspects = 16;

// How long ordinary calls (those that are no suspects) are paused until the
// calls in flight have ended and a suspect can run alone. Without a bound, long
// work in flight would block the server for seconds. The suspect then waits for
// the next pause, or is refused as not run at its deadline. Other servers of
// the service take its calls meanwhile; the only one may not pause as long.
constexpr Duration kMaxPause = std::chrono::seconds(1);
constexpr Duration kMaxPauseOfOnlyServer = std::chrono::milliseconds(200);

// One more server of a service may pause for a suspect at the same time for
// each this many servers.
constexpr size_t kServersPerPause = 8;

// Time after which other nodes may run a suspect although the end of its run at
// this one is not known.
constexpr Duration kMaxSuspectRun = std::chrono::seconds(2);

// A call that enters the mesh at its server and can wait for this long needs no
// precedence: its wait is longer than any that a queue holds.
constexpr Duration kAmpleSlack = std::chrono::seconds(1);

// How long the answer to a non-idempotent call is awaited past its deadline.
constexpr Duration kLateAnswerGrace = std::chrono::seconds(5);

}  // namespace

ServingRole::ServingRole(Membership& membership, SettingsCache& settings,
                         Outbox& outbox, Stats& stats, Records& records)
    : membership_(membership),
      settings_(settings),
      outbox_(outbox),
      stats_(stats),
      records_(records) {}

CallKind ServingRole::KindOf(const Hop& hop) {
  return {hop.context.request_class, hop.context.depth};
}

Hop* ServingRole::FindHop(const ContextToken& token) {
  Hop* hop = FindHop(token.hop);
  return hop != nullptr && hop->nonce == token.nonce ? hop : nullptr;
}

Hop* ServingRole::FindHop(uint64_t id) {
  const auto found = hops_.find(id);
  return found == hops_.end() ? nullptr : &found->second;
}

std::vector<LoadReport> ServingRole::Reports(TimePoint now) {
  std::vector<LoadReport> reports;
  for (auto& [name, server] : servers_) reports.push_back(server.Report(now));
  return reports;
}

const RankDemand* ServingRole::DemandOf(const std::string& server) const {
  const auto found = servers_.find(server);
  const bool is_measured =
      found != servers_.end() && found->second.admits_by_rank();
  return is_measured ? &found->second.rank_demand() : nullptr;
}

void ServingRole::OnForward(const NodeRef& from, CallForward forward,
                            Context& context) {
  const AttemptKey key(from, forward.attempt);
  if (by_attempt_.count(key) > 0) return;  // a duplicate of one in flight
  Hop hop;
  hop.id = context.NextId();
  hop.nonce = context.random();
  hop.entry = from;
  hop.entry_address = membership_.PeerAddressOf(from.name);
  hop.attempt = forward.attempt;
  hop.server = std::move(forward.server);
  hop.context = std::move(forward.context);
  hop.request = std::move(forward.request);
  hop.arrived = context.now;
  hop.deadline = context.now + hop.context.remaining;
  hop.ledger = CreditLedger(hop.context.retry_credits);
  hop.typical_service_time = Duration(forward.usual_us);
  hop.reported_rate_limit = forward.rate_limit;
  stats_.Count("amaranth_hops_total");
  Admit(std::move(hop), context);
}

CrashGuard::Handling ServingRole::HandlingOf(const Hop& hop,
                                             TimePoint now) const {
  const uint64_t fingerprint = hop.context.fingerprint;
  const std::string& service = hop.context.service;
  const CrashGuard::Handling local = crash_guard_.HandlingOf(fingerprint, now);
  if (local == CrashGuard::Handling::kQuarantined ||
      membership_.IsQuarantined(service, fingerprint)) {
    return CrashGuard::Handling::kQuarantined;
  }
  const std::optional<TimePoint> suspected =
      membership_.SuspectedAt(service, fingerprint);
  std::optional<TimePoint> answer = answered_.LastAnswer(fingerprint, now);
  if (suspected) {
    answer = std::max(answer, membership_.ClearedAt(service, fingerprint));
  }
  const bool lost_by_this_call = hop.context.suspected_crashes > 0;
  const bool run_alone = answer ? suspected && *answer <= *suspected
                                : suspected.has_value() || lost_by_this_call;
  return run_alone ? CrashGuard::Handling::kRunAlone
                   : CrashGuard::Handling::kNormal;
}

bool ServingRole::AnsweredSinceCrash(const std::string& service,
                                     uint64_t fingerprint,
                                     TimePoint now) const {
  const std::optional<TimePoint> answer =
      answered_.LastAnswer(fingerprint, now);
  if (!answer) return false;
  const std::optional<TimePoint> crash =
      membership_.LastCrashOf(service, fingerprint);
  return !crash || *crash < *answer;
}

void ServingRole::Admit(Hop hop, Context& context) {
  const auto found = servers_.find(hop.server);
  if (found == servers_.end()) return Refuse(hop, Reason::kNoServer, context);
  LocalServer& server = found->second;
  if (server.draining) return Refuse(hop, Reason::kDraining, context);
  if (!server.has_answered && hop.reported_rate_limit) {
    server.SetRateLimit(hop.reported_rate_limit, context.now);
  }
  if (hop.deadline <= context.now) {
    return Refuse(hop, Reason::kDeadline, context);
  }

  const CrashGuard::Handling handling = HandlingOf(hop, context.now);
  if (handling == CrashGuard::Handling::kQuarantined) {
    return Refuse(hop, Reason::kQuarantined, context);
  }
  if (handling == CrashGuard::Handling::kRunAlone) {
    return AdmitSuspect(std::move(hop), server, context);
  }

  const uint32_t level = hop.context.level;
  server.shedder().OnArrival(level, context.now);
  server.OnOffered(hop, CustomerWeight(hop), context.now);
  const bool admitted_at_edge =
      context.identity.rules.admit_at_edge && hop.context.depth > 0;
  if (!admitted_at_edge && !server.shedder().Admits(level, context.now)) {
    return Refuse(hop, Reason::kShedAtServer, context);
  }
  Enqueue(std::move(hop), level, server, context);
  DispatchWaiting(server, context);
}

std::optional<double> ServingRole::CustomerWeight(const Hop& hop) const {
  const EffectiveSettings& settings =
      settings_.Resolve(hop.context.service, hop.context.request_class);
  if (!settings.rank_admission || !settings.customer_fairness) {
    return std::nullopt;
  }
  const Customer* customer = settings_.customers().Find(hop.context.tenant);
  if (customer == nullptr || customer->quota.unlimited()) return 1;
  return customer->quota.rate;
}

void ServingRole::AdmitSuspect(Hop hop, LocalServer& server, Context& context) {
  if (server.waiting_suspects.size() >= kMaxWaitingSuspects) {
    return Refuse(hop, Reason::kQueueFull, context);
  }
  crash_guard_.Suspect(hop.context.fingerprint, context.now);
  hop.BeginSuspectWait(context.now);
  server.waiting_suspects.push_back(hop.id);
  queue_deadlines_.Add(hop.deadline, hop.id);
  by_attempt_[{hop.entry, hop.attempt}] = hop.id;
  hops_.emplace(hop.id, std::move(hop));
  DispatchSuspect(server, context);
}

void ServingRole::SetSlack(const Hop& hop, QueuedCall& queued) {
  const CallContext& call = hop.context;
  if (call.target_slack) queued.target_start = hop.arrived + *call.target_slack;
  if (call.deadline_slack) {
    queued.deadline_start = hop.arrived + *call.deadline_slack;
  }
  queued.calls_done = call.calls_done;
}

void ServingRole::Enqueue(Hop hop, uint32_t level, LocalServer& server,
                          Context& context) {
  QueuedCall queued;
  queued.id = hop.id;
  queued.tier = hop.context.tier;
  queued.class_tier = hop.context.class_tier;
  // Calls that enter the mesh at this service are queued one tier of classes
  // higher: such a request spends all of its time here, a nested call only a
  // part of it.
  const bool direct = context.identity.rules.admit_at_edge &&
                      hop.context.depth == 0 &&
                      !(server.admits_by_rank() && CanWait(hop));
  if (direct && queued.class_tier != Tier::kCritical) {
    const bool from_customer =
        !FindHeader(hop.request.headers, kCustomerHeader).empty();
    queued.class_tier =
        static_cast<Tier>(static_cast<int>(queued.class_tier) + 1);
    if (!from_customer) queued.tier = queued.class_tier;
  }
  queued.level = level;
  queued.caller_key = hop.context.caller_key;
  queued.cost_bucket = hop.context.cost_bucket;
  if (settings_.Resolve(hop.context.service, hop.context.request_class)
          .queue_order == QueueOrder::kSlack) {
    SetSlack(hop, queued);
  }
  queued.long_work = hop.context.long_work;
  queued.enqueued = context.now;
  queued.deadline = hop.deadline;
  queued.expected = server.ExpectedService(KindOf(hop));
  std::vector<QueuedCall> evicted;
  const PushResult pushed =
      server.queue().Push(std::move(queued), context.now, evicted);
  RefuseAll(evicted, Reason::kQueueFull, context);
  if (pushed == PushResult::kFull) {
    return Refuse(hop, Reason::kQueueFull, context);
  }
  queue_deadlines_.Add(hop.deadline, hop.id);
  by_attempt_[{hop.entry, hop.attempt}] = hop.id;
  hop.paused_before = server.PausedTime(context.now);
  hops_.emplace(hop.id, std::move(hop));
}

bool ServingRole::CanWait(const Hop& hop) const {
  const EffectiveSettings& settings =
      settings_.Resolve(hop.context.service, hop.context.request_class);
  return settings.target_p99 - hop.typical_service_time > kAmpleSlack;
}

void ServingRole::DispatchWaiting(LocalServer& server, Context& context) {
  DispatchSuspect(server, context);
  while (server.MayStart(context.now) && !server.OrdinaryPaused()) {
    // Read before Pop. The wait of the call that is started would not do: with
    // order by tier and newest first it stays short in any overload, and
    // nothing would be shed.
    const Duration oldest_wait = server.QueueDelay(context.now);
    std::vector<QueuedCall> expired;
    const std::optional<QueuedCall> next =
        server.queue().Pop(context.now, server.expected_service(),
                           server.LongWorkAllowed(), expired);
    RefuseAll(expired, Reason::kDeadline, context);
    if (!next) {
      if (server.queue().size() == 0) {
        server.shedder().OnIdle(context.now);
        server.rank_demand().OnIdle();
      }
      return;
    }
    Hop& hop = hops_.at(next->id);
    // With admission by rank, calls of low rank that can wait do so behind the
    // others. Their wait must not raise the threshold that sheds the others.
    if (!server.admits_by_rank()) {
      server.shedder().OnQueueDelay(oldest_wait, context.now);
    } else if (!CanWait(hop)) {
      server.shedder().OnQueueDelay(context.now - next->enqueued, context.now);
    }
    const CrashGuard::Handling handling = HandlingOf(hop, context.now);
    if (handling == CrashGuard::Handling::kNormal) {
      Dispatch(hop, server, context);
      continue;
    }
    // Nodes have learned of crashes while it was queued.
    const Hop removed = TakeHop(next->id);
    if (handling == CrashGuard::Handling::kQuarantined) {
      Refuse(removed, Reason::kQuarantined, context);
    } else {
      AdmitSuspect(removed, server, context);
    }
  }
}

uint64_t ServingRole::NextSuspect(const LocalServer& server,
                                  TimePoint now) const {
  const std::deque<uint64_t>& waiting = server.waiting_suspects;
  if (waiting.empty()) return 0;
  const std::string& service = server.record().service;
  const bool is_paused = server.paused_for != 0;
  const size_t servers = membership_.ServersOf(service).size();
  const size_t allowed = 1 + servers / kServersPerPause;
  if (!is_paused && membership_.RunningSuspects(service, now) >= allowed) {
    return 0;
  }
  const auto next = std::find_if(waiting.begin(), waiting.end(), [&](auto id) {
    const uint64_t fingerprint = hops_.at(id).context.fingerprint;
    return is_paused ? fingerprint == server.paused_for
                     : !membership_.IsSuspectRunning(service, fingerprint, now);
  });
  return next == waiting.end() ? 0 : *next;
}

// Pauses at few servers of a service at a time, at each for a suspect of its
// own: a request that crashes servers would otherwise crash several at once,
// and pauses of all servers would halve the throughput of the service.
void ServingRole::DispatchSuspect(LocalServer& server, Context& context) {
  if (server.suspect_in_flight) return;
  ReviewWaitingSuspects(server, context);
  const uint64_t next = NextSuspect(server, context.now);
  if (next == 0) return EndPause(server, context);
  if (context.now < server.next_pause) return;
  if (!server.rate_gate().Allows(context.now)) return;
  Hop& hop = hops_.at(next);
  if (!server.OrdinaryPaused()) BeginPause(hop, server, context);
  if (server.in_flight() > 0) {
    const bool is_only_server =
        membership_.ServersOf(server.record().service).size() < 2;
    const Duration limit = is_only_server ? kMaxPauseOfOnlyServer : kMaxPause;
    const bool too_long = context.now - server.paused_since() >= limit;
    if (too_long) EndPause(server, context);
    return;
  }
  std::deque<uint64_t>& waiting = server.waiting_suspects;
  waiting.erase(std::find(waiting.begin(), waiting.end(), next));
  StartSuspectRun(hop, server, context);
}

void ServingRole::BeginPause(const Hop& hop, LocalServer& server,
                             Context& context) {
  server.BeginPause(context.now);
  server.paused_for = hop.context.fingerprint;
  membership_.AddSuspectNews(
      {hop.context.service, hop.context.fingerprint, SuspectEvent::kStarted,
       kMaxPause + kMaxSuspectRun},
      context);
}

void ServingRole::StartSuspectRun(Hop& hop, LocalServer& server,
                                  Context& context) {
  hop.EndSuspectWait(context.now);
  hop.is_suspect = true;
  server.suspect_in_flight = true;
  server.paused_for = 0;
  const CallContext& call = hop.context;
  const Duration waited = context.now - hop.arrived;
  stats_.Observe("node", "suspect", "dispatched", waited);
  context.Log(LogLevel::kInfo, kPart,
              "Runs a suspected request alone at backend server " + hop.server +
                  ": " + FingerprintLabel(call.fingerprint) +
                  " waited_ms=" + std::to_string(ToMillis(waited)));
  Dispatch(hop, server, context);
  const Duration time_left = hop.timeout_at - context.now;
  membership_.AddSuspectNews(
      {call.service, call.fingerprint, SuspectEvent::kStarted,
       std::min(time_left, kMaxSuspectRun)},
      context);
}

void ServingRole::ReviewWaitingSuspects(LocalServer& server, Context& context) {
  const std::deque<uint64_t> waiting = std::move(server.waiting_suspects);
  server.waiting_suspects.clear();
  for (const uint64_t id : waiting) {
    const CrashGuard::Handling handling = HandlingOf(hops_.at(id), context.now);
    if (handling == CrashGuard::Handling::kRunAlone) {
      server.waiting_suspects.push_back(id);
      continue;
    }
    Hop hop = TakeHop(id);
    if (handling == CrashGuard::Handling::kQuarantined) {
      Refuse(hop, Reason::kQuarantined, context);
      continue;
    }
    hop.EndSuspectWait(context.now);
    hop.state = HopState::kQueued;
    const uint32_t level = hop.context.level;
    Enqueue(std::move(hop), level, server, context);
  }
}

void ServingRole::EndPause(LocalServer& server, Context& context) {
  server.suspect_in_flight = false;
  if (server.paused_for != 0) {
    membership_.AddSuspectNews(
        {server.record().service, server.paused_for, SuspectEvent::kEnded},
        context);
    server.paused_for = 0;
  }
  if (!server.OrdinaryPaused()) return;
  // Ordinary calls run for at least as long as the pause took: after a crash
  // with a hundred calls in flight they would otherwise be blocked while a
  // hundred suspects run alone.
  server.next_pause = context.now + (context.now - server.paused_since());
  server.EndPause(context.now);
}

Duration ServingRole::PausedWait(const Hop& hop, const LocalServer& server,
                                 TimePoint now) {
  if (hop.state != HopState::kQueued) return Duration(0);
  return server.PausedTime(now) - hop.paused_before;
}

void ServingRole::Dispatch(Hop& hop, LocalServer& server, Context& context) {
  queue_deadlines_.Remove(hop.deadline, hop.id);
  hop.excluded_wait += PausedWait(hop, server, context.now);
  hop.state = HopState::kDispatched;
  hop.dispatched = context.now;
  const Duration timeout = DispatchTimeout(hop, server, context);
  hop.timeout_at = context.now + timeout;
  server.OnDispatched(hop.id, hop.context.fingerprint, hop.context.long_work,
                      context.now - hop.arrived, context.now);
  stats_.Observe("node", "queue", "dispatched", context.now - hop.arrived);
  context.Emit(SendServer{hop.id, hop.server, server.record().address,
                          RequestFor(hop, context.now), timeout});
}

Duration ServingRole::DispatchTimeout(const Hop& hop, const LocalServer& server,
                                      const Context& context) const {
  const Duration remaining = hop.deadline - context.now;
  const DeploymentRules& rules = context.identity.rules;
  // Nobody resends such a request for a late answer. A slow answer is no sign
  // of an unresponsive connection either, where calls wait for nested calls:
  // with a shorter timeout the whole request would fail although the server is
  // still processing it.
  if (rules.request_id_per_send) return remaining;
  // A non-idempotent call cannot be retried on another connection. An earlier
  // timeout would only lose an answer that may still arrive, and that a resend
  // under the same key asks for.
  if (!hop.context.idempotent) return remaining + kLateAnswerGrace;
  if (hop.context.long_work) return remaining;
  return AttemptTimeout(server.expected_service(), remaining);
}

HttpRequest ServingRole::RequestFor(const Hop& hop, TimePoint now) const {
  HttpRequest request = hop.request;
  std::vector<Header>& headers = request.headers;
  SetHeader(headers, kContextHeader, FormatContextToken({hop.id, hop.nonce}));
  SetHeader(headers, kRequestIdHeader, hop.context.request_id);
  SetHeader(headers, kServiceHeader, hop.context.service);
  SetHeader(headers, kClassHeader, hop.context.request_class);
  SetHeader(headers, kTenantHeader, hop.context.tenant);
  SetHeader(headers, kDeadlineHeader,
            std::to_string(std::max<int64_t>(1, ToMillis(hop.deadline - now))));
  return request;
}

void ServingRole::OnCancel(const NodeRef& from, const CallCancel& cancel,
                           Context& context) {
  const auto found = by_attempt_.find({from, cancel.attempt});
  if (found == by_attempt_.end()) return;  // answered already
  Hop& hop = hops_.at(found->second);
  if (cancel.only_waiting && hop.state == HopState::kDispatched) return;
  Cancel(hop, context);
}

void ServingRole::Cancel(Hop& hop, Context& context) {
  if (hop.cancelled) return;
  hop.cancelled = true;
  if (hop.state == HopState::kDispatched) {
    // The verdict is known only with the shell's ServerFailed: until the
    // connection is closed the backend server may still start the request.
    context.Emit(CancelServer{hop.id});
    on_hop_cancelled(hop.id, context);
    return;
  }
  const Hop removed = TakeWaitingHop(hop.id);
  Refuse(removed, Reason::kCancelled, context);
}

void ServingRole::RefuseWaiting(Context& context) {
  for (const auto& [name, server] : servers_) {
    for (const uint64_t id : WaitingAt(name)) {
      const Hop hop = TakeWaitingHop(id);
      Refuse(hop, Reason::kDraining, context);
    }
  }
}

void ServingRole::OnEntryLost(const std::string& peer, Context& context) {
  std::vector<uint64_t> orphans;
  for (const auto& [key, id] : by_attempt_) {
    if (key.first.name == peer) orphans.push_back(id);
  }
  for (const uint64_t id : orphans) {
    Hop& hop = hops_.at(id);
    // A dispatched non-idempotent call runs to completion: its effect may have
    // begun, and a resend under the same key may ask for the answer.
    const bool keep = hop.state == HopState::kDispatched &&
                      !hop.context.idempotent &&
                      !context.identity.rules.request_id_per_send;
    if (!keep) Cancel(hop, context);
  }
}

Hop ServingRole::TakeHop(uint64_t id) {
  const auto found = hops_.find(id);
  Hop hop = std::move(found->second);
  hops_.erase(found);
  queue_deadlines_.Remove(hop.deadline, id);
  by_attempt_.erase({hop.entry, hop.attempt});
  return hop;
}

Hop ServingRole::TakeWaitingHop(uint64_t id) {
  Hop hop = TakeHop(id);
  const auto found = servers_.find(hop.server);
  if (found == servers_.end()) return hop;
  LocalServer& server = found->second;
  server.queue().Remove(id);
  std::deque<uint64_t>& waiting = server.waiting_suspects;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
  return hop;
}

}  // namespace amaranth::pvt
