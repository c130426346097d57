#include "libutil/growing_buffer.h"

#include <sys/mman.h>

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace amaranth::pvt {
namespace {

// Below this size an allocation is cheaper than a mapping.
constexpr size_t kMinMappedBytes = 256u << 10;

char* MapMemory(size_t size) {
  void* const memory = ::mmap(nullptr, size, PROT_READ | PROT_WRITE,
                              MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (memory == MAP_FAILED) throw std::bad_alloc();
  return static_cast<char*>(memory);
}

// Unmaps the memory of a body with its last copy.
class Mapping {
 public:
  Mapping(char* memory, size_t size) : memory_(memory), size_(size) {}
  ~Mapping() { ::munmap(memory_, size_); }
  Mapping(const Mapping&) = delete;
  Mapping& operator=(const Mapping&) = delete;

 private:
  char* memory_;
  size_t size_;
};

}  // namespace

void GrowingBuffer::Reserve(size_t size) {
  if (mapped_ != nullptr) {
    if (size > capacity_) Map(size);
  } else if (size < kMinMappedBytes) {
    small_.reserve(size);
  } else {
    Map(size);
  }
}

void GrowingBuffer::Append(std::string_view bytes) {
  const size_t needed = size() + bytes.size();
  if (mapped_ == nullptr && needed < kMinMappedBytes) {
    small_.append(bytes);
    return;
  }
  if (mapped_ == nullptr || needed > capacity_)
    Map(std::max(needed, 2 * size()));
  std::memcpy(mapped_ + mapped_size_, bytes.data(), bytes.size());
  mapped_size_ = needed;
}

void GrowingBuffer::Map(size_t capacity) {
  if (mapped_ == nullptr) {
    mapped_ = MapMemory(capacity);
    mapped_size_ = small_.size();
    std::memcpy(mapped_, small_.data(), mapped_size_);
    small_ = std::string();
  } else {
    void* const moved = ::mremap(mapped_, capacity_, capacity, MREMAP_MAYMOVE);
    if (moved != MAP_FAILED) {
      mapped_ = static_cast<char*>(moved);
    } else {
      char* const copy = MapMemory(capacity);
      std::memcpy(copy, mapped_, mapped_size_);
      ::munmap(mapped_, capacity_);
      mapped_ = copy;
    }
  }
  capacity_ = capacity;
}

void GrowingBuffer::Clear() {
  small_ = std::string();
  if (mapped_ != nullptr) ::munmap(mapped_, capacity_);
  mapped_ = nullptr;
  mapped_size_ = 0;
}

Body GrowingBuffer::Take(std::shared_ptr<const void> owner) {
  if (mapped_ == nullptr) {
    return Body(std::exchange(small_, {})).WithOwner(std::move(owner));
  }
  const std::string_view bytes(mapped_, mapped_size_);
  const auto mapping = std::make_shared<const Mapping>(mapped_, capacity_);
  mapped_ = nullptr;
  mapped_size_ = 0;
  return Body(mapping, bytes).WithOwner(std::move(owner));
}

}  // namespace amaranth::pvt
