#ifndef AMARANTHROUTE_LIBHOST_FRAMING_H_
#define AMARANTHROUTE_LIBHOST_FRAMING_H_

// Header fields that belong to one connection rather than to the message.

#include <string_view>
#include <vector>

#include "amaranthroute/http.h"

namespace amaranth::pvt {

// True for the fields that frame a message or describe the connection it came
// on (RFC 9110 section 7.6.1). Passed on, they would describe the wrong
// connection: a stale Transfer-Encoding lets a caller smuggle a second request.
bool IsFramingHeader(std::string_view name);

// Removes the framing fields and those that a Connection field names.
void RemoveFramingHeaders(std::vector<Header>& headers);

// False if the field could not be written without changing the message around
// it (line breaks, an empty name, a separator in the name).
bool IsWritableHeader(const Header& header);

// False if the text has a byte that would end the request line.
bool IsWritableTarget(std::string_view target);

// The usual reason phrase of a status, or "Unknown".
std::string_view ReasonPhrase(int status);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_FRAMING_H_
