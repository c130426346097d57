#ifndef AMARANTHROUTE_POLICY_SHEDDER_H_
#define AMARANTHROUTE_POLICY_SHEDDER_H_

/// Which requests are turned away before they cost anything.
///
/// Load pattern: demand of several times the capacity, for longer than a queue
/// can absorb. Without shedding the queue is always full; each hop of a deep
/// chain then drops at random, so that with half the calls dropped at each of
/// three hops one request in eight succeeds, and the work of the other seven
/// is wasted.
///
/// Each request has a level, from its tier and a hash of its id, that is the
/// same at every hop; a hop lets in the levels from its threshold up (the idea
/// of DAGOR). So what one hop lets in, an equally loaded one lets in too, a
/// critical request is shed only when all below it are, and thresholds can
/// travel upstream on answers.
///
/// The threshold is set once a window from counts: calls that the server
/// started tell the capacity, arrivals by level tell the demand. At ten times
/// the capacity one window is enough to find the right share, and when the
/// demand falls back below the capacity one window takes the threshold back to
/// 0, where a controller in fixed steps needs seconds for either.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Levels that one tier is divided into: steps of under 1% of a tier's load.
inline constexpr uint32_t kLevelsPerTier = 128;
/// The highest level. A threshold never goes above it, so that some critical
/// requests always flow and tell of the recovery.
inline constexpr uint32_t kMaxSheddingLevel = kTierCount * kLevelsPerTier;

/// Groups of levels that are cut one after the other, two in each tier; see
/// LevelByCost.
inline constexpr uint32_t kLevelsPerGroup = kLevelsPerTier / 2;
inline constexpr uint32_t kLevelGroups = kMaxSheddingLevel / kLevelsPerGroup;

/// Level of a request, 1 to kMaxSheddingLevel; the same at every hop.
uint32_t SheddingLevel(Tier tier, std::string_view request_id);

/// Moves a level within its tier: requests that make calls of their own into
/// the lower half, the others into the upper half. A request that makes eight
/// calls at the service that is short costs it eight times as much as one that
/// asks it directly and is worth no more; so it goes first.
uint32_t LevelByCost(uint32_t level, bool makes_calls);

/// Targets and steps of a Shedder.
struct ShedderOptions {
  /// Age of the oldest waiting call that is no overload. The oldest is of the
  /// lowest tier let in, which waits for all others: with less, a server with
  /// few slots runs out of calls by chance; with more, overload is seen later.
  Duration target_delay = std::chrono::milliseconds(80);
  /// ... and never less than this many usual service times: with 10 slots and
  /// 200 ms of service one call's turn is half of that.
  double service_targets = 2.0;
  /// Shortest window. Ten decisions in the second in which we recover.
  Duration window = std::chrono::milliseconds(100);
  /// A window waits for this many starts, so that a server with 10 slots is
  /// not judged by one or two calls, but no longer than max_window.
  uint32_t min_starts = 10;
  Duration max_window = std::chrono::milliseconds(400);
  /// Over the target: let in this part of the capacity.
  double lower = 0.95;
  /// Over three times the target: this part, so the backlog shrinks by a tenth
  /// of the capacity.
  double lower_far = 0.9;
  /// Under the target: let in this much more than the capacity.
  double raise = 1.02;
  /// Under the target, with a free slot seen: the capacity is higher than was
  /// thought by at least this; the excess doubles with each such window in a
  /// row, so three times the capacity is found in four windows.
  double raise_idle = 1.1;
  /// Set the threshold by the wait alone, for requests that are let in where
  /// they enter and then make many calls here, one after the other. Counts tell
  /// nothing of their demand: callers' nodes turn away what is under the
  /// threshold, and what was let in asks for no more than the capacity however
  /// long each call waits, so that a backlog once there would stand for good.
  bool steer_by_wait = false;
  /// With steer_by_wait: up to this wait everything is let in. What is under
  /// way then is the business of the callers' windows (AdmissionWindow), which
  /// follow it without a swing. A change of the threshold is felt a second
  /// later, when the answers of three hops have carried it up: a queue of less
  /// than this is empty by then, and slots stand idle until it fills again.
  Duration calm_wait = std::chrono::milliseconds(100);
  /// ... and over as much more as this the lowest group of levels in use goes,
  /// then the next. A request that waits four times for the usual half of it
  /// still ends within its target of a second.
  Duration group_wait = std::chrono::milliseconds(130);
  /// Each further group takes this many times as long: cutting the lowest one
  /// shows only when its requests under way have ended, and until then the wait
  /// must not cost the groups above.
  double next_groups = 4.0;
  /// The wait is taken as it will be after this, if it goes on as it does now:
  /// a change is felt only when the answers of three hops have carried it up
  /// and requests under way have ended. Without it the threshold swings between
  /// nothing and everything every three seconds.
  Duration wait_lead = std::chrono::milliseconds(300);
  /// Weight of a new window in the moving averages; a window that differs from
  /// them by more than chance allows replaces them.
  double gain = 0.3;
};

