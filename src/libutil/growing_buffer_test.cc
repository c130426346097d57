#include "libutil/growing_buffer.h"

#include <CppUTest/TestHarness.h>

namespace amaranth::pvt {

TEST_GROUP(GrowingBuffer){};

TEST(GrowingBuffer, SmallAndLargeBytesAreTakenUnchanged) {
  for (const size_t reserved : {size_t{0}, size_t{1000}, size_t{3} << 20}) {
    for (const size_t count : {0, 1, 700, 5000}) {
      GrowingBuffer buffer;
      buffer.Reserve(reserved);
      std::string expected;
      for (size_t i = 0; i < count; ++i) {
        const std::string part(i % 1000, static_cast<char>('a' + i % 26));
        buffer.Append(part);
        expected += part;
      }
      CHECK_EQUAL(expected.size(), buffer.size());
      const Body body = buffer.Take(nullptr);
      CHECK(body.view() == expected);
      CHECK_EQUAL(0u, buffer.size());
      buffer.Append("again");
      CHECK(buffer.Take(nullptr).view() == "again");
    }
  }
}

// Guards against an owner, such as a lease of memory, that ends before the
// last copy of the body.
TEST(GrowingBuffer, TheOwnerLivesAsLongAsTheBody) {
  for (const size_t size : {10, 1 << 20}) {
    const std::shared_ptr<int> owner = std::make_shared<int>(0);
    GrowingBuffer buffer;
    buffer.Append(std::string(size, 'x'));
    Body copy;
    {
      const Body body = buffer.Take(owner);
      copy = body;
    }
    CHECK_EQUAL(2, owner.use_count());
    CHECK_EQUAL(size, copy.size());
    copy = Body();
    CHECK_EQUAL(1, owner.use_count());
  }
}

}  // namespace amaranth::pvt
