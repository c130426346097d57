#include <cstdint>
#include <string_view>

#include "amaranthroute/wire.h"
#include "fuzz/require.h"

// An untrusted peer message is either rejected with an error message, or
// decodes to a message that this node may send itself and that is equal after a
// round trip.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using amaranth::pvt::Require;
  const std::string_view payload(reinterpret_cast<const char*>(data), size);
  const amaranth::Outcome<amaranth::PeerMessage> message =
      amaranth::DecodePeerMessage(payload);
  if (!message) {
    Require(!message.error().message.empty(), "error has a message");
    return 0;
  }
  Require(amaranth::CheckPeerMessage(message.value()).has_value(),
          "decoded message may be sent");
  const amaranth::Outcome<amaranth::PeerMessage> decoded_again =
      amaranth::DecodePeerMessage(amaranth::EncodePeerMessage(message.value()));
  Require(decoded_again && decoded_again.value() == message.value(),
          "message is equal after a round trip");
  return 0;
}
