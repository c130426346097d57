#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <utility>

#include "amaranthroute/wire.h"
#include "libwire/convert.h"

namespace amaranth {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::protocol::TProtocolException;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;
using Compact = TCompactProtocolT<TMemoryBuffer>;
using wire::MessageKind;

// Deeper than any struct of ours; unknown fields are skipped by recursion.
constexpr int kMaxNesting = 16;

// Which wire struct carries an alternative, and its number in the envelope.
template <typename Message>
struct Carrier;

template <>
struct Carrier<Hello> {
  using Type = wire::Hello;
  static constexpr int32_t kKind = MessageKind::HELLO;
};
template <>
struct Carrier<CallForward> {
  using Type = wire::CallForward;
  static constexpr int32_t kKind = MessageKind::CALL_FORWARD;
};
template <>
struct Carrier<CallAnswer> {
  using Type = wire::CallAnswer;
  static constexpr int32_t kKind = MessageKind::CALL_ANSWER;
};
template <>
struct Carrier<CallCancel> {
  using Type = wire::CallCancel;
  static constexpr int32_t kKind = MessageKind::CALL_CANCEL;
};
template <>
struct Carrier<HomeForward> {
  using Type = wire::HomeForward;
  static constexpr int32_t kKind = MessageKind::HOME_FORWARD;
};
template <>
struct Carrier<LinkPing> {
  using Type = wire::LinkPing;
  static constexpr int32_t kKind = MessageKind::LINK_PING;
};
template <>
struct Carrier<LinkPong> {
  using Type = wire::LinkPong;
  static constexpr int32_t kKind = MessageKind::LINK_PONG;
};
template <>
struct Carrier<SettingsRequest> {
  using Type = wire::SettingsRequest;
  static constexpr int32_t kKind = MessageKind::SETTINGS_REQUEST;
};
template <>
struct Carrier<SettingsSnapshot> {
  using Type = wire::SettingsSnapshot;
  static constexpr int32_t kKind = MessageKind::SETTINGS_SNAPSHOT;
};
template <>
struct Carrier<ClaimRequest> {
  using Type = wire::ClaimRequest;
  static constexpr int32_t kKind = MessageKind::CLAIM_REQUEST;
};
template <>
struct Carrier<ClaimReply> {
  using Type = wire::ClaimReply;
  static constexpr int32_t kKind = MessageKind::CLAIM_REPLY;
};
template <>
struct Carrier<MemberSync> {
  using Type = wire::MemberSync;
  static constexpr int32_t kKind = MessageKind::MEMBER_SYNC;
};
template <>
struct Carrier<GossipMessage> {
  using Type = wire::Gossip;
  static constexpr int32_t kKind = MessageKind::GOSSIP;
};

std::shared_ptr<TConfiguration> Limits() {
  static const std::shared_ptr<TConfiguration> limits =
      std::make_shared<TConfiguration>(static_cast<int>(kMaxFrameBytes),
                                       static_cast<int>(kMaxFrameBytes),
                                       kMaxNesting);
  return limits;
}

Error Invalid(std::string what) {
  return Error{ErrorCode::kInvalid, std::move(what)};
}

template <typename Message>
std::string Encode(const Message& message) {
  wire::Envelope envelope;
  envelope.version = kProtocolVersion;
  envelope.kind = Carrier<Message>::kKind;
  typename Carrier<Message>::Type carrier;
  pvt::ToWire(message, carrier);
  auto buffer = std::make_shared<TMemoryBuffer>(Limits());
  Compact protocol(buffer);
  envelope.write(&protocol);
  carrier.write(&protocol);
  return buffer->getBufferAsString();
}

// Thrift limits each list; many short lists of large structs would still take
// twenty times the payload's own size.
class BudgetProtocol : public Compact {
 public:
  using Compact::Compact;

  uint32_t readListBegin_virt(TType& element_type, uint32_t& size) override {
    const uint32_t read = Compact::readListBegin(element_type, size);
    if (size > left_) {
      throw TProtocolException(TProtocolException::SIZE_LIMIT);
    }
    left_ -= size;
    return read;
  }

