#ifndef AMARANTHROUTE_LIBNODE_SHARED_REQUEST_TARGET_H_
#define AMARANTHROUTE_LIBNODE_SHARED_REQUEST_TARGET_H_

// The parts of a request's target: path and query.

#include <string>
#include <string_view>

namespace amaranth::pvt {

// The part before '?'.
std::string_view PathOf(std::string_view target);

// The decoded value of `name` in the query, or an empty text.
std::string QueryValue(std::string_view target, std::string_view name);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_REQUEST_TARGET_H_
