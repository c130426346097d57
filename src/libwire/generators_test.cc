#include "libwire/generators.h"

#include <string>
#include <vector>

namespace amaranth {
namespace {

template <typename T>
T Any() {
  return *rc::gen::arbitrary<T>();
}

std::string AnyLine() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

std::string AnyName() { return "n" + AnyLine(); }

template <typename Enum>
Enum AnyEnum(Enum last) {
  return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

Duration AnyDuration() {
  return Duration(*rc::gen::inRange<int64_t>(0, kMaxWireDuration.count() + 1));
}

template <typename Make>
auto AnyList(Make make) -> std::vector<decltype(make())> {
  std::vector<decltype(make())> list;
  for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
    list.push_back(make());
  }
  return list;
}

NodeRef AnyNode() { return {AnyName(), Any<uint64_t>()}; }

Endpoint AnyEndpoint() { return {AnyLine(), Any<uint16_t>()}; }

Header AnyHeader() { return {AnyName(), AnyLine()}; }

HttpRequest AnyRequest() {
  return {AnyName(), AnyLine(), AnyList(AnyHeader), Body(Any<std::string>())};
}

HttpResponse AnyResponse() {
  return {*rc::gen::inRange(100, 1000), AnyList(AnyHeader),
          Body(Any<std::string>())};
}

Failure AnyFailure() {
  return {AnyEnum(Verdict::kRan), AnyEnum(Reason::kOverQuota), AnyDuration(),
          Any<bool>(), Any<std::string>()};
}

std::optional<Duration> AnySlack() {
  if (Any<bool>()) return std::nullopt;
  return Any<bool>() ? AnyDuration() : -AnyDuration();
}

ServiceCost AnyCost() { return {AnyName(), Any<uint32_t>(), Any<uint32_t>()}; }

ServicePressure AnyPressure() {
  ServicePressure pressure{AnyName(), Any<uint32_t>(), Any<uint8_t>()};
  if (Any<bool>()) pressure.customer_share = Any<uint16_t>();
  return pressure;
}

FailedBelow AnyFailedBelow() {
  const FailureCause cause = AnyEnum(FailureCause::kBroken);
  if (cause == FailureCause::kNone) return {};
  return {AnyName(), cause};
}

CallContext AnyContext() {
  CallContext context;
  context.request_id = Any<std::string>();
  context.mesh = Any<std::string>();
  context.service = Any<std::string>();
  context.request_class = Any<std::string>();
  context.tenant = Any<std::string>();
  context.caller_key = Any<std::string>();
  context.tier = AnyEnum(Tier::kCritical);
  context.idempotent = Any<bool>();
  context.long_work = Any<bool>();
  context.depth = Any<uint8_t>();
  context.remaining = AnyDuration();
  context.retry_credits = Any<uint16_t>();
  context.fingerprint = Any<uint64_t>();
  context.suspected_crashes = Any<uint8_t>();
  context.level = Any<uint32_t>();
  context.class_tier = AnyEnum(Tier::kCritical);
  context.admit_share = Any<uint16_t>();
  context.cost_bucket = Any<uint8_t>();
  context.target_slack = AnySlack();
  context.deadline_slack = AnySlack();
  context.calls_done = Any<uint8_t>();
  return context;
}

CallTimes AnyTimes() { return {Any<uint32_t>(), Any<uint32_t>()}; }

std::optional<double> AnyRateLimit() {
  if (Any<bool>()) return std::nullopt;
  return Any<uint32_t>() / 8.0;
}

LoadReport AnyLoad() {
  return {AnyName(),       Any<uint32_t>(), Any<uint32_t>(), Any<uint32_t>(),
          Any<uint32_t>(), Any<uint32_t>(), Any<uint32_t>(), Any<uint32_t>(),
          Any<bool>(),     Any<uint64_t>(), AnyRateLimit()};
}

KeyClaim AnyClaim() { return {Any<uint64_t>(), Any<std::string>()}; }

ClaimOutcome AnyOutcome() {
  return {Any<uint64_t>(), Any<bool>(), AnyNode(), Any<uint64_t>()};
}

ServerRecord AnyServer() {
  return {AnyName(),       AnyName(),   AnyEndpoint(),
          Any<uint32_t>(), Any<bool>(), {Any<bool>(), Any<uint32_t>()},
          Any<uint64_t>()};
}

Departure AnyDeparture() {
  Departure departure{AnyName(), std::nullopt, Any<uint64_t>(), Any<bool>(),
                      AnyDuration()};
  if (Any<bool>()) departure.started_ms = Any<uint64_t>();
  return departure;
}

MemberRecord AnyMember() {
  return {AnyNode(),     Any<uint64_t>(),    AnyEnum(MemberState::kLeft),
          AnyName(),     AnyName(),          AnyEndpoint(),
          AnyEndpoint(), AnyList(AnyServer), AnyList(AnyDeparture)};
}

QuarantineRecord AnyQuarantine() {
  return {AnyName(), Any<uint64_t>(), Any<uint32_t>()};
}

SuspectNews AnySuspectNews() {
  return {AnyName(), Any<uint64_t>(), AnyEnum(SuspectEvent::kAnswered),
          AnyDuration()};
}

MemberSync AnySync() {
  MemberSync sync;
  sync.reply_wanted = Any<bool>();
  sync.bucket_hashes = AnyList(Any<uint32_t>);
  sync.members = AnyList(AnyMember);
  sync.quarantines = AnyList(AnyQuarantine);
  sync.settings_version = Any<uint64_t>();
  sync.departures = AnyList(AnyDeparture);
  return sync;
}

PeerMessage AnyMessage(size_t kind) {
  switch (kind) {
    case 0:
      return Hello{AnyNode(), AnyName(), AnyName()};
    case 1:
      return CallForward{Any<uint64_t>(), AnyName(),       AnyContext(),
                         AnyRequest(),    Any<uint32_t>(), AnyRateLimit()};
    case 2:
      return CallAnswer{Any<uint64_t>(),      Any<uint64_t>(), AnyResponse(),
                        AnyFailure(),         Any<uint16_t>(), AnyLoad(),
                        Any<bool>(),          AnyTimes(),      AnyList(AnyCost),
                        AnyList(AnyPressure), AnyFailedBelow()};
    case 3:
      return CallCancel{Any<uint64_t>(), Any<bool>()};
    case 4:
      return HomeForward{Any<uint64_t>(), Any<uint64_t>(), AnyRequest(),
                         AnyDuration()};
    case 5:
      return LinkPing{Any<uint64_t>()};
    case 6:
      return LinkPong{Any<uint64_t>()};
    case 7:
      return SettingsRequest{Any<uint64_t>()};
    case 8:
      return SettingsSnapshot{Any<uint64_t>(), Any<uint64_t>(),
                              Any<std::string>()};
    case 9:
      return ClaimRequest{AnyNode(), AnyList(AnyClaim)};
    case 10:
      return ClaimReply{AnyList(AnyOutcome)};
    case 11:
      return QuotaRequest{Any<uint64_t>(), Any<std::string>(), Any<uint32_t>(),
                          Any<bool>()};
    case 12:
      return QuotaReply{Any<uint64_t>(), Any<std::string>(), Any<uint32_t>(),
                        AnyDuration(), Any<bool>()};
    default:
      return AnySync();
  }
}

GossipMessage AnyGossip() {
  GossipMessage message;
  message.kind = AnyEnum(GossipKind::kPingRequest);
  message.from = AnyNode();
  message.from_address = AnyEndpoint();
  message.sequence = Any<uint64_t>();
  message.target = AnyLine();
  message.target_address = AnyEndpoint();
  message.settings_version = Any<uint64_t>();
  if (Any<bool>()) message.settings_confirmed_at = PlatformTime(AnyDuration());
  message.platform_epoch = Any<uint64_t>();
  message.membership_hash = Any<uint64_t>();
  message.updates = AnyList(AnyMember);
  message.quarantines = AnyList(AnyQuarantine);
  message.suspect_news = AnyList(AnySuspectNews);
  message.departures = AnyList(AnyDeparture);
  return message;
}

}  // namespace
}  // namespace amaranth

namespace rc {

Gen<amaranth::PeerMessage> Arbitrary<amaranth::PeerMessage>::arbitrary() {
  return gen::exec([] {
    const size_t kind =
        *gen::inRange<size_t>(0, std::variant_size_v<amaranth::PeerMessage>);
    return amaranth::AnyMessage(kind);
  });
}

Gen<amaranth::GossipMessage> Arbitrary<amaranth::GossipMessage>::arbitrary() {
  return gen::exec(amaranth::AnyGossip);
}

}  // namespace rc
