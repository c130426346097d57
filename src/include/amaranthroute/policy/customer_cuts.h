#ifndef AMARANTHROUTE_POLICY_CUSTOMER_CUTS_H_
#define AMARANTHROUTE_POLICY_CUSTOMER_CUTS_H_

/// The shares of customers at services that are short of capacity, as known to
/// one entry node.
///
/// Load pattern: see MaxMinShare. Each of up to 1,600 entry nodes sees a
/// thousandth of a customer's requests, and is told the customer's share on the
/// answers to these only.

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "amaranthroute/time.h"

namespace amaranth {

class CustomerCuts {
 public:
  /// Time constant of the mean over reports, as in RankAdmission.
  static constexpr Duration kAveragingTime = std::chrono::milliseconds(150);
  /// Age at which the report about a customer starts to fade, and the time that
  /// this takes, as in RankAdmission. With 2 s and 3 s, customers below their
  /// share got up to 0.045 less of their demand: a share that was too low by
  /// chance was applied for longer.
  static constexpr Duration kFadeDelay = std::chrono::milliseconds(250);
  static constexpr Duration kFadeTime = std::chrono::milliseconds(500);
  /// An unknown customer is taken for one with this part of the mean demand: of
  /// 82 customers by a power law with exponent 1.2, the smaller half are below
  /// it. So it is admitted unless the common share is under its inverse.
  static constexpr double kSmallCustomerFactor = 8;
  /// Limits the table: callers may choose the names of customers.
  static constexpr size_t kMaxCustomers = 4096;

  /// Records the share that an answer to a call of `customer` reported for the
  /// position that `cut` divides at `service`.
  void OnReport(const std::string& service, const std::string& customer,
                double cut, double share, TimePoint now);

  /// Returns whether `service` divides its capacity among customers.
  bool IsDivided(const std::string& service, TimePoint now) const;

  /// Returns the share of the customer's requests that is admitted at the
  /// position that `cut` divides.
  double ShareOf(const std::string& service, const std::string& customer,
                 double cut, TimePoint now) const;

  size_t size() const { return reports_.size(); }

 private:
  using Key = std::pair<std::string, std::string>;  // service, customer

  struct Report {
    // Position of the cut + 1 - share. Servers of a service report different
    // positions, and only this has a mean.
    double cut = 0;
    TimePoint updated{};
  };

  // Returns how much of a report of this age still counts, 1 to 0.
  static double Freshness(Duration age);
  void DropFaded(TimePoint now);

  std::map<Key, Report> reports_;
  std::map<std::string, TimePoint> divided_;  // last report, by service
  TimePoint next_drop_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_CUSTOMER_CUTS_H_
