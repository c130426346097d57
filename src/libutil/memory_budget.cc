#include "libutil/memory_budget.h"

#include <algorithm>
#include <utility>

namespace amaranth::pvt {
namespace {

// A message may hold this many times the memory that is free.
constexpr uint64_t kMaxMultipleOfFree = 2;
// Part of the limit that each use leaves to the other. Without it, answers that
// callers do not read would block all requests.
constexpr uint64_t kReservedDivisor = 8;

}  // namespace

bool MemoryBudget::Replace(uint64_t held, uint64_t wanted, MemoryUse use) {
  const bool is_request = use == MemoryUse::kRequest;
  uint64_t& used = used_[is_request ? 0 : 1];
  const uint64_t others = used - held;
  if (wanted > held) {
    const uint64_t other_use = used_[is_request ? 1 : 0];
    const uint64_t usable =
        limit_ - std::max(other_use, limit_ / kReservedDivisor);
    if (others > usable || wanted > usable - others) return false;
    const uint64_t free = usable - others - wanted;
    if (wanted > kMaxMultipleOfFree * free) return false;
  }
  used = others + wanted;
  return true;
}

MemoryLease::MemoryLease(MemoryLease&& other) noexcept {
  *this = std::move(other);
}

MemoryLease& MemoryLease::operator=(MemoryLease&& other) noexcept {
  if (this == &other) return *this;
  Release();
  budget_ = other.budget_;
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryLease::Resize(uint64_t bytes) {
  if (budget_ && !budget_->Replace(bytes_, bytes, use_)) return false;
  bytes_ = bytes;
  return true;
}

}  // namespace amaranth::pvt
