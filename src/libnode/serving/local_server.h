#ifndef AMARANTHROUTE_LIBNODE_SERVING_LOCAL_SERVER_H_
#define AMARANTHROUTE_LIBNODE_SERVING_LOCAL_SERVER_H_

// State of one backend server of this host: its slots, queue, limits and
// health.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "amaranthroute/messages.h"
#include "amaranthroute/policy/admission_queue.h"
#include "amaranthroute/policy/concurrency_limit.h"
#include "amaranthroute/policy/feasibility.h"
#include "amaranthroute/policy/long_work.h"
#include "amaranthroute/policy/max_min_share.h"
#include "amaranthroute/policy/rank_demand.h"
#include "amaranthroute/policy/rate_gate.h"
#include "amaranthroute/policy/retry_after.h"
#include "amaranthroute/policy/server_judge.h"
#include "amaranthroute/policy/shedder.h"
#include "amaranthroute/policy/slot_search.h"
#include "amaranthroute/settings.h"
#include "libnode/serving/crash_window.h"
#include "libnode/serving/hop.h"
#include "libnode/serving/load_window.h"

namespace amaranth::pvt {

// Identifies the process of a backend server that sent an announcement, and the
// order of its announcements. Both are 0 if the server does not send them.
struct AnnouncementStamp {
  uint64_t started_ms = 0;  // Unix time of the start of the process
  uint64_t sequence = 0;    // counts up from 1 for each process
};

// Calls that take about as long: those of one request class and nesting depth.
using CallKind = std::pair<std::string, uint8_t>;

class LocalServer {
 public:
  LocalServer(ServerRecord record, const EffectiveSettings& settings,
              const ShedderOptions& shedding, TimePoint now);

  // Applies a new announcement and the settings in force. The announced slots
  // bound the concurrency limit unless the settings give a fixed number.
  void Configure(const ServerRecord& record, const EffectiveSettings& settings);

  // Returns the concurrency limit: calls that may be in flight at the server.
  int limit() const;
  // Returns whether a call may start now: a slot is free, and the server's rate
  // limit, if it names one, is not used up.
  bool MayStart(TimePoint now) const {
    return in_flight() < limit() && rate_gate_.Allows(now);
  }
  // Sets the rate limit that the server names; nullopt if it names none.
  void SetRateLimit(std::optional<double> per_second, TimePoint now);
  const RateGate& rate_gate() const { return rate_gate_; }
  // Returns how many times slower than its slots allow the rate limit makes the
  // server, rounded down to a power of two; 1 without a limit. Calculated when
  // the limit changes, and 1 if no answer has named the limit for a while: a
  // server that gets no calls could not show that it has ended.
  uint32_t RateLimitSlowdown(TimePoint now) const;
  bool LongWorkAllowed() const {
    return long_work_.Allows(long_in_flight_, limit());
  }

  void OnDispatched(uint64_t dispatch, uint64_t fingerprint, bool is_long,
                    Duration waited, TimePoint now);
  // Records the end of a dispatch, by an answer or without one (`failed`).
  // `service_time` is `latency` without the time spent in nested calls.
  // `nested_wait` is the part of it that nested calls waited.
  void OnEnded(uint64_t dispatch, const CallKind& kind, Duration latency,
               Duration service_time, Duration nested_wait, bool failed,
               TimePoint now);
  // Returns the mean time for which a call of this kind holds a slot, without
  // the waits of its nested calls; 0 before the first sample. Those waits are
  // caused by the services below, which report their own shortage.
  Duration SlotTime(const CallKind& kind) const;
  // Records that the server served a call that is not long work and was neither
  // refused nor answered with an error.
  void OnServed(Duration service_time, TimePoint now);

  int in_flight() const { return static_cast<int>(dispatches_.size()); }
  std::vector<InFlightCall> InFlight() const;
  // Moving averages of the time from dispatch to end, nested calls included,
  // without long work: over all calls, and over those of one kind. 0 before the
  // first sample.
  Duration expected_service() const { return expected_service_; }
  Duration ExpectedService(const CallKind& kind) const;
  LoadReport Report(TimePoint now);
  // Returns the wait that controls shedding: the age of the oldest waiting
  // call. With order by slack, first calls of requests wait behind all others,
  // so their age does not show the load; then at most the time in which the
  // server starts all waiting calls, unless calls were dropped lately because
  // their requests cannot end in time.
  Duration QueueDelay(TimePoint now) const;

