#ifndef AMARANTHROUTE_FUZZ_REQUIRE_H_
#define AMARANTHROUTE_FUZZ_REQUIRE_H_

#include <cstdio>
#include <cstdlib>

namespace amaranth::pvt {

// Ends the fuzzer, which then keeps the input, if what must hold does not.
inline void Require(bool holds, const char* what) {
  if (!holds) {
    std::fprintf(stderr, "does not hold: %s\n", what);
    std::abort();
  }
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_FUZZ_REQUIRE_H_
