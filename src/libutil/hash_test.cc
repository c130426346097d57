#include "amaranthroute/hash.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace amaranth {

TEST_GROUP(Hash){};

TEST(Hash, RendezvousKeepsChoicesWhenAnotherNameLeaves) {
  const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
  for (int key = 0; key < 200; ++key) {
    const std::string text = std::to_string(key);
    const std::string before = RendezvousChoose(all, text, 1).front();
    std::vector<std::string> fewer = all;
    const std::string gone = before == "a" ? "b" : "a";
    fewer.erase(std::find(fewer.begin(), fewer.end(), gone));
    CHECK(RendezvousChoose(fewer, text, 1).front() == before);
  }
}

TEST(Hash, RendezvousNeverChoosesMoreThanThereAre) {
  CHECK_EQUAL(2u, RendezvousChoose({"a", "b"}, "k", 5).size());
  CHECK_EQUAL(0u, RendezvousChoose({}, "k", 5).size());
}

}  // namespace amaranth
