#ifndef AMARANTHROUTE_LIBNODE_SHARED_RECENT_SET_H_
#define AMARANTHROUTE_LIBNODE_SHARED_RECENT_SET_H_

// A set of fingerprints inserted within about the last 15 to 30 seconds, in
// bounded memory. It has two generations: when the newer one is too old or
// full, it replaces the older one, which is dropped.

#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <utility>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

class RecentSet {
 public:
  void Insert(uint64_t item, TimePoint now) {
    RotateGenerations(now);
    newer_.insert(item);
  }

  bool Contains(uint64_t item, TimePoint now) const {
    if (now - rotated_at_ > kMaxAge * 2) return false;
    return newer_.count(item) > 0 || older_.count(item) > 0;
  }

 private:
  static constexpr Duration kMaxAge = std::chrono::seconds(15);
  static constexpr size_t kMaxItems = 20'000;

  void RotateGenerations(TimePoint now) {
    if (now - rotated_at_ < kMaxAge && newer_.size() < kMaxItems) return;
    older_ = std::move(newer_);
    newer_.clear();
    rotated_at_ = now;
  }

  TimePoint rotated_at_{};
  std::unordered_set<uint64_t> newer_;
  std::unordered_set<uint64_t> older_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_RECENT_SET_H_
