#include "amaranthroute/policy/retry_after.h"

#include <algorithm>

namespace amaranth {
namespace {

// With no measured rate: a second is what recovery may take.
constexpr double kUnknownSeconds = 1.0;

// Parts of the time left of a caller's target after which it comes back. Under
// the least the same queue would still stand; over the most too little is left
// for the work itself.
constexpr double kLeastPart = 0.1;
constexpr double kMostPart = 0.35;
// A few round trips to a caller; sooner would be a busy loop over the network.
constexpr Duration kSoonest = std::chrono::milliseconds(20);

double Seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

Duration RetryAfter(size_t backlog, double drained_per_second,
                    std::mt19937_64& random) {
  double seconds = kUnknownSeconds;
  if (drained_per_second > 0) {
    seconds = static_cast<double>(backlog) / drained_per_second;
  }
  // The bound comes before the jitter: clients that are all told the longest
  // time would otherwise come back in step.
  seconds =
      std::clamp(seconds, Seconds(kMinRetryAfter), Seconds(kMaxRetryAfter) / 2);
  std::uniform_real_distribution<double> jitter(1.0, 2.0);
  seconds *= jitter(random);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

Duration RetryWithinTarget(Duration target, Duration held,
                           std::mt19937_64& random) {
  const double left = std::max(0.0, Seconds(target) - Seconds(held));
  std::uniform_real_distribution<double> part(kLeastPart, kMostPart);
  const std::chrono::duration<double> wait(left * part(random));
  return std::max(std::chrono::duration_cast<Duration>(wait), kSoonest);
}

DrainMeter::DrainMeter() : done_(kWindow) {}

void DrainMeter::OnDone(TimePoint now) {
  if (first_ == kNever) first_ = now;
  done_.Add(now);
}

double DrainMeter::PerSecond(TimePoint now) const {
  if (first_ == kNever) return 0;
  // A tenth of the window at least: one event at one moment is no rate.
  const Duration covered = std::clamp(now - first_, kWindow / 10, kWindow);
  return static_cast<double>(done_.Total(now)) / Seconds(covered);
}

}  // namespace amaranth
