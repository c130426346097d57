#ifndef AMARANTHROUTE_LIBNODE_FAKES_FIND_EFFECT_H_
#define AMARANTHROUTE_LIBNODE_FAKES_FIND_EFFECT_H_

#include <optional>
#include <variant>

#include "amaranthroute/effect.h"

namespace amaranth::pvt {

// Returns the first effect of the type T, or nullopt.
template <typename T>
std::optional<T> FindEffect(const Effects& effects) {
  for (const Effect& effect : effects) {
    const T* found = std::get_if<T>(&effect);
    if (found != nullptr) return *found;
  }
  return std::nullopt;
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_FAKES_FIND_EFFECT_H_
