#ifndef AMARANTHROUTE_POLICY_CALLER_SHARES_H_
#define AMARANTHROUTE_POLICY_CALLER_SHARES_H_

/// Fair shares for the callers of one service and tier while load is shed.
///
/// Load pattern: one caller or a few request most of a service's capacity.
/// Shedding by request alone sheds the same share of every caller's requests:
/// with one caller at three times the capacity, nine light callers lose half of
/// their requests. A caller that requests more than its fair share gets
/// proportionally lower shedding levels, so that its surplus is shed first.
/// While nothing is shed the levels have no effect.

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Measures the demand of the callers of one service and tier at one entry
/// node.
class CallerShares {
 public:
  /// Counting window; the demand covers the current and the previous one. Long
  /// enough for callers of a few requests per second, and short enough that a
  /// caller regains its full weight within two seconds of lowering its demand.
  static constexpr Duration kWindow = std::chrono::seconds(1);
  /// Multiple of the mean demand up to which a caller has no surplus. Equal
  /// callers differ by chance and must not lose levels.
  static constexpr double kTolerance = 1.5;
  /// Maximum number of callers counted in a window, which bounds the memory
  /// whatever caller names are sent. Further callers are not counted in
  /// it; a caller without counts has a weight of 1.
  static constexpr size_t kMaxCallers = 5000;

  /// Records a request of `caller`.
  void OnArrival(const std::string& caller, TimePoint now);

  /// Returns the fraction of the tier's levels available to the caller: 1 up to
  /// its fair share, otherwise the fair share divided by its demand. Always
  /// greater than 0.
  double Weight(const std::string& caller) const;

 private:
  using Counts = std::unordered_map<std::string, uint64_t>;

  uint64_t DemandOf(const std::string& caller) const;

  TimePoint window_start_{};
  Counts current_;
  Counts previous_;
  uint64_t current_total_ = 0;
  uint64_t previous_total_ = 0;
};

/// Returns the shedding level of a request whose caller has `weight` (0 to 1).
/// It is in the same tier as SheddingLevel and never higher.
uint32_t WeightedSheddingLevel(Tier tier, std::string_view request_id,
                               double weight);

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_CALLER_SHARES_H_
