#ifndef AMARANTHROUTE_LIBNODE_SERVING_SERVING_ROLE_H_
#define AMARANTHROUTE_LIBNODE_SERVING_SERVING_ROLE_H_

// The serving role of a node: admits, queues, sheds, dispatches and answers
// calls to the backend servers of its host, and keeps the retry credits of each
// hop.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "amaranthroute/event.h"
#include "amaranthroute/policy/crash_evidence.h"
#include "amaranthroute/policy/crash_guard.h"
#include "libnode/membership/membership.h"
#include "libnode/serving/announcement_evidence.h"
#include "libnode/serving/departed_servers.h"
#include "libnode/serving/hop.h"
#include "libnode/serving/local_server.h"
#include "libnode/settings/settings_cache.h"
#include "libnode/shared/caller_headers.h"
#include "libnode/shared/context.h"
#include "libnode/shared/deadline_set.h"
#include "libnode/shared/outbox.h"
#include "libnode/shared/recent_answers.h"
#include "libnode/shared/records.h"
#include "libnode/shared/stats.h"

namespace amaranth::pvt {

class ServingRole {
 public:
  ServingRole(Membership& membership, SettingsCache& settings, Outbox& outbox,
              Stats& stats, Records& records);

  // Called when a dispatched hop failed or was cancelled: the answers to its
  // nested calls are no longer needed.
  std::function<void(uint64_t hop, Context&)> on_hop_cancelled;

  void Start(TimePoint now, const NodeIdentity& identity);
  // Handle the announcements and leave messages of backend servers.
  void OnAnnounce(CallId call, const HttpRequest& request, Context& context);
  void OnLeave(CallId call, const HttpRequest& request, Context& context);
  // Accepts the announcements of servers whose departure an earlier process of
  // this node may have acknowledged, once it is known or disproved.
  void AcceptHeld(Context& context);
  // See Membership::on_departure_copied and on_departure_learned.
  void OnDepartureCopied(uint64_t number, Context& context);
  void OnDepartureLearned(const Departure& departure, const std::string& source,
                          Context& context);

  void OnForward(const NodeRef& from, CallForward forward, Context& context);
  void OnCancel(const NodeRef& from, const CallCancel& cancel,
                Context& context);
  void OnServerReplied(const ServerReplied& replied, Context& context);
  void OnServerFailed(const ServerFailed& failed, Context& context);
  // Cancels the calls of an entry node whose link was lost, because their
  // answers can no longer be delivered. Non-idempotent calls that were
  // dispatched run to completion, unless DeploymentRules::request_id_per_send
  // is set.
  void OnEntryLost(const std::string& peer, Context& context);
  // Refuses all calls that are not sent to a backend server yet, as not run.
  void RefuseWaiting(Context& context);
  void OnTimer(Context& context);
  TimePoint next_timer() const;

  // Returns the hop that a nested call belongs to; null if the token names
  // none.
  Hop* FindHop(const ContextToken& token);
  Hop* FindHop(uint64_t id);

  size_t hops() const { return hops_.size(); }
  bool has_waiting_acknowledgements() const {
    return !waiting_acknowledgements_.empty();
  }
  std::vector<LoadReport> Reports(TimePoint now);
  // Returns the offered load of a local server; null if it is not measured.
  const RankDemand* DemandOf(const std::string& server) const;

 private:
  using AttemptKey = std::pair<NodeRef, AttemptId>;
  // Attempt ids count up at each entry node, and incarnations distinguish the
  // nodes; the name is only compared, not hashed.
  struct AttemptKeyHash {
    size_t operator()(const AttemptKey& key) const {
      return std::hash<uint64_t>()(key.first.incarnation * 31 + key.second);
    }
  };

