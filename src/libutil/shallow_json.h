#ifndef AMARANTHROUTE_LIBUTIL_SHALLOW_JSON_H_
#define AMARANTHROUTE_LIBUTIL_SHALLOW_JSON_H_

// JSON from outside: callers, operators, peers, the platform.

#include <nlohmann/json.hpp>
#include <string_view>

namespace amaranth::pvt {

// Nothing that we read is nested deeper.
inline constexpr int kMaxJsonDepth = 32;

// The parsed text, or a discarded value if it is not JSON. A body of a million
// opening brackets parses, but the library prints and compares values by
// recursion and would overflow the stack, ending the process; what lies deeper
// than any of our formats is therefore left out while parsing.
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
