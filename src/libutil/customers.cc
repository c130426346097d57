#include "amaranthroute/customers.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <utility>

namespace amaranth {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";
constexpr size_t kShortLength = 8;

}  // namespace

KeyDigest KeyDigest::Of(std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  unsigned int size = 0;
  EVP_Digest(key.data(), key.size(), hash.data(), &size, EVP_sha256(), nullptr);
  std::string text;
  text.reserve(kTextLength);
  for (size_t i = 0; i < kTextLength / 2; ++i) {
    text.push_back(kHexDigits[hash[i] >> 4]);
    text.push_back(kHexDigits[hash[i] & 15]);
  }
  return KeyDigest(std::move(text));
}

Outcome<KeyDigest> KeyDigest::Parse(std::string_view text) {
  const bool valid = text.size() == kTextLength &&
                     text.find_first_not_of(kHexDigits) == std::string::npos;
  if (!valid) return Error{ErrorCode::kInvalid, "not a digest of a key"};
  return KeyDigest(std::string(text));
}

std::string_view KeyDigest::Short() const {
  return std::string_view(text_).substr(0, kShortLength);
}

CustomerTable::CustomerTable() : CustomerTable(std::vector<Customer>()) {}

CustomerTable::CustomerTable(std::vector<Customer> customers) {
  Index by_key;
  Index by_name;
  for (size_t i = 0; i < customers.size(); ++i) {
    by_name.emplace(customers[i].name, i);
    for (const KeyDigest& key : customers[i].keys) {
      by_key.emplace(key.text(), i);
    }
  }
  customers_ =
      std::make_shared<const std::vector<Customer>>(std::move(customers));
  by_key_ = std::make_shared<const Index>(std::move(by_key));
  by_name_ = std::make_shared<const Index>(std::move(by_name));
}

const Customer* CustomerTable::At(const Index& index,
                                  const std::string& key) const {
  const auto found = index.find(key);
  return found == index.end() ? nullptr : &(*customers_)[found->second];
}

const Customer* CustomerTable::FindByKey(std::string_view key) const {
  return key.empty() ? nullptr : At(*by_key_, KeyDigest::Of(key).text());
}

const Customer* CustomerTable::Find(const std::string& name) const {
  return At(*by_name_, name);
}

}  // namespace amaranth
