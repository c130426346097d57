#include "libnode/serving/serving_role.h"

#include <algorithm>
#include <utility>

#include "amaranthroute/policy/progress_watch.h"
#include "libnode/shared/answers.h"
#include "libnode/shared/durations.h"

namespace amaranth::pvt {
namespace {

constexpr const char* kPart = "serving";

// More suspects than this wait for no server: they are refused as not run.
constexpr size_t kMaxWaitingSuspects = 16;

// How long ordinary calls wait for those in flight to end before a suspect's
// lone run. Long work would otherwise stop its server for seconds; the suspect
// then tries again, or ends at its deadline as not run.
constexpr Duration kLongestPause = std::chrono::milliseconds(200);

// A crash with more victims than this is not told to other nodes as suspects:
// gossip must stay small, and the entry nodes still mark their own retries.
constexpr size_t kMaxGossipedSuspects = 16;

// How long after its deadline a non-idempotent call's answer is still awaited.
constexpr Duration kLateAnswerGrace = std::chrono::seconds(5);

// A call that ended this near to its deadline was ended by it. One that had so
// many times the usual time by then shows a server that does not answer.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(20);
constexpr int kHangFactor = 5;

bool IsRunningLate(const Hop& hop, TimePoint now) {
  return hop.timeout_at != kNever && now >= hop.timeout_at;
}

bool IsRefusal(const HttpResponse& response) {
  return !FindHeader(response.headers, kRefusedHeader).empty();
}

CallKind KindOf(const Hop& hop) {
  return {hop.context.request_class, hop.context.depth};
}

}  // namespace

ServingRole::ServingRole(Membership& membership, SettingsCache& settings,
                         Outbox& outbox, Stats& stats, Records& records)
    : membership_(membership),
      settings_(settings),
      outbox_(outbox),
      stats_(stats),
      records_(records) {}

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
  hop.usual = Duration(forward.usual_us);
  stats_.Count("amaranth_hops_total");
  Admit(std::move(hop), context);
}

CrashGuard::Handling ServingRole::HandlingOf(const Hop& hop,
                                             TimePoint now) const {
  const uint64_t fingerprint = hop.context.fingerprint;
  if (answered_.Contains(fingerprint, now)) {
    return CrashGuard::Handling::kNormal;
  }
  const uint32_t crashes =
      membership_.CrashesOf(hop.context.service, fingerprint);
  if (crashes >= kQuarantineCrashes) return CrashGuard::Handling::kQuarantined;
  const CrashGuard::Handling own = crash_guard_.HandlingOf(fingerprint, now);
  const bool suspected_elsewhere =
      crashes >= kSuspectCrashes || hop.context.suspected_crashes > 0;
  if (own == CrashGuard::Handling::kNormal && suspected_elsewhere) {
    return CrashGuard::Handling::kRunAlone;
  }
  return own;
}

void ServingRole::Admit(Hop hop, Context& context) {
  const auto found = servers_.find(hop.server);
  if (found == servers_.end()) return Refuse(hop, Reason::kNoServer, context);
  LocalServer& server = found->second;
  if (server.draining) return Refuse(hop, Reason::kDraining, context);
  if (hop.deadline <= context.now) {
    return Refuse(hop, Reason::kDeadline, context);
  }

  const CrashGuard::Handling handling = HandlingOf(hop, context.now);
  if (handling == CrashGuard::Handling::kQuarantined) {
    return Refuse(hop, Reason::kQuarantined, context);
  }
  if (handling == CrashGuard::Handling::kRunAlone) {
    crash_guard_.Suspect(hop.context.fingerprint, context.now);
    return AdmitSuspect(std::move(hop), server, context);
  }

  const uint32_t level = hop.context.level;
  server.shedder().OnArrival(level, context.now);
  const bool let_in =
      context.identity.rules.admit_at_edge && hop.context.depth > 0;
  if (!let_in && !server.shedder().Admits(level, context.now)) {
    return Refuse(hop, Reason::kShedAtServer, context);
  }
  Enqueue(std::move(hop), level, server, context);
  Pump(server, context);
}

