#ifndef AMARANTHROUTE_FUZZ_REQUIRE_H_
#define AMARANTHROUTE_FUZZ_REQUIRE_H_

#include <cstdio>
#include <cstdlib>

namespace amaranth::pvt {

// Aborts if `condition` is false; libFuzzer then stores the failing input.
inline void Require(bool condition, const char* message) {
  if (!condition) {
    std::fprintf(stderr, "check failed: %s\n", message);
    std::abort();
  }
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_FUZZ_REQUIRE_H_
