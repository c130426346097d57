#include <cstdint>
#include <string_view>

#include "amaranthroute/wire.h"
#include "fuzz/require.h"

// An untrusted datagram on the gossip port is either rejected, or decodes to a
// message that is equal after a round trip.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view payload(reinterpret_cast<const char*>(data), size);
  const amaranth::Outcome<amaranth::GossipMessage> message =
      amaranth::DecodeGossip(payload);
  if (message) {
    const amaranth::Outcome<amaranth::GossipMessage> decoded_again =
        amaranth::DecodeGossip(amaranth::EncodeGossip(message.value()));
    amaranth::pvt::Require(
        decoded_again && decoded_again.value() == message.value(),
        "message is equal after a round trip");
  }
  return 0;
}
