#include "amaranthroute/wire.h"

#include <CppUTest/TestHarness.h>

#include <limits>

#include "libwire/generators.h"

namespace amaranth {
namespace {

CallAnswer SampleAnswer() {
  CallAnswer answer;
  answer.attempt = 7;
  answer.response = HttpResponse{200, {{"Content-Type", "text/plain"}}, {}};
  answer.failure.retry_after = std::chrono::milliseconds(50);
  return answer;
}

bool Decodes(const PeerMessage& message) {
  return static_cast<bool>(DecodePeerMessage(EncodePeerMessage(message)));
}

// Returns an encoded Hello with the given version and kind. In the envelope
// each is one byte, after the byte of its field header.
std::string HelloWithEnvelope(char version, char kind) {
  std::string payload = EncodePeerMessage(Hello{{"n1", 1}, "fleet", "dc1"});
  payload[1] = version;
  payload[3] = kind;
  return payload;
}

char Zigzag(int value) { return static_cast<char>(value * 2); }

}  // namespace

TEST_GROUP(Wire){};

TEST(Wire, PeerMessagesRoundTrip) {
  CHECK(rc::check([](const PeerMessage& message) {
    RC_ASSERT(static_cast<bool>(CheckPeerMessage(message)));
    const Outcome<PeerMessage> decoded =
        DecodePeerMessage(EncodePeerMessage(message));
    RC_ASSERT(static_cast<bool>(decoded));
    RC_ASSERT(decoded.value() == message);
  }));
}

TEST(Wire, GossipMessagesRoundTrip) {
  CHECK(rc::check([](const GossipMessage& message) {
    const Outcome<GossipMessage> decoded = DecodeGossip(EncodeGossip(message));
    RC_ASSERT(static_cast<bool>(decoded));
    RC_ASSERT(decoded.value() == message);
  }));
}

// A sender can crash or a link can break in the middle of a message. Decoding
// must then fail and never return a message with the missing part left empty.
TEST(Wire, TruncatedMessagesAreRejected) {
  CHECK(rc::check([](const PeerMessage& message) {
    const std::string payload = EncodePeerMessage(message);
    const size_t cut = *rc::gen::inRange<size_t>(0, payload.size());
    RC_ASSERT(!DecodePeerMessage(std::string_view(payload).substr(0, cut)));
  }));
}

// Bytes can be corrupted in transit, or a peer can be hostile. Decoding must
// not throw or read past the end, and a message that decodes must be a valid
// one.
TEST(Wire, CorruptedBytesGiveErrorOrValidMessage) {
  CHECK(rc::check([](const PeerMessage& message) {
    std::string payload = EncodePeerMessage(message);
    const size_t offset = *rc::gen::inRange<size_t>(0, payload.size());
    payload[offset] = *rc::gen::arbitrary<char>();
    const Outcome<PeerMessage> decoded = DecodePeerMessage(payload);
    if (decoded) {
      RC_ASSERT(static_cast<bool>(CheckPeerMessage(decoded.value())));
      RC_ASSERT(Decodes(decoded.value()));
    }
  }));
}

TEST(Wire, RandomBytesNeverThrow) {
  CHECK(rc::check([](const std::string& bytes) {
    static_cast<void>(DecodePeerMessage(bytes));
    static_cast<void>(DecodeGossip(bytes));
  }));
}

TEST(Wire, UnsupportedVersionsAndKindsAreRejected) {
  CHECK(DecodePeerMessage(HelloWithEnvelope(Zigzag(1), Zigzag(1))).has_value());
  CHECK(!DecodePeerMessage(HelloWithEnvelope(Zigzag(2), Zigzag(1))));
  CHECK(!DecodePeerMessage(HelloWithEnvelope(Zigzag(1), Zigzag(0))));
  CHECK(!DecodePeerMessage(HelloWithEnvelope(Zigzag(1), Zigzag(40))));
  CHECK(!DecodePeerMessage(HelloWithEnvelope(Zigzag(1), Zigzag(13))));
  CHECK(!DecodeGossip(EncodePeerMessage(LinkPing{1})));
  CHECK(!DecodePeerMessage(EncodeGossip(GossipMessage())));
}

TEST(Wire, TrailingBytesAreRejected) {
  CHECK(!DecodePeerMessage(EncodePeerMessage(LinkPing{1}) + '\0'));
}

TEST(Wire, UnknownEnumValuesAreRejected) {
  CallAnswer answer = SampleAnswer();
  CHECK(Decodes(answer));
  answer.failure.reason = static_cast<Reason>(99);
  CHECK(!Decodes(answer));
  CallForward forward;
  forward.context.tier = static_cast<Tier>(9);
  CHECK(!Decodes(forward));
}

// A value with a line break would reach a backend server as two header fields.
// The sender must detect it before queueing, and the receiver must reject it.
TEST(Wire, LineBreaksAreRejectedBySenderAndReceiver) {
  for (const char* invalid : {"a\r\nX: y", "a\nb", "a\rb"}) {
    CallAnswer answer = SampleAnswer();
    answer.response.headers[0].value = invalid;
    CHECK(!CheckPeerMessage(answer));
    CHECK(!Decodes(answer));
    CallForward forward;
    forward.request.target = invalid;
    CHECK(!CheckPeerMessage(forward));
    CHECK(!Decodes(forward));
  }
}

TEST(Wire, DurationsAreClampedOnEncoding) {
  HomeForward forward;
  forward.remaining = Duration(-5);
  const Outcome<PeerMessage> negative =
      DecodePeerMessage(EncodePeerMessage(forward));
  CHECK(negative.has_value());
  CHECK(std::get<HomeForward>(negative.value()).remaining == Duration(0));
  forward.remaining = Duration(std::numeric_limits<int64_t>::max());
  const Outcome<PeerMessage> overlong =
      DecodePeerMessage(EncodePeerMessage(forward));
  CHECK(overlong.has_value());
  CHECK(std::get<HomeForward>(overlong.value()).remaining == kMaxWireDuration);
}

// A few bytes can announce a list of millions of elements. Decoding must reject
// it before allocating, or one datagram could exhaust the node's memory.
TEST(Wire, ListLengthsAreRejectedBeforeAllocation) {
  std::string payload = EncodePeerMessage(ClaimReply{});
  // The last three bytes are the list's field header, the list header (no
  // elements) and the end of the struct. The last two are replaced.
  payload.resize(payload.size() - 2);
  payload += "\xfc\xff\xff\xff\x07";  // a list of 16,777,215 structs
  CHECK(!DecodePeerMessage(payload));
}

// Many lists, each within its own limit, can still exhaust memory: 17 MB of
// encoded servers would take twenty times that once decoded.
TEST(Wire, TotalOfListElementsIsLimited) {
  MemberSync sync;
  MemberRecord member;
  member.servers.resize(kMaxListElements - 1);
  sync.members.assign(4, member);
  CHECK(CheckPeerMessage(sync).has_value());
  CHECK(Decodes(sync));
  sync.members.push_back(member);
  CHECK(!CheckPeerMessage(sync));
  CHECK(!Decodes(sync));
}

TEST_GROUP(Frames){};

TEST(Frames, PayloadsDoNotDependOnHowTheStreamIsSplit) {
  CHECK(rc::check([](const std::vector<std::string>& payloads) {
    std::string stream;
    for (const std::string& payload : payloads) {
      stream += EncodeFrame(payload);
    }
    FrameReader reader;
    std::vector<std::string> received;
    while (!stream.empty()) {
      const size_t size = *rc::gen::inRange<size_t>(1, stream.size() + 1);
      reader.Append(std::string_view(stream).substr(0, size));
      stream.erase(0, size);
      while (std::optional<std::string_view> payload = reader.Next().value()) {
        received.emplace_back(*payload);
      }
    }
    RC_ASSERT(received == payloads);
    RC_ASSERT(reader.buffered() == 0u);
  }));
}

TEST(Frames, LengthIsFourBytesBigEndian) {
  CHECK(EncodeFrame("abc") == std::string("\0\0\0\3abc", 7));
}

TEST(Frames, OversizedFrameFailsTheStreamPermanently) {
  FrameReader reader(4);
  reader.Append(EncodeFrame("abcd") + EncodeFrame("abcde"));
  CHECK(reader.Next().value() == std::string("abcd"));
  CHECK(reader.Next().error().code == ErrorCode::kTooLarge);
  reader.Append(EncodeFrame("ab"));
  CHECK(!reader.Next());
}

TEST(Frames, BurstsOfSmallFramesAreAllReturned) {
  FrameReader reader;
  const std::string frame = EncodeFrame(std::string(1000, 'x'));
  for (int i = 0; i < 300; ++i) {
    reader.Append(frame);
  }
  reader.Append("\0\0");
  int count = 0;
  while (reader.Next().value()) {
    ++count;
  }
  CHECK_EQUAL(300, count);
}

}  // namespace amaranth
