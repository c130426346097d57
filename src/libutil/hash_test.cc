#include "amaranthroute/hash.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace amaranth {

TEST_GROUP(Hash){};

TEST(Hash, RendezvousKeepsChoiceWhenAnotherNameIsRemoved) {
  const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
  for (int key = 0; key < 200; ++key) {
    const std::string text = std::to_string(key);
    const std::string before = RendezvousChoose(all, text, 1).front();
    std::vector<std::string> remaining = all;
    const std::string removed = before == "a" ? "b" : "a";
    remaining.erase(std::find(remaining.begin(), remaining.end(), removed));
    CHECK(RendezvousChoose(remaining, text, 1).front() == before);
  }
}

TEST(Hash, RendezvousChoosesAtMostAllNames) {
  CHECK_EQUAL(2u, RendezvousChoose({"a", "b"}, "k", 5).size());
  CHECK_EQUAL(0u, RendezvousChoose({}, "k", 5).size());
}

}  // namespace amaranth