void ServingRole::AdmitSuspect(Hop hop, LocalServer& server, Context& context) {
  if (server.waiting_suspects.size() >= kMaxWaitingSuspects) {
    return Refuse(hop, Reason::kQueueFull, context);
  }
  hop.state = HopState::kSuspect;
  server.waiting_suspects.push_back(hop.id);
  queue_deadlines_.Add(hop.deadline, hop.id);
  by_attempt_[{hop.entry, hop.attempt}] = hop.id;
  hops_.emplace(hop.id, std::move(hop));
  PumpSuspects(server, context);
}

void ServingRole::Enqueue(Hop hop, uint32_t level, LocalServer& server,
                          Context& context) {
  QueuedCall queued;
  queued.id = hop.id;
  queued.tier = hop.context.tier;
  // A request that asks this service directly spends its whole time here, the
  // others' calls only a part of theirs.
  const bool direct =
      context.identity.rules.admit_at_edge && hop.context.depth == 0;
  if (direct && queued.tier != Tier::kCritical) {
    queued.tier = static_cast<Tier>(static_cast<int>(queued.tier) + 1);
  }
  queued.level = level;
  queued.caller_key = hop.context.caller_key;
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
  hops_.emplace(hop.id, std::move(hop));
}

void ServingRole::Pump(LocalServer& server, Context& context) {
  PumpSuspects(server, context);
  while (server.HasFreeSlot() && !server.OrdinaryPaused()) {
    // Read before Pop: the started call's own wait is short in any overload, as
    // order is by tier and newest first, and nothing would be shed.
    const Duration standing = server.queue().standing_delay(context.now);
    std::vector<QueuedCall> expired;
    const std::optional<QueuedCall> next =
        server.queue().Pop(context.now, server.expected_service(),
                           server.LongWorkAllowed(), expired);
    RefuseAll(expired, Reason::kDeadline, context);
    if (!next) {
      if (server.queue().size() == 0) server.shedder().OnIdle(context.now);
      return;
    }
    server.shedder().OnQueueDelay(standing, context.now);
    Dispatch(hops_.at(next->id), server, context);
  }
}

void ServingRole::PumpSuspects(LocalServer& server, Context& context) {
  if (server.suspect_in_flight) return;
  RefuseQuarantined(server, context);
  if (server.waiting_suspects.empty()) {
    server.paused_since = kNever;
    return;
  }
  if (context.now < server.next_pause) return;
  if (server.paused_since == kNever) server.paused_since = context.now;
  if (server.in_flight() > 0) {
    const bool too_long = context.now - server.paused_since >= kLongestPause;
    if (too_long) EndPause(server, context.now);
    return;
  }
  Hop& hop = hops_.at(server.waiting_suspects.front());
  server.waiting_suspects.pop_front();
  hop.is_suspect = true;
  server.suspect_in_flight = true;
  Dispatch(hop, server, context);
}

void ServingRole::RefuseQuarantined(LocalServer& server, Context& context) {
  std::deque<uint64_t>& waiting = server.waiting_suspects;
  while (!waiting.empty()) {
    const Hop& hop = hops_.at(waiting.front());
    if (HandlingOf(hop, context.now) != CrashGuard::Handling::kQuarantined) {
      return;
    }
    waiting.pop_front();
    const Hop refused = TakeHop(hop.id);
    Refuse(refused, Reason::kQuarantined, context);
  }
}

void ServingRole::EndPause(LocalServer& server, TimePoint now) {
  server.suspect_in_flight = false;
  if (server.paused_since == kNever) return;
  // Ordinary calls get at least as long as the pause took: a crash with a
  // hundred in flight would otherwise stop them for a hundred lone runs.
  server.next_pause = now + (now - server.paused_since);
  server.paused_since = kNever;
}

void ServingRole::Dispatch(Hop& hop, LocalServer& server, Context& context) {
  queue_deadlines_.Remove(hop.deadline, hop.id);
  hop.state = HopState::kDispatched;
  hop.dispatched = context.now;
  const Duration timeout = DispatchTimeout(hop, server, context);
  hop.timeout_at = context.now + timeout;
  server.OnDispatched(hop.id, hop.context.fingerprint, hop.context.long_work,
                      context.now - hop.arrived);
  stats_.Observe("node", "queue", "dispatched", context.now - hop.arrived);
  context.Emit(SendServer{hop.id, hop.server, server.record().address,
                          RequestFor(hop, context.now), timeout});
}

