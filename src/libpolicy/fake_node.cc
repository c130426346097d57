#include "libpolicy/fake_node.h"

#include <algorithm>
#include <utility>

namespace amaranth::pvt {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr double kServiceTimeWeight = 0.05;

double Seconds(TimePoint t) {
  return std::chrono::duration<double>(t.time_since_epoch()).count();
}

TimePoint At(double seconds) {
  return FromMicros(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace

FakeNode::FakeNode(FakeNodeOptions options, std::vector<FakeLoad> loads,
                   uint64_t seed)
    : options_(std::move(options)),
      loads_(std::move(loads)),
      random_(seed),
      limit_(options_.limit),
      queue_(options_.queue),
      shedder_(options_.shedder),
      long_share_(options_.long_share) {
  for (size_t load = 0; load < loads_.size(); ++load) {
    ScheduleArrival(load, TimePoint{});
  }
  events_.push({TimePoint{} + kStep, Kind::kStep, 0});
}

void FakeNode::RunUntil(double seconds) {
  while (events_.top().at < At(seconds)) {
    const FakeEvent event = events_.top();
    events_.pop();
    if (event.kind == Kind::kArrival) OnArrival(event.subject, event.at);
    if (event.kind == Kind::kCompletion) OnCompletion(event.subject, event.at);
    if (event.kind == Kind::kStep) OnStep(event.at);
  }
}

FakeTally FakeNode::Tally(size_t load, double from, double to) const {
  FakeTally tally;
  for (const Call& call : calls_) {
    if (call.load != load) continue;
    if (call.arrived < At(from) || call.arrived >= At(to)) continue;
    ++tally.offered;
    if (call.admitted) ++tally.admitted;
    if (!call.good) continue;
    ++tally.good;
    tally.mean_millis += static_cast<double>(call.response_time.count()) / 1000;
  }
  if (tally.good > 0) tally.mean_millis /= tally.good;
  return tally;
}

void FakeNode::ScheduleArrival(size_t load, TimePoint now) {
  const double rate = loads_[load].per_second(Seconds(now));
  if (rate <= 0) {  // check the rate again later
    events_.push({now + kStep, Kind::kArrival, load});
    return;
  }
  std::exponential_distribution<double> gap(rate);
  const Duration wait(static_cast<int64_t>(gap(random_) * 1e6) + 1);
  events_.push({now + wait, Kind::kArrival, load});
}

void FakeNode::OnArrival(size_t load, TimePoint now) {
  const FakeLoad& from = loads_[load];
  ScheduleArrival(load, now);
  if (from.per_second(Seconds(now)) <= 0) return;
  const size_t call_id = calls_.size();
  Call call;
  call.load = load;
  call.arrived = now;
  calls_.push_back(call);
  const uint32_t level = SheddingLevel(from.tier, std::to_string(call_id));
  shedder_.OnArrival(level, now);
  if (options_.shed && !shedder_.Admits(level, now)) return;
  calls_[call_id].admitted = true;
  std::vector<QueuedCall> evicted;
  queue_.Push(
      {call_id, from.tier, level, from.caller, from.long_work, now,
       now + from.deadline, Duration(static_cast<int64_t>(service_micros_))},
      now, evicted);
  FillSlots(now);
}

void FakeNode::FillSlots(TimePoint now) {
  std::vector<QueuedCall> expired;
  const Duration service(static_cast<int64_t>(service_micros_));
  while (in_flight_ < limit_.limit()) {
    const Duration delay = queue_.oldest_wait(now);
    const bool long_allowed =
        long_share_.Allows(long_in_flight_, limit_.limit());
    const std::optional<QueuedCall> call =
        queue_.Pop(now, service, long_allowed, expired);
    if (!call) break;
    shedder_.OnQueueDelay(delay, now);
    Start(call->id, now);
  }
  if (in_flight_ < limit_.limit() && queue_.size() == 0) shedder_.OnIdle(now);
}

void FakeNode::Start(size_t call_id, TimePoint now) {
  Call& call = calls_[call_id];
  const FakeLoad& load = loads_[call.load];
  ++in_flight_;
  if (load.long_work) limit_.SetLongInFlight(++long_in_flight_);
  call.started = now;
  call.in_flight = in_flight_;
  std::exponential_distribution<double> service(
      1.0 / static_cast<double>(load.service.count()));
  const double congestion = std::max(1.0, in_flight_ / options_.knee);
  const double micros =
      service(random_) * congestion * options_.slowness(Seconds(now));
  const Duration service_time(static_cast<int64_t>(micros) + 1);
  events_.push({now + service_time, Kind::kCompletion, call_id});
}

void FakeNode::OnCompletion(size_t call_id, TimePoint now) {
  Call& call = calls_[call_id];
  const FakeLoad& load = loads_[call.load];
  --in_flight_;
  if (load.long_work) limit_.SetLongInFlight(--long_in_flight_);
  call.response_time = now - call.arrived;
  call.good = call.response_time <= load.deadline;
  if (!load.long_work) {
    const Duration latency = now - call.started;
    service_micros_ += kServiceTimeWeight *
                       (static_cast<double>(latency.count()) - service_micros_);
    shedder_.OnServiceTime(Duration(static_cast<int64_t>(service_micros_)));
    limit_.OnSample(latency, call.in_flight, false, now);
  }
  FillSlots(now);
}

void FakeNode::OnStep(TimePoint now) {
  thresholds_.push_back(shedder_.Threshold(now));
  limits_.push_back(limit_.limit());
  FillSlots(now);
  events_.push({now + kStep, Kind::kStep, 0});
}

}  // namespace amaranth::pvt
