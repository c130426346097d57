#ifndef AMARANTHROUTE_LIBNODE_SHARED_FINGERPRINT_LABEL_H_
#define AMARANTHROUTE_LIBNODE_SHARED_FINGERPRINT_LABEL_H_

// Identifies a request in the log lines about crashes.

#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <string>

namespace amaranth::pvt {

// Returns "fingerprint=" and 16 hexadecimal digits.
inline std::string FingerprintLabel(uint64_t fingerprint) {
  char text[32];
  std::snprintf(text, sizeof text, "fingerprint=%016" PRIx64, fingerprint);
  return text;
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_FINGERPRINT_LABEL_H_
