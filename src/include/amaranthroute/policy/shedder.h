#ifndef AMARANTHROUTE_POLICY_SHEDDER_H_
#define AMARANTHROUTE_POLICY_SHEDDER_H_

/// Load shedding: decides which requests are refused before they use capacity.
///
/// Load pattern: demand of several times the capacity, for longer than a queue
/// can absorb. Without shedding the queue is always full and each hop of a deep
/// chain drops calls at random: with half of the calls dropped at each of three
/// hops, one request in eight succeeds and the work on the other seven is
/// wasted.
///
/// Each request has a shedding level, computed from its tier and a hash of its
/// id, that is the same at every hop. A hop admits levels at or above its
/// threshold, as in DAGOR. Equally loaded hops therefore admit the same
/// requests, a critical request is shed only after all requests of lower
/// levels, and thresholds can be propagated upstream on answers.
///
/// The threshold is computed once per window from counts: calls started by the
/// server give the capacity, arrivals by level give the demand. At ten times
/// the capacity one window is enough to find the right share, and when demand
/// falls below the capacity again one window returns the threshold to 0. A
/// controller with fixed steps needs seconds for either.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Levels per tier. Each level holds less than 1% of the tier's load.
inline constexpr uint32_t kLevelsPerTier = 128;
/// The highest level. A threshold never exceeds it, so that some critical
/// requests are always admitted and a recovery can be detected.
inline constexpr uint32_t kMaxSheddingLevel = kTierCount * kLevelsPerTier;

/// Groups of levels that are shed one after the other, two per tier; see
/// LevelByCost.
inline constexpr uint32_t kLevelsPerGroup = kLevelsPerTier / 2;
inline constexpr uint32_t kLevelGroups = kMaxSheddingLevel / kLevelsPerGroup;

/// Returns the level of a request, from 1 to kMaxSheddingLevel. It is the same
/// at every hop.
uint32_t SheddingLevel(Tier tier, std::string_view request_id);

/// Maps a level within its tier: requests that make nested calls to the lower
/// half, all others to the upper half. A request that makes eight nested calls
/// to an overloaded service costs it eight times as much as a direct request of
/// the same value, so it is shed first.
uint32_t LevelByCost(uint32_t level, bool makes_nested_calls);

/// Maps a level within its tier to the quarter of the class's tier: of the
/// requests of one tier, those of less important classes are shed first.
uint32_t LevelByClass(uint32_t level, Tier class_tier);

/// Targets and step sizes of a Shedder.
struct ShedderOptions {
  /// Age of the oldest waiting call up to which the service is not considered
  /// overloaded. The oldest call belongs to the lowest admitted tier, which
  /// waits for all others. With a lower target a server with few slots runs out
  /// of calls by chance; with a higher one overload is detected later.
  Duration target_delay = std::chrono::milliseconds(80);
  /// Minimum of the target, in expected service times. With 10 slots and a
  /// service time of 200 ms, the wait of one call for another to end may
  /// already take half of this.
  double target_service_times = 2.0;
  /// Shortest window. Allows ten decisions within the recovery target of one
  /// second.
  Duration window = std::chrono::milliseconds(100);
  /// A window without a free slot stays open until it has this many starts, or
  /// until max_window, so that a server with 10 slots is not judged by one or
  /// two calls.
  uint32_t min_starts = 10;
  Duration max_window = std::chrono::milliseconds(400);
  /// Fraction of the capacity to admit while the delay exceeds the target.
  double decrease = 0.95;
  /// Fraction of the capacity to admit while the delay exceeds three times the
  /// target; the backlog then shrinks by a tenth of the capacity.
  double severe_decrease = 0.9;
  /// Multiple of the capacity to admit while the delay is within the target.
  double increase = 1.02;
  /// Factor on the estimated capacity when the delay is within the target and a
  /// slot was free. The excess over 1 doubles with each such window in a row,
  /// so three times the capacity is found in four windows.
  double idle_increase = 1.1;
  /// Compute the threshold from the wait alone. For requests that are admitted
  /// at their entry node and then make many sequential calls here. Counts do
  /// not reveal their demand: the callers' nodes refuse requests below the
  /// threshold, and admitted requests generate no more calls than the capacity
  /// however long each call waits, so an existing backlog would never drain.
  bool threshold_from_wait = false;
  /// With threshold_from_wait: wait up to which everything is admitted. Below
  /// it the callers' admission windows (AdmissionWindow) control the number of
  /// requests in flight, without oscillation. A change of the threshold takes
  /// effect a second later, after the answers of three hops have propagated it
  /// upstream; a shorter queue is empty by then, and slots are idle until it
  /// refills.
  Duration tolerated_wait = std::chrono::milliseconds(100);
  /// Additional wait over which the lowest group of levels in use is shed
  /// completely, before the next group. A request with four calls that wait
  /// for half of this each still ends within its target of one second.
  Duration wait_per_group = std::chrono::milliseconds(130);
  /// Factor on wait_per_group for each further group. Shedding the lowest group
  /// takes effect only after its requests in flight have ended; until then the
  /// wait must not shed the groups above.
  double further_group_factor = 4.0;
  /// Time by which the wait is extrapolated linearly. A change takes effect
  /// only after the answers of three hops have propagated it and requests in
  /// flight have ended. Without extrapolation the threshold oscillates between
  /// admitting everything and nothing every three seconds.
  Duration prediction_horizon = std::chrono::milliseconds(300);
  /// Weight of a new window in the exponential moving averages. A window that
  /// differs from them by more than statistical noise replaces them.
  double gain = 0.3;
};

