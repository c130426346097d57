#ifndef AMARANTHROUTE_LIBPLATFORM_TOKEN_BUCKET_H_
#define AMARANTHROUTE_LIBPLATFORM_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// This node's share of the platform's rate.
//
// What fails without it: when keys surge, or when answers are lost and every
// node reads back, the fleet together passes the platform's rate, which then
// throttles everybody, the settings' head row included. A share for each node
// needs no coordination and keeps the sum under the platform's rate.
//
// A taking larger than what is there goes into debt, so that a whole batch
// passes at once and the mean rate still holds.
class TokenBucket {
 public:
  // Holds at most one second's worth; starts full.
  TokenBucket(double per_second, TimePoint now)
      : per_second_(per_second), tokens_(per_second), last_(now) {}

  // False, and nothing taken, if earlier takings used up the rate.
  bool Take(double count, TimePoint now) {
    const std::chrono::duration<double> passed = now - last_;
    last_ = now;
    tokens_ = std::min(per_second_, tokens_ + passed.count() * per_second_);
    if (tokens_ <= 0) return false;
    tokens_ -= count;
    return true;
  }

 private:
  double per_second_;
  double tokens_;
  TimePoint last_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_TOKEN_BUCKET_H_
