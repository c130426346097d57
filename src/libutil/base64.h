#ifndef AMARANTHROUTE_LIBUTIL_BASE64_H_
#define AMARANTHROUTE_LIBUTIL_BASE64_H_

// Bytes as text, for formats that carry text only.

#include <optional>
#include <string>
#include <string_view>

namespace amaranth::pvt {

std::string Base64(std::string_view bytes);

// The bytes that `text` stands for; nothing if it is not base64.
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBUTIL_BASE64_H_
