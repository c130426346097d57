#ifndef AMARANTHROUTE_LIBUTIL_SHALLOW_JSON_H_
#define AMARANTHROUTE_LIBUTIL_SHALLOW_JSON_H_

// Parses untrusted JSON: from callers, operators, peers and the platform.

#include <nlohmann/json.hpp>
#include <string_view>

namespace amaranth::pvt {

// Maximum nesting depth. None of the formats in use is nested deeper.
inline constexpr int kMaxJsonDepth = 32;

// Returns the parsed text, or a discarded value if it is not JSON. Values
// deeper than kMaxJsonDepth are dropped while parsing: the library parses a
// body of a million opening brackets, but prints and compares values
// recursively, which would overflow the stack and end the process.
template <typename Json = nlohmann::json>
Json ParseShallowJson(std::string_view text) {
  const typename Json::parser_callback_t shallow =
      [](int depth, typename Json::parse_event_t, Json&) {
        return depth <= kMaxJsonDepth;
      };
  return Json::parse(text, shallow, false);
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBUTIL_SHALLOW_JSON_H_
