// What comes back from backend servers, what it says of them, and what callers
// are answered.

#include <algorithm>
#include <utility>

#include "libnode/serving/serving_role.h"
#include "libnode/shared/answers.h"
#include "libnode/shared/durations.h"

namespace amaranth::pvt {
namespace {

constexpr const char* kPart = "serving";

// A crash with more victims than this is not told to other nodes as suspects:
// gossip must stay small, and the entry nodes still mark their own retries.
constexpr size_t kMaxGossipedSuspects = 16;

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

std::string_view VerdictOf(const ServerFitness& fitness) {
  if (fitness.failing) return "failing";
  return fitness.sound() ? "sound" : "slow";
}

}  // namespace

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
  const std::string verdict(VerdictOf(fitness));
  stats_.Count("amaranth_server_verdicts_total", "verdict=\"" + verdict + "\"");
  context.Log(LogLevel::kInfo, kPart,
              "Backend server " + name + " of service " + service +
                  " is judged " + verdict +
                  ": slowdown=" + std::to_string(fitness.slowdown) + ".");
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
