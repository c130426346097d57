#include "amaranthroute/policy/retry_after.h"

#include <algorithm>

namespace amaranth {
namespace {

// With no measured rate: a second is what recovery may take.
constexpr double kUnknownSeconds = 1.0;

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
