#include "amaranthroute/policy/sliding_count.h"

#include <algorithm>

namespace amaranth {

SlidingCount::SlidingCount(Duration window)
    : bucket_micros_(std::max<int64_t>(
          1, window.count() / static_cast<int64_t>(kBuckets))) {}

int64_t SlidingCount::BucketNumber(TimePoint now) const {
  return ToMicros(now) / bucket_micros_;
}

void SlidingCount::Add(TimePoint now) {
  const int64_t number = BucketNumber(now);
  Bucket& bucket = buckets_[static_cast<size_t>(number) % kBuckets];
  if (bucket.number != number) bucket = Bucket{number, 0};
  ++bucket.count;
}

uint64_t SlidingCount::Total(TimePoint now) const {
  const int64_t oldest = BucketNumber(now) - static_cast<int64_t>(kBuckets) + 1;
  uint64_t total = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.number >= oldest) total += bucket.count;
  }
  return total;
}

}  // namespace amaranth
