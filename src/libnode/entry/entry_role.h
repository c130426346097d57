#ifndef AMARANTHROUTE_LIBNODE_ENTRY_ENTRY_ROLE_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_ENTRY_ROLE_H_

// The role of the node as entry node of calls: a caller's request, a nested
// call of a backend server on this host, or a request whose key has its home
// here. Admits calls, chooses backend servers, retries within the call's retry
// credits, and answers.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/event.h"
#include "amaranthroute/policy/fleet_retry_share.h"
#include "amaranthroute/policy/retry_budget.h"
#include "libnode/bottleneck/bottleneck_state.h"
#include "libnode/customers/quota_keeper.h"
#include "libnode/entry/admission.h"
#include "libnode/entry/call.h"
#include "libnode/entry/claim_coordinator.h"
#include "libnode/entry/key_registry.h"
#include "libnode/entry/request_slack.h"
#include "libnode/entry/server_choice.h"
#include "libnode/entry/typical_service_times.h"
#include "libnode/membership/membership.h"
#include "libnode/reservations/reservation_keeper.h"
#include "libnode/serving/serving_role.h"
#include "libnode/settings/settings_cache.h"
#include "libnode/shared/caller_headers.h"
#include "libnode/shared/context.h"
#include "libnode/shared/deadline_set.h"
#include "libnode/shared/outbox.h"
#include "libnode/shared/recent_answers.h"
#include "libnode/shared/records.h"
#include "libnode/shared/stats.h"

namespace amaranth::pvt {

class EntryRole {
 public:
  struct Parts {
    Membership& membership;
    SettingsCache& settings;
    QuotaKeeper& quotas;
    ServingRole& serving;
    ClaimCoordinator& claims;
    Outbox& outbox;
    Stats& stats;
    Records& records;
    std::string data_centre;  // of this node
  };

  explicit EntryRole(const Parts& parts);

  void OnCallerRequest(const CallerRequest& event, Context& context);
  void OnCallerGone(CallId http_call, Context& context);
  void OnTicketRequest(CallId http_call, Context& context);
  void OnHomeForward(const NodeRef& from, const HomeForward& forward,
                     Context& context);
  void OnCallAnswer(const NodeRef& from, const CallAnswer& answer,
                    Context& context);
  // Handles an unresponsive peer: an answer is awaited, but nothing arrives.
  // New calls avoid it.
  void OnPeerUnresponsive(const std::string& peer, Context& context);
  void OnPeerResponded(const std::string& peer) { choice_.OnReachable(peer); }
  // Handles a lost link: attempts in flight at the peer may have run.
  void OnPeerLost(const std::string& peer, Context& context);
  // Handles a message that is proved never to have been sent.
  void OnSendFailed(const std::string& peer, const PeerMessage& message,
                    Context& context);
  void OnClaimResult(const ClaimResult& result, Context& context);
  // Returns false if the request has ended.
  bool OnQuotaDecision(uint64_t id, const QuotaDecision& decision,
                       Context& context);
  void OnHopCancelled(uint64_t hop, Context& context);
  // Before the exit of this node: withdraws the calls that wait for a backend
  // server. Those that can be proved not to have run are answered so.
  void WithdrawWaiting(Context& context);
  // At the exit: answers all calls that are left.
  void FailAll(Context& context);
  void OnTimer(Context& context);
  TimePoint next_timer() const;

  // Returns whether an answer of `peer` is awaited.
  bool AwaitsAnswerFrom(const std::string& peer) const {
    return in_flight_by_peer_.count(peer) > 0;
  }
  size_t calls() const { return calls_.size(); }
  const ServerChoice& choice() const { return choice_; }
  const KeyRegistry& keys() const { return keys_; }

 private:
  // entry_begin.cc: from the request to the first attempt.
  void Begin(const Waiter& waiter, const HttpRequest& request,
             const std::optional<MatchedRoute>& routed,
             std::optional<Duration> remaining, Context& context);
  // Returns the customer whose key the caller sent, or whom the node that
  // forwarded the request named; null if there is none.
  const Customer* FindCustomer(const HttpRequest& request,
                               bool from_peer) const;
  void RefuseUnknownKey(const Waiter& waiter, const HttpRequest& request,
                        const std::string& request_id, Context& context);
  Outcome<Call> BuildCall(const HttpRequest& request,
                          const CallerHeaders& headers,
                          const std::optional<MatchedRoute>& routed,
                          const Customer* customer,
                          std::optional<Duration> remaining, Context& context);
  Outcome<Call> BuildNested(Call call, const CallerHeaders& headers,
                            const std::optional<MatchedRoute>& routed,
                            Context& context);
  void RefuseUnregistered(const Waiter& waiter, Verdict verdict, Reason reason,
                          const std::string& request_id,
                          const std::string& detail, Context& context);
  bool RefuseNestedRetry(Call& call, Context& context);
  void ReturnGrant(const Call& call);
  void AssignKey(Call& call, const CallerHeaders& headers);
  bool JoinInFlight(const Call& call, const Waiter& waiter);
  // Returns whether a nested call skips admission because its request was
  // admitted at its own entry node (DeploymentRules::admit_at_edge).
  static bool SkipsAdmission(const Call& call, const Context& context);
  // If it returns false, `refusal` says why.
  bool TryAdmit(Call& call, Failure& refusal, Context& context);
  // Refuses a request that has hardly any chance to complete, because a service
  // below refuses its calls, before work is started that may not be repeated.
  bool CheckFeasibility(Call& call, Failure& refusal, Context& context);
  // Looks the request up among the reservations of its class.
  void RecognizeReturn(Call& call, Context& context);
  // Admits a request by its rank at the service that is short of capacity.
  bool AdmitByRank(Call& call, Failure& refusal, Context& context);
  uint64_t Register(Call call);
  void StartRunning(Call& call, Context& context);
  // Takes a token of the customer's quota. Returns false if the call is over
  // the quota and has been refused, or continues with OnQuotaDecision.
  bool TakeQuotaToken(Call& call, Context& context);
  void RefuseOverQuota(Call& call, Duration retry_after, Context& context);
  void StartFirstAttempt(Call& call, Context& context);

