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

// Takes whole frames out; false once the reader refuses the stream.
bool TakeFrames(FrameReader& reader, std::string& returned) {
  while (true) {
    const Outcome<std::optional<std::string>> payload = reader.Next();
    if (!payload) {
      return false;
    }
    if (!payload.value()) {
      return true;
    }
    Require(payload.value()->size() <= kMaxPayload, "payload within limit");
    returned += EncodeFrame(*payload.value());
    static_cast<void>(amaranth::DecodePeerMessage(*payload.value()));
  }
}

}  // namespace

// A hostile stream, cut into pieces of the length that its first byte says. The
// frames returned are the stream's beginning, and nothing is held beyond it.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) {
    return 0;
  }
  const size_t piece = data[0] + size_t{1};
  const std::string_view stream(reinterpret_cast<const char*>(data) + 1,
                                size - 1);
  FrameReader reader(kMaxPayload);
  std::string returned;
  for (size_t at = 0; at < stream.size(); at += piece) {
    reader.Append(stream.substr(at, piece));
    if (!TakeFrames(reader, returned)) {
      Require(!reader.Next(), "a refused stream stays refused");
      return 0;
    }
  }
  Require(returned + std::string(stream.substr(returned.size())) == stream,
          "frames are the stream's beginning");
  Require(reader.buffered() == stream.size() - returned.size(),
          "the rest is held");
  return 0;
}