  // What a backend server said of itself.
  struct Announcement {
    ServerRecord record;
    AnnouncementStamp stamp;
  };
  static Outcome<Announcement> ParseAnnouncement(const Body& body);
  // Returns whether the server may have departed as far as is known.
  bool MayHaveDeparted(const Announcement& announcement,
                       const Context& context) const;
  // Keeps an announcement for AcceptHeld, in place of an earlier one.
  void Hold(const Announcement& announcement, Context& context);
  // Applies an announcement. Returns the number of the departure that has to be
  // copied before it is acknowledged, or nullopt.
  std::optional<uint64_t> Accept(Announcement announcement, Context& context);
  // Records a departure here and at others; returns its number.
  uint64_t AddDeparture(const Departure& departure, Context& context);
  // Answers a message of a server, after the copies of `departure` if given.
  void Acknowledge(CallId call, std::optional<uint64_t> departure,
                   Context& context);

  void Admit(Hop hop, Context& context);
  void AdmitSuspect(Hop hop, LocalServer& server, Context& context);
  void Enqueue(Hop hop, uint32_t level, LocalServer& server, Context& context);
  static void SetSlack(const Hop& hop, QueuedCall& queued);
  // Returns whether the latency target of the call's class leaves ample time to
  // wait for a slot.
  bool CanWait(const Hop& hop) const;
  CrashGuard::Handling HandlingOf(const Hop& hop, TimePoint now) const;
  // Returns whether the request was recently answered here, after the last
  // crash that it is known to have been in flight at, at any server.
  bool AnsweredSinceCrash(const std::string& service, uint64_t fingerprint,
                          TimePoint now) const;

  void DispatchWaiting(LocalServer& server, Context& context);
  void DispatchSuspect(LocalServer& server, Context& context);
  // Returns the id of the waiting suspect that may run next, or 0.
  uint64_t NextSuspect(const LocalServer& server, TimePoint now) const;
  // Pauses calls other than suspects until the suspect `hop` can run alone.
  void BeginPause(const Hop& hop, LocalServer& server, Context& context);
  void StartSuspectRun(Hop& hop, LocalServer& server, Context& context);
  // Returns how long a queued call has waited in pauses; 0 in other states.
  static Duration PausedWait(const Hop& hop, const LocalServer& server,
                             TimePoint now);
  // Tells the other nodes that a request suspected of a crash was answered,
  // unless they know.
  void TellAnswered(const Hop& hop, Context& context);
  // Refuses waiting suspects that are quarantined by now, and queues those that
  // were cleared by an answer to another call as ordinary calls.
  void ReviewWaitingSuspects(LocalServer& server, Context& context);
  void EndPause(LocalServer& server, Context& context);
  void Dispatch(Hop& hop, LocalServer& server, Context& context);
  HttpRequest RequestFor(const Hop& hop, TimePoint now) const;
  Duration DispatchTimeout(const Hop& hop, const LocalServer& server,
                           const Context& context) const;

  void RefuseAll(const std::vector<QueuedCall>& calls, Reason reason,
                 Context& context);
  // `why` is added to the detail of the failure.
  void Refuse(const Hop& hop, Reason reason, Context& context,
              const std::string& why = "");
  void Fail(const Hop& hop, Failure failure, Context& context);
  void LogDiscarded(const Hop& hop, Context& context);
  void Answer(const Hop& hop, HttpResponse response, Context& context);
  void SendAnswer(const Hop& hop, CallAnswer answer, Context& context);
  // Adds the costs of the call, the services that are short of capacity or
  // refuse calls, and why a nested call failed, if a setting uses them.
  void AddBottlenecks(const Hop& hop, bool served, TimePoint now,
                      CallAnswer& answer);
  Duration RetryAfterFor(const std::string& server, Context& context);

