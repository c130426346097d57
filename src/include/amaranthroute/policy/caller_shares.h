#ifndef AMARANTHROUTE_POLICY_CALLER_SHARES_H_
#define AMARANTHROUTE_POLICY_CALLER_SHARES_H_

/// Fair shares among the callers of one service and tier, while it sheds.
///
/// Load pattern: one caller, or a few, ask for most of what a service can do.
/// Shedding by request alone takes the same share of every caller's requests:
/// with one at three times the capacity, nine quiet ones lose half of theirs.
/// Here a caller that asks for more than its fair share gets lower shedding
/// levels in proportion, so that its surplus is shed first. Nothing changes for
/// anybody while nothing is shed.

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Demand of the callers of one service and tier, as seen by one entry node.
class CallerShares {
 public:
  /// Long enough to count a caller of a few requests a second, short enough
  /// that one that calms down is forgiven within two seconds.
  static constexpr Duration kWindow = std::chrono::seconds(1);
  /// Demand above the mean that is still no surplus: equal callers differ by
  /// chance, and must not be taken for hot ones.
  static constexpr double kSlack = 1.5;
  /// Callers counted in a window; further ones count as quiet, so that memory
  /// stays bounded however many names are invented.
  static constexpr size_t kMaxCallers = 5000;

  /// A request of `caller` arrived.
  void OnArrival(const std::string& caller, TimePoint now);

  /// Part of the tier's levels open to the caller: 1 up to its fair share, else
  /// the fair share over its demand. Above 0.
  double Weight(const std::string& caller) const;

 private:
  using Counts = std::unordered_map<std::string, uint64_t>;

  uint64_t DemandOf(const std::string& caller) const;

  TimePoint turned_{};
  Counts newer_;
  Counts older_;
  uint64_t newer_total_ = 0;
  uint64_t older_total_ = 0;
};

/// SheddingLevel of a request whose caller has `weight`; at most the level that
/// it has at weight 1, and in the same tier.
uint32_t WeightedSheddingLevel(Tier tier, std::string_view request_id,
                               double weight);

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_CALLER_SHARES_H_
