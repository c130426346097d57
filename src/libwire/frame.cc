#include "amaranthroute/wire.h"

namespace amaranth {
namespace {

constexpr size_t kPrefixBytes = 4;
// Consumed bytes at the front of a buffer that holds an incomplete frame are
// erased only from this size on, so that a burst of small frames does not move
// the rest of the buffer each time. An empty buffer with a larger capacity is
// freed.
constexpr size_t kCompactBytes = 64u << 10;

size_t ReadLength(const char* bytes) {
  size_t length = 0;
  for (size_t i = 0; i < kPrefixBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

}  // namespace

std::string EncodeFrame(std::string_view payload) {
  std::string frame;
  frame.reserve(kPrefixBytes + payload.size());
  for (size_t i = kPrefixBytes; i-- > 0;) {
    frame.push_back(static_cast<char>((payload.size() >> (8 * i)) & 0xff));
  }
  frame.append(payload);
  return frame;
}

void FrameReader::Append(std::string_view bytes) { buffer_.append(bytes); }

Outcome<std::optional<std::string_view>> FrameReader::Next() {
  if (buffered() < kPrefixBytes) {
    Compact();
    return std::optional<std::string_view>();
  }
  const size_t length = ReadLength(buffer_.data() + start_);
  if (length > max_payload_) {
    return Error{ErrorCode::kTooLarge, "frame payload of " +
                                           std::to_string(length) +
                                           " bytes exceeds the limit of " +
                                           std::to_string(max_payload_)};
  }
  if (buffered() < kPrefixBytes + length) {
    Compact();
    return std::optional<std::string_view>();
  }
  const std::string_view payload =
      std::string_view(buffer_).substr(start_ + kPrefixBytes, length);
  start_ += kPrefixBytes + length;
  return std::optional<std::string_view>(payload);
}

size_t FrameReader::announced() const {
  return buffered() < kPrefixBytes ? 0 : ReadLength(buffer_.data() + start_);
}

std::string FrameReader::TakeIncomplete() {
  std::string payload = buffer_.substr(start_ + kPrefixBytes);
  start_ = buffer_.size();
  Compact();
  return payload;
}

void FrameReader::Compact() {
  if (start_ == buffer_.size()) {
    buffer_.clear();
    start_ = 0;
    // Otherwise an idle link would keep the memory of its largest frame.
    if (buffer_.capacity() > kCompactBytes) {
      buffer_.shrink_to_fit();
    }
  } else if (start_ >= kCompactBytes) {
    buffer_.erase(0, start_);
    start_ = 0;
  }
}

}  // namespace amaranth
