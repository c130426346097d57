#ifndef AMARANTHROUTE_LIBNODE_SERVING_HOP_H_
#define AMARANTHROUTE_LIBNODE_SERVING_HOP_H_

// State of one attempt at its serving node, from arrival to answer.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/policy/cost_profile.h"
#include "libnode/shared/credit_ledger.h"

namespace amaranth::pvt {

enum class HopState {
  kQueued,      // in the server's admission queue
  kSuspect,     // suspected of a crash; waits to run alone at its server
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
  // Typical service time of this kind of call, without its nested calls, as
  // given by the entry node; 0 if unknown.
  Duration typical_service_time{0};
  // Rate limit of the server, as known to the entry node.
  std::optional<double> reported_rate_limit;
  HopState state = HopState::kQueued;
  bool is_suspect = false;    // dispatched as a suspect, alone at its server
  TimePoint suspect_since{};  // if `state` is kSuspect
  // LocalServer::PausedTime() when the call was queued.
  Duration paused_before{0};
  // Time spent as a suspect and in pauses of the server, up to the last change
  // of `state`.
  Duration excluded_wait{0};
  bool cancelled = false;
  CreditLedger ledger;
  uint32_t downstream_threshold = 0;
  // A nested call failed after its own retries. The answer is then final:
  // otherwise each layer above would retry the whole subtree again.
  bool nested_retries_exhausted = false;
  int nested_calls = 0;
  int nested_in_flight = 0;
  uint32_t calls_done = 0;  // nested calls that were answered without a failure
  // Start of the current period with nested calls in flight.
  TimePoint nested_since{};
  // Total length of the ended periods with nested calls in flight.
  Duration nested_time{0};
  // Sum of the queueing times of the ended nested calls.
  Duration nested_wait_time{0};
  // Costs of the nested calls that were served, and of their nested calls.
  std::vector<ServiceCost> nested_costs;
  // Services that answers to nested calls reported as short of capacity.
  std::vector<ServicePressure> nested_pressures;
  // The nested call that failed last, and why.
  FailedBelow failed_below;
  // Verdicts of failed nested calls, by fingerprint. If the backend server
  // repeats one, that is a retry and needs a retry credit.
  std::map<uint64_t, Verdict> failed_nested;

  void BeginNested(TimePoint now) {
    if (nested_in_flight++ == 0) nested_since = now;
  }
  void EndNested(TimePoint now) {
    if (--nested_in_flight == 0) nested_time += now - nested_since;
  }
  void BeginSuspectWait(TimePoint now) {
    state = HopState::kSuspect;
    suspect_since = now;
  }
  void EndSuspectWait(TimePoint now) { excluded_wait += now - suspect_since; }
  // Returns how long the call waited for a slot, its nested calls included.
  // Concurrent nested calls wait at the same time, so their sum is limited to
  // the time with nested calls in flight. The wait of a suspect until it can
  // run alone, and that of other calls meanwhile, is no shortage of slots: if
  // it counted, entry nodes would admit fewer requests although servers are
  // idle.
  Duration WaitTime(TimePoint now) const {
    const bool started = dispatched != TimePoint{};
    Duration queued = (started ? dispatched : now) - arrived - excluded_wait;
    if (state == HopState::kSuspect) queued -= now - suspect_since;
    return queued + std::min(nested_wait_time, nested_time);
  }
  // Returns the service time without nested calls of a dispatched call. Time
  // spent in nested calls says nothing about the server's own slots: if the
  // concurrency limit used it, the queue of an overloaded service would look
  // like congestion of each service that calls it, because fewer calls there do
  // shorten that queue, and their limits would fall without any gain.
  Duration ServiceTime(TimePoint now) const {
    const Duration running =
        nested_in_flight > 0 ? now - nested_since : Duration(0);
    return now - dispatched - nested_time - running;
  }
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_HOP_H_
