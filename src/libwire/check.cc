#include <algorithm>

#include "amaranthroute/wire.h"

namespace amaranth {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 999;

// Rejects CR, LF and NUL. A line break inside a header field would let a
// caller's value inject header fields, or a whole second request, into a
// connection to a backend server.
bool IsOneLine(std::string_view text) {
  constexpr std::string_view kBreaks("\r\n\0", 3);
  return text.find_first_of(kBreaks) == std::string_view::npos;
}

bool IsValidHeaderList(const std::vector<Header>& headers) {
  return headers.size() <= kMaxListElements &&
         std::all_of(headers.begin(), headers.end(), [](const Header& header) {
           return !header.name.empty() && IsOneLine(header.name) &&
                  IsOneLine(header.value);
         });
}

Outcome<void> Invalid(const char* what) {
  return Error{ErrorCode::kInvalid, what};
}

Outcome<void> CheckRequest(const HttpRequest& request) {
  if (!IsOneLine(request.method) || !IsOneLine(request.target)) {
    return Invalid("request method or target contains CR, LF or NUL");
  }
  if (!IsValidHeaderList(request.headers)) {
    return Invalid("too many request header fields, or an invalid one");
  }
  return boost::outcome_v2::success();
}

Outcome<void> Check(const CallForward& message) {
  return CheckRequest(message.request);
}

Outcome<void> Check(const HomeForward& message) {
  return CheckRequest(message.request);
}

Outcome<void> Check(const CallAnswer& message) {
  const HttpResponse& response = message.response;
  if (response.status < kMinStatus || response.status > kMaxStatus) {
    return Invalid("response status is not in 100 to 999");
  }
  if (!IsValidHeaderList(response.headers)) {
    return Invalid("too many response header fields, or an invalid one");
  }
  const size_t longest =
      std::max(message.costs.size(), message.pressures.size());
  if (longest > static_cast<size_t>(kMaxListElements)) {
    return Invalid("list exceeds the element limit");
  }
  return boost::outcome_v2::success();
}

Outcome<void> CheckListSize(size_t size) {
  if (size > static_cast<size_t>(kMaxListElements)) {
    return Invalid("list exceeds the element limit");
  }
  return boost::outcome_v2::success();
}

Outcome<void> Check(const ClaimRequest& message) {
  return CheckListSize(message.claims.size());
}

Outcome<void> Check(const ClaimReply& message) {
  return CheckListSize(message.outcomes.size());
}

Outcome<void> Check(const MemberSync& message) {
  size_t longest =
      std::max({message.members.size(), message.quarantines.size(),
                message.bucket_hashes.size(), message.departures.size()});
  size_t all = message.members.size() + message.quarantines.size() +
               message.bucket_hashes.size() + message.departures.size();
  for (const MemberRecord& member : message.members) {
    longest =
        std::max({longest, member.servers.size(), member.departures.size()});
    all += member.servers.size() + member.departures.size();
  }
  if (all > static_cast<size_t>(kMaxMessageElements)) {
    return Invalid("message exceeds the limit on list elements in total");
  }
  return CheckListSize(longest);
}

template <typename Message>
Outcome<void> Check(const Message&) {
  return boost::outcome_v2::success();
}

}  // namespace

Outcome<void> CheckPeerMessage(const PeerMessage& message) {
  return std::visit([](const auto& body) { return Check(body); }, message);
}

}  // namespace amaranth
