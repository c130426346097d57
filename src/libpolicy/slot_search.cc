#include "amaranthroute/policy/slot_search.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace amaranth {
namespace {

// Weight of the newest call in the mean time that a turn settles by.
constexpr double kTimeWeight = 0.02;
// Calls that were in the server when the slots changed have mostly ended after
// this many mean times.
constexpr double kSettleTimes = 2.0;
// Part of a turn's calls that may leave a free slot: with more, what the server
// ends is what it is asked for, and says nothing of its capacity. Windows that
// hold a short queue let it run empty now and then.
constexpr double kMostUnwaited = 0.3;
// A trial that told nothing is made again after this.
constexpr Duration kRetryTrial = std::chrono::seconds(1);
// Part of what its additional slots would bring by their number that the larger
// of two numbers has to bring, to be worth taking.
constexpr double kLeastWorth = 0.5;
constexpr int kStepGrowth = 2;
// Slots are given back in steps of this part of those in which they are taken.
constexpr double kUpShare = 0.5;

// Middle one of what each pair of turns says: calls a second at the candidate
// as a multiple of those at the current number.
double MedianGain(const std::vector<double>& rates) {
  std::vector<double> gains;
  for (size_t turn = 0; turn + 1 < rates.size(); turn += 2) {
    gains.push_back(rates[turn + 1] / rates[turn]);
  }
  const auto middle = gains.begin() + static_cast<ptrdiff_t>(gains.size() / 2);
  std::nth_element(gains.begin(), middle, gains.end());
  return *middle;
}

}  // namespace

SlotSearch::SlotSearch(SlotSearchOptions options)
    : options_(options),
      down_step_(options.first_step),
      recheck_(options.recheck) {}

void SlotSearch::SetSlots(int slots) {
  const int announced = std::max(1, slots);
  if (announced == slots_) return;
  slots_ = announced;
  limit_ = announced;
  AbandonTrial();
}

int SlotSearch::limit() const {
  return InTrial() && IsCandidatesTurn() ? trial_.candidate : limit_;
}

void SlotSearch::OnServed(Duration own_time, bool calls_wait, TimePoint now) {
  const double micros = static_cast<double>(own_time.count());
  mean_own_time_ =
      mean_own_time_ == 0
          ? micros
          : mean_own_time_ + kTimeWeight * (micros - mean_own_time_);
  if (InTrial()) {
    Measure(calls_wait, now);
  } else {
    Watch(calls_wait, now);
  }
}

// A search starts once calls have waited for a whole turn.
void SlotSearch::Watch(bool calls_wait, TimePoint now) {
  if (now < next_search_) return;
  if (!calls_wait) {
    ended_ = 0;
    return;
  }
  if (++ended_ < options_.turn_calls) return;
  const bool up = limit_ < slots_ && !looked_up_;
  looked_up_ = up;
  const int step = StepOf(up ? options_.first_step * kUpShare : down_step_);
  BeginTrial(up ? std::min(slots_, limit_ + step) : limit_ - step, now);
}

int SlotSearch::StepOf(double share) const {
  return std::max(1, static_cast<int>(share * slots_));
}

void SlotSearch::BeginTrial(int candidate, TimePoint now) {
  if (candidate < 1) return Rest(now);
  trial_ = Trial{candidate, {}};
  BeginTurn(now);
}

void SlotSearch::BeginTurn(TimePoint now) {
  const Duration settle(static_cast<int64_t>(kSettleTimes * mean_own_time_));
  settled_at_ = now + settle;
  measured_since_ = kNever;
  ended_ = unwaited_ = 0;
}

void SlotSearch::Measure(bool calls_wait, TimePoint now) {
  if (now < settled_at_) return;
  if (measured_since_ == kNever) {
    measured_since_ = now;
    return;
  }
  ++ended_;
  if (!calls_wait) ++unwaited_;
  const Duration length = now - measured_since_;
  const bool full =
      ended_ >= options_.turn_calls && length >= options_.least_turn;
  if (full) return EndTurn(now);
  if (length <= options_.longest_turn) return;
  AbandonTrial();
  next_search_ = now + options_.recheck;
}

void SlotSearch::EndTurn(TimePoint now) {
  if (unwaited_ > kMostUnwaited * ended_) {
    AbandonTrial();
    next_search_ = now + kRetryTrial;
    return;
  }
  const double seconds =
      std::chrono::duration<double>(now - measured_since_).count();
  trial_.rates.push_back(ended_ / seconds);
  const size_t turns = 2 * static_cast<size_t>(options_.pairs);
  if (trial_.rates.size() < turns) return BeginTurn(now);
  Judge(now);
}

bool SlotSearch::CandidateIsBetter() const {
  const double gain = MedianGain(trial_.rates) - 1;
  if (trial_.candidate < limit_) return gain > options_.least_gain;
  const double more = static_cast<double>(trial_.candidate) / limit_ - 1;
  return gain > kLeastWorth * more;
}

void SlotSearch::Judge(TimePoint now) {
  const int step = trial_.candidate - limit_;
  if (CandidateIsBetter()) {
    AfterGain(step, now);
  } else {
    AfterLoss(step, now);
  }
}

void SlotSearch::AfterGain(int step, TimePoint now) {
  limit_ = trial_.candidate;
  const bool large = down_step_ > options_.first_step;
  down_step_ = options_.first_step;
  // Slots that were given back paid: more may do so, until all are there.
  if (step > 0 && limit_ < slots_) {
    return BeginTrial(std::min(slots_, limit_ + kStepGrowth * step), now);
  }
  // The edge may lie well above the end of a large step.
  if (step < 0 && large) return BeginTrial(limit_ - step / 2, now);
  Rest(now);
}

void SlotSearch::AfterLoss(int step, TimePoint now) {
  if (step > 0) return Rest(now);
  const bool first = down_step_ == options_.first_step;
  down_step_ *= kStepGrowth;
  if (down_step_ > options_.largest_step) down_step_ = options_.first_step;
  if (first) return BeginTrial(limit_ - StepOf(down_step_), now);
  Rest(now);
}

void SlotSearch::AbandonTrial() {
  trial_ = Trial{};
  ended_ = unwaited_ = 0;
}

// A server that has all its slots is tried ever more rarely. One that is held
// below them is not: what crowded it may have gone.
void SlotSearch::Rest(TimePoint now) {
  AbandonTrial();
  if (limit_ < slots_) recheck_ = options_.recheck;
  next_search_ = now + recheck_;
  recheck_ = std::min(2 * recheck_, options_.longest_recheck);
}

}  // namespace amaranth
