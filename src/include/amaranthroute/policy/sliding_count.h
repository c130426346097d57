#ifndef AMARANTHROUTE_POLICY_SLIDING_COUNT_H_
#define AMARANTHROUTE_POLICY_SLIDING_COUNT_H_

/// Counts the events in a sliding time window, in constant memory.

#include <array>
#include <cstddef>
#include <cstdint>

#include "amaranthroute/time.h"

namespace amaranth {

/// Counts events in kBuckets buckets that together cover the window. An event
/// is removed from the count between (kBuckets - 1) / kBuckets of the window
/// and one full window after it was added.
class SlidingCount {
 public:
  static constexpr size_t kBuckets = 20;

  explicit SlidingCount(Duration window);

  void Add(TimePoint now);
  uint64_t Total(TimePoint now) const;

 private:
  struct Bucket {
    int64_t number = -1;  // time since the clock's start, in bucket lengths
    uint64_t count = 0;
  };

  int64_t BucketNumber(TimePoint now) const;

  int64_t bucket_micros_;
  std::array<Bucket, kBuckets> buckets_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_SLIDING_COUNT_H_
