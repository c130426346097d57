#ifndef AMARANTHROUTE_TESTSUITE_SLOT_QUEUE_H_
#define AMARANTHROUTE_TESTSUITE_SLOT_QUEUE_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace amaranth::testsuite {

// The worker slots of a backend server, with a first-in, first-out backlog.
class SlotQueue {
 public:
  explicit SlotQueue(uint32_t slots) : free_(slots) {}

  // Blocks until a slot is free and all earlier callers have got theirs.
  void Acquire() {
    std::unique_lock<std::mutex> lock(mutex_);
    const uint64_t ticket = next_ticket_++;
    changed_.wait(lock, [&] { return free_ > 0 && next_served_ == ticket; });
    --free_;
    ++next_served_;
    changed_.notify_all();
  }

  void Release() {
    std::lock_guard<std::mutex> lock(mutex_);
    ++free_;
    changed_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  uint32_t free_;
  uint64_t next_ticket_ = 0;
  uint64_t next_served_ = 0;
};

// Holds one slot during its lifetime.
class SlotGuard {
 public:
  explicit SlotGuard(SlotQueue& slots) : slots_(slots) { slots_.Acquire(); }
  ~SlotGuard() { slots_.Release(); }
  SlotGuard(const SlotGuard&) = delete;
  SlotGuard& operator=(const SlotGuard&) = delete;

 private:
  SlotQueue& slots_;
};

}  // namespace amaranth::testsuite

#endif  // AMARANTHROUTE_TESTSUITE_SLOT_QUEUE_H_
