#include "amaranthroute/messages.h"

#include "libutil/fields.h"
#include "libutil/print.h"

namespace amaranth {

bool operator==(const CallContext& a, const CallContext& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const LoadReport& a, const LoadReport& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const Hello& a, const Hello& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const CallForward& a, const CallForward& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const CallTimes& a, const CallTimes& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const CallAnswer& a, const CallAnswer& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const CallCancel& a, const CallCancel& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const HomeForward& a, const HomeForward& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const LinkPing& a, const LinkPing& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const LinkPong& a, const LinkPong& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const SettingsRequest& a, const SettingsRequest& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const SettingsSnapshot& a, const SettingsSnapshot& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const KeyClaim& a, const KeyClaim& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ClaimRequest& a, const ClaimRequest& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ClaimOutcome& a, const ClaimOutcome& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ClaimReply& a, const ClaimReply& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const QuotaRequest& a, const QuotaRequest& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const QuotaReply& a, const QuotaReply& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ServiceCost& a, const ServiceCost& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ServicePressure& a, const ServicePressure& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const FailedBelow& a, const FailedBelow& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ServerRecord& a, const ServerRecord& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const Departure& a, const Departure& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const MemberRecord& a, const MemberRecord& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const QuarantineRecord& a, const QuarantineRecord& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const SuspectNews& a, const SuspectNews& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const MemberSync& a, const MemberSync& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const GossipMessage& a, const GossipMessage& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

std::string_view ToString(FailureCause cause) {
  switch (cause) {
    case FailureCause::kNone:
      return "none";
    case FailureCause::kNoRoom:
      return "no-room";
    case FailureCause::kRefusing:
      return "refusing";
    case FailureCause::kUnreachable:
      return "unreachable";
    case FailureCause::kBroken:
      return "broken";
  }
  return "unknown";
}

std::string_view ToString(Tier tier) {
  switch (tier) {
    case Tier::kBackground:
      return "background";
    case Tier::kBrowse:
      return "browse";
    case Tier::kStandard:
      return "standard";
    case Tier::kCritical:
      return "critical";
  }
  return "standard";
}

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "dead";
}

std::ostream& operator<<(std::ostream& out, const PeerMessage& value) {
  pvt::Print(out, value);
  return out;
}

std::ostream& operator<<(std::ostream& out, const GossipMessage& value) {
  pvt::Print(out, value);
  return out;
}

std::ostream& operator<<(std::ostream& out, const MemberRecord& value) {
  pvt::Print(out, value);
  return out;
}

}  // namespace amaranth
