#include "amaranthroute/policy/slot_search.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace amaranth {
namespace {

// Weight of the newest call in the moving average of service times, which sets
// the settling time of a phase.
constexpr double kServiceTimeWeight = 0.02;
// Settling time of a phase, in mean service times: most calls that were in
// flight when the limit changed have completed by then.
constexpr double kSettleServiceTimes = 2.0;
// Fraction of a phase's calls that may complete without a backlog. Above it,
// throughput reflects the offered load rather than the capacity. It is not zero
// because an admission window that keeps the queue short lets it run empty now
// and then.
constexpr double kMaxShareWithoutBacklog = 0.3;
// Delay before the next search after a trial that lacked a backlog.
constexpr Duration kInconclusiveTrialDelay = std::chrono::seconds(1);
// Minimum throughput gain of a higher limit, as a fraction of the proportional
// gain (that of a server whose calls do not slow each other down).
constexpr double kMinMarginalGain = 0.5;
constexpr int kStepGrowth = 2;
// Size of the first upward step, as a fraction of the initial downward step.
constexpr double kUpStepShare = 0.5;

// Returns the median, over the pairs of phases, of the throughput at the
// candidate divided by the throughput at the current limit.
double MedianGain(const std::vector<double>& rates) {
  std::vector<double> gains;
  for (size_t phase = 0; phase + 1 < rates.size(); phase += 2) {
    gains.push_back(rates[phase + 1] / rates[phase]);
  }
  const auto middle = gains.begin() + static_cast<ptrdiff_t>(gains.size() / 2);
  std::nth_element(gains.begin(), middle, gains.end());
  return *middle;
}

}  // namespace

SlotSearch::SlotSearch(SlotSearchOptions options)
    : options_(options),
      down_step_(options.initial_step),
      recheck_interval_(options.recheck_interval) {}

void SlotSearch::SetSlots(int slots) {
  const int announced = std::max(1, slots);
  if (announced == slots_) return;
  slots_ = announced;
  limit_ = announced;
  AbandonTrial();
}

int SlotSearch::limit() const {
  return InTrial() && IsCandidatePhase() ? trial_.candidate : limit_;
}

void SlotSearch::OnServed(Duration service_time, bool has_backlog,
                          TimePoint now) {
  const double micros = static_cast<double>(service_time.count());
  mean_service_time_ =
      mean_service_time_ == 0
          ? micros
          : mean_service_time_ +
                kServiceTimeWeight * (micros - mean_service_time_);
  if (InTrial()) {
    MeasurePhase(has_backlog, now);
  } else {
    CheckForBacklog(has_backlog, now);
  }
}

// Starts a search after `phase_calls` calls in a row have completed with a
// backlog.
void SlotSearch::CheckForBacklog(bool has_backlog, TimePoint now) {
  if (now < next_search_) return;
  if (!has_backlog) {
    completed_ = 0;
    return;
  }
  if (++completed_ < options_.phase_calls) return;
  const bool up = limit_ < slots_ && !last_search_up_;
  last_search_up_ = up;
  const int step =
      ToSlots(up ? options_.initial_step * kUpStepShare : down_step_);
  BeginTrial(up ? std::min(slots_, limit_ + step) : limit_ - step, now);
}

int SlotSearch::ToSlots(double share) const {
  return std::max(1, static_cast<int>(share * slots_));
}

void SlotSearch::BeginTrial(int candidate, TimePoint now) {
  if (candidate < 1) return EndSearch(now);
  trial_ = Trial{candidate, {}};
  BeginPhase(now);
}

void SlotSearch::BeginPhase(TimePoint now) {
  const Duration settle(
      static_cast<int64_t>(kSettleServiceTimes * mean_service_time_));
  settled_at_ = now + settle;
  measured_since_ = kNever;
  completed_ = without_backlog_ = 0;
}

void SlotSearch::MeasurePhase(bool has_backlog, TimePoint now) {
  if (now < settled_at_) return;
  if (measured_since_ == kNever) {
    measured_since_ = now;
    return;
  }
  ++completed_;
  if (!has_backlog) ++without_backlog_;
  const Duration length = now - measured_since_;
  const bool full =
      completed_ >= options_.phase_calls && length >= options_.min_phase;
  if (full) return EndPhase(now);
  if (length <= options_.max_phase) return;
  AbandonTrial();
  next_search_ = now + options_.recheck_interval;
}

void SlotSearch::EndPhase(TimePoint now) {
  if (without_backlog_ > kMaxShareWithoutBacklog * completed_) {
    AbandonTrial();
    next_search_ = now + kInconclusiveTrialDelay;
    return;
  }
  const double seconds =
      std::chrono::duration<double>(now - measured_since_).count();
  trial_.rates.push_back(completed_ / seconds);
  const size_t phases = 2 * static_cast<size_t>(options_.pairs);
  if (trial_.rates.size() < phases) return BeginPhase(now);
  ConcludeTrial(now);
}

bool SlotSearch::CandidateIsBetter() const {
  const double gain = MedianGain(trial_.rates) - 1;
  if (trial_.candidate < limit_) return gain > options_.min_gain;
  const double added_share = static_cast<double>(trial_.candidate) / limit_ - 1;
  return gain > kMinMarginalGain * added_share;
}

void SlotSearch::ConcludeTrial(TimePoint now) {
  const int step = trial_.candidate - limit_;
  if (CandidateIsBetter()) {
    AdoptCandidate(step, now);
  } else {
    KeepCurrentLimit(step, now);
  }
}

void SlotSearch::AdoptCandidate(int step, TimePoint now) {
  limit_ = trial_.candidate;
  const bool was_larger_step = down_step_ > options_.initial_step;
  down_step_ = options_.initial_step;
  // A higher limit paid off: tries larger upward steps up to all slots.
  if (step > 0 && limit_ < slots_) {
    return BeginTrial(std::min(slots_, limit_ + kStepGrowth * step), now);
  }
  // The best limit may lie well above the end of a larger step.
  if (step < 0 && was_larger_step) return BeginTrial(limit_ - step / 2, now);
  EndSearch(now);
}

void SlotSearch::KeepCurrentLimit(int step, TimePoint now) {
  if (step > 0) return EndSearch(now);
  const bool was_initial_step = down_step_ == options_.initial_step;
  down_step_ *= kStepGrowth;
  if (down_step_ > options_.max_step) down_step_ = options_.initial_step;
  if (was_initial_step) return BeginTrial(limit_ - ToSlots(down_step_), now);
  EndSearch(now);
}

void SlotSearch::AbandonTrial() {
  trial_ = Trial{};
  completed_ = without_backlog_ = 0;
}

// Doubles the interval while the server has all its slots. Below them the
// interval is reset, since the cause of the slowdown may have gone.
void SlotSearch::EndSearch(TimePoint now) {
  AbandonTrial();
  if (limit_ < slots_) recheck_interval_ = options_.recheck_interval;
  next_search_ = now + recheck_interval_;
  recheck_interval_ =
      std::min(2 * recheck_interval_, options_.max_recheck_interval);
}

}  // namespace amaranth