  // entry_keys.cc: at-most-once execution of keyed requests.
  void BeginKeyed(Call call, bool forwarded_here, Context& context);
  void BeginWithRecord(Call call, KeyRecord& record, Context& context);
  void BeginWithTicket(Call call, const Ticket& ticket, Context& context);
  void BeginClaim(Call call, KeyRecord& record, Context& context);
  void ForwardToHome(Call& call, const NodeRef& home, Context& context);
  void UpdateKeyRecord(const Call& call, const HttpResponse* response,
                       const Failure& failure);

  // entry_attempts.cc: attempts and their results.
  // Returns false if the deadline has passed, no server can be chosen, or a
  // retry is not allowed. For a retry, `last` is how the previous attempt
  // failed.
  bool StartNextAttempt(Call& call, const std::optional<Reason>& last,
                        Context& context);
  void SendAttempt(Call& call, const ServerPlace& place, Context& context);
  // Records the age of the chosen server's last load report in the metrics.
  void RecordReportAge(const std::string& server_key, TimePoint now);
  Duration RemainingFor(const Call& call, TimePoint now) const;
  void OnAttemptAnswer(Call& call, const CallAnswer& answer, Context& context);
  void OnAttemptFailed(Call& call, Failure failure, Context& context);
  bool MayRetry(const Call& call, const Failure& failure,
                const DeploymentRules& rules) const;
  bool AuthorizeRetry(Call& call, Reason last, const ServerPlace& place,
                      Context& context);
  bool AuthorizeFromFleetShare(Call& call, Context& context);
  FleetRetryShare& FleetShareOf(const std::string& service,
                                const DeploymentRules& rules);
  void CountCrash(Call& call, Failure& failure, Context& context);
  // Records what an answer reports of the services below the call, and passes
  // it on to the hop that made the call.
  void RecordBottlenecks(const Call& call, const CallAnswer& answer,
                         TimePoint now);
  void RecordLoad(const Call& call, const CallAnswer& answer, Context& context);
  // Passes the shedding threshold that a nested call meets up to the hop that
  // made it.
  void PropagateThreshold(const Call& call, const Context& context);
  void SetAttempt(Call& call, const Attempt& attempt);
  void EndAttempt(Call& call, std::optional<Duration> latency, bool failed,
                  TimePoint now);
  void CancelAttempt(Call& call, Context& context);

  // entry_finish.cc: answers.
  void FinishWithResponse(Call& call, const HttpResponse& response,
                          Context& context);
  void FinishWithFailure(Call& call, Failure failure, Context& context);
  // Returns whether another node has set when the caller is to return, by the
  // reservations of the class.
  bool HasRetryTimeOfHome(const Call& call, const Failure& failure) const;
  // Sets when the caller of a request that was refused for lack of capacity is
  // to return.
  void SetRetryTime(const Call& call, Duration target, Failure& failure,
                    Context& context);
  // Reports the end of a request to the admission window of its class.
  void CompleteInWindow(Call& call, bool served, TimePoint now);
  // Answers the callers of a call that cannot end before this node exits.
  void FailAtExit(uint64_t id, Context& context);
  void LogFailure(const Call& call, const Failure& failure, Context& context);
  // Logs an error response that was caused by a known failure below.
  void LogFailedBelow(const Call& call, const Failure& failure,
                      Context& context);
  void Remove(Call& call);
  void AnswerWaiter(const Waiter& waiter, const HttpResponse& response,
                    Context& context);
  void AnswerPeer(const Waiter& waiter, CallAnswer answer, Context& context);
  void AnswerWaiter(const Waiter& waiter, const Failure& failure,
                    const std::string& request_id, Context& context);
  // Reports the end of a nested call to its parent hop and returns the retry
  // credits that are left. `failed` is the failure of a nested call that did
  // not succeed; `gave_up` makes the parent's answer final.
  void ReportToParent(const Call& call, bool gave_up,
                      const std::optional<Failure>& failed, TimePoint now);

  Call* FindCall(uint64_t id);
  void RemoveWaiter(Call& call, CallId http_call, Context& context);

  Parts parts_;
  ServerChoice choice_;
  TypicalServiceTimes typical_service_times_;
  RecentAnswers answered_;
  KeyRegistry keys_;
  Admission admission_;
  BottleneckState bottlenecks_;
  ReservationKeeper reservations_;
  RequestSlack slack_;
  std::map<std::string, RetryBudget> retry_budgets_;     // by service
  std::map<std::string, FleetRetryShare> fleet_shares_;  // by service
  std::map<std::string, Duration> retry_after_;          // by service and class
  std::map<uint64_t, Call> calls_;
  std::map<AttemptId, uint64_t> by_attempt_;
  // Number of attempts in flight, by peer.
  std::map<std::string, size_t> in_flight_by_peer_;
  std::map<CallId, uint64_t> by_http_call_;
  std::map<std::string, uint64_t> joinable_;  // by request id
  std::multimap<uint64_t, uint64_t> by_parent_hop_;
  std::map<uint64_t, std::string> claims_;  // claim id to key
  DeadlineSet deadlines_;
  TimePoint next_expiry_{};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_ENTRY_ROLE_H_
