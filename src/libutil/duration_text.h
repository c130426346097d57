#ifndef AMARANTHROUTE_LIBUTIL_DURATION_TEXT_H_
#define AMARANTHROUTE_LIBUTIL_DURATION_TEXT_H_

// Durations in text, as used in settings and flags.

#include <string_view>

#include "amaranthroute/outcome.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Parses a number with the unit ms or s, such as "1500ms" or "2.5s", up to
// `max`. Errors: kInvalid.
Outcome<Duration> ParseDuration(std::string_view text,
                                Duration max = std::chrono::hours(24));

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBUTIL_DURATION_TEXT_H_
