#include "libnode/shared/server_notice.h"

#include <cmath>
#include <string>

#include "libutil/parse_number.h"

namespace amaranth::pvt {

std::optional<double> ParseRateLimit(std::string_view text) {
  const std::optional<double> limit = ParseNumber<double>(text);
  const bool valid = limit && std::isfinite(*limit) && *limit >= 0;
  return valid ? limit : std::nullopt;
}

ServerNotice NoticeOf(const std::vector<Header>& headers) {
  ServerNotice notice;
  notice.rate_limit = ParseRateLimit(FindHeader(headers, kRateLimitHeader));
  notice.leaving = FindHeader(headers, kLeavingHeader) == "1";
  return notice;
}

void SetNotice(const ServerNotice& notice, std::vector<Header>& headers) {
  if (notice.rate_limit) {
    SetHeader(headers, kRateLimitHeader, std::to_string(*notice.rate_limit));
  }
  if (notice.leaving) SetHeader(headers, kLeavingHeader, "1");
}

}  // namespace amaranth::pvt
