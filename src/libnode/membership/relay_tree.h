#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_RELAY_TREE_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_RELAY_TREE_H_

// Forest over the nodes of a data centre, along which what a few of them know
// reaches all others in a number of hops that grows with the logarithm of
// their count, while each node sends to a constant number of others.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::pvt {

class RelayTree {
 public:
  RelayTree() = default;
  // Ranks `names` by rendezvous hashing with `key`. The first `root_count` are
  // the roots, and the children of each node follow in the order of ranks. All
  // nodes that know the same names build the same forest.
  RelayTree(const std::vector<std::string>& names, std::string_view key,
            size_t root_count, size_t fanout);

  // Returns at most `fanout` names; none if `name` is not in the forest.
  std::vector<std::string> ChildrenOf(const std::string& name) const;
  std::vector<std::string> Roots() const { return First(root_count_); }
  // Returns at most `count` names, in the order of ranks.
  std::vector<std::string> First(size_t count) const;
  // Returns size() if `name` is not in the forest.
  size_t RankOf(const std::string& name) const;
  size_t size() const { return ranked_.size(); }

 private:
  std::vector<std::string> ranked_;
  size_t root_count_ = 0;
  size_t fanout_ = 0;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_RELAY_TREE_H_
