#ifndef AMARANTHROUTE_LIBNODE_ENTRY_CALL_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_CALL_H_

// One call at its entry node: a caller's request, or a backend server's nested
// call, until its answer.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "libnode/shared/credit_ledger.h"

namespace amaranth::pvt {

// Somebody who waits for a call's answer: an HTTP request to this node, or a
// node that forwarded a request whose home is here.
struct Waiter {
  CallId http_call = 0;  // 0: a peer waits
  NodeRef peer;
  AttemptId peer_attempt = 0;
};

enum class CallPhase {
  kClaiming,   // its key is being claimed; nothing was dispatched
  kRunning,    // this node tries backend servers
  kForwarded,  // its key's home runs it
};

// Turned away for want of room, here or further down.
inline bool IsOverload(Reason reason) {
  return reason == Reason::kShedAtEntry || reason == Reason::kShedAtServer ||
         reason == Reason::kQueueFull || reason == Reason::kServerRefused;
}

// The try in flight.
struct Attempt {
  AttemptId id = 0;
  NodeRef node;        // serving node, or home
  std::string server;  // empty: forwarded to a home
  TimePoint sent{};
  uint16_t lent = 0;  // credits
};

struct Call {
  uint64_t id = 0;
  std::vector<Waiter> waiters;
  CallContext context;
  HttpRequest request;  // without headers of ours
  TimePoint started{};
  TimePoint deadline{};
  CallPhase phase = CallPhase::kRunning;
  bool is_root = true;
  uint64_t parent_hop = 0;  // nested calls
  uint16_t lent_by_parent = 0;
  CreditLedger ledger;
  std::string key;  // idempotency key that this node dispatches
  bool joinable = false;
  std::optional<Attempt> attempt;
  std::set<std::string> tried;  // "node/server"
  // The class that its own route gave it; that of the whole request is in the
  // context.
  std::string own_class;
  int tries = 0;
  int reached = 0;  // tries that came as far as a backend server
  // Most backend servers that it may reach, by its route; 0 for no such limit.
  int most_tries = 0;
  // Its caller was told "may have run" at the deadline; kept for the answer,
  // which a resend of the key will ask for.
  bool lingering = false;
  // An earlier try may have run: then nothing later can prove "not run".
  bool doubt = false;
  // Counted in the window of its class, see Admission.
  bool has_place = false;
  // In queues for a slot and between nodes, by the answers to its tries.
  Duration waited{0};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_CALL_H_