Duration ServingRole::DispatchTimeout(const Hop& hop, const LocalServer& server,
                                      const Context& context) const {
  const Duration remaining = hop.deadline - context.now;
  const DeploymentRules& rules = context.identity.rules;
  // Nobody asks again for a late answer. Nor is a slow one a sign of a silent
  // connection where calls wait for the services below: broken off, its whole
  // request fails although the server is at work on it.
  if (rules.ids_name_sendings) return remaining;
  // A non-idempotent call on a silent connection cannot be tried again, so
  // giving up early would only lose an answer that may still come, and that a
  // resend of its key will ask for.
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

Hop ServingRole::EndDispatch(uint64_t id, bool failed, Context& context) {
  Hop hop = TakeHop(id);
  const auto found = servers_.find(hop.server);
  if (found == servers_.end()) return hop;
  LocalServer& server = found->second;
  server.OnEnded(id, KindOf(hop), context.now - hop.dispatched,
                 hop.OwnTime(context.now), failed, context.now);
  if (hop.is_suspect) EndPause(server, context.now);
  return hop;
}

void ServingRole::OnServerReplied(const ServerReplied& replied,
                                  Context& context) {
  if (hops_.count(replied.dispatch) == 0) return;
  const Hop hop = EndDispatch(replied.dispatch, false, context);
  NoteServed(hop, replied.response, context.now);
  const HttpResponse& response = replied.response;
  JudgeResult(hop, response.status >= 500 || IsRefusal(response), context.now);
  crash_guard_.OnSurvived(hop.context.fingerprint, context.now);
  answered_.Insert(hop.context.fingerprint, context.now);
  Answer(hop, replied.response, context);
  const auto found = servers_.find(hop.server);
  if (found == servers_.end()) return;
  found->second.last_heard = context.now;
  found->second.crash_window().OnAnswered(hop.id);
  Pump(found->second, context);
}

// A refusal or an error frees its slot at once: counted, a server that refuses
// half of its calls would seem to end twice as many.
void ServingRole::NoteServed(const Hop& hop, const HttpResponse& response,
                             TimePoint now) {
  const auto found = servers_.find(hop.server);
  const bool served = response.status < 500 && !IsRefusal(response);
  if (found == servers_.end() || !served || hop.context.long_work) return;
  found->second.OnServed(hop.OwnTime(now), now);
}

void ServingRole::OnServerFailed(const ServerFailed& failed, Context& context) {
  Hop* broken = FindHop(failed.dispatch);
  if (broken == nullptr) return;
  const bool late = IsRunningLate(*broken, context.now);
  const auto found = servers_.find(broken->server);
  if (found != servers_.end()) {
    LocalServer& server = found->second;
    const bool reset =
        failed.reason == Reason::kConnectionLost && !late && !broken->cancelled;
    if (reset) {
      server.crash_window().OnReset(failed.dispatch, server.InFlight(),
                                    context.now);
    }
    if (failed.reason == Reason::kConnectFailed) {
      server.crash_window().OnRefused();
    }
    // The other pooled connections went through the same middle box: one that
    // forgot this connection may have forgotten them all.
    if (late) context.Emit(DropIdleConnections{server.record().address});
  }
  const bool cancelled = broken->cancelled;
  const Hop hop = EndDispatch(failed.dispatch, !cancelled, context);
  if (!cancelled) JudgeResult(hop, true, context.now);
  on_hop_cancelled(hop.id, context);
  // Told to the fleet before the caller is answered, who may send it again.
  if (found != servers_.end()) NoteCrash(found->second, context);
  Fail(hop, ExplainBreak(failed, hop, context.now), context);
  if (found == servers_.end()) return;
  Pump(found->second, context);
}

void ServingRole::JudgeResult(const Hop& hop, bool failed, TimePoint now) {
  const auto found = servers_.find(hop.server);
  if (found == servers_.end() || hop.context.long_work) return;
  const Duration own_time = hop.OwnTime(now);
  // A failure below is not the server's own, nor is a deadline that came before
  // the server had the time that it needs.
  const bool below = hop.nested_gave_up || !hop.failed_nested.empty() ||
                     hop.nested_in_flight > 0;
  const bool cut_short = now + kDeadlineMargin >= hop.deadline &&
                         own_time < hop.usual * kHangFactor;
  if (failed && (below || cut_short)) return;
  found->second.judge().OnEnded(own_time, hop.usual, failed, now);
}

void ServingRole::TellFitness(LocalServer& server, Context& context) {
  const std::string& service = server.record().service;
  ServerFitness fitness = server.judge().Fitness(context.now);
  // The only server of a service has nothing to be compared with.
  if (membership_.ServersOf(service).size() < 2) fitness = ServerFitness();
  if (fitness == server.told_fitness) return;
  server.told_fitness = fitness;
  const std::string& name = server.record().server;
  membership_.SetServerFitness(name, fitness, context);
  std::string text =
      "Backend server " + name + " of service " + service + " is judged ";
  if (fitness.failing) {
    text += "failing";
  } else if (!fitness.sound()) {
    text += "slow";
  } else {
    text += "sound again";
  }
  text += ": slowdown=" + std::to_string(fitness.slowdown);
  stats_.Count("amaranth_server_verdicts_total",
               fitness.sound()   ? "verdict=\"sound\""
               : fitness.failing ? "verdict=\"failing\""
                                 : "verdict=\"slow\"");
  context.Log(LogLevel::kInfo, kPart, text + ".");
}

Failure ServingRole::ExplainBreak(const ServerFailed& failed, const Hop& hop,
                                  TimePoint now) const {
  Failure failure;
  failure.verdict = failed.verdict;
  failure.reason = failed.reason;
  if (hop.cancelled) failure.reason = Reason::kCancelled;
  // A try that timed out is no sign of a crash.
  if (IsRunningLate(hop, now)) failure.reason = Reason::kDeadline;
  failure.detail = "backend server " + hop.server + " broke off";
  failure.final = hop.nested_gave_up;
  return failure;
}

void ServingRole::NoteCrash(LocalServer& server, Context& context) {
  std::vector<uint64_t> victims = server.crash_window().TakeCrash();
  if (victims.empty()) return;
  const size_t in_flight = victims.size();
  victims.erase(std::remove_if(victims.begin(), victims.end(),
                               [&](uint64_t fingerprint) {
                                 return answered_.Contains(fingerprint,
                                                           context.now);
                               }),
                victims.end());
  const std::string& service = server.record().service;
  crash_guard_.OnCrash(victims, context.now);
  stats_.Count("amaranth_server_crashes_total", "service=\"" + service + "\"");
  records_.Add(context.now, "", "crash",
               server.record().server + " crashed with " +
                   std::to_string(in_flight) + " calls in flight");
  context.Log(LogLevel::kWarning, kPart,
              "Backend server " + server.record().server + " crashed.");
  const std::vector<uint64_t> suspects = crash_guard_.TakeNewSuspects();
  if (suspects.size() <= kMaxGossipedSuspects) {
    for (const uint64_t fingerprint : suspects) {
      membership_.AddQuarantine({service, fingerprint, kSuspectCrashes},
                                context);
    }
  }
  for (const uint64_t fingerprint : crash_guard_.TakeNewlyQuarantined()) {
    membership_.AddQuarantine({service, fingerprint, kQuarantineCrashes},
                              context);
    records_.Add(context.now, "", "quarantine",
                 "a request of service " + service +
                     " crashed its backend server twice");
    context.Log(LogLevel::kWarning, kPart,
                "Quarantined a request of service " + service + ".");
  }
}

void ServingRole::OnCancel(const NodeRef& from, const CallCancel& cancel,
                           Context& context) {
  const auto found = by_attempt_.find({from, cancel.attempt});
  if (found == by_attempt_.end()) return;  // answered already
  Cancel(hops_.at(found->second), context);
}

void ServingRole::Cancel(Hop& hop, Context& context) {
  if (hop.cancelled) return;
  hop.cancelled = true;
  if (hop.state == HopState::kDispatched) {
    // The verdict waits for the shell's ServerFailed: until the connection is
    // closed the backend server may still start the request.
    context.Emit(CancelServer{hop.id});
    on_hop_cancelled(hop.id, context);
    return;
  }
  const Hop removed = TakeWaitingHop(hop.id);
  Refuse(removed, Reason::kCancelled, context);
}

void ServingRole::OnEntryLost(const std::string& peer, Context& context) {
  std::vector<uint64_t> orphans;
  for (const auto& [key, id] : by_attempt_) {
    if (key.first.name == peer) orphans.push_back(id);
  }
  for (const uint64_t id : orphans) {
    Hop& hop = hops_.at(id);
    // A dispatched non-idempotent call is left to finish: stopping it half way
    // helps nobody, and its keyed caller may come back for the answer.
    const bool keep = hop.state == HopState::kDispatched &&
                      !hop.context.idempotent &&
                      !context.identity.rules.ids_name_sendings;
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

void ServingRole::RefuseAll(const std::vector<QueuedCall>& calls, Reason reason,
                            Context& context) {
  for (const QueuedCall& call : calls) {
    const Hop hop = TakeHop(call.id);
    Refuse(hop, reason, context);
  }
}

void ServingRole::Refuse(const Hop& hop, Reason reason, Context& context) {
  Failure failure;
  failure.verdict = Verdict::kNotRun;
  failure.reason = reason;
  failure.final = reason == Reason::kQuarantined || reason == Reason::kDeadline;
  if (reason != Reason::kQuarantined) {
    failure.retry_after = RetryAfterFor(hop.server, context);
  }
  failure.detail = "refused at backend server " + hop.server;
  stats_.Count("amaranth_refused_total",
               "reason=\"" + std::string(ToString(reason)) + "\"");
  records_.Add(context.now, hop.context.request_id, "refuse",
               std::string(ToString(reason)) + " at " + hop.server);
  Fail(hop, std::move(failure), context);
}

Duration ServingRole::RetryAfterFor(const std::string& server,
                                    Context& context) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return RetryAfter(0, 0, context.random);
  return RetryAfter(found->second.queue().size(),
                    found->second.drain().PerSecond(context.now),
                    context.random);
}

void ServingRole::Fail(const Hop& hop, Failure failure, Context& context) {
  CallAnswer answer;
  answer.failure = std::move(failure);
  SendAnswer(hop, std::move(answer), context);
}

void ServingRole::Answer(const Hop& hop, HttpResponse response,
                         Context& context) {
  // A server that sheds load says so; believed only if it made no nested call,
  // whose effect it could not take back.
  if (IsRefusal(response) && hop.nested_calls == 0) {
    return Refuse(hop, Reason::kServerRefused, context);
  }
  CallAnswer answer;
  answer.response = std::move(response);
  RemoveHeader(answer.response.headers, kRefusedHeader);
  // Told to the entry node, so that a 5xx which only passes on a nested
  // failure is not retried by yet another layer.
  if (hop.nested_gave_up) {
    SetHeader(answer.response.headers, kFinalHeader, "1");
  }
  SendAnswer(hop, std::move(answer), context);
}

void ServingRole::SendAnswer(const Hop& hop, CallAnswer answer,
                             Context& context) {
  answer.attempt = hop.attempt;
  answer.entry_incarnation = hop.entry.incarnation;
  answer.credits_returned = hop.ledger.available();
  const auto found = servers_.find(hop.server);
  if (found != servers_.end()) answer.load = found->second.Report(context.now);
  const bool served =
      answer.failure.reason == Reason::kNone && answer.response.status < 500;
  if (served) answer.load.own_us = ToWireMicros(hop.OwnTime(context.now));
  answer.load.downstream_threshold = hop.downstream_threshold;
  answer.made_calls = hop.nested_calls > 0;
  answer.times.held_us = ToWireMicros(context.now - hop.arrived);
  answer.times.waited_us = ToWireMicros(hop.Waited(context.now));
  outbox_.Send(hop.entry.name, hop.entry_address, std::move(answer), context);
}

}  // namespace amaranth::pvt
