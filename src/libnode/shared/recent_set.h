#ifndef AMARANTHROUTE_LIBNODE_SHARED_RECENT_SET_H_
#define AMARANTHROUTE_LIBNODE_SHARED_RECENT_SET_H_

// Fingerprints seen within the last half minute or so, in bounded memory: two
// generations, of which the older is dropped when the newer is old or full.

#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <utility>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

class RecentSet {
 public:
  void Insert(uint64_t item, TimePoint now) {
    Turn(now);
    newer_.insert(item);
  }

  bool Contains(uint64_t item, TimePoint now) const {
    if (now - turned_ > kGeneration * 2) return false;
    return newer_.count(item) > 0 || older_.count(item) > 0;
  }

 private:
  static constexpr Duration kGeneration = std::chrono::seconds(15);
  static constexpr size_t kMaxItems = 20'000;

  void Turn(TimePoint now) {
    if (now - turned_ < kGeneration && newer_.size() < kMaxItems) return;
    older_ = std::move(newer_);
    newer_.clear();
    turned_ = now;
  }

  TimePoint turned_{};
  std::unordered_set<uint64_t> newer_;
  std::unordered_set<uint64_t> older_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_RECENT_SET_H_