  // Returns the weight of the call's customer, or nullopt if the service does
  // not distinguish customers.
  std::optional<double> CustomerWeight(const Hop& hop) const;
  static CallKind KindOf(const Hop& hop);
  // Removes a dispatched hop and records its end at its server.
  Hop EndDispatch(uint64_t id, bool failed, Context& context);
  void RecordServed(const Hop& hop, const HttpResponse& response,
                    TimePoint now);
  // Passes a result to the server's judge unless it says nothing about the
  // health of the server.
  void JudgeResult(const Hop& hop, bool failed, TimePoint now);
  // Sends a change of the server's fitness to the other nodes.
  void SendFitness(LocalServer& server, Context& context);
  // `ran_alone`: the only call in flight ran as a suspect.
  void RecordCrash(LocalServer& server, bool ran_alone, Context& context);
  // Logs and counts the end of a run of a suspect and tells the other nodes.
  // `result`: "answered", "lost" (with its connection) or "other".
  void EndSuspectRun(const Hop& hop, std::string_view result, Context& context);
  // Returns what is known about a request in flight at a crash.
  CrashCandidate CandidateOf(const std::string& service, uint64_t fingerprint,
                             TimePoint now) const;
  // Records a crash with its only suspect alone in flight, which may convict it
  // by an earlier one.
  void AddCrashAlone(CrashDecision& decision, TimePoint now);
  // Quarantines a request that crashed its servers, at all nodes.
  void Quarantine(const std::string& service, uint64_t fingerprint,
                  Context& context);
  // Applies what the server reports about itself in an answer.
  void OnNotice(LocalServer& server, const ServerNotice& notice,
                Context& context);
  // Starts waiting calls of servers whose rate limit allows it by now.
  void DispatchRateLimited(Context& context);
  Hop TakeHop(uint64_t id);
  // The same for a hop that is not dispatched yet; also removes it from its
  // queue.
  Hop TakeWaitingHop(uint64_t id);
  void Cancel(Hop& hop, Context& context);
  bool IsOutdated(const ServerRecord& record,
                  const AnnouncementStamp& stamp) const;
  // Returns whether the announcement would take the id or the address of a
  // server in use by something that its process cannot say.
  bool TakesAnotherPlace(const ServerRecord& record,
                         const AnnouncementStamp& stamp) const;
  // Returns whether the settings send calls to the service.
  bool IsServiceNamed(const std::string& service) const;
  // Logs what a server said of itself, what was known and what was decided.
  void LogServerEvent(const std::string& server, std::string_view what,
                      const AnnouncementStamp& stamp, std::string_view decision,
                      Context& context) const;
  void RemoveReplaced(const ServerRecord& record,
                      const AnnouncementStamp& stamp, Context& context);
  static void BeginDrain(LocalServer& server, Context& context);
  // Handles a server that has said itself that it leaves. Later announcements
  // of the same process do not undo that. Returns the number of the departure.
  uint64_t OnLeaving(LocalServer& server, Context& context);
  // Returns the hops of `server` that are not dispatched yet.
  std::vector<uint64_t> WaitingAt(const std::string& server) const;
  void RefuseAfterDrainLimit(LocalServer& server, Context& context);
  void CheckServers(Context& context);
  // Once in kLoadReportPeriod: updates the load metrics of the server, and logs
  // its load if calls waited for it.
  void ReportLoad(LocalServer& server, Context& context);
  // Refuses queued calls that are past their deadline or their queue timeout.
  void DropExpired(LocalServer& server, Context& context);
  void RemoveServer(const std::string& name, Context& context);
  Failure FailureFor(const ServerFailed& failed, const Hop& hop,
                     TimePoint now) const;

  Membership& membership_;
  SettingsCache& settings_;
  Outbox& outbox_;
  Stats& stats_;
  Records& records_;
  CrashGuard crash_guard_;
  // Excuses requests from a crash that comes after their answer. Otherwise a
  // popular page that was in flight at a crash would run one at a time on every
  // host, and be quarantined at a second crash.
  RecentAnswers answered_;
  std::map<std::string, LocalServer> servers_;
  DepartedServers departed_;
  AnnouncementEvidence evidence_;
  std::map<std::string, Announcement> held_announcements_;  // by server
  bool may_learn_departures_ = true;  // departures may be learned soon
  // Messages of servers that are not acknowledged yet, by number of the
  // departure.
  std::multimap<uint64_t, CallId> waiting_acknowledgements_;
  std::map<uint64_t, Hop> hops_;
  std::unordered_map<AttemptKey, uint64_t, AttemptKeyHash> by_attempt_;
  DeadlineSet queue_deadlines_;
  TimePoint next_check_{};
  TimePoint rate_limits_checked_at_{};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_SERVING_ROLE_H_
