#include "amaranthroute/hash.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace amaranth {

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::vector<std::string> RendezvousChoose(const std::vector<std::string>& names,
                                          std::string_view key, size_t count) {
  const uint64_t key_hash = Hash64(key);
  std::vector<std::pair<uint64_t, std::string>> scored;
  scored.reserve(names.size());
  for (const std::string& name : names) {
    scored.emplace_back(Hash64(name, key_hash), name);
  }
  const size_t kept = std::min(count, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + kept, scored.end(),
                    [](const auto& a, const auto& b) { return a > b; });
  std::vector<std::string> chosen;
  for (size_t i = 0; i < kept; ++i) chosen.push_back(scored[i].second);
  return chosen;
}

}  // namespace amaranth
