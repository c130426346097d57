#include "libnode/serving/local_server.h"

#include <algorithm>

#include "libnode/shared/durations.h"

namespace amaranth::pvt {
namespace {

// A server that announces no slots is bounded by this alone.
constexpr int kDefaultSlots = 100;

// Weight of the newest sample in the mean service time: follows a slowdown
// within about ten answers without jumping at each.
constexpr double kServiceWeight = 0.1;

// The shedder's target in queue targets: 80 ms with the default of 20 ms. The
// queue, which only changes its order, acts first.
constexpr int kShedderTargets = 4;

// Callers choose class names: the table must not grow with them.
constexpr size_t kMaxKinds = 256;

int SlotsOf(const ServerRecord& record, const EffectiveSettings& settings) {
  if (settings.fixed_limit > 0) return static_cast<int>(settings.fixed_limit);
  if (record.slots > 0) return static_cast<int>(record.slots);
  return kDefaultSlots;
}

ConcurrencyLimitOptions LimitOptions(const ServerRecord& record,
                                     const EffectiveSettings& settings) {
  ConcurrencyLimitOptions options;
  options.ceiling = SlotsOf(record, settings);
  // The announced slots are the operators' own figure: start there and let
  // measured latency lower the limit, instead of shedding a fresh server's
  // first burst.
  options.initial = options.ceiling;
  options.adaptive = settings.concurrency == ConcurrencyMode::kAdaptive;
  return options;
}

AdmissionQueueOptions QueueOptions(const EffectiveSettings& settings,
                                   bool in_order) {
  AdmissionQueueOptions options;
  options.newest_first = !in_order;
  options.capacity = settings.queue_capacity;
  options.target_delay = settings.queue_target;
  return options;
}

}  // namespace

LocalServer::LocalServer(ServerRecord record, const EffectiveSettings& settings,
                         const ShedderOptions& shedding, TimePoint now)
    : last_heard(now),
      record_(std::move(record)),
      latency_limit_(LimitOptions(record_, settings)),
      searches_slots_(settings.concurrency == ConcurrencyMode::kThroughput),
      in_order_(shedding.steer_by_wait),
      queue_(QueueOptions(settings, in_order_)),
      shedder_(shedding),
      long_work_(settings.long_work_share) {
  slot_search_.SetSlots(SlotsOf(record_, settings));
  shedder_.SetTargetDelay(settings.queue_target * kShedderTargets);
}

void LocalServer::Configure(const ServerRecord& record,
                            const EffectiveSettings& settings) {
  record_ = record;
  latency_limit_.SetCeiling(SlotsOf(record, settings));
  latency_limit_.SetAdaptive(settings.concurrency ==
                             ConcurrencyMode::kAdaptive);
  searches_slots_ = settings.concurrency == ConcurrencyMode::kThroughput;
  slot_search_.SetSlots(SlotsOf(record, settings));
  long_work_ = LongWorkShare(settings.long_work_share);
  AdmissionQueueOptions queue = QueueOptions(settings, in_order_);
  if (in_order_) {
    queue.capacity = AdmissionQueue::CapacityForWait(
        queue.capacity, SlotsOf(record, settings), expected_service_);
  }
  queue_.Configure(queue);
  shedder_.SetTargetDelay(settings.queue_target * kShedderTargets);
}

int LocalServer::limit() const {
  return searches_slots_ ? slot_search_.limit() : latency_limit_.limit();
}

void LocalServer::OnServed(Duration own_time, TimePoint now) {
  if (searches_slots_) {
    slot_search_.OnServed(own_time, queue_.size() > 0, now);
  }
}

void LocalServer::OnDispatched(uint64_t dispatch, uint64_t fingerprint,
                               bool is_long, Duration waited) {
  dispatches_[dispatch] = Dispatch{fingerprint, is_long};
  load_.OnStarted(waited, in_flight());
  if (!is_long) return;
  ++long_in_flight_;
  latency_limit_.SetLongInFlight(long_in_flight_);
}

void LocalServer::OnEnded(uint64_t dispatch, const CallKind& kind,
                          Duration latency, Duration own_time, bool failed,
                          TimePoint now) {
  const auto found = dispatches_.find(dispatch);
  if (found == dispatches_.end()) return;
  const bool is_long = found->second.is_long;
  if (is_long) {
    --long_in_flight_;
    latency_limit_.SetLongInFlight(long_in_flight_);
  }
  // Long work says nothing about how the server copes with ordinary calls.
  if (!is_long) latency_limit_.OnSample(own_time, in_flight(), failed, now);
  dispatches_.erase(found);
  load_.OnEnded(own_time);
  if (!failed) drain_.OnDone(now);
  if (is_long) return;
  // A try that timed out counts as slow as it was: without it a server slower
  // than the timeout would never be seen to be slow.
  if (!failed || latency >= expected_service_) {
    expected_service_ =
        MovingAverage(expected_service_, latency, kServiceWeight);
  }
  const Duration of_kind = ExpectedService(kind);
  if ((!failed || latency >= of_kind) && HasPlaceFor(kind)) {
    expected_by_kind_[kind] = MovingAverage(of_kind, latency, kServiceWeight);
  }
  shedder_.OnServiceTime(expected_service_);
}

bool LocalServer::HasPlaceFor(const CallKind& kind) const {
  return expected_by_kind_.size() < kMaxKinds ||
         expected_by_kind_.count(kind) > 0;
}

Duration LocalServer::ExpectedService(const CallKind& kind) const {
  const auto found = expected_by_kind_.find(kind);
  return found == expected_by_kind_.end() ? Duration::zero() : found->second;
}

std::vector<std::pair<uint64_t, uint64_t>> LocalServer::InFlight() const {
  std::vector<std::pair<uint64_t, uint64_t>> result;
  result.reserve(dispatches_.size());
  for (const auto& [dispatch, details] : dispatches_) {
    result.emplace_back(dispatch, details.fingerprint);
  }
  return result;
}

LoadReport LocalServer::Report(TimePoint now) {
  LoadReport report;
  report.server = record_.server;
  report.in_flight = static_cast<uint32_t>(in_flight());
  report.limit = static_cast<uint32_t>(limit());
  report.queued = static_cast<uint32_t>(queue_.size());
  report.shed_threshold = shedder_.Threshold(now);
  report.turn_us = ToWireMicros(expected_service_ / std::max(1, limit()));
  return report;
}

}  // namespace amaranth::pvt
