#ifndef AMARANTHROUTE_WIRE_H_
#define AMARANTHROUTE_WIRE_H_

/// What nodes say to each other, as bytes: Thrift's compact protocol (see
/// src/libwire/amaranth.thrift), in length-prefixed frames on a stream and
/// bare in a datagram. Bytes of a peer are never trusted: decoding refuses and
/// never throws.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "amaranthroute/messages.h"
#include "amaranthroute/outcome.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Version of the encoding; another version is refused.
inline constexpr int32_t kProtocolVersion = 1;

/// Longest payload of a frame, in bytes: a body of 16 MiB and its headers.
inline constexpr size_t kMaxFrameBytes = 17u << 20;

/// Longest gossip datagram that is sent, in bytes; UDP itself ends at 65,507.
inline constexpr size_t kMaxGossipBytes = 60u << 10;

/// Most elements in any one list, and in all lists of one message together.
/// With the sizes of our structures they bound what hostile bytes can make
/// decoding allocate to 48 MiB plus three times their own length.
inline constexpr int kMaxListElements = 16384;
inline constexpr int kMaxMessageElements = 65536;

/// Longest duration on the wire. Encoding clamps to [0, this], so that a
/// deadline that has passed travels as zero; decoding refuses what is outside.
inline constexpr Duration kMaxWireDuration = std::chrono::hours(24 * 7);

/// Whether DecodePeerMessage would take this message: header fields, method
/// and target free of CR, LF and NUL, lists and status in range. A sender asks
/// first, since a frame that the peer refuses costs the whole link.
/// Errors: kInvalid.
Outcome<void> CheckPeerMessage(const PeerMessage& message);

/// The payload of one frame.
std::string EncodePeerMessage(const PeerMessage& message);

/// Errors: kInvalid for bytes that are no whole message of this version, for
/// unknown enum values and fields out of range; kTooLarge over kMaxFrameBytes.
Outcome<PeerMessage> DecodePeerMessage(std::string_view payload);

/// The payload of one datagram.
std::string EncodeGossip(const GossipMessage& message);

/// Errors as DecodePeerMessage.
Outcome<GossipMessage> DecodeGossip(std::string_view payload);

/// `payload` behind its length: four bytes, big-endian.
std::string Frame(std::string_view payload);

/// Cuts a byte stream into frames. Holds no more than what was appended: a
/// length prefix alone reserves nothing.
class FrameReader {
 public:
  /// Refuses frames with a payload over `max_payload` bytes.
  explicit FrameReader(size_t max_payload = kMaxFrameBytes)
      : max_payload_(max_payload) {}

  /// Takes bytes as they came from the stream.
  void Append(std::string_view bytes);

  /// The next whole payload, or nothing until more bytes come.
  /// Errors: kTooLarge; the stream is then useless and every call says so.
  Outcome<std::optional<std::string>> Next();

  /// Changes the limit for frames not yet returned.
  void set_max_payload(size_t max_payload) { max_payload_ = max_payload; }

  /// Bytes held: an unfinished frame if Next() gave nothing.
  size_t buffered() const { return buffer_.size() - start_; }

 private:
  void Compact();

  size_t max_payload_;
  std::string buffer_;
  size_t start_ = 0;  // of the first byte not yet returned
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_WIRE_H_
