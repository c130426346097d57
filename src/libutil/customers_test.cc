#include "amaranthroute/customers.h"

#include <CppUTest/TestHarness.h>

namespace amaranth {
namespace {

Customer MakeCustomer(const char* name, const char* key) {
  Customer customer;
  customer.name = name;
  customer.keys = {KeyDigest::Of(key)};
  return customer;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Customers){};

TEST(Customers, AKeyFindsItsHolder) {
  const CustomerTable table({MakeCustomer("a", "k1"), MakeCustomer("b", "k2")});
  STRCMP_EQUAL("b", table.FindByKey("k2")->name.c_str());
  POINTERS_EQUAL(nullptr, table.FindByKey("k3"));
  POINTERS_EQUAL(nullptr, table.FindByKey(""));
  POINTERS_EQUAL(nullptr, table.Find("c"));
}

// Guards against a change of the digest, after which nodes of two versions
// would not know each other's keys.
TEST(Customers, TheDigestOfAKeyIsStable) {
  STRCMP_EQUAL("2c70e12b7a0646f92279f427c7b38e73",
               KeyDigest::Of("key").text().c_str());
}

TEST(Customers, ADigestIsReadBackFromItsText) {
  const KeyDigest digest = KeyDigest::Of("key");
  CHECK(KeyDigest::Parse(digest.text()).value() == digest);
  CHECK_FALSE(KeyDigest::Parse("key").has_value());
}

}  // namespace amaranth
