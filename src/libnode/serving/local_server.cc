#include "libnode/serving/local_server.h"

#include <algorithm>

#include "libnode/shared/durations.h"

namespace amaranth::pvt {
namespace {

// Limit of a server that announces no slots.
constexpr int kDefaultSlots = 100;

// Weight of the newest sample in the moving averages of the time that calls
// take, nested calls included: they follow a slowdown within about ten answers
// without reacting to each one.
constexpr double kServiceTimeWeight = 0.1;

// Target delay of the shedder as a multiple of the queue's: 80 ms with the
// default of 20 ms. The queue, which only changes its order, reacts first.
constexpr int kShedderTargetFactor = 4;

// Upper bound of the slowdown that a rate limit is published as.
constexpr uint32_t kMaxRateLimitSlowdown = 16;
// How long that slowdown is published after an answer that named the limit.
constexpr Duration kSlowdownHold = std::chrono::seconds(2);

// Bounds the table of averages by kind: callers choose the class names.
constexpr size_t kMaxCallKinds = 256;

int SlotsOf(const ServerRecord& record, const EffectiveSettings& settings) {
  if (settings.fixed_limit > 0) return static_cast<int>(settings.fixed_limit);
  if (record.slots > 0) return static_cast<int>(record.slots);
  return kDefaultSlots;
}

ConcurrencyLimitOptions LimitOptions(const ServerRecord& record,
                                     const EffectiveSettings& settings) {
  ConcurrencyLimitOptions options;
  options.ceiling = SlotsOf(record, settings);
  // Starts at the announced slots, which the operators configure, and lets
  // measured latency lower the limit. A lower start would shed the first burst
  // at a new server.
  options.initial = options.ceiling;
  options.adaptive = settings.concurrency == ConcurrencyMode::kAdaptive;
  return options;
}

AdmissionQueueOptions QueueOptions(const EffectiveSettings& settings,
                                   bool oldest_first) {
  AdmissionQueueOptions options;
  options.newest_first = !oldest_first;
  options.capacity = settings.queue_capacity;
  options.target_delay = settings.queue_target;
  return options;
}

// Time for which dropped calls show that waits are too long for the requests.
constexpr Duration kHopelessDropHold = std::chrono::milliseconds(500);

}  // namespace

LocalServer::LocalServer(ServerRecord record, const EffectiveSettings& settings,
                         const ShedderOptions& shedding, TimePoint now)
    : last_heard(now),
      record_(std::move(record)),
      latency_limit_(LimitOptions(record_, settings)),
      uses_slot_search_(settings.concurrency == ConcurrencyMode::kThroughput),
      oldest_first_(shedding.threshold_from_wait),
      by_slack_(settings.queue_order == QueueOrder::kSlack),
      queue_options_(QueueOptions(settings, oldest_first_)),
      queue_(queue_options_),
      shedder_(shedding),
      long_work_(settings.long_work_share),
      admits_by_rank_(settings.rank_admission),
      reports_bottlenecks_(settings.rank_admission ||
                           settings.feasibility_check) {
  slot_search_.SetSlots(SlotsOf(record_, settings));
  shedder_.SetTargetDelay(settings.queue_target * kShedderTargetFactor);
}

void LocalServer::Configure(const ServerRecord& record,
                            const EffectiveSettings& settings) {
  record_ = record;
  by_slack_ = settings.queue_order == QueueOrder::kSlack;
  latency_limit_.SetCeiling(SlotsOf(record, settings));
  latency_limit_.SetAdaptive(settings.concurrency ==
                             ConcurrencyMode::kAdaptive);
  uses_slot_search_ = settings.concurrency == ConcurrencyMode::kThroughput;
  slot_search_.SetSlots(SlotsOf(record, settings));
  long_work_ = LongWorkShare(settings.long_work_share);
  // The demand measured before the setting was off is of another time.
  if (settings.rank_admission != admits_by_rank_) rank_demand_ = RankDemand();
  admits_by_rank_ = settings.rank_admission;
  reports_bottlenecks_ = settings.rank_admission || settings.feasibility_check;
  queue_options_ = QueueOptions(settings, oldest_first_);
  if (oldest_first_) {
    queue_options_.capacity = AdmissionQueue::CapacityForWait(
        queue_options_.capacity, SlotsOf(record, settings), expected_service_);
  }
  ConfigureQueue();
  shedder_.SetTargetDelay(settings.queue_target * kShedderTargetFactor);
}

void LocalServer::ConfigureQueue() {
  AdmissionQueueOptions options = queue_options_;
  if (rate_gate_.limit()) {
    options.capacity = std::min(
        options.capacity, AdmissionQueue::CapacityForRate(*rate_gate_.limit()));
  }
  queue_.Configure(options);
}

void LocalServer::SetRateLimit(std::optional<double> per_second,
                               TimePoint now) {
  if (per_second) rate_limit_named_at_ = now;
  if (per_second == rate_gate_.limit()) return;
  rate_gate_.SetLimit(per_second, now);
  ConfigureQueue();
  rate_limit_slowdown_ = 1;
  if (!per_second || expected_service_ <= Duration::zero()) return;
  const double slowdown = static_cast<double>(limit()) *
                          static_cast<double>(rate_gate_.interval().count()) /
                          static_cast<double>(expected_service_.count());
  while (rate_limit_slowdown_ < kMaxRateLimitSlowdown &&
         slowdown >= 2 * rate_limit_slowdown_) {
    rate_limit_slowdown_ *= 2;
  }
}

uint32_t LocalServer::RateLimitSlowdown(TimePoint now) const {
  const bool is_current = now - rate_limit_named_at_ <= kSlowdownHold;
  return is_current ? rate_limit_slowdown_ : 1;
}

int LocalServer::UsableSlots() const {
  if (!rate_gate_.limit()) return limit();
  const int64_t calls =
      expected_service_.count() / rate_gate_.interval().count() + 1;
  return static_cast<int>(std::min<int64_t>(limit(), calls));
}

int LocalServer::limit() const {
  return uses_slot_search_ ? slot_search_.limit() : latency_limit_.limit();
}

void LocalServer::OnOffered(const Hop& hop,
                            std::optional<double> customer_weight,
                            TimePoint now) {
  const CallContext& call = hop.context;
  // Long work has a share of the slots of its own.
  if (!admits_by_rank_ || call.long_work) return;
  Duration cost = SlotTime({call.request_class, call.depth});
  if (cost == Duration::zero()) cost = hop.typical_service_time;
  if (cost == Duration::zero()) cost = expected_service_;
  const int position = PositionOf(call.tier, call.class_tier, call.cost_bucket);
  rank_demand_.OnArrival(position, cost, call.admit_share, call.calls_done == 0,
                         now);
  if (customer_weight) {
    max_min_share_.OnArrival(call.tenant, *customer_weight, position, cost,
                             call.admit_share, now);
  }
}

double LocalServer::Cut(TimePoint now) {
  if (!admits_by_rank_) return 0;
  if (rank_demand_.WindowIsOver(now)) {
    std::vector<WaitingWork> waiting;
    waiting.reserve(queue_.size());
    queue_.ForEach([&](const QueuedCall& call) {
      if (call.long_work) return;
      const Duration cost =
          call.expected > Duration::zero() ? call.expected : expected_service_;
      waiting.push_back(
          {PositionOf(call.tier, call.class_tier, call.cost_bucket), cost});
    });
    rank_demand_.Close(std::max(1, UsableSlots() - long_in_flight_), waiting,
                       now);
    max_min_share_.Close(rank_demand_.cut(), now);
  }
  return rank_demand_.cut();
}

void LocalServer::EndPause(TimePoint now) {
  if (!OrdinaryPaused()) return;
  ended_pauses_ += now - paused_since_;
  paused_since_ = kNever;
}

void LocalServer::OnServed(Duration service_time, TimePoint now) {
  // With a rate limit, the number of slots does not affect the throughput.
  if (uses_slot_search_ && !rate_gate_.limit()) {
    slot_search_.OnServed(service_time, queue_.size() > 0, now);
  }
}

void LocalServer::OnDispatched(uint64_t dispatch, uint64_t fingerprint,
                               bool is_long, Duration waited, TimePoint now) {
  dispatches_[dispatch] = Dispatch{fingerprint, is_long, now};
  rate_gate_.OnStarted(now);
  load_.OnStarted(waited, in_flight());
  if (!is_long) return;
  ++long_in_flight_;
  latency_limit_.SetLongInFlight(long_in_flight_);
}

void LocalServer::OnEnded(uint64_t dispatch, const CallKind& kind,
                          Duration latency, Duration service_time,
                          Duration nested_wait, bool failed, TimePoint now) {
  const auto found = dispatches_.find(dispatch);
  if (found == dispatches_.end()) return;
  const bool is_long = found->second.is_long;
  if (is_long) {
    --long_in_flight_;
    latency_limit_.SetLongInFlight(long_in_flight_);
  }
  // The latency of long work says nothing about that of other calls.
  if (!is_long) latency_limit_.OnSample(service_time, in_flight(), failed, now);
  dispatches_.erase(found);
  load_.OnEnded(service_time);
  if (!failed) drain_.OnDone(now);
  if (is_long) return;
  // An attempt that timed out counts with its full latency: otherwise a server
  // slower than the timeout would never appear slow.
  if (!failed || latency >= expected_service_) {
    expected_service_ =
        MovingAverage(expected_service_, latency, kServiceTimeWeight);
  }
  const Duration expected_of_kind = ExpectedService(kind);
  if ((!failed || latency >= expected_of_kind) && HasRoomFor(kind)) {
    expected_by_kind_[kind] =
        MovingAverage(expected_of_kind, latency, kServiceTimeWeight);
    slot_time_by_kind_[kind] = MovingAverage(
        SlotTime(kind), latency - nested_wait, kServiceTimeWeight);
  }
  shedder_.OnServiceTime(expected_service_);
}

bool LocalServer::HasRoomFor(const CallKind& kind) const {
  return expected_by_kind_.size() < kMaxCallKinds ||
         expected_by_kind_.count(kind) > 0;
}

Duration LocalServer::ExpectedService(const CallKind& kind) const {
  const auto found = expected_by_kind_.find(kind);
  return found == expected_by_kind_.end() ? Duration::zero() : found->second;
}

Duration LocalServer::SlotTime(const CallKind& kind) const {
  const auto found = slot_time_by_kind_.find(kind);
  return found == slot_time_by_kind_.end() ? Duration::zero() : found->second;
}

std::vector<InFlightCall> LocalServer::InFlight() const {
  std::vector<InFlightCall> result;
  result.reserve(dispatches_.size());
  for (const auto& [dispatch, details] : dispatches_) {
    result.push_back({dispatch, details.fingerprint, details.sent});
  }
  return result;
}

Duration LocalServer::QueueDelay(TimePoint now) const {
  const Duration oldest = queue_.oldest_wait(now);
  const bool drops_hopeless = now - last_hopeless_drop < kHopelessDropHold;
  if (!by_slack_ || drops_hopeless) return oldest;
  const auto waiting = static_cast<int64_t>(queue_.size());
  return std::min(oldest,
                  expected_service_ * waiting / std::max(1, UsableSlots()));
}

LoadReport LocalServer::Report(TimePoint now) {
  LoadReport report;
  report.server = record_.server;
  report.in_flight = static_cast<uint32_t>(in_flight());
  report.limit = static_cast<uint32_t>(UsableSlots());
  report.queued = static_cast<uint32_t>(queue_.size());
  report.shed_threshold = shedder_.Threshold(now);
  report.rate_limit = rate_gate_.limit();
  report.leaving = said_leaving;
  if (said_leaving) report.started_ms = stamp.started_ms;
  report.turn_us = ToWireMicros(std::max(
      expected_service_ / std::max(1, limit()), rate_gate_.interval()));
  return report;
}

}  // namespace amaranth::pvt
