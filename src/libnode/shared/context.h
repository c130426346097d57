#ifndef AMARANTHROUTE_LIBNODE_SHARED_CONTEXT_H_
#define AMARANTHROUTE_LIBNODE_SHARED_CONTEXT_H_

// What every module of the reducer is handed with an event.

#include <cstdint>
#include <random>
#include <string>
#include <utility>

#include "amaranthroute/effect.h"
#include "amaranthroute/reducer.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

using Random = std::mt19937_64;

// Passed down by reference for the length of one event; never stored.
struct Context {
  const NodeIdentity& identity;
  TimePoint now;
  Random& random;
  uint64_t& next_id;
  Effects& effects;

  // Ids for attempts, dispatches, platform operations and calls of our own:
  // one counter, so no two of them are ever mistaken for each other.
  uint64_t NextId() { return next_id++; }

  void Emit(Effect effect) { effects.push_back(std::move(effect)); }

  void Log(LogLevel level, const char* part, std::string text) {
    Emit(WriteLog{level, part, std::move(text)});
  }
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_CONTEXT_H_
