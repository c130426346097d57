#ifndef AMARANTHROUTE_HASH_H_
#define AMARANTHROUTE_HASH_H_

/// Stable 64-bit hashes (xxHash): the same on every node and build.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth {

/// Hash of `bytes`; different seeds give independent hashes.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// Rendezvous (highest random weight) choice: the up to `count` names with the
/// highest hash together with `key`, best first. All nodes that know the same
/// names choose the same; losing one name moves only that name's keys.
std::vector<std::string> RendezvousChoose(const std::vector<std::string>& names,
                                          std::string_view key, size_t count);

}  // namespace amaranth

#endif  // AMARANTHROUTE_HASH_H_
