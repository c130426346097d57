#include "libnode/shared/request_target.h"

#include <charconv>

namespace amaranth::pvt {
namespace {

std::string UrlDecoded(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      int value = 0;
      const std::from_chars_result result =
          std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
      if (result.ptr == text.data() + i + 3) {
        decoded.push_back(static_cast<char>(value));
        i += 2;
        continue;
      }
    }
    decoded.push_back(text[i] == '+' ? ' ' : text[i]);
  }
  return decoded;
}

}  // namespace

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string QueryValue(std::string_view target, std::string_view name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string_view pair = std::string_view(target).substr(
        at + 1, end == std::string::npos ? end : end - at - 1);
    const size_t equals = pair.find('=');
    if (equals != std::string::npos && pair.substr(0, equals) == name) {
      return UrlDecoded(pair.substr(equals + 1));
    }
    at = end;
  }
  return "";
}

}  // namespace amaranth::pvt
