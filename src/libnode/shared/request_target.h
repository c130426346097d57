#ifndef AMARANTHROUTE_LIBNODE_SHARED_REQUEST_TARGET_H_
#define AMARANTHROUTE_LIBNODE_SHARED_REQUEST_TARGET_H_

// The path and query of a request target.

#include <string>
#include <string_view>

namespace amaranth::pvt {

// Returns the part before '?'.
std::string_view PathOf(std::string_view target);

// Returns the URL-decoded value of `name` in the query, or an empty string.
std::string QueryValue(std::string_view target, std::string_view name);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_REQUEST_TARGET_H_
