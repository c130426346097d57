#ifndef AMARANTHROUTE_POLICY_MAX_MIN_SHARE_H_
#define AMARANTHROUTE_POLICY_MAX_MIN_SHARE_H_

/// Divides what a rank gets of a backend server that is short of capacity among
/// customers, by weighted max-min fairness.
///
/// Load pattern: 82 customers of very different size use one service whose
/// capacity is short by a factor of 1.3 to 2. One or two of them send 3 to 7.5
/// times their usual. With a common share, each of the others loses as large a
/// part of its requests as the ones that caused the shortage.
///
/// RankDemand decides which positions are admitted. Only within the position of
/// its cut, and only there, customers are told apart.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/policy/rank_demand.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Demand of one customer, and its weight.
struct WeightedDemand {
  double demand = 0;
  double weight = 1;

  friend bool operator==(const WeightedDemand& a, const WeightedDemand& b) {
    return a.demand == b.demand && a.weight == b.weight;
  }
  friend bool operator!=(const WeightedDemand& a, const WeightedDemand& b) {
    return !(a == b);
  }
};

/// Returns the level L for which the sum of min(demand, weight x L) is
/// `capacity`; infinity if all demand fits.
double MaxMinLevel(std::vector<WeightedDemand> demands, double capacity);

/// Weights and limits of a MaxMinShare.
struct MaxMinShareOptions {
  /// Weight of the newest window; as in RankDemand.
  double gain = RankDemandOptions().gain;
  /// Standard deviations of a customer's measured demand that are not held
  /// against it. A customer with one call in the measured time would otherwise
  /// appear to demand several times its mean whenever it calls.
  double tolerated_deviations = 2;
};

/// Demand of the customers at one backend server, and the share that each of
/// them gets at the position of the cut.
class MaxMinShare {
 public:
  /// Customers that are distinguished at a position. Callers may choose their
  /// names; the rest share one entry.
  static constexpr size_t kMaxCustomers = 256;
  /// Positions whose customers are counted: of those with demand, the ones
  /// that were first used.
  static constexpr size_t kMaxPositions = 32;

  explicit MaxMinShare(MaxMinShareOptions options = {});

  /// Records a call that arrived, see RankDemand::OnArrival.
  void OnArrival(const std::string& customer, double weight, int position,
                 Duration cost, uint16_t admit_share, TimePoint now);

  /// Ends a window and divides the capacity that `cut` leaves at its position.
  void Close(double cut, TimePoint now);

  /// Returns the share of the customer's calls that is admitted at the position
  /// of the cut; 1 without a cut.
  double ShareOf(const std::string& customer) const;

  /// Returns the number of entries at all positions.
  size_t size() const;

 private:
  struct Demand {
    double weight = 1;
    double window_us = 0;       // offered in this window
    double window_squares = 0;  // sum of the squares of its calls
    double slots = 0;           // offered, smoothed
    double variance = 0;        // of `slots`

    // Returns the demand that is not explained by chance.
    double Certain(double deviations) const;
    void Add(double offered_us);
    void Smooth(double gain, double seconds);
    void Merge(const Demand& other);
  };
  struct Position {
    std::map<std::string, Demand> customers;
    Demand rest;
  };

  void Smooth(Position& position, double seconds) const;
  static void KeepLargest(Position& position);
  void Divide(const Position& position, double admitted_share);

  MaxMinShareOptions options_;
  std::map<int, Position> positions_;
  std::map<std::string, double> shares_;  // at the position of the cut
  double rest_share_ = 1;
  TimePoint window_start_{};
  bool started_ = false;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_MAX_MIN_SHARE_H_
