#ifndef AMARANTHROUTE_LIBNODE_SHARED_RECENT_ANSWERS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_RECENT_ANSWERS_H_

// When each fingerprint was last answered, for those answered within about the
// last 15 to 30 seconds, in bounded memory. There are two generations: when the
// newer one is too old or full, it replaces the older one, which is dropped.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

class RecentAnswers {
 public:
  void Insert(uint64_t fingerprint, TimePoint now) {
    RotateGenerations(now);
    newer_[fingerprint] = now;
  }

  // Returns the time of the last answer; nullopt if there was none recently.
  std::optional<TimePoint> LastAnswer(uint64_t fingerprint,
                                      TimePoint now) const {
    if (now - rotated_at_ > kMaxAge * 2) return std::nullopt;
    for (const Generation* generation : {&newer_, &older_}) {
      const auto found = generation->find(fingerprint);
      if (found != generation->end()) return found->second;
    }
    return std::nullopt;
  }

 private:
  using Generation = std::unordered_map<uint64_t, TimePoint>;

  static constexpr Duration kMaxAge = std::chrono::seconds(15);
  static constexpr size_t kMaxItems = 20'000;

  void RotateGenerations(TimePoint now) {
    if (now - rotated_at_ < kMaxAge && newer_.size() < kMaxItems) return;
    older_ = std::move(newer_);
    newer_.clear();
    rotated_at_ = now;
  }

  TimePoint rotated_at_{};
  Generation newer_;
  Generation older_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_RECENT_ANSWERS_H_
