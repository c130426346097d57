#ifndef AMARANTHROUTE_POLICY_RETRY_BUDGET_H_
#define AMARANTHROUTE_POLICY_RETRY_BUDGET_H_

/// Limits the retries of a service over all requests.
///
/// Load pattern: most calls of a service fail and each request uses its few
/// retry credits, so that load doubles or triples just when capacity is
/// lacking: the retries then sustain the failure after its trigger has passed.
/// Retry credits limit the retries of one request; the budget limits the sum: a
/// retry is granted only while the retries in the last window are below a ratio
/// of the first attempts in it. A sliding window is used rather than a token
/// bucket, since tokens accumulated in hours without failures would be spent at
/// once when the service fails.

#include "amaranthroute/policy/sliding_count.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Retry budget of one service at one entry node.
class RetryBudget {
 public:
  /// Long enough that the first attempt of a call is still in the window when
  /// it times out after a second; short enough that the budget follows the
  /// load.
  static constexpr Duration kWindow = std::chrono::seconds(2);

  /// `ratio`: retries per first attempt; 0.1 limits load amplification to 1.1.
  /// `min_per_second`: additional retries per second, so that a service with
  /// few requests has any. Negative values count as 0.
  explicit RetryBudget(double ratio = 0.1, double min_per_second = 1.0);

  /// Records the first attempt of a call.
  void OnFirstAttempt(TimePoint now);
  /// Takes one retry from the budget; returns false if none is left.
  bool TryRetry(TimePoint now);
  /// Sets the ratio of retries to first attempts; negative values count as 0.
  void SetRatio(double ratio);

 private:
  double ratio_;
  double min_per_second_;
  SlidingCount first_attempts_;
  SlidingCount retries_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_RETRY_BUDGET_H_
