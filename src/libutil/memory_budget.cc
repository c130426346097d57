#include "libutil/memory_budget.h"

#include <utility>

namespace amaranth::pvt {
namespace {

// A message may hold this many times the memory that is free.
constexpr uint64_t kMaxMultipleOfFree = 2;
// Share of the limit that requests leave to responses.
constexpr uint64_t kResponseShareDivisor = 8;

}  // namespace

bool MemoryBudget::Replace(uint64_t held, uint64_t wanted, MemoryUse use) {
  const uint64_t others = used_ - held;
  if (wanted > held) {
    const uint64_t reserved =
        use == MemoryUse::kRequest ? limit_ / kResponseShareDivisor : 0;
    const uint64_t usable = limit_ - reserved;
    if (others > usable || wanted > usable - others) return false;
    const uint64_t free = usable - others - wanted;
    if (wanted > kMaxMultipleOfFree * free) return false;
  }
  used_ = others + wanted;
  return true;
}

MemoryLease::MemoryLease(MemoryLease&& other) noexcept
    : budget_(other.budget_),
      use_(other.use_),
      bytes_(std::exchange(other.bytes_, 0)) {}

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
