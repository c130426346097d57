#ifndef AMARANTHROUTE_LIBUTIL_MEMORY_BUDGET_H_
#define AMARANTHROUTE_LIBUTIL_MEMORY_BUDGET_H_

// One limit on the memory of all messages that a process holds: requests of
// callers, responses of backend servers and messages between nodes, whole or
// partly read. Single-threaded.
//
// A message may grow up to a multiple of the memory that is still free, so the
// limit is never exceeded whatever arrives, and the largest messages are ended
// first while small ones find room. (Dynamic thresholds, Choudhury and Hahne,
// 1998, as used for packet buffers.) Requests and responses each leave a part
// of the memory to the other kind.

#include <array>
#include <cstdint>
#include <memory>

namespace amaranth::pvt {

enum class MemoryUse { kRequest, kResponse };

class MemoryBudget {
 public:
  explicit MemoryBudget(uint64_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  uint64_t limit() const { return limit_; }
  uint64_t used() const { return used_[0] + used_[1]; }

 private:
  friend class MemoryLease;

  // Replaces `held` bytes by `wanted`; returns false, without a change, if the
  // message may not take them.
  bool Replace(uint64_t held, uint64_t wanted, MemoryUse use);

  const uint64_t limit_;
  std::array<uint64_t, 2> used_{};  // by MemoryUse
};

// The part of a budget that one message holds; given back on destruction.
class MemoryLease {
 public:
  // Belongs to no budget: every size is granted.
  MemoryLease() = default;
  MemoryLease(std::shared_ptr<MemoryBudget> budget, MemoryUse use)
      : budget_(std::move(budget)), use_(use) {}
  ~MemoryLease() { Release(); }
  // `other` keeps its budget and holds nothing, so it can be used again.
  MemoryLease(MemoryLease&& other) noexcept;
  MemoryLease& operator=(MemoryLease&& other) noexcept;

  // Changes the size of the lease, in bytes. Returns false, and keeps the size,
  // if the budget does not grant it; a smaller size is always granted.
  bool Resize(uint64_t bytes);
  void Release() { Resize(0); }

  uint64_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  MemoryUse use_ = MemoryUse::kResponse;
  uint64_t bytes_ = 0;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBUTIL_MEMORY_BUDGET_H_
