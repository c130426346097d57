#include "amaranthroute/policy/server_judge.h"

#include <algorithm>

namespace amaranth {

ServerJudge::ServerJudge(ServerJudgeOptions options) : options_(options) {}

void ServerJudge::OnEnded(Duration own_time, Duration usual, bool failed,
                          TimePoint now) {
  const bool stale = now - window_.began > options_.longest_window;
  if (window_.results == 0 || stale) {
    window_ = Window();
    window_.began = now;
  }
  ++window_.results;
  if (failed) {
    ++window_.failures;
  } else if (usual > Duration::zero()) {
    ++window_.compared;
    window_.time += own_time;
    window_.usual += usual;
  }
  if (!IsFull(now)) return;
  const ServerFitness verdict = VerdictOfWindow();
  window_ = Window();
  if (!verdict.sound()) {
    Hold(verdict, now);
  } else if (now < held_until_) {
    // It recovered while callers still sent it some calls.
    held_until_ = now;
  }
}

ServerFitness ServerJudge::Fitness(TimePoint now) {
  if (now >= held_until_) verdict_ = ServerFitness();
  return verdict_;
}

bool ServerJudge::IsFull(TimePoint now) const {
  return window_.results >= options_.window_results &&
         now - window_.began >= options_.window_time;
}

ServerFitness ServerJudge::VerdictOfWindow() const {
  ServerFitness verdict;
  const double failures = window_.failures;
  verdict.failing = failures >= options_.failing_share * window_.results;
  if (window_.compared == 0) return verdict;
  const double ratio = static_cast<double>(window_.time.count()) /
                       static_cast<double>(window_.usual.count());
  const Duration excess = (window_.time - window_.usual) / window_.compared;
  const bool slow =
      ratio >= options_.slow_factor && excess >= options_.least_excess;
  if (slow) {
    verdict.slowdown =
        std::min(static_cast<uint32_t>(ratio), options_.most_slowdown);
  }
  return verdict;
}

void ServerJudge::Hold(const ServerFitness& verdict, TimePoint now) {
  // Calls that were sent before callers heard of the verdict must not prolong
  // it.
  if (now < held_until_) {
    verdict_.failing = verdict_.failing || verdict.failing;
    return;
  }
  if (now - held_until_ >= options_.forgiven_after) repetitions_ = 0;
  Duration hold = options_.first_hold;
  for (int i = 0; i < repetitions_; ++i) {
    hold = std::min(hold * 2, options_.longest_hold);
  }
  ++repetitions_;
  verdict_ = verdict;
  held_until_ = now + hold;
}

}  // namespace amaranth
