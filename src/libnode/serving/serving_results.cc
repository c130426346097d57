// Results of backend servers: their effect on the state of the server, and the
// answers to the entry nodes.

#include <algorithm>
#include <utility>

#include "libnode/bottleneck/bottleneck_state.h"
#include "libnode/serving/serving_role.h"
#include "libnode/shared/answers.h"
#include "libnode/shared/durations.h"
#include "libnode/shared/fingerprint_label.h"
#include "libnode/shared/server_notice.h"

namespace amaranth::pvt {
namespace {

constexpr const char* kPart = "serving";

// Result of the run of a suspect that shows nothing about the request.
constexpr std::string_view kSuspectNotRun = "other";
// Time after such a run until the next one at the server, which may be starting
// and refuse everything. Each run is told to all nodes of the service.
constexpr Duration kSuspectRetryDelay = std::chrono::milliseconds(250);

// Fingerprints in the log line of a crash.
constexpr size_t kMaxLoggedSuspects = 4;

// Another server at the address answers this.
constexpr int kMisdirectedStatus = 421;

// A failure this close to the deadline counts as caused by the deadline, unless
// the call had run for kHangFactor times its typical service time by then: that
// shows a server that does not answer.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(20);
constexpr int kHangFactor = 5;

bool HasTimedOut(const Hop& hop, TimePoint now) {
  return hop.timeout_at != kNever && now >= hop.timeout_at;
}

bool IsRefusal(const HttpResponse& response) {
  return !FindHeader(response.headers, kRefusedHeader).empty();
}

// Only an answer to a request that was run shows that it does not crash its
// server. A server that fails, for example one that has just restarted, may
// answer before it reaches what crashes it.
bool RanWithoutFailure(const HttpResponse& response) {
  return response.status < 500 && response.status != kMisdirectedStatus &&
         !IsRefusal(response);
}

std::string_view FitnessLabel(const ServerFitness& fitness) {
  if (fitness.failing) return "failing";
  return fitness.healthy() ? "sound" : "slow";
}

}  // namespace

Hop ServingRole::EndDispatch(uint64_t id, bool failed, Context& context) {
  Hop hop = TakeHop(id);
  const auto found = servers_.find(hop.server);
  if (found == servers_.end()) return hop;
  LocalServer& server = found->second;
  server.OnEnded(id, KindOf(hop), context.now - hop.dispatched,
                 hop.ServiceTime(context.now),
                 std::min(hop.nested_wait_time, hop.nested_time), failed,
                 context.now);
  if (hop.is_suspect) EndPause(server, context);
  return hop;
}

void ServingRole::OnServerReplied(const ServerReplied& replied,
                                  Context& context) {
  if (hops_.count(replied.dispatch) == 0) return;
  const Hop hop = EndDispatch(replied.dispatch, false, context);
  const auto answered = servers_.find(hop.server);
  const bool is_from_server = replied.response.status != kMisdirectedStatus;
  if (answered != servers_.end() && is_from_server) {
    OnNotice(answered->second, NoticeOf(replied.response.headers), context);
    answered->second.success().OnAnswered(
        IsRefusal(replied.response) && hop.nested_calls == 0, context.now);
  }
  RecordServed(hop, replied.response, context.now);
  const HttpResponse& response = replied.response;
  JudgeResult(hop, response.status >= 500 || IsRefusal(response), context.now);
  const bool ran = RanWithoutFailure(response);
  if (hop.is_suspect) {
    EndSuspectRun(hop, ran ? std::string_view("answered") : kSuspectNotRun,
                  context);
  }
  if (ran) {
    crash_guard_.OnSurvived(hop.context.fingerprint, context.now);
    answered_.Insert(hop.context.fingerprint, context.now);
    TellAnswered(hop, context);
  }
  Answer(hop, replied.response, context);
  const auto found = servers_.find(hop.server);
  if (found == servers_.end()) return;
  found->second.last_heard = context.now;
  found->second.crash_window().OnAnswered(hop.id, hop.dispatched, context.now);
  DispatchWaiting(found->second, context);
}

// Refusals and errors are not counted: they free their slot at once, so a
// server that refuses half of its calls would appear to have twice the
// throughput.
void ServingRole::RecordServed(const Hop& hop, const HttpResponse& response,
                               TimePoint now) {
  const auto found = servers_.find(hop.server);
  const bool served = response.status < 500 && !IsRefusal(response);
  if (found == servers_.end() || !served || hop.context.long_work) return;
  found->second.OnServed(hop.ServiceTime(now), now);
}

void ServingRole::OnServerFailed(const ServerFailed& failed, Context& context) {
  Hop* failed_hop = FindHop(failed.dispatch);
  if (failed_hop == nullptr) return;
  const bool timed_out = HasTimedOut(*failed_hop, context.now);
  const auto found = servers_.find(failed_hop->server);
  if (found != servers_.end()) {
    LocalServer& server = found->second;
    const bool was_reset = failed.reason == Reason::kConnectionLost &&
                           !timed_out && !failed_hop->cancelled;
    CrashWindow& window = server.crash_window();
    if (was_reset) {
      window.OnReset(failed.dispatch, failed_hop->dispatched, server.InFlight(),
                     context.now);
    } else {
      window.OnEndedOtherwise(failed.dispatch);
    }
    if (failed.reason == Reason::kConnectFailed) {
      window.OnConnectionRefused();
    }
    // The other pooled connections passed through the same middlebox: one that
    // lost the state of this connection may have lost that of all.
    if (timed_out) context.Emit(DropIdleConnections{server.record().address});
    if (failed.notice) OnNotice(server, *failed.notice, context);
  }
  const bool cancelled = failed_hop->cancelled;
  const Hop hop = EndDispatch(failed.dispatch, !cancelled, context);
  if (failed.reason == Reason::kTooLarge) LogDiscarded(hop, context);
  if (hop.is_suspect) {
    const bool lost = failed.reason == Reason::kConnectionLost && !timed_out;
    EndSuspectRun(
        hop, lost && !cancelled ? std::string_view("lost") : kSuspectNotRun,
        context);
  }
  if (!cancelled) JudgeResult(hop, true, context.now);
  on_hop_cancelled(hop.id, context);
  // The suspects are passed to gossip before the caller is answered, because
  // the caller may resend the request through another node.
  if (found != servers_.end()) {
    RecordCrash(found->second, hop.is_suspect, context);
  }
  Fail(hop, FailureFor(failed, hop, context.now), context);
  if (found == servers_.end()) return;
  DispatchWaiting(found->second, context);
}

void ServingRole::LogDiscarded(const Hop& hop, Context& context) {
  stats_.Count("amaranth_server_responses_discarded_total",
               "service=\"" + hop.context.service + "\"");
  context.Log(LogLevel::kWarning, kPart,
              "Response of backend server " + hop.server + " to request " +
                  hop.context.request_id +
                  " was discarded: it is over a size limit, or there is no "
                  "memory left for it.");
}

void ServingRole::OnNotice(LocalServer& server, const ServerNotice& notice,
                           Context& context) {
  server.has_answered = true;
  if (notice.leaving && !server.said_leaving) {
    server.said_leaving = true;
    OnLeaving(server, context);
  }
  const bool was_limited = server.rate_gate().limit().has_value();
  server.SetRateLimit(notice.rate_limit, context.now);
  if (was_limited == notice.rate_limit.has_value()) return;
  const std::string& name = server.record().server;
  stats_.Count("amaranth_server_rate_limits_total",
               notice.rate_limit ? "change=\"begin\"" : "change=\"end\"");
  context.Log(LogLevel::kInfo, kPart,
              notice.rate_limit
                  ? "Backend server " + name + " limits its requests to " +
                        std::to_string(*notice.rate_limit) + " per second."
                  : "Backend server " + name + " ended its rate limit.");
}

void ServingRole::JudgeResult(const Hop& hop, bool failed, TimePoint now) {
  const auto found = servers_.find(hop.server);
  if (found == servers_.end() || hop.context.long_work) return;
  const Duration service_time = hop.ServiceTime(now);
  // A failure caused by nested calls is not the server's own, nor is a deadline
  // that left it less time than it needs.
  const bool caused_by_nested = hop.nested_retries_exhausted ||
                                !hop.failed_nested.empty() ||
                                hop.nested_in_flight > 0;
  const bool deadline_too_short =
      now + kDeadlineMargin >= hop.deadline &&
      service_time < hop.typical_service_time * kHangFactor;
  if (failed && (caused_by_nested || deadline_too_short)) return;
  found->second.judge().OnEnded(service_time, hop.typical_service_time, failed,
                                now);
}

void ServingRole::SendFitness(LocalServer& server, Context& context) {
  const std::string& service = server.record().service;
  ServerFitness fitness = server.judge().Fitness(context.now);
  // The only server of a service cannot be compared with others.
  if (membership_.ServersOf(service).size() < 2) fitness = ServerFitness();
  // Tells the entry nodes that have no recent report of the server.
  fitness.slowdown =
      std::max(fitness.slowdown, server.RateLimitSlowdown(context.now));
  if (fitness == server.sent_fitness) return;
  server.sent_fitness = fitness;
  const std::string& name = server.record().server;
  membership_.SetServerFitness(name, fitness, context);
  const std::string verdict(FitnessLabel(fitness));
  stats_.Count("amaranth_server_verdicts_total", "verdict=\"" + verdict + "\"");
  context.Log(LogLevel::kInfo, kPart,
              "Backend server " + name + " of service " + service +
                  " classified as " + verdict +
                  ": slowdown=" + std::to_string(fitness.slowdown) + ".");
}

Failure ServingRole::FailureFor(const ServerFailed& failed, const Hop& hop,
                                TimePoint now) const {
  Failure failure;
  failure.verdict = failed.verdict;
  failure.reason = failed.reason;
  if (hop.cancelled) failure.reason = Reason::kCancelled;
  // An attempt that timed out is no sign of a crash.
  if (HasTimedOut(hop, now)) failure.reason = Reason::kDeadline;
  failure.detail = "backend server " + hop.server + " broke off";
  if (failed.reason == Reason::kTooLarge) {
    // The fault of the server: the request was not too large.
    failure.reason = Reason::kServerError;
    failure.detail =
        "response of backend server " + hop.server + " is too large to be held";
  }
  failure.final = hop.nested_retries_exhausted;
  return failure;
}

CrashCandidate ServingRole::CandidateOf(const std::string& service,
                                        uint64_t fingerprint,
                                        TimePoint now) const {
  CrashCandidate candidate;
  candidate.fingerprint = fingerprint;
  candidate.earlier_crashes =
      membership_.ReportedCrashesOf(service, fingerprint);
  candidate.answered_since_crash =
      AnsweredSinceCrash(service, fingerprint, now);
  candidate.answered_lately =
      answered_.LastAnswer(fingerprint, now).has_value();
  return candidate;
}

void ServingRole::RecordCrash(LocalServer& server, bool ran_alone,
                              Context& context) {
  const std::vector<uint64_t> in_flight =
      server.crash_window().TakeCrashedFingerprints(context.now);
  if (in_flight.empty()) return;
  context.Emit(DropIdleConnections{server.record().address});
  const std::string& service = server.record().service;
  std::vector<CrashCandidate> candidates;
  candidates.reserve(in_flight.size());
  for (const uint64_t fingerprint : in_flight) {
    candidates.push_back(CandidateOf(service, fingerprint, context.now));
  }
  CrashDecision decision = DecideCrash(std::move(candidates), ran_alone);
  const bool alone =
      decision.suspects.size() == 1 && decision.unsuspected.empty();
  if (alone) AddCrashAlone(decision, context.now);
  stats_.Count("amaranth_server_crashes_total", "service=\"" + service + "\"");
  std::string counts =
      "in_flight=" + std::to_string(in_flight.size()) + " suspects=" +
      std::to_string(decision.suspects.size() + decision.convicted.size());
  const size_t logged = std::min(decision.suspects.size(), kMaxLoggedSuspects);
  for (size_t i = 0; i < logged; ++i) {
    counts += " " + FingerprintLabel(decision.suspects[i]);
  }
  records_.Add(context.now, "", "crash",
               server.record().server + " crashed: " + counts);
  context.Log(
      LogLevel::kWarning, kPart,
      "Backend server " + server.record().server + " crashed. " + counts);
  for (const uint64_t fingerprint : decision.unsuspected) {
    membership_.AddQuarantine({service, fingerprint, kInFlightOnly}, context);
  }
  for (const uint64_t fingerprint : decision.suspects) {
    membership_.AddQuarantine({service, fingerprint, kSuspectCrashes}, context);
  }
  for (const uint64_t fingerprint : decision.convicted) {
    Quarantine(service, fingerprint, context);
  }
}

void ServingRole::AddCrashAlone(CrashDecision& decision, TimePoint now) {
  crash_guard_.OnCrash(decision.suspects, now);
  crash_guard_.TakeNewSuspects();
  decision.convicted = crash_guard_.TakeNewlyQuarantined();
  if (!decision.convicted.empty()) decision.suspects.clear();
}

void ServingRole::Quarantine(const std::string& service, uint64_t fingerprint,
                             Context& context) {
  crash_guard_.Quarantine(fingerprint, context.now);
  membership_.AddQuarantine({service, fingerprint, kQuarantineCrashes},
                            context);
  records_.Add(
      context.now, "", "quarantine",
      "a request of service " + service + " crashed its backend servers");
  context.Log(LogLevel::kWarning, kPart,
              "Quarantined a request of service " + service + ": " +
                  FingerprintLabel(fingerprint) + ".");
}

void ServingRole::EndSuspectRun(const Hop& hop, std::string_view result,
                                Context& context) {
  stats_.Count("amaranth_suspect_runs_total",
               "result=\"" + std::string(result) + "\"");
  context.Log(LogLevel::kInfo, kPart,
              "A suspected request ended at backend server " + hop.server +
                  ": " + FingerprintLabel(hop.context.fingerprint) +
                  " result=" + std::string(result));
  membership_.AddSuspectNews(
      {hop.context.service, hop.context.fingerprint, SuspectEvent::kEnded},
      context);
  const auto found = servers_.find(hop.server);
  if (result != kSuspectNotRun || found == servers_.end()) return;
  TimePoint& next_pause = found->second.next_pause;
  next_pause = std::max(next_pause, context.now + kSuspectRetryDelay);
}

void ServingRole::TellAnswered(const Hop& hop, Context& context) {
  const std::string& service = hop.context.service;
  const uint64_t fingerprint = hop.context.fingerprint;
  if (!membership_.CanBeCleared(service, fingerprint)) return;
  // A run from before the crash may have met other data behind the page.
  if (hop.dispatched <= *membership_.SuspectedAt(service, fingerprint)) return;
  membership_.AddSuspectNews({service, fingerprint, SuspectEvent::kAnswered},
                             context);
}

void ServingRole::RefuseAll(const std::vector<QueuedCall>& calls, Reason reason,
                            Context& context) {
  for (const QueuedCall& call : calls) {
    const Hop hop = TakeHop(call.id);
    const bool hopeless = reason == Reason::kDeadline && call.deadline_start &&
                          *call.deadline_start < context.now;
    const auto found = servers_.find(hop.server);
    if (hopeless && found != servers_.end()) {
      found->second.last_hopeless_drop = context.now;
    }
    Refuse(hop, reason, context,
           hopeless ? ": the request cannot end before its deadline" : "");
  }
}

void ServingRole::Refuse(const Hop& hop, Reason reason, Context& context,
                         const std::string& why) {
  Failure failure;
  failure.verdict = Verdict::kNotRun;
  failure.reason = reason;
  failure.final = reason == Reason::kQuarantined || reason == Reason::kDeadline;
  if (reason != Reason::kQuarantined) {
    failure.retry_after = RetryAfterFor(hop.server, context);
  }
  failure.detail = "refused at backend server " + hop.server + why;
  if (reason == Reason::kQuarantined) {
    failure.detail += ": " + FingerprintLabel(hop.context.fingerprint);
  }
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
  // A server that sheds load marks its refusal. "Not run" holds only if it made
  // no nested call, whose effect it could not undo.
  if (IsRefusal(response) && hop.nested_calls == 0) {
    return Refuse(hop, Reason::kServerRefused, context);
  }
  CallAnswer answer;
  answer.response = std::move(response);
  RemoveHeader(answer.response.headers, kRefusedHeader);
  // Marks the answer as final for the entry node, so that a 5xx that only
  // passes on a nested failure is not retried by another layer.
  if (hop.nested_retries_exhausted) {
    SetHeader(answer.response.headers, kFinalHeader, "1");
  }
  SendAnswer(hop, std::move(answer), context);
}

void ServingRole::AddBottlenecks(const Hop& hop, bool served, TimePoint now,
                                 CallAnswer& answer) {
  const auto found = servers_.find(hop.server);
  if (found == servers_.end() || !found->second.reports_bottlenecks()) return;
  const EffectiveSettings& settings =
      settings_.Resolve(hop.context.service, hop.context.request_class);
  if (served) {
    answer.costs = hop.nested_costs;
    AddCosts(answer.costs, {{hop.context.service, 1, answer.load.own_us}});
  }
  if (!served && settings.feasibility_check) {
    answer.failed_below = hop.failed_below;
  }
  answer.pressures = hop.nested_pressures;
  ServicePressure own;
  own.service = hop.context.service;
  own.cut_x256 = ToWireCut(found->second.Cut(now));
  double success = 1;
  if (settings.feasibility_check) {
    success = found->second.success().Share(now).value_or(1);
  }
  const bool refuses = success < Feasibility::kReportBelow;
  if (refuses) own.success_percent = ToWirePercent(success);
  if (own.cut_x256 > 0 && settings.customer_fairness) {
    own.customer_share =
        ToWireShare(found->second.CustomerShare(hop.context.tenant));
  }
  if (own.cut_x256 > 0 || refuses) answer.pressures.push_back(std::move(own));
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
  if (served) answer.load.own_us = ToWireMicros(hop.ServiceTime(context.now));
  answer.load.downstream_threshold = hop.downstream_threshold;
  answer.made_calls = hop.nested_calls > 0;
  AddBottlenecks(hop, served, context.now, answer);
  answer.times.held_us = ToWireMicros(context.now - hop.arrived);
  Duration waited = hop.WaitTime(context.now);
  if (found != servers_.end()) {
    waited -= PausedWait(hop, found->second, context.now);
  }
  answer.times.waited_us = ToWireMicros(std::max(waited, Duration(0)));
  outbox_.Send(hop.entry.name, hop.entry_address, std::move(answer), context);
}

}  // namespace amaranth::pvt
