#ifndef AMARANTHROUTE_LIBNODE_SHARED_RECORDS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_RECORDS_H_

// Records the decisions of the node and their reasons, for `amaranthctl
// explain` and `events`, in a ring buffer that limits memory use under
// overload.

#include <deque>
#include <string>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

inline constexpr size_t kMaxRecords = 8192;

struct DecisionRecord {
  TimePoint at{};
  std::string request;  // request id, or empty
  std::string kind;     // "shed", "retry", "eject", "quarantine", ...
  std::string text;
};

class Records {
 public:
  void Add(TimePoint at, std::string request, std::string kind,
           std::string text) {
    if (ring_.size() == kMaxRecords) ring_.pop_front();
    ring_.push_back({at, std::move(request), std::move(kind), std::move(text)});
  }

  std::vector<DecisionRecord> OfRequest(const std::string& request) const {
    std::vector<DecisionRecord> found;
    for (const DecisionRecord& record : ring_) {
      if (record.request == request) found.push_back(record);
    }
    return found;
  }

  // Returns the newest `limit` records at or after `since`, oldest first.
  std::vector<DecisionRecord> Since(TimePoint since, size_t limit) const {
    std::vector<DecisionRecord> found;
    for (const DecisionRecord& record : ring_) {
      if (record.at >= since) found.push_back(record);
    }
    if (found.size() > limit) {
      found.erase(found.begin(), found.end() - static_cast<ptrdiff_t>(limit));
    }
    return found;
  }

 private:
  std::deque<DecisionRecord> ring_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_RECORDS_H_
