#ifndef AMARANTHROUTE_LIBWIRE_CONVERT_H_
#define AMARANTHROUTE_LIBWIRE_CONVERT_H_

// Conversions between the message types and the generated Thrift structs.
// Every value fits its field on the wire; ToWire clamps durations to
// [0, kMaxWireDuration]. FromWire checks the range of every narrower number,
// enum and duration. QuarantineRecord::remaining is the exception: it is copied
// unchanged in both directions.

#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include "amaranthroute/messages.h"
#include "libwire/gen-cpp/amaranth_types.h"

namespace amaranth::pvt {

// Converts numbers from the wire to narrower types. One value out of range
// makes the whole message invalid; only the first is reported.
class RangeCheck {
 public:
  template <typename To, typename From>
  To Narrow(From value, std::string_view field) {
    const bool fits =
        value >= 0 && static_cast<uint64_t>(value) <=
                          static_cast<uint64_t>(std::numeric_limits<To>::max());
    return fits ? static_cast<To>(value) : Reject<To>(field);
  }

  template <typename Enum>
  Enum ToEnum(int32_t value, Enum last, std::string_view field) {
    const bool known = value >= 0 && value <= static_cast<int32_t>(last);
    return known ? static_cast<Enum>(value) : Reject<Enum>(field);
  }

  Duration ToDuration(int64_t micros, std::string_view field);
  // The same for a duration that may be negative.
  Duration ToSlack(int64_t micros, std::string_view field);
  // Returns a rate, which must be finite and not negative.
  double ToRate(double per_second, std::string_view field) {
    const bool valid = std::isfinite(per_second) && per_second >= 0;
    return valid ? per_second : Reject<double>(field);
  }

  bool ok() const { return problem_.empty(); }
  const std::string& problem() const { return problem_; }

 private:
  template <typename T>
  T Reject(std::string_view field) {
    if (problem_.empty()) {
      problem_ = "field out of range: " + std::string(field);
    }
    return T{};
  }

  std::string problem_;
};

void ToWire(const Hello& in, wire::Hello& out);
void ToWire(const CallForward& in, wire::CallForward& out);
void ToWire(const CallAnswer& in, wire::CallAnswer& out);
void ToWire(const CallCancel& in, wire::CallCancel& out);
void ToWire(const HomeForward& in, wire::HomeForward& out);
void ToWire(const LinkPing& in, wire::LinkPing& out);
void ToWire(const LinkPong& in, wire::LinkPong& out);
void ToWire(const SettingsRequest& in, wire::SettingsRequest& out);
void ToWire(const SettingsSnapshot& in, wire::SettingsSnapshot& out);
void ToWire(const ClaimRequest& in, wire::ClaimRequest& out);
void ToWire(const ClaimReply& in, wire::ClaimReply& out);
void ToWire(const QuotaRequest& in, wire::QuotaRequest& out);
void ToWire(const QuotaReply& in, wire::QuotaReply& out);
void ToWire(const MemberSync& in, wire::MemberSync& out);
void ToWire(const GossipMessage& in, wire::Gossip& out);

// FromWire moves strings out of `in`, which must not be used afterwards.
void FromWire(wire::Hello& in, Hello& out, RangeCheck& check);
void FromWire(wire::CallForward& in, CallForward& out, RangeCheck& check);
void FromWire(wire::CallAnswer& in, CallAnswer& out, RangeCheck& check);
void FromWire(wire::CallCancel& in, CallCancel& out, RangeCheck& check);
void FromWire(wire::HomeForward& in, HomeForward& out, RangeCheck& check);
void FromWire(wire::LinkPing& in, LinkPing& out, RangeCheck& check);
void FromWire(wire::LinkPong& in, LinkPong& out, RangeCheck& check);
void FromWire(wire::SettingsRequest& in, SettingsRequest& out,
              RangeCheck& check);
void FromWire(wire::SettingsSnapshot& in, SettingsSnapshot& out,
              RangeCheck& check);
void FromWire(wire::ClaimRequest& in, ClaimRequest& out, RangeCheck& check);
void FromWire(wire::ClaimReply& in, ClaimReply& out, RangeCheck& check);
void FromWire(wire::QuotaRequest& in, QuotaRequest& out, RangeCheck& check);
void FromWire(wire::QuotaReply& in, QuotaReply& out, RangeCheck& check);
void FromWire(wire::MemberSync& in, MemberSync& out, RangeCheck& check);
void FromWire(wire::Gossip& in, GossipMessage& out, RangeCheck& check);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBWIRE_CONVERT_H_