  const ServerRecord& record() const { return record_; }
  AdmissionQueue& queue() { return queue_; }
  const AdmissionQueue& queue() const { return queue_; }
  Shedder& shedder() { return shedder_; }
  DrainMeter& drain() { return drain_; }
  CrashWindow& crash_window() { return crash_window_; }
  LoadWindow& load() { return load_; }
  ServerJudge& judge() { return judge_; }
  // Whether the setting rank_admission applies to the server.
  bool admits_by_rank() const { return admits_by_rank_; }
  // Whether a setting of the server uses costs and pressures.
  bool reports_bottlenecks() const { return reports_bottlenecks_; }
  const RankDemand& rank_demand() const { return rank_demand_; }
  RankDemand& rank_demand() { return rank_demand_; }
  SuccessMeter& success() { return success_; }
  // Records a call that arrived, and what it stands for.
  // `customer_weight` is that of its customer; nullopt if customers are not
  // distinguished.
  void OnOffered(const Hop& hop, std::optional<double> customer_weight,
                 TimePoint now);
  // Returns the cut of the offered load, see RankDemand; 0 without
  // rank_admission.
  double Cut(TimePoint now);
  // Returns the share of the customer's calls at the position of the cut.
  double CustomerShare(const std::string& customer) const {
    return max_min_share_.ShareOf(customer);
  }

  // Ids of hops that are suspected of a crash and wait to run. Each runs with
  // no other call in flight, so that a second crash identifies the one that
  // caused it.
  std::deque<uint64_t> waiting_suspects;
  bool suspect_in_flight = false;
  // Fingerprint of the suspect for which calls other than suspects are paused
  // so that it can run alone; 0 before a pause and once it runs.
  uint64_t paused_for = 0;
  // Earliest start of the next pause.
  TimePoint next_pause{};

  bool OrdinaryPaused() const { return paused_since_ != kNever; }
  TimePoint paused_since() const { return paused_since_; }
  void BeginPause(TimePoint now) { paused_since_ = now; }
  void EndPause(TimePoint now);
  // Returns how long calls other than suspects have been paused in total.
  Duration PausedTime(TimePoint now) const {
    return ended_pauses_ +
           (OrdinaryPaused() ? now - paused_since_ : Duration(0));
  }
  bool draining = false;
  bool said_leaving = false;  // in an answer
  bool has_answered = false;  // since this node knows it
  TimePoint draining_since{};
  TimePoint last_heard{};
  // Last drop of a call whose request cannot end before its deadline.
  TimePoint last_hopeless_drop{};
  AnnouncementStamp stamp;
  ServerFitness sent_fitness;  // last one sent to the other nodes

 private:
  struct Dispatch {
    uint64_t fingerprint = 0;
    bool is_long = false;
    TimePoint sent{};
  };

  bool HasRoomFor(const CallKind& kind) const;
  void ConfigureQueue();
  // Returns the number of calls in flight at which the server reaches its
  // concurrency limit or its rate limit.
  int UsableSlots() const;

  ServerRecord record_;
  ConcurrencyLimit latency_limit_;
  bool uses_slot_search_ = false;
  SlotSearch slot_search_;
  // Queues oldest first within a tier. Set where requests are admitted at the
  // edge: all queued calls are then expected to be served.
  bool oldest_first_ = false;
  bool by_slack_ = false;                // QueueOrder::kSlack
  AdmissionQueueOptions queue_options_;  // capacity by the settings
  AdmissionQueue queue_;
  RateGate rate_gate_;
  uint32_t rate_limit_slowdown_ = 1;
  TimePoint rate_limit_named_at_{};  // by the last answer with a limit
  Shedder shedder_;
  DrainMeter drain_;
  LongWorkShare long_work_;
  CrashWindow crash_window_;
  LoadWindow load_;
  ServerJudge judge_;
  bool admits_by_rank_ = false;
  bool reports_bottlenecks_ = false;
  RankDemand rank_demand_;
  SuccessMeter success_;
  MaxMinShare max_min_share_;
  std::map<uint64_t, Dispatch> dispatches_;
  TimePoint paused_since_ = kNever;  // kNever if they are not paused
  Duration ended_pauses_{0};
  int long_in_flight_ = 0;
  Duration expected_service_{0};
  std::map<CallKind, Duration> expected_by_kind_;
  std::map<CallKind, Duration> slot_time_by_kind_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_LOCAL_SERVER_H_
