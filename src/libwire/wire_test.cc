#include "amaranthroute/wire.h"

#include <CppUTest/TestHarness.h>

#include <limits>

#include "libwire/generators.h"

namespace amaranth {
namespace {

CallAnswer SomeAnswer() {
  CallAnswer answer;
  answer.attempt = 7;
  answer.response = HttpResponse{200, {{"Content-Type", "text/plain"}}, {}};
  answer.failure.retry_after = std::chrono::milliseconds(50);
  return answer;
}

bool Decodes(const PeerMessage& message) {
  return static_cast<bool>(DecodePeerMessage(EncodePeerMessage(message)));
}

// A Hello whose kind or version was replaced; both are one-byte numbers, each
// behind the byte of its field.
std::string HelloWithEnvelope(char version, char kind) {
  std::string payload = EncodePeerMessage(Hello{{"n1", 1}, "fleet", "dc1"});
  payload[1] = version;
  payload[3] = kind;
  return payload;
}

char Zigzag(int value) { return static_cast<char>(value * 2); }

}  // namespace

TEST_GROUP(Wire){};

TEST(Wire, EveryPeerMessageComesBackEqual) {
  CHECK(rc::check([](const PeerMessage& message) {
    RC_ASSERT(static_cast<bool>(CheckPeerMessage(message)));
    const Outcome<PeerMessage> back =
        DecodePeerMessage(EncodePeerMessage(message));
    RC_ASSERT(static_cast<bool>(back));
    RC_ASSERT(back.value() == message);
  }));
}

TEST(Wire, EveryGossipMessageComesBackEqual) {
  CHECK(rc::check([](const GossipMessage& message) {
    const Outcome<GossipMessage> back = DecodeGossip(EncodeGossip(message));
    RC_ASSERT(static_cast<bool>(back));
    RC_ASSERT(back.value() == message);
  }));
}

// A sender dies or a link breaks within a message. The receiver must see an
// error for every cut, never a message with the missing part left empty.
TEST(Wire, TruncatedMessagesAreRefused) {
  CHECK(rc::check([](const PeerMessage& message) {
    const std::string payload = EncodePeerMessage(message);
    const size_t cut = *rc::gen::inRange<size_t>(0, payload.size());
    RC_ASSERT(!DecodePeerMessage(std::string_view(payload).substr(0, cut)));
  }));
}

// Bits change on the way, or a peer is hostile. Whatever decodes is then a
// message that could also have been sent; nothing throws or reads past the end.
TEST(Wire, ChangedBytesGiveAnErrorOrASendableMessage) {
  CHECK(rc::check([](const PeerMessage& message) {
    std::string payload = EncodePeerMessage(message);
    const size_t at = *rc::gen::inRange<size_t>(0, payload.size());
    payload[at] = *rc::gen::arbitrary<char>();
    const Outcome<PeerMessage> back = DecodePeerMessage(payload);
    if (back) {
      RC_ASSERT(static_cast<bool>(CheckPeerMessage(back.value())));
      RC_ASSERT(Decodes(back.value()));
    }
  }));
}

TEST(Wire, RandomBytesNeverThrow) {
  CHECK(rc::check([](const std::string& bytes) {
    static_cast<void>(DecodePeerMessage(bytes));
    static_cast<void>(DecodeGossip(bytes));
  }));
}

TEST(Wire, OtherVersionsAndKindsAreRefused) {
  CHECK(DecodePeerMessage(HelloWithEnvelope(Zigzag(1), Zigzag(1))).has_value());
  CHECK(!DecodePeerMessage(HelloWithEnvelope(Zigzag(2), Zigzag(1))));
  CHECK(!DecodePeerMessage(HelloWithEnvelope(Zigzag(1), Zigzag(0))));
  CHECK(!DecodePeerMessage(HelloWithEnvelope(Zigzag(1), Zigzag(40))));
  CHECK(!DecodePeerMessage(HelloWithEnvelope(Zigzag(1), Zigzag(13))));
  CHECK(!DecodeGossip(EncodePeerMessage(LinkPing{1})));
  CHECK(!DecodePeerMessage(EncodeGossip(GossipMessage())));
}

TEST(Wire, BytesAfterAMessageAreRefused) {
  CHECK(!DecodePeerMessage(EncodePeerMessage(LinkPing{1}) + '\0'));
}

TEST(Wire, UnknownEnumValuesAreRefused) {
  CallAnswer answer = SomeAnswer();
  CHECK(Decodes(answer));
  answer.failure.reason = static_cast<Reason>(99);
  CHECK(!Decodes(answer));
  CallForward forward;
  forward.context.tier = static_cast<Tier>(9);
  CHECK(!Decodes(forward));
}

// A value with a line break in it would reach a backend server as two header
// fields. The sender finds out before it is queued, the receiver refuses it.
TEST(Wire, LineBreaksInHeadersAreRefusedOnBothSides) {
  for (const char* bad : {"a\r\nX: y", "a\nb", "a\rb"}) {
    CallAnswer answer = SomeAnswer();
    answer.response.headers[0].value = bad;
    CHECK(!CheckPeerMessage(answer));
    CHECK(!Decodes(answer));
    CallForward forward;
    forward.request.target = bad;
    CHECK(!CheckPeerMessage(forward));
    CHECK(!Decodes(forward));
  }
}

TEST(Wire, DurationsAreClampedBySender) {
  HomeForward forward;
  forward.remaining = Duration(-5);
  const Outcome<PeerMessage> late =
      DecodePeerMessage(EncodePeerMessage(forward));
  CHECK(late.has_value());
  CHECK(std::get<HomeForward>(late.value()).remaining == Duration(0));
  forward.remaining = Duration(std::numeric_limits<int64_t>::max());
  const Outcome<PeerMessage> far =
      DecodePeerMessage(EncodePeerMessage(forward));
  CHECK(far.has_value());
  CHECK(std::get<HomeForward>(far.value()).remaining == kMaxWireDuration);
}

// A few bytes say that a list of millions follows. Decoding must refuse before
// it makes room for it, or a datagram could take the node's memory.
TEST(Wire, ListLengthsAreRefusedBeforeAllocation) {
  std::string payload = EncodePeerMessage(ClaimReply{});
  // The last three bytes: list field, its header (no elements), end of struct.
  payload.resize(payload.size() - 2);
  payload += "\xfc\xff\xff\xff\x07";  // structs, 16,777,215 of them
  CHECK(!DecodePeerMessage(payload));
}

// Lists within their own limit may still be many: 17 MB of servers would take
// twenty times that in memory.
TEST(Wire, ElementsOfAllListsAreLimitedTogether) {
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

TEST(Frames, AnyCutOfTheStreamGivesTheSamePayloads) {
  CHECK(rc::check([](const std::vector<std::string>& payloads) {
    std::string stream;
    for (const std::string& payload : payloads) {
      stream += Frame(payload);
    }
    FrameReader reader;
    std::vector<std::string> got;
    while (!stream.empty()) {
      const size_t size = *rc::gen::inRange<size_t>(1, stream.size() + 1);
      reader.Append(std::string_view(stream).substr(0, size));
      stream.erase(0, size);
      while (std::optional<std::string> payload = reader.Next().value()) {
        got.push_back(*payload);
      }
    }
    RC_ASSERT(got == payloads);
    RC_ASSERT(reader.buffered() == 0u);
  }));
}

TEST(Frames, LengthIsFourBytesBigEndian) {
  CHECK(Frame("abc") == std::string("\0\0\0\3abc", 7));
}

TEST(Frames, OverlongFramesAreRefusedForGood) {
  FrameReader reader(4);
  reader.Append(Frame("abcd") + Frame("abcde"));
  CHECK(reader.Next().value() == std::string("abcd"));
  CHECK(reader.Next().error().code == ErrorCode::kTooLarge);
  reader.Append(Frame("ab"));
  CHECK(!reader.Next());
}

TEST(Frames, BurstsOfSmallFramesAreAllReturned) {
  FrameReader reader;
  const std::string frame = Frame(std::string(1000, 'x'));
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
