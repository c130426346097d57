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

// Nesting limit for decoding, deeper than any message needs. Thrift skips
// unknown fields by recursion, so unlimited nesting could exhaust the stack.
constexpr int kMaxNesting = 16;

// The Thrift struct that encodes a message, and its kind in the envelope.
template <typename Message>
struct WireTraits;

template <>
struct WireTraits<Hello> {
  using Type = wire::Hello;
  static constexpr int32_t kKind = MessageKind::HELLO;
};
template <>
struct WireTraits<CallForward> {
  using Type = wire::CallForward;
  static constexpr int32_t kKind = MessageKind::CALL_FORWARD;
};
template <>
struct WireTraits<CallAnswer> {
  using Type = wire::CallAnswer;
  static constexpr int32_t kKind = MessageKind::CALL_ANSWER;
};
template <>
struct WireTraits<CallCancel> {
  using Type = wire::CallCancel;
  static constexpr int32_t kKind = MessageKind::CALL_CANCEL;
};
template <>
struct WireTraits<HomeForward> {
  using Type = wire::HomeForward;
  static constexpr int32_t kKind = MessageKind::HOME_FORWARD;
};
template <>
struct WireTraits<LinkPing> {
  using Type = wire::LinkPing;
  static constexpr int32_t kKind = MessageKind::LINK_PING;
};
template <>
struct WireTraits<LinkPong> {
  using Type = wire::LinkPong;
  static constexpr int32_t kKind = MessageKind::LINK_PONG;
};
template <>
struct WireTraits<SettingsRequest> {
  using Type = wire::SettingsRequest;
  static constexpr int32_t kKind = MessageKind::SETTINGS_REQUEST;
};
template <>
struct WireTraits<SettingsSnapshot> {
  using Type = wire::SettingsSnapshot;
  static constexpr int32_t kKind = MessageKind::SETTINGS_SNAPSHOT;
};
template <>
struct WireTraits<ClaimRequest> {
  using Type = wire::ClaimRequest;
  static constexpr int32_t kKind = MessageKind::CLAIM_REQUEST;
};
template <>
struct WireTraits<ClaimReply> {
  using Type = wire::ClaimReply;
  static constexpr int32_t kKind = MessageKind::CLAIM_REPLY;
};
template <>
struct WireTraits<QuotaRequest> {
  using Type = wire::QuotaRequest;
  static constexpr int32_t kKind = MessageKind::QUOTA_REQUEST;
};
template <>
struct WireTraits<QuotaReply> {
  using Type = wire::QuotaReply;
  static constexpr int32_t kKind = MessageKind::QUOTA_REPLY;
};
template <>
struct WireTraits<MemberSync> {
  using Type = wire::MemberSync;
  static constexpr int32_t kKind = MessageKind::MEMBER_SYNC;
};
template <>
struct WireTraits<GossipMessage> {
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

size_t BodyBytesOf(const CallForward& message) {
  return message.request.body.size();
}
size_t BodyBytesOf(const HomeForward& message) {
  return message.request.body.size();
}
size_t BodyBytesOf(const CallAnswer& message) {
  return message.response.body.size();
}
size_t BodyBytesOf(const SettingsSnapshot& message) {
  return message.text.size();
}
template <typename Message>
size_t BodyBytesOf(const Message&) {
  return 0;
}

// Calls `use` with the encoded bytes.
template <typename Message, typename Use>
std::string EncodeInto(const Message& message, Use use) {
  wire::Envelope envelope;
  envelope.version = kProtocolVersion;
  envelope.kind = WireTraits<Message>::kKind;
  typename WireTraits<Message>::Type wire_message;
  pvt::ToWire(message, wire_message);
  // The buffer holds a large body without growing, which would copy it.
  constexpr size_t kUsualBytes = 1024;
  auto buffer = std::make_shared<TMemoryBuffer>(
      static_cast<uint32_t>(kUsualBytes + BodyBytesOf(message)), Limits());
  Compact protocol(buffer);
  envelope.write(&protocol);
  wire_message.write(&protocol);
  uint8_t* bytes = nullptr;
  uint32_t size = 0;
  buffer->getBuffer(&bytes, &size);
  return use(std::string_view(reinterpret_cast<const char*>(bytes), size));
}

template <typename Message>
std::string Encode(const Message& message) {
  return EncodeInto(
      message, [](std::string_view payload) { return std::string(payload); });
}

// Limits the elements of all lists of one message together. Thrift limits each
// list on its own; many short lists of large structs could still take twenty
// times the size of the payload in memory.
class LimitedProtocol : public Compact {
 public:
  using Compact::Compact;

  uint32_t readListBegin_virt(TType& element_type, uint32_t& size) override {
    const uint32_t read = Compact::readListBegin(element_type, size);
    if (size > remaining_elements_) {
      throw TProtocolException(TProtocolException::SIZE_LIMIT);
    }
    remaining_elements_ -= size;
    return read;
  }