/// Threshold of one service at one serving node.
class Shedder {
 public:
  explicit Shedder(ShedderOptions options = {});

  /// Changes ShedderOptions::target_delay.
  void SetTargetDelay(Duration target);

  /// Every call that arrives, whether it will be let in or not.
  void OnArrival(uint32_t level, TimePoint now);
  /// Once for each call that is started: AdmissionQueue::standing_delay just
  /// before it (0 if nothing waits). Not the started call's own wait: newest
  /// first and by tier, that one is short in any overload, and nothing is shed.
  void OnQueueDelay(Duration delay, TimePoint now);
  /// Usual time of a call in the server: a wait of `service_targets` of it is
  /// ordinary and raises the target.
  void OnServiceTime(Duration service);
  /// A slot is free and nothing waits.
  void OnIdle(TimePoint now);

  /// The lowest level let in; 0 (everything) to kMaxSheddingLevel.
  uint32_t Threshold(TimePoint now);
  /// Whether a call of `level` is let in.
  bool Admits(uint32_t level, TimePoint now);

 private:
  struct Window {
    TimePoint start{};
    uint32_t arrivals = 0;
    uint32_t starts = 0;
    double delay = 0;  // sum over starts, microseconds
    bool idle = false;
  };

  void Roll(TimePoint now);
  bool WindowIsOver(TimePoint now) const;
  void CloseWindow(TimePoint now);
  void SteerByCounts(double delay, double seconds);
  void SteerByWait(double delay, double seconds, TimePoint now);
  uint32_t LowestLevelInUse(TimePoint now) const;
  void LearnDemand(double seconds);
  void LearnCapacity(double seconds, bool over);
  double Smoothed(double rate, double count, double seconds) const;
  uint32_t LevelForShare(double share) const;

  ShedderOptions options_;
  std::array<double, kMaxSheddingLevel + 1> arrivals_{};  // of this window
  std::array<double, kMaxSheddingLevel + 1> demand_{};    // shares by level
  Window window_;
  double demand_rate_ = 0;  // arrivals per second
  double capacity_ = 0;     // starts per second
  double service_ = 0;      // microseconds
  bool was_over_ = false;   // the last window
  int idle_windows_ = 0;    // in a row
  uint32_t threshold_ = 0;
  double wait_ = 0;  // with steer_by_wait: smoothed, microseconds
  std::array<TimePoint, kLevelGroups> group_seen_{};  // last arrival
  bool started_ = false;
};

/// Thresholds that answers brought from downstream services: a request that a
/// deep service would shed is turned away at the entry, where it has cost
/// nothing yet.
///
/// Without an end to what was learned, a threshold that turns all of a node's
/// requests away would stay for good, as no answer comes to lower it. So an
/// entry that is not renewed falls linearly to 0; levels come back from the top
/// down, and the first answer tells whether the service has recovered.
class DownstreamThresholds {
 public:
  /// Several windows of a Shedder pass before an entry starts to fall.
  static constexpr Duration kHold = std::chrono::milliseconds(250);
  /// Then it is gone after this long, within the second that recovery may take.
  static constexpr Duration kFall = std::chrono::milliseconds(500);
  /// Weight of one answer; the servers of a service report each their own
  /// threshold, and the mean of the last few is what a request will meet.
  static constexpr double kGain = 0.25;

  /// An answer of `service` reported `threshold`.
  void Learn(const std::string& service, uint32_t threshold, TimePoint now);
  /// The lowest level worth sending to `service` now; 0 if unknown.
  uint32_t ThresholdFor(const std::string& service, TimePoint now) const;

  /// What is left at `now` of a threshold reported at `learned`.
  static double Faded(double threshold, TimePoint learned, TimePoint now);

 private:
  struct Entry {
    double threshold = 0;
    TimePoint learned{};
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SHEDDER_H_
