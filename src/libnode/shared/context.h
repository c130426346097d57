#ifndef AMARANTHROUTE_LIBNODE_SHARED_CONTEXT_H_
#define AMARANTHROUTE_LIBNODE_SHARED_CONTEXT_H_

// The context that every module of the reducer gets with an event.

#include <cstdint>
#include <random>
#include <string>
#include <utility>

#include "amaranthroute/effect.h"
#include "amaranthroute/reducer.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

using Random = std::mt19937_64;

// Passed by reference while one event is handled; never stored.
struct Context {
  const NodeIdentity& identity;
  TimePoint now;
  Random& random;
  uint64_t& next_id;
  Effects& effects;

  // Returns a new id for an attempt, dispatch, platform operation, call or the
  // like of this node. One counter serves all of them, so no two ids are equal.
  uint64_t NextId() { return next_id++; }

  void Emit(Effect effect) { effects.push_back(std::move(effect)); }

  void Log(LogLevel level, const char* part, std::string text) {
    Emit(WriteLog{level, part, std::move(text)});
  }
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_CONTEXT_H_
