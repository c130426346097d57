#ifndef AMARANTHROUTE_LIBUTIL_PARSE_NUMBER_H_
#define AMARANTHROUTE_LIBUTIL_PARSE_NUMBER_H_

// Parses numbers in untrusted text.

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace amaranth::pvt {

// Returns the number that `text` represents, or nullopt if `text` contains
// anything else or the number is out of the range of `Number`. `base` applies
// to integers only.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, int base = 10) {
  Number number = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result read{};
  if constexpr (std::is_integral_v<Number>) {
    read = std::from_chars(text.data(), end, number, base);
  } else {
    read = std::from_chars(text.data(), end, number);
  }
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return number;
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBUTIL_PARSE_NUMBER_H_
