#ifndef AMARANTHROUTE_LIBNODE_SERVING_HOP_H_
#define AMARANTHROUTE_LIBNODE_SERVING_HOP_H_

// One call at its serving node, from arrival to answer.

#include <cstdint>
#include <map>
#include <string>

#include "amaranthroute/messages.h"
#include "libnode/shared/credit_ledger.h"

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
  Duration usual{0};  // time of calls of its kind in the server, by its caller
  HopState state = HopState::kQueued;
  bool is_suspect = false;  // counted as the server's suspect in flight
  bool cancelled = false;
  CreditLedger ledger;
  uint32_t downstream_threshold = 0;
  // A nested call was given up on after its own retries: the answer is final,
  // or each layer above would retry the whole subtree again.
  bool nested_gave_up = false;
  int nested_calls = 0;
  int nested_in_flight = 0;
  TimePoint nested_since{};   // while any is in flight
  Duration nested_time{0};    // spent with any in flight
  Duration nested_waited{0};  // sum of what they waited
  // Nested calls that failed, by fingerprint: a repeat by the backend server
  // is a retry and needs a credit.
  std::map<uint64_t, Verdict> failed_nested;

  void BeginNested(TimePoint now) {
    if (nested_in_flight++ == 0) nested_since = now;
  }
  void EndNested(TimePoint now) {
    if (--nested_in_flight == 0) nested_time += now - nested_since;
  }
  // What the call waited for a slot, here and for its nested calls. Several
  // nested calls at once wait together: no longer than they took.
  Duration Waited(TimePoint now) const {
    const bool started = dispatched != TimePoint{};
    const Duration queued = (started ? dispatched : now) - arrived;
    return queued + std::min(nested_waited, nested_time);
  }
  // Time in the backend server itself. What it waited for services below says
  // nothing about its own slots: fed to the concurrency limit, the queue of an
  // overloaded service looks like congestion of every service above it, as
  // fewer calls there do shorten it, and their limits fall with nothing gained.
  Duration OwnTime(TimePoint now) const {
    const Duration running =
        nested_in_flight > 0 ? now - nested_since : Duration(0);
    return now - dispatched - nested_time - running;
  }
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_HOP_H_
