#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "amaranthroute/wire.h"
#include "fuzz/require.h"

namespace {

using amaranth::EncodeFrame;
using amaranth::FrameReader;
using amaranth::Outcome;
using amaranth::pvt::Require;

constexpr size_t kMaxPayload = 1024;

// Takes all complete frames out of the reader and appends them to `returned`.
// Returns false if the reader rejects the stream.
bool TakeFrames(FrameReader& reader, std::string& returned) {
  while (true) {
    const Outcome<std::optional<std::string_view>> payload = reader.Next();
    if (!payload) {
      return false;
    }
    if (!payload.value()) {
      return true;
    }
    Require(payload.value()->size() <= kMaxPayload,
            "payload is within the size limit");
    returned += EncodeFrame(*payload.value());
    static_cast<void>(amaranth::DecodePeerMessage(*payload.value()));
  }
}

}  // namespace

// An untrusted stream, fed in pieces of one byte more than the value of the
// first input byte. The frames returned must be a prefix of the stream, and the
// reader must buffer exactly the remainder.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) {
    return 0;
  }
  const size_t piece_size = data[0] + size_t{1};
  const std::string_view stream(reinterpret_cast<const char*>(data) + 1,
                                size - 1);
  FrameReader reader(kMaxPayload);
  std::string returned;
  for (size_t at = 0; at < stream.size(); at += piece_size) {
    reader.Append(stream.substr(at, piece_size));
    if (!TakeFrames(reader, returned)) {
      Require(!reader.Next(), "rejected stream stays rejected");
      return 0;
    }
  }
  Require(returned + std::string(stream.substr(returned.size())) == stream,
          "frames are a prefix of the stream");
  Require(reader.buffered() == stream.size() - returned.size(),
          "remainder is buffered");
  return 0;
}
