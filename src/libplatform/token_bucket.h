#ifndef AMARANTHROUTE_LIBPLATFORM_TOKEN_BUCKET_H_
#define AMARANTHROUTE_LIBPLATFORM_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Token bucket that limits a node to its share of the platform's rate.
//
// Without it a surge of keys, or lost answers that make every node read rows
// back, would push the fleet over the platform's rate. The platform would then
// throttle all calls, those for the settings' head row included. A fixed share
// for each node needs no coordination and keeps the sum under the platform's
// rate.
//
// Taking more tokens than are left makes the balance negative, so that a whole
// batch is sent at once and the mean rate still holds.
class TokenBucket {
 public:
  // Holds at most one second's worth of tokens and starts full.
  TokenBucket(double per_second, TimePoint now)
      : per_second_(per_second), tokens_(per_second), last_refill_(now) {}

  // Takes `count` tokens. Returns false, and takes none, if no token is left.
  bool Take(double count, TimePoint now) {
    const std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    tokens_ = std::min(per_second_, tokens_ + elapsed.count() * per_second_);
    if (tokens_ <= 0) return false;
    tokens_ -= count;
    return true;
  }

 private:
  double per_second_;
  double tokens_;
  TimePoint last_refill_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_TOKEN_BUCKET_H_