 private:
  uint32_t left_ = kMaxMessageElements;
};

// Reads one payload. Thrift throws on bad bytes; the callers below catch.
class Decoder {
 public:
  explicit Decoder(std::string_view payload)
      // Thrift takes a writable pointer, but an observing buffer never writes.
      : buffer_(std::make_shared<TMemoryBuffer>(
            reinterpret_cast<uint8_t*>(const_cast<char*>(payload.data())),
            static_cast<uint32_t>(payload.size()), TMemoryBuffer::OBSERVE,
            Limits())),
        // A string is never longer than its payload, and each element of a
        // list takes a byte at least: so a length is refused before anything
        // is allocated for it.
        protocol_(
            buffer_, static_cast<int32_t>(payload.size()),
            std::min(static_cast<int32_t>(payload.size()), kMaxListElements)) {}

  Outcome<int32_t> ReadKind() {
    wire::Envelope envelope;
    envelope.read(&protocol_);
    if (envelope.version != kProtocolVersion) {
      return Invalid("protocol version " + std::to_string(envelope.version));
    }
    return envelope.kind;
  }

  template <typename Message>
  Outcome<Message> ReadBody() {
    typename Carrier<Message>::Type carrier;
    carrier.read(&protocol_);
    if (buffer_->available_read() != 0) {
      return Invalid("bytes after the message");
    }
    Message message;
    pvt::RangeCheck check;
    pvt::FromWire(carrier, message, check);
    if (!check.ok()) {
      return Invalid(check.problem());
    }
    return message;
  }

 private:
  std::shared_ptr<TMemoryBuffer> buffer_;
  BudgetProtocol protocol_;
};

// Tries the alternatives of PeerMessage in turn.
template <size_t index = 0>
Outcome<PeerMessage> ReadPeerBody(Decoder& decoder, int32_t kind) {
  if constexpr (index == std::variant_size_v<PeerMessage>) {
    return Invalid("message kind " + std::to_string(kind));
  } else {
    using Message = std::variant_alternative_t<index, PeerMessage>;
    if (kind != Carrier<Message>::kKind) {
      return ReadPeerBody<index + 1>(decoder, kind);
    }
    Outcome<Message> message = decoder.ReadBody<Message>();
    if (!message) {
      return message.error();
    }
    return PeerMessage(std::move(message).value());
  }
}

Outcome<PeerMessage> ReadPeer(std::string_view payload) {
  Decoder decoder(payload);
  const Outcome<int32_t> kind = decoder.ReadKind();
  if (!kind) {
    return kind.error();
  }
  Outcome<PeerMessage> message = ReadPeerBody(decoder, kind.value());
  if (!message) {
    return message;
  }
  const Outcome<void> checked = CheckPeerMessage(message.value());
  if (!checked) {
    return checked.error();
  }
  return message;
}

Outcome<GossipMessage> ReadGossip(std::string_view payload) {
  Decoder decoder(payload);
  const Outcome<int32_t> kind = decoder.ReadKind();
  if (!kind) {
    return kind.error();
  }
  if (kind.value() != Carrier<GossipMessage>::kKind) {
    return Invalid("message kind " + std::to_string(kind.value()));
  }
  return decoder.ReadBody<GossipMessage>();
}

// An empty payload would mean "no limit" to Thrift.
template <typename Read>
auto Guarded(std::string_view payload, Read read) -> decltype(read(payload)) {
  if (payload.empty()) {
    return Invalid("empty message");
  }
  if (payload.size() > kMaxFrameBytes) {
    return Error{ErrorCode::kTooLarge,
                 "message of " + std::to_string(payload.size()) + " bytes"};
  }
  try {
    return read(payload);
  } catch (const std::exception& error) {
    return Invalid(error.what());
  }
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  return std::visit([](const auto& body) { return Encode(body); }, message);
}

Outcome<PeerMessage> DecodePeerMessage(std::string_view payload) {
  return Guarded(payload, ReadPeer);
}

std::string EncodeGossip(const GossipMessage& message) {
  return Encode(message);
}

Outcome<GossipMessage> DecodeGossip(std::string_view payload) {
  return Guarded(payload, ReadGossip);
}

}  // namespace amaranth
