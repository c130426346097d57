#ifndef AMARANTHROUTE_LIBUTIL_GROWING_BUFFER_H_
#define AMARANTHROUTE_LIBUTIL_GROWING_BUFFER_H_

// Bytes of a message that arrive one after the other. A large buffer is mapped
// memory: it grows without a copy and goes back to the system at once, so that
// the memory of the process is that of the bytes it holds. An allocator keeps
// freed blocks, and a string that doubles leaves as many of them as it holds.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "amaranthroute/http.h"

namespace amaranth::pvt {

class GrowingBuffer {
 public:
  GrowingBuffer() = default;
  ~GrowingBuffer() { Clear(); }
  GrowingBuffer(const GrowingBuffer&) = delete;
  GrowingBuffer& operator=(const GrowingBuffer&) = delete;

  // Provides address space for `size` bytes in all. Memory is used only for
  // bytes that are appended.
  void Reserve(size_t size);
  void Append(std::string_view bytes);
  void Clear();

  size_t size() const { return mapped_ ? mapped_size_ : small_.size(); }

  // Returns the bytes as a body that keeps `owner` alive, and clears the
  // buffer.
  Body Take(std::shared_ptr<const void> owner);

 private:
  void Map(size_t capacity);

  std::string small_;
  char* mapped_ = nullptr;
  size_t mapped_size_ = 0;
  size_t capacity_ = 0;  // of the mapping
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBUTIL_GROWING_BUFFER_H_
