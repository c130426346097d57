#ifndef AMARANTHROUTE_LIBNODE_SHARED_SERVER_NOTICE_H_
#define AMARANTHROUTE_LIBNODE_SHARED_SERVER_NOTICE_H_

// Header fields in which a backend server reports about itself.

#include <optional>
#include <string_view>
#include <vector>

#include "amaranthroute/event.h"
#include "amaranthroute/http.h"

namespace amaranth::pvt {

// Requests per second that the server accepts from all nodes together, a
// decimal number. The limit ends with the first answer without the field.
inline constexpr std::string_view kRateLimitHeader = "X-Amaranth-Rate-Limit";

// "1" if the server is shutting down.
inline constexpr std::string_view kLeavingHeader = "X-Amaranth-Leaving";

// Returns the number, or nullopt if it is malformed, negative or not finite.
std::optional<double> ParseRateLimit(std::string_view text);

ServerNotice NoticeOf(const std::vector<Header>& headers);
// Sets the fields that NoticeOf reads.
void SetNotice(const ServerNotice& notice, std::vector<Header>& headers);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_SERVER_NOTICE_H_
