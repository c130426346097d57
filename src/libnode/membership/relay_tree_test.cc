#include "libnode/membership/relay_tree.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace amaranth::pvt {

namespace {

std::vector<std::string> MakeNames(size_t count) {
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i) names.push_back("n" + std::to_string(i));
  return names;
}

// Returns the number of hops from the roots to each node that is reached.
std::map<std::string, int> HopsFromRoots(const RelayTree& tree) {
  std::map<std::string, int> hops;
  std::vector<std::string> open = tree.Roots();
  for (const std::string& root : open) hops[root] = 0;
  for (size_t i = 0; i < open.size(); ++i) {
    const std::string name = open[i];
    for (const std::string& child : tree.ChildrenOf(name)) {
      CHECK_EQUAL(0u, hops.count(child));
      hops[child] = hops[name] + 1;
      open.push_back(child);
    }
  }
  return hops;
}

}  // namespace

TEST_GROUP(RelayTree){};

TEST(RelayTree, ReachesEachNodeOnceInFewHops) {
  for (const size_t count : {1, 4, 5, 6, 40, 200, 2000}) {
    const RelayTree tree(MakeNames(count), "key", 5, 4);
    const std::map<std::string, int> hops = HopsFromRoots(tree);
    CHECK_EQUAL(count, hops.size());
    int depth = 0;
    for (const auto& [name, distance] : hops) depth = std::max(depth, distance);
    CHECK(depth <= 5);
  }
}

TEST(RelayTree, DoesNotDependOnTheOrderOfNames) {
  std::vector<std::string> names = MakeNames(30);
  const RelayTree tree(names, "key", 5, 4);
  std::reverse(names.begin(), names.end());
  const RelayTree reversed(names, "key", 5, 4);
  for (const std::string& name : names) {
    CHECK(tree.ChildrenOf(name) == reversed.ChildrenOf(name));
  }
  CHECK(tree.Roots() == reversed.Roots());
}

TEST(RelayTree, UnknownNameHasNoChildren) {
  const RelayTree tree(MakeNames(30), "key", 5, 4);
  CHECK(tree.ChildrenOf("other").empty());
  CHECK(RelayTree().Roots().empty());
}

}  // namespace amaranth::pvt