/// Computes the shedding threshold of one service at one serving node.
class Shedder {
 public:
  explicit Shedder(ShedderOptions options = {});

  /// Sets ShedderOptions::target_delay.
  void SetTargetDelay(Duration target);

  /// Records an arriving call; to be called whether it is admitted or not.
  void OnArrival(uint32_t level, TimePoint now);
  /// Records the start of a call. `delay` is AdmissionQueue::oldest_wait
  /// just before the start (0 if nothing waits). It is not the wait of the
  /// started call: with newest-first order and tiers that wait stays short in
  /// any overload, and nothing would be shed.
  void OnQueueDelay(Duration delay, TimePoint now);
  /// Sets the expected service time of a call, nested calls included. A wait of
  /// ShedderOptions::target_service_times times this value is normal, so the
  /// target is at least that.
  void OnServiceTime(Duration service);
  /// Records that a slot is free and no call waits.
  void OnIdle(TimePoint now);

  /// Returns the lowest admitted level, from 0 (everything) to
  /// kMaxSheddingLevel.
  uint32_t Threshold(TimePoint now);
  /// Returns whether a call of `level` is admitted.
  bool Admits(uint32_t level, TimePoint now);

 private:
  struct Window {
    TimePoint start{};
    uint32_t arrivals = 0;
    uint32_t starts = 0;
    double delay = 0;  // sum over starts, in microseconds
    bool idle = false;
  };

  void CloseWindowIfOver(TimePoint now);
  bool WindowIsOver(TimePoint now) const;
  void CloseWindow(TimePoint now);
  void UpdateThresholdByCounts(double delay, double seconds);
  void UpdateThresholdByWait(double delay, double seconds, TimePoint now);
  uint32_t LowestLevelInUse(TimePoint now) const;
  void UpdateDemand(double seconds);
  void UpdateCapacity(double seconds, bool overloaded);
  double Smoothed(double rate, double count, double seconds) const;
  uint32_t LevelForShare(double share) const;

  ShedderOptions options_;
  std::array<double, kMaxSheddingLevel + 1> arrivals_{};  // in this window
  std::array<double, kMaxSheddingLevel + 1> demand_{};    // share by level
  Window window_;
  double demand_rate_ = 0;       // arrivals per second
  double capacity_ = 0;          // starts per second
  double service_ = 0;           // expected service time in microseconds
  bool was_overloaded_ = false;  // in the last window
  int idle_windows_ = 0;         // consecutive
  uint32_t threshold_ = 0;
  double smoothed_wait_ = 0;  // with threshold_from_wait, in microseconds
  std::array<TimePoint, kLevelGroups> last_group_arrival_{};
  bool started_ = false;
};

/// Stores thresholds of downstream services, as reported on their answers. A
/// request that a downstream service would shed is refused at the entry node,
/// before it has used any capacity.
///
/// A threshold that is not renewed decays linearly to 0. Without decay a
/// threshold that refuses all requests of a node would stay forever, because no
/// answer could lower it. During the decay the highest levels are admitted
/// first, and the first answer shows whether the service has recovered.
class DownstreamThresholds {
 public:
  /// Age at which an entry starts to decay; longer than two of the shortest
  /// windows of a Shedder.
  static constexpr Duration kDecayDelay = std::chrono::milliseconds(250);
  /// Time that the decay to 0 takes, within the recovery target of one second.
  static constexpr Duration kDecayTime = std::chrono::milliseconds(500);
  /// Weight of one answer in the exponential moving average. Each backend
  /// server of a service reports its own threshold; a request meets the mean of
  /// them.
  static constexpr double kGain = 0.25;

  /// Records that an answer of `service` reported `threshold`.
  void Learn(const std::string& service, uint32_t threshold, TimePoint now);
  /// Returns the lowest level that `service` is expected to admit at `now`; 0
  /// if unknown.
  uint32_t ThresholdFor(const std::string& service, TimePoint now) const;

  /// Returns the decayed value at `now` of a threshold reported at `updated`.
  static double Decayed(double threshold, TimePoint updated, TimePoint now);

 private:
  struct Entry {
    double threshold = 0;
    TimePoint updated{};
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SHEDDER_H_
