#ifndef AMARANTHROUTE_LIBPOLICY_SECONDS_H_
#define AMARANTHROUTE_LIBPOLICY_SECONDS_H_

#include "amaranthroute/time.h"

namespace amaranth::pvt {

inline double ToSeconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPOLICY_SECONDS_H_
