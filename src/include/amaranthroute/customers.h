#ifndef AMARANTHROUTE_CUSTOMERS_H_
#define AMARANTHROUTE_CUSTOMERS_H_

/// Customers: who holds which key, and what each of them is entitled to.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/outcome.h"

namespace amaranth {

/// SHA-256 of a customer's key, truncated to 128 bits, in hexadecimal. Nodes
/// store and exchange keys only in this form.
class KeyDigest {
 public:
  /// Length of the text form, in characters.
  static constexpr size_t kTextLength = 32;

  static KeyDigest Of(std::string_view key);
  /// Parses the text form. Errors: kInvalid.
  static Outcome<KeyDigest> Parse(std::string_view text);

  const std::string& text() const { return text_; }
  /// Returns the first characters, which identify the key in logs.
  std::string_view Short() const;

  friend bool operator==(const KeyDigest& a, const KeyDigest& b) {
    return a.text_ == b.text_;
  }
  friend bool operator!=(const KeyDigest& a, const KeyDigest& b) {
    return !(a == b);
  }

 private:
  explicit KeyDigest(std::string text) : text_(std::move(text)) {}

  std::string text_;
};

/// Number of requests that all nodes together may send to backend servers.
struct Quota {
  double rate = 0;   ///< requests per second; 0: unlimited
  double burst = 0;  ///< requests in addition, after a time below the rate

  bool unlimited() const { return rate <= 0; }

  friend bool operator==(const Quota& a, const Quota& b) {
    return a.rate == b.rate && a.burst == b.burst;
  }
  friend bool operator!=(const Quota& a, const Quota& b) { return !(a == b); }
};

/// A customer.
struct Customer {
  std::string name;
  std::vector<KeyDigest> keys;
  /// Importance of its requests, which replaces that of their class; nullopt:
  /// the class decides.
  std::optional<Tier> tier;
  Quota quota;

  friend bool operator==(const Customer& a, const Customer& b) {
    return a.name == b.name && a.keys == b.keys && a.tier == b.tier &&
           a.quota == b.quota;
  }
  friend bool operator!=(const Customer& a, const Customer& b) {
    return !(a == b);
  }
};

/// Immutable table of all customers of a settings version. Copies are cheap.
class CustomerTable {
 public:
  CustomerTable();
  /// Of two customers with the same key, the first holds it.
  explicit CustomerTable(std::vector<Customer> customers);

  /// Returns the holder of `key`, or null. The pointer is valid as long as this
  /// table or a copy of it exists.
  const Customer* FindByKey(std::string_view key) const;
  /// Returns the customer of this name, or null.
  const Customer* Find(const std::string& name) const;

  const std::vector<Customer>& customers() const { return *customers_; }
  bool empty() const { return customers_->empty(); }

  friend bool operator==(const CustomerTable& a, const CustomerTable& b) {
    return a.customers_ == b.customers_ || *a.customers_ == *b.customers_;
  }
  friend bool operator!=(const CustomerTable& a, const CustomerTable& b) {
    return !(a == b);
  }

 private:
  /// Indices into `customers_`.
  using Index = std::unordered_map<std::string, size_t>;

  const Customer* At(const Index& index, const std::string& key) const;

  std::shared_ptr<const std::vector<Customer>> customers_;
  std::shared_ptr<const Index> by_key_;  ///< by text of the digest
  std::shared_ptr<const Index> by_name_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_CUSTOMERS_H_
