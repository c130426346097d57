#ifndef AMARANTHROUTE_POLICY_SLIDING_COUNT_H_
#define AMARANTHROUTE_POLICY_SLIDING_COUNT_H_

/// Number of events in the last stretch of time, in constant memory.

#include <array>
#include <cstddef>
#include <cstdint>

#include "amaranthroute/time.h"

namespace amaranth {

/// Counts events in kBuckets buckets that together cover the window. An event
/// leaves the count between (kBuckets - 1) / kBuckets of the window and a whole
/// window after it came.
class SlidingCount {
 public:
  static constexpr size_t kBuckets = 20;

  explicit SlidingCount(Duration window);

  void Add(TimePoint now);
  uint64_t Total(TimePoint now) const;

 private:
  struct Bucket {
    int64_t number = -1;  // of the bucket since the clock's start
    uint64_t count = 0;
  };

  int64_t NumberOf(TimePoint now) const;

  int64_t bucket_micros_;
  std::array<Bucket, kBuckets> buckets_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SLIDING_COUNT_H_
