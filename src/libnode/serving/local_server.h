#ifndef AMARANTHROUTE_LIBNODE_SERVING_LOCAL_SERVER_H_
#define AMARANTHROUTE_LIBNODE_SERVING_LOCAL_SERVER_H_

// A backend server of this host, with the decisions that guard its slots.

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "amaranthroute/messages.h"
#include "amaranthroute/policy/admission_queue.h"
#include "amaranthroute/policy/concurrency_limit.h"
#include "amaranthroute/policy/long_work.h"
#include "amaranthroute/policy/retry_after.h"
#include "amaranthroute/policy/server_judge.h"
#include "amaranthroute/policy/shedder.h"
#include "amaranthroute/policy/slot_search.h"
#include "amaranthroute/settings.h"
#include "libnode/serving/crash_window.h"
#include "libnode/serving/load_window.h"

namespace amaranth::pvt {

// Which process of a backend server an announcement speaks for, and in which
// order its announcements were made; zeros where the server does not tell.
struct ServerStart {
  uint64_t started_ms = 0;  // Unix time of its start
  uint64_t sequence = 0;    // counts up from its start
};

// Calls that take about as long: of one class of requests, so many calls below
// where these entered.
using CallKind = std::pair<std::string, uint8_t>;

class LocalServer {
 public:
  LocalServer(ServerRecord record, const EffectiveSettings& settings,
              const ShedderOptions& shedding, TimePoint now);

  // The announced slots bound the limit; the operators' settings may fix it.
  void Configure(const ServerRecord& record, const EffectiveSettings& settings);

  // Calls that may be in the server at once.
  int limit() const;
  bool HasFreeSlot() const { return in_flight() < limit(); }
  bool LongWorkAllowed() const {
    return long_work_.Allows(long_in_flight_, limit());
  }

  void OnDispatched(uint64_t dispatch, uint64_t fingerprint, bool is_long,
                    Duration waited);
  // Ends a dispatch that was answered, or broke (`failed`). `own_time` is
  // `latency` without the waits for nested calls.
  void OnEnded(uint64_t dispatch, const CallKind& kind, Duration latency,
               Duration own_time, bool failed, TimePoint now);
  // The server ran an ordinary call to its end.
  void OnServed(Duration own_time, TimePoint now);

  int in_flight() const { return static_cast<int>(dispatches_.size()); }
  std::vector<std::pair<uint64_t, uint64_t>> InFlight() const;
  // Usual time of a call, its own calls included: over all kinds, and of one
  // kind (0 if none was seen).
  Duration expected_service() const { return expected_service_; }
  Duration ExpectedService(const CallKind& kind) const;
  LoadReport Report(TimePoint now);

  const ServerRecord& record() const { return record_; }
  AdmissionQueue& queue() { return queue_; }
  const AdmissionQueue& queue() const { return queue_; }
  Shedder& shedder() { return shedder_; }
  DrainMeter& drain() { return drain_; }
  CrashWindow& crash_window() { return crash_window_; }
  LoadWindow& load() { return load_; }
  ServerJudge& judge() { return judge_; }

  // Calls that were in flight at a crash wait here. Each runs with no other
  // call in flight, so that a second crash names the one that caused it.
  std::deque<uint64_t> waiting_suspects;
  bool suspect_in_flight = false;
  // Ordinary calls wait since then for a suspect's lone run; kNever if not.
  TimePoint paused_since = kNever;
  // No new pause before this.
  TimePoint next_pause{};

  bool OrdinaryPaused() const {
    return suspect_in_flight || paused_since != kNever;
  }
  bool draining = false;
  TimePoint draining_since{};
  TimePoint last_heard{};
  ServerStart start;
  ServerFitness told_fitness;  // to the other nodes

 private:
  struct Dispatch {
    uint64_t fingerprint = 0;
    bool is_long = false;
  };

  bool HasPlaceFor(const CallKind& kind) const;

  ServerRecord record_;
  ConcurrencyLimit latency_limit_;
  bool searches_slots_ = false;
  SlotSearch slot_search_;
  // Where requests are let in at the edge all that wait here will be served.
  bool in_order_ = false;
  AdmissionQueue queue_;
  Shedder shedder_;
  DrainMeter drain_;
  LongWorkShare long_work_;
  CrashWindow crash_window_;
  LoadWindow load_;
  ServerJudge judge_;
  std::map<uint64_t, Dispatch> dispatches_;
  int long_in_flight_ = 0;
  Duration expected_service_{0};
  std::map<CallKind, Duration> expected_by_kind_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_LOCAL_SERVER_H_
