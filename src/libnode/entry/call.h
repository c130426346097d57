#ifndef AMARANTHROUTE_LIBNODE_ENTRY_CALL_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_CALL_H_

// One call at its entry node, until it is answered: a caller's request or a
// nested call of a backend server.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "libnode/reservations/reservation_keeper.h"
#include "libnode/shared/credit_ledger.h"

namespace amaranth::pvt {

// A recipient of a call's answer: an HTTP request to this node, or a node that
// forwarded a request whose home is here.
struct Waiter {
  CallId http_call = 0;  // 0: the recipient is `peer`
  NodeRef peer;
  AttemptId peer_attempt = 0;
};

enum class CallPhase {
  kAwaitingQuota,  // a token of its customer's quota is asked for
  kClaiming,       // its key is being claimed; nothing was dispatched
  kRunning,        // this node sends it to backend servers
  kForwarded,      // forwarded to the home of its key, which runs it
};

// Whether the request was shed or refused for lack of capacity, at this node
// or downstream.
inline bool IsOverload(Reason reason) {
  return reason == Reason::kShedAtEntry || reason == Reason::kShedAtServer ||
         reason == Reason::kQueueFull || reason == Reason::kServerRefused;
}

// The attempt in flight.
struct Attempt {
  AttemptId id = 0;
  NodeRef node;        // serving node, or home
  std::string server;  // empty: forwarded to a home
  TimePoint sent{};
  uint16_t granted = 0;  // retry credits
};

struct Call {
  uint64_t id = 0;
  std::vector<Waiter> waiters;
  CallContext context;
  HttpRequest request;  // without the headers that nodes set
  TimePoint started{};
  TimePoint deadline{};
  CallPhase phase = CallPhase::kRunning;
  bool is_root = true;
  uint64_t parent_hop = 0;  // nested calls
  uint16_t granted_by_parent = 0;
  CreditLedger ledger;
  // Key for at-most-once execution, from the idempotency key, the ticket or the
  // request id; empty for a call without one.
  std::string key;
  bool joinable = false;
  std::optional<Attempt> attempt;
  std::set<std::string> tried_servers;  // "node/server"
  // Class of this call by its own headers or route. The class of the request
  // that it belongs to is in `context`.
  std::string call_class;
  int attempts = 0;
  int arrivals = 0;  // attempts that reached a backend server
  // Limits the attempts that reach a backend server, by route; 0: no limit.
  int max_attempts = 0;
  // The caller was answered "may have run" at the deadline. The call is kept
  // for its late answer, which a resend with the same key will ask for.
  bool awaits_late_answer = false;
  // An earlier attempt ran or may have run: the verdict can no longer be "not
  // run".
  bool may_have_run = false;
  // The customer who holds the key of the request; empty if there is none, and
  // for nested calls.
  std::string customer;
  // Holds a token of its customer's quota.
  bool has_quota_token = false;
  // Counted in the admission window of its class, see Admission.
  bool in_window = false;
  // Set for classes with the setting `retry_reservations`.
  ReservableRequest reservable;
  bool passed_admission = false;
  // Refused only to keep reserved capacity free.
  bool refused_for_reserved = false;
  // Time spent in queues for a slot and between nodes, by the answers to its
  // attempts.
  Duration waited{0};
  // The nested call that the last attempt reported as the cause of its failure.
  FailedBelow failed_below;
  // Not tried again, because this node is about to exit.
  bool withdrawn = false;
  // Refused by the feasibility check, which has set the time to return.
  bool infeasible = false;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_CALL_H_
