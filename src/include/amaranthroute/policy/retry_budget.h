#ifndef AMARANTHROUTE_POLICY_RETRY_BUDGET_H_
#define AMARANTHROUTE_POLICY_RETRY_BUDGET_H_

/// How many retries a service gets, over all requests.
///
/// Load pattern: a service fails widely and each request uses its few retry
/// credits, so load doubles or triples just when capacity is short: the retries
/// then keep the failure going after its trigger has passed. The ledger bounds
/// one request; this bounds the sum: a retry is granted only while the retries
/// of the last window are under a ratio of its first tries. A sliding window
/// rather than a bucket of tokens: tokens saved in hours of calm would be spent
/// at once when it breaks.

#include "amaranthroute/policy/sliding_count.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Budget of one service at one entry node.
class RetryBudget {
 public:
  /// Long enough that a try that timed out after a second still finds its own
  /// first try in the window; short enough that the budget follows the load.
  static constexpr Duration kWindow = std::chrono::seconds(2);

  /// `ratio` of retries to first tries: 0.1 keeps amplification at 1.1. On top,
  /// `min_per_second`, so that a service with few requests can retry at all.
  explicit RetryBudget(double ratio = 0.1, double min_per_second = 1.0);

  /// A request is sent for the first time.
  void OnFirstTry(TimePoint now);
  /// Takes one retry from the budget; false if there is none.
  bool TryRetry(TimePoint now);
  void SetRatio(double ratio);

 private:
  double ratio_;
  double min_per_second_;
  SlidingCount first_tries_;
  SlidingCount retries_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_RETRY_BUDGET_H_
