#ifndef AMARANTHROUTE_LIBHOST_FRAMING_H_
#define AMARANTHROUTE_LIBHOST_FRAMING_H_

// Connection-specific header fields, and checks that a field or target can be
// written without breaking the HTTP message.

#include <string_view>
#include <vector>

#include "amaranthroute/http.h"

namespace amaranth::pvt {

// Returns true for fields that frame a message or describe the connection that
// it arrived on (RFC 9110 section 7.6.1). Forwarding them would describe the
// wrong connection: a stale Transfer-Encoding lets a caller smuggle a second
// request.
bool IsFramingHeader(std::string_view name);

// Removes the framing fields and the fields named by a Connection field.
void RemoveFramingHeaders(std::vector<Header>& headers);

// Returns false if writing the field would change the message around it (line
// breaks, an empty name, a separator in the name).
bool IsWritableHeader(const Header& header);

// Returns false if the target is empty or contains a byte that would end the
// target or the request line.
bool IsWritableTarget(std::string_view target);

// Returns the standard reason phrase of a status, or "Unknown".
std::string_view ReasonPhrase(int status);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_FRAMING_H_
