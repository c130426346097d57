#ifndef AMARANTHROUTE_POLICY_QUOTA_BUCKET_H_
#define AMARANTHROUTE_POLICY_QUOTA_BUCKET_H_

/// A part of a customer's quota, as a token bucket.
///
/// Load pattern: one customer sends several times its quota, through all nodes
/// at once, while nodes fail, restart and are cut off from each other. Each
/// node sees a small part of its requests, so a limit per node either admits
/// far too much or refuses a customer whose requests come through a few nodes.
///
/// The quota is divided among buckets at a few nodes. The parts add up to the
/// quota at most, and tokens only move between buckets: whatever is lost or cut
/// off, all buckets together never give out more than the quota.

#include "amaranthroute/customers.h"
#include "amaranthroute/time.h"

namespace amaranth {

class QuotaBucket {
 public:
  /// The longest time that Reserve returns: a caller is not told to stay away
  /// for longer than the limit may last.
  static constexpr Duration kMaxReservation = std::chrono::seconds(5);

  /// Sets the part of the quota that this bucket gives out, and adds the tokens
  /// of the time since the last call. A new bucket has those of the time since
  /// `owned_since`: before, another node may have given them out.
  void Refill(const Quota& part, TimePoint owned_since, TimePoint now);

  /// Takes a token; false if there is none.
  bool TryTake();
  /// Takes as many whole tokens as another bucket may have: up to `wanted`, and
  /// at most half of all, or one.
  double TakeForLoan(double wanted);
  /// Takes tokens that were given out elsewhere without this bucket. Those that
  /// it does not have are taken from the next ones.
  void Charge(double tokens);
  /// Adds tokens that another bucket gave.
  void Add(double tokens) { tokens_ += tokens; }

  double tokens() const { return tokens_; }
  TimePoint refilled() const { return refilled_; }
  /// Returns the time until the next token, if none is taken before.
  Duration TimeToToken() const;
  /// Returns when a refused caller should come back: each call gets the time of
  /// a further token, so that callers do not all return at once.
  Duration Reserve(TimePoint now);

 private:
  Quota part_;
  double tokens_ = 0;
  bool started_ = false;
  TimePoint refilled_{};
  TimePoint reserved_until_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_QUOTA_BUCKET_H_