 private:
  uint32_t remaining_elements_ = kMaxMessageElements;
};

// Decodes one payload. Thrift throws on malformed bytes; DecodeGuarded catches.
class Decoder {
 public:
  explicit Decoder(std::string_view payload)
      // Thrift takes a mutable pointer, but an OBSERVE buffer never writes.
      : buffer_(std::make_shared<TMemoryBuffer>(
            reinterpret_cast<uint8_t*>(const_cast<char*>(payload.data())),
            static_cast<uint32_t>(payload.size()), TMemoryBuffer::OBSERVE,
            Limits())),
        // No string is longer than its payload, and each list element takes
        // at least one byte. With these limits an invalid length is rejected
        // before anything is allocated for it.
        protocol_(
            buffer_, static_cast<int32_t>(payload.size()),
            std::min(static_cast<int32_t>(payload.size()), kMaxListElements)) {}

  Outcome<int32_t> ReadKind() {
    wire::Envelope envelope;
    envelope.read(&protocol_);
    if (envelope.version != kProtocolVersion) {
      return Invalid("unsupported protocol version " +
                     std::to_string(envelope.version));
    }
    return envelope.kind;
  }

  // Reads the next field of the message as an id. Throws if it is none.
  uint64_t ReadId() {
    std::string name;
    TType type = apache::thrift::protocol::T_STOP;
    int16_t field = 0;
    if (!in_struct_) protocol_.readStructBegin(name);
    in_struct_ = true;
    protocol_.readFieldBegin(name, type, field);
    if (type != apache::thrift::protocol::T_I64) {
      throw TProtocolException(TProtocolException::INVALID_DATA);
    }
    int64_t id = 0;
    protocol_.readI64(id);
    protocol_.readFieldEnd();
    return static_cast<uint64_t>(id);
  }

  template <typename Message>
  Outcome<Message> ReadBody() {
    typename WireTraits<Message>::Type wire_message;
    wire_message.read(&protocol_);
    if (buffer_->available_read() != 0) {
      return Invalid("trailing bytes after the message");
    }
    Message message;
    pvt::RangeCheck check;
    pvt::FromWire(wire_message, message, check);
    if (!check.ok()) {
      return Invalid(check.problem());
    }
    return message;
  }

 private:
  std::shared_ptr<TMemoryBuffer> buffer_;
  LimitedProtocol protocol_;
  bool in_struct_ = false;
};

// Decodes the body as the alternative of PeerMessage that has this kind.
template <size_t index = 0>
Outcome<PeerMessage> ReadPeerBody(Decoder& decoder, int32_t kind) {
  if constexpr (index == std::variant_size_v<PeerMessage>) {
    return Invalid("unknown peer message kind " + std::to_string(kind));
  } else {
    using Message = std::variant_alternative_t<index, PeerMessage>;
    if (kind != WireTraits<Message>::kKind) {
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

// Reads the ids, which are the first fields of these messages.
std::optional<PeerMessage> ReadPeerIds(std::string_view first_bytes) {
  Decoder decoder(first_bytes);
  const Outcome<int32_t> kind = decoder.ReadKind();
  if (!kind) return std::nullopt;
  switch (kind.value()) {
    case MessageKind::CALL_FORWARD: {
      CallForward forward;
      forward.attempt = decoder.ReadId();
      return forward;
    }
    case MessageKind::CALL_ANSWER: {
      CallAnswer answer;
      answer.attempt = decoder.ReadId();
      answer.entry_incarnation = decoder.ReadId();
      return answer;
    }
    case MessageKind::HOME_FORWARD: {
      HomeForward home;
      home.attempt = decoder.ReadId();
      home.home_incarnation = decoder.ReadId();
      return home;
    }
    default:
      return std::nullopt;
  }
}

Outcome<GossipMessage> ReadGossip(std::string_view payload) {
  Decoder decoder(payload);
  const Outcome<int32_t> kind = decoder.ReadKind();
  if (!kind) {
    return kind.error();
  }
  if (kind.value() != WireTraits<GossipMessage>::kKind) {
    return Invalid("not a gossip message: kind " +
                   std::to_string(kind.value()));
  }
  return decoder.ReadBody<GossipMessage>();
}

// Calls `read` on a payload of valid size and turns its exceptions into errors.
// Rejects an empty payload, because Thrift takes a size limit of 0 as no limit.
template <typename Read>
auto DecodeGuarded(std::string_view payload, Read read)
    -> decltype(read(payload)) {
  if (payload.empty()) {
    return Invalid("empty message");
  }
  if (payload.size() > kMaxFrameBytes) {
    return Error{ErrorCode::kTooLarge, "message of " +
                                           std::to_string(payload.size()) +
                                           " bytes exceeds the size limit"};
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

std::string EncodePeerFrame(const PeerMessage& message) {
  return std::visit(
      [](const auto& body) { return EncodeInto(body, EncodeFrame); }, message);
}

size_t BodyBytes(const PeerMessage& message) {
  return std::visit([](const auto& body) { return BodyBytesOf(body); },
                    message);
}

std::optional<PeerMessage> DecodePeerMessageIds(std::string_view first_bytes) {
  if (first_bytes.empty()) return std::nullopt;
  try {
    return ReadPeerIds(first_bytes);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Outcome<PeerMessage> DecodePeerMessage(std::string_view payload) {
  return DecodeGuarded(payload, ReadPeer);
}

std::string EncodeGossip(const GossipMessage& message) {
  return Encode(message);
}

Outcome<GossipMessage> DecodeGossip(std::string_view payload) {
  return DecodeGuarded(payload, ReadGossip);
}

}  // namespace amaranth
