#include <cstdint>
#include <string_view>

#include "amaranthroute/wire.h"
#include "fuzz/require.h"

// Whatever a peer sends as a message: it is refused, or it is a message that we
// could send ourselves and that comes back equal.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using amaranth::pvt::Require;
  const std::string_view payload(reinterpret_cast<const char*>(data), size);
  const amaranth::Outcome<amaranth::PeerMessage> message =
      amaranth::DecodePeerMessage(payload);
  if (!message) {
    Require(!message.error().message.empty(), "an error says what is wrong");
    return 0;
  }
  Require(amaranth::CheckPeerMessage(message.value()).has_value(),
          "what decodes may be sent");
  const amaranth::Outcome<amaranth::PeerMessage> again =
      amaranth::DecodePeerMessage(amaranth::EncodePeerMessage(message.value()));
  Require(again && again.value() == message.value(),
          "what decodes comes back equal");
  return 0;
}
