#ifndef AMARANTHROUTE_LIBNODE_SHARED_DEADLINE_SET_H_
#define AMARANTHROUTE_LIBNODE_SHARED_DEADLINE_SET_H_

// A set of ids ordered by deadline, earliest first.

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

class DeadlineSet {
 public:
  void Add(TimePoint at, uint64_t id) { entries_.emplace(at, id); }
  void Remove(TimePoint at, uint64_t id) { entries_.erase({at, id}); }

  std::vector<uint64_t> TakeDue(TimePoint now) {
    std::vector<uint64_t> due;
    while (!entries_.empty() && entries_.begin()->first <= now) {
      due.push_back(entries_.begin()->second);
      entries_.erase(entries_.begin());
    }
    return due;
  }

  TimePoint next() const {
    return entries_.empty() ? kNever : entries_.begin()->first;
  }

 private:
  std::set<std::pair<TimePoint, uint64_t>> entries_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_DEADLINE_SET_H_
