#ifndef AMARANTHROUTE_WIRE_H_
#define AMARANTHROUTE_WIRE_H_

/// Encoding of the messages between nodes: Thrift's compact protocol (see
/// src/libwire/amaranth.thrift), in length-prefixed frames on a stream and
/// without a prefix in a datagram. Input from peers is not trusted: decoding
/// returns an error for invalid input and never throws.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "amaranthroute/messages.h"
#include "amaranthroute/outcome.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Version of the encoding. Other versions are rejected.
inline constexpr int32_t kProtocolVersion = 1;

/// Maximum payload of a frame in bytes: a body of 16 MiB and its headers.
inline constexpr size_t kMaxFrameBytes = 17u << 20;

/// Maximum size of a sent gossip datagram in bytes. The limit of UDP is 65,507.
inline constexpr size_t kMaxGossipBytes = 60u << 10;

/// Maximum number of elements in one list, and in all lists of a message
/// together. With the sizes of the structures they limit the memory that
/// decoding of hostile input can allocate to 48 MiB plus three times the input
/// length.
inline constexpr int kMaxListElements = 16384;
inline constexpr int kMaxMessageElements = 65536;

/// Maximum duration in a message. Encoding clamps to [0, kMaxWireDuration], so
/// that a deadline that has passed is sent as zero; decoding rejects other
/// values.
inline constexpr Duration kMaxWireDuration = std::chrono::hours(24 * 7);

/// Checks whether DecodePeerMessage would accept this message: header fields,
/// method and target without CR, LF and NUL, lists and status in range. Senders
/// check first, because a peer closes the link when it rejects a frame.
/// Errors: kInvalid.
Outcome<void> CheckPeerMessage(const PeerMessage& message);

/// Returns the payload of a frame.
std::string EncodePeerMessage(const PeerMessage& message);

/// Returns the whole frame of a message.
std::string EncodePeerFrame(const PeerMessage& message);

/// Returns the size of the body or text in the message, in bytes: all of a
/// message that may be large.
size_t BodyBytes(const PeerMessage& message);

/// Decodes the payload of a frame.
/// Errors: kInvalid if `payload` is not exactly one message of this version, or
/// has unknown enum values or fields out of range; kTooLarge over
/// kMaxFrameBytes.
Outcome<PeerMessage> DecodePeerMessage(std::string_view payload);

/// Decodes the ids of a CallForward, CallAnswer or HomeForward from the first
/// bytes of its payload; all else has its default value. nullopt for other
/// kinds and for bytes that cannot be decoded.
std::optional<PeerMessage> DecodePeerMessageIds(std::string_view first_bytes);

/// First bytes of a payload that hold the ids.
inline constexpr size_t kPeerMessageIdsBytes = 64;

/// Returns the payload of a datagram.
std::string EncodeGossip(const GossipMessage& message);

/// Decodes the payload of a datagram. Errors: as for DecodePeerMessage.
Outcome<GossipMessage> DecodeGossip(std::string_view payload);

/// Returns `payload` preceded by its length in four bytes, big-endian.
std::string EncodeFrame(std::string_view payload);

/// Splits a byte stream into frames. Allocates memory only for bytes that were
/// appended, never for an announced length, unless Reserve() is called.
class FrameReader {
 public:
  /// Rejects frames with a payload over `max_payload` bytes.
  explicit FrameReader(size_t max_payload = kMaxFrameBytes)
      : max_payload_(max_payload) {}

  /// Appends bytes received from the stream.
  void Append(std::string_view bytes);

  /// Returns the next complete payload, or nullopt if more bytes are needed. It
  /// is valid until the next call of Append or Next. Errors: kTooLarge. The
  /// stream cannot be read further then, and every later call returns the same
  /// error.
  Outcome<std::optional<std::string_view>> Next();

  /// Allocates memory for `bytes` buffered bytes at once.
  void Reserve(size_t bytes) { buffer_.reserve(start_ + bytes); }

  /// Returns the payload length that the incomplete frame announces, in bytes;
  /// 0 if there is none, or its length has not arrived yet.
  size_t announced() const;

  /// Removes the incomplete frame, whose length has arrived, and returns the
  /// part of its payload that has arrived. The rest must not be appended.
  std::string TakeIncomplete();

  /// Changes the maximum payload of frames that were not returned yet.
  void set_max_payload(size_t max_payload) { max_payload_ = max_payload; }

  /// Returns the number of buffered bytes: an incomplete frame if Next()
  /// returned nullopt.
  size_t buffered() const { return buffer_.size() - start_; }

 private:
  void Compact();

  size_t max_payload_;
  std::string buffer_;
  size_t start_ = 0;  // of the first byte not yet returned
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_WIRE_H_
