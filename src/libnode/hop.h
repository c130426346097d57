#ifndef AMARANTHROUTE_LIBNODE_HOP_H_
#define AMARANTHROUTE_LIBNODE_HOP_H_

// One call at its serving node, from arrival to answer.

#include <cstdint>
#include <map>
#include <string>

#include "amaranthroute/messages.h"
#include "libnode/credit_ledger.h"

namespace amaranth::pvt {

enum class HopState {
  kQueued,      // in the server's admission queue
  kSuspect,     // waits to be the only suspect of a crash at its server
  kDispatched,  // sent to the backend server
};

struct Hop {
  uint64_t id = 0;  // also the dispatch id
  uint64_t nonce = 0;
  NodeRef entry;
  Endpoint entry_address;
  AttemptId attempt = 0;
  std::string server;
  CallContext context;
  HttpRequest request;
  TimePoint arrived{};
  TimePoint deadline{};
  TimePoint dispatched{};
  TimePoint timeout_at = kNever;
  HopState state = HopState::kQueued;
  bool is_suspect = false;  // counted as the server's suspect in flight
  bool cancelled = false;
  CreditLedger ledger;
  uint32_t downstream_threshold = 0;
  // A nested call was given up on after its own retries: the answer is final,
  // or each layer above would retry the whole subtree again.
  bool nested_gave_up = false;
  int nested_calls = 0;
  // Nested calls that failed, by fingerprint: a repeat by the backend server
  // is a retry and needs a credit.
  std::map<uint64_t, Verdict> failed_nested;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_HOP_H_
