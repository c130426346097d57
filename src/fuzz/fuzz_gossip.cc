#include <cstdint>
#include <string_view>

#include "amaranthroute/wire.h"
#include "fuzz/require.h"

// Whatever comes to the UDP port: refused, or a message that comes back equal.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view payload(reinterpret_cast<const char*>(data), size);
  const amaranth::Outcome<amaranth::GossipMessage> message =
      amaranth::DecodeGossip(payload);
  if (message) {
    const amaranth::Outcome<amaranth::GossipMessage> again =
        amaranth::DecodeGossip(amaranth::EncodeGossip(message.value()));
    amaranth::pvt::Require(again && again.value() == message.value(),
                           "what decodes comes back equal");
  }
  return 0;
}
