#include "amaranthroute/policy/server_judge.h"

#include <algorithm>

namespace amaranth {

ServerJudge::ServerJudge(ServerJudgeOptions options) : options_(options) {}

void ServerJudge::OnEnded(Duration service_time, Duration typical_time,
                          bool failed, TimePoint now) {
  const bool stale = now - window_.started > options_.max_window;
  if (window_.results == 0 || stale) {
    window_ = Window();
    window_.started = now;
  }
  ++window_.results;
  if (failed) {
    ++window_.failures;
  } else if (typical_time > Duration::zero()) {
    ++window_.compared;
    window_.service_time += service_time;
    window_.typical_time += typical_time;
  }
  if (!IsWindowComplete(now)) return;
  const ServerFitness verdict = WindowVerdict();
  window_ = Window();
  if (!verdict.healthy()) {
    HoldVerdict(verdict, now);
  } else if (now < held_until_) {
    // The server recovered while it still received some calls.
    held_until_ = now;
  }
}

ServerFitness ServerJudge::Fitness(TimePoint now) {
  if (now >= held_until_) verdict_ = ServerFitness();
  return verdict_;
}

bool ServerJudge::IsWindowComplete(TimePoint now) const {
  return window_.results >= options_.min_results &&
         now - window_.started >= options_.min_window;
}

ServerFitness ServerJudge::WindowVerdict() const {
  ServerFitness verdict;
  const double failures = window_.failures;
  verdict.failing = failures >= options_.failure_share * window_.results;
  if (window_.compared == 0) return verdict;
  const double ratio = static_cast<double>(window_.service_time.count()) /
                       static_cast<double>(window_.typical_time.count());
  const Duration excess =
      (window_.service_time - window_.typical_time) / window_.compared;
  const bool slow =
      ratio >= options_.slow_factor && excess >= options_.min_excess;
  if (slow) {
    verdict.slowdown =
        std::min(static_cast<uint32_t>(ratio), options_.max_slowdown);
  }
  return verdict;
}

void ServerJudge::HoldVerdict(const ServerFitness& verdict, TimePoint now) {
  // Calls that were sent before entry nodes received the verdict must not
  // prolong it.
  if (now < held_until_) {
    verdict_.failing = verdict_.failing || verdict.failing;
    return;
  }
  if (now - held_until_ >= options_.reset_after) repetitions_ = 0;
  Duration hold = options_.initial_hold;
  for (int i = 0; i < repetitions_; ++i) {
    hold = std::min(hold * 2, options_.max_hold);
  }
  ++repetitions_;
  verdict_ = verdict;
  held_until_ = now + hold;
}

}  // namespace amaranth
