#ifndef AMARANTHROUTE_LIBUTIL_DURATION_TEXT_H_
#define AMARANTHROUTE_LIBUTIL_DURATION_TEXT_H_

// Times as people and settings write them.

#include <string_view>

#include "amaranthroute/outcome.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Reads a number and its unit, "1500ms" or "2.5s"; a day at most.
Outcome<Duration> ParseDuration(std::string_view text);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBUTIL_DURATION_TEXT_H_
