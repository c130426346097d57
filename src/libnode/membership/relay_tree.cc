#include "libnode/membership/relay_tree.h"

#include <algorithm>

#include "amaranthroute/hash.h"

namespace amaranth::pvt {

RelayTree::RelayTree(const std::vector<std::string>& names,
                     std::string_view key, size_t root_count, size_t fanout)
    : ranked_(RendezvousChoose(names, key, names.size())),
      root_count_(std::min(root_count, names.size())),
      fanout_(fanout) {}

size_t RelayTree::RankOf(const std::string& name) const {
  const auto found = std::find(ranked_.begin(), ranked_.end(), name);
  return static_cast<size_t>(found - ranked_.begin());
}

std::vector<std::string> RelayTree::ChildrenOf(const std::string& name) const {
  const size_t rank = RankOf(name);
  if (rank == ranked_.size()) return {};
  const size_t first = std::min(root_count_ + rank * fanout_, ranked_.size());
  const size_t last = std::min(first + fanout_, ranked_.size());
  return {ranked_.begin() + static_cast<std::ptrdiff_t>(first),
          ranked_.begin() + static_cast<std::ptrdiff_t>(last)};
}

std::vector<std::string> RelayTree::First(size_t count) const {
  const size_t last = std::min(count, ranked_.size());
  return {ranked_.begin(), ranked_.begin() + static_cast<std::ptrdiff_t>(last)};
}

}  // namespace amaranth::pvt
