#include "amaranthroute/policy/retry_after.h"

#include <algorithm>

#include "libpolicy/seconds.h"

namespace amaranth {
namespace {

// Delay without a measured rate: recovery may take a second.
constexpr double kDefaultSeconds = 1.0;

// Bounds of the delay, as fractions of the time left of a caller's target.
// After a shorter delay the same queue would still be standing; after a longer
// one too little time is left for the work itself.
constexpr double kMinFraction = 0.1;
constexpr double kMaxFraction = 0.35;
// A few round trips to a caller; less would make clients resend in a busy loop.
constexpr Duration kMinRetryWithinTarget = std::chrono::milliseconds(20);

}  // namespace

Duration RetryAfter(size_t backlog, double drained_per_second,
                    std::mt19937_64& random) {
  double seconds = kDefaultSeconds;
  if (drained_per_second > 0) {
    seconds = static_cast<double>(backlog) / drained_per_second;
  }
  // Clamped before the jitter: clients with the maximum delay would otherwise
  // resend in step.
  seconds = std::clamp(seconds, pvt::ToSeconds(kMinRetryAfter),
                       pvt::ToSeconds(kMaxRetryAfter) / 2);
  std::uniform_real_distribution<double> jitter(1.0, 2.0);
  seconds *= jitter(random);
  return pvt::FromSeconds(seconds);
}

Duration RetryWithinTarget(Duration target, Duration elapsed,
                           std::mt19937_64& random) {
  const double left =
      std::max(0.0, pvt::ToSeconds(target) - pvt::ToSeconds(elapsed));
  std::uniform_real_distribution<double> fraction(kMinFraction, kMaxFraction);
  return std::max(pvt::FromSeconds(left * fraction(random)),
                  kMinRetryWithinTarget);
}

RetryRange RangeWithinTarget(Duration target, Duration elapsed) {
  const double left =
      std::max(0.0, pvt::ToSeconds(target) - pvt::ToSeconds(elapsed));
  return {
      std::max(pvt::FromSeconds(left * kMinFraction), kMinRetryWithinTarget),
      std::max(pvt::FromSeconds(left * kMaxFraction), kMinRetryWithinTarget)};
}

DrainMeter::DrainMeter() : done_(kWindow) {}

void DrainMeter::OnDone(TimePoint now) {
  if (first_ == kNever) first_ = now;
  done_.Add(now);
}

double DrainMeter::PerSecond(TimePoint now) const {
  if (first_ == kNever) return 0;
  // At least a tenth of the window: a single call gives no meaningful rate.
  const Duration covered = std::clamp(now - first_, kWindow / 10, kWindow);
  return static_cast<double>(done_.Total(now)) / pvt::ToSeconds(covered);
}

}  // namespace amaranth
