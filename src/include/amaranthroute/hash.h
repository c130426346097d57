#ifndef AMARANTHROUTE_HASH_H_
#define AMARANTHROUTE_HASH_H_

/// Stable 64-bit hashes (xxHash), the same on every node and build.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth {

/// Returns the hash of `bytes`. Different seeds give independent hashes.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// Rendezvous hashing (highest random weight): returns up to `count` names,
/// those with the highest combined hash of name and `key`, highest first. All
/// nodes with the same set of names choose the same; removing a name reassigns
/// only the keys of that name.
std::vector<std::string> RendezvousChoose(const std::vector<std::string>& names,
                                          std::string_view key, size_t count);

}  // namespace amaranth

#endif  // AMARANTHROUTE_HASH_H_
