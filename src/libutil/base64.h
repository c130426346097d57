#ifndef AMARANTHROUTE_LIBUTIL_BASE64_H_
#define AMARANTHROUTE_LIBUTIL_BASE64_H_

// Base64, for text formats that carry bytes.

#include <optional>
#include <string>
#include <string_view>

namespace amaranth::pvt {

std::string EncodeBase64(std::string_view bytes);

// Returns the decoded bytes, or nullopt if `text` is not valid base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBUTIL_BASE64_H_
