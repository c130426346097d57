#include "amaranthroute/policy/retry_budget.h"

#include <algorithm>

namespace amaranth {

RetryBudget::RetryBudget(double ratio, double min_per_second)
    : ratio_(std::max(0.0, ratio)),
      min_per_second_(std::max(0.0, min_per_second)),
      first_attempts_(kWindow),
      retries_(kWindow) {}

void RetryBudget::OnFirstAttempt(TimePoint now) { first_attempts_.Add(now); }

bool RetryBudget::TryRetry(TimePoint now) {
  const double window_seconds = std::chrono::duration<double>(kWindow).count();
  const double allowed =
      ratio_ * static_cast<double>(first_attempts_.Total(now)) +
      min_per_second_ * window_seconds;
  const double after = static_cast<double>(retries_.Total(now)) + 1;
  if (after > allowed) return false;
  retries_.Add(now);
  return true;
}

void RetryBudget::SetRatio(double ratio) { ratio_ = std::max(0.0, ratio); }

}  // namespace amaranth
