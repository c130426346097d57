#ifndef AMARANTHROUTE_HTTP_H_
#define AMARANTHROUTE_HTTP_H_

/// HTTP messages as plain values, independent of any HTTP library.

#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth {

/// Immutable message body. Copies share the bytes, so that a retry needs no
/// copy.
class Body {
 public:
  Body() = default;
  explicit Body(std::string bytes) {
    const auto owner = std::make_shared<const std::string>(std::move(bytes));
    size_ = owner->size();
    data_ = std::shared_ptr<const char>(owner, owner->data());
  }
  /// A body of bytes that are valid for the life of `owner`.
  Body(std::shared_ptr<const void> owner, std::string_view bytes)
      : data_(std::move(owner), bytes.data()), size_(bytes.size()) {}

  std::string_view view() const { return {data_.get(), size_}; }
  size_t size() const { return size_; }

  /// Returns the same body; its copies keep `owner` alive, too, such as the
  /// memory that is accounted for it. An empty body has no owner.
  Body WithOwner(std::shared_ptr<const void> owner) const {
    if (size_ == 0) return Body();
    struct Owners {
      std::shared_ptr<const void> added;
      std::shared_ptr<const char> data;
    };
    return Body(std::make_shared<const Owners>(Owners{std::move(owner), data_}),
                view());
  }

  friend bool operator==(const Body& a, const Body& b) {
    return a.view() == b.view();
  }
  friend bool operator!=(const Body& a, const Body& b) { return !(a == b); }

 private:
  std::shared_ptr<const char> data_;
  size_t size_ = 0;
};

/// One header field. Lookup of names is case-insensitive (see FindHeader);
/// operator== compares exactly.
struct Header {
  std::string name;
  std::string value;

  friend bool operator==(const Header& a, const Header& b) {
    return a.name == b.name && a.value == b.value;
  }
  friend bool operator!=(const Header& a, const Header& b) { return !(a == b); }
};

/// Returns the value of the first field called `name` (case-insensitive), or an
/// empty view.
std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name);

/// Replaces every field called `name` (case-insensitive) by a single one.
void SetHeader(std::vector<Header>& headers, std::string_view name,
               std::string_view value);

/// Removes every field called `name` (case-insensitive).
void RemoveHeader(std::vector<Header>& headers, std::string_view name);

/// A complete request. `target` is the path with its query.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<Header> headers;
  Body body;

  friend bool operator==(const HttpRequest& a, const HttpRequest& b) {
    return a.method == b.method && a.target == b.target &&
           a.headers == b.headers && a.body == b.body;
  }
  friend bool operator!=(const HttpRequest& a, const HttpRequest& b) {
    return !(a == b);
  }
};

/// A complete response. Shells never create one from a truncated body.
struct HttpResponse {
  int status = 200;
  std::vector<Header> headers;
  Body body;

  friend bool operator==(const HttpResponse& a, const HttpResponse& b) {
    return a.status == b.status && a.headers == b.headers && a.body == b.body;
  }
  friend bool operator!=(const HttpResponse& a, const HttpResponse& b) {
    return !(a == b);
  }
};

std::ostream& operator<<(std::ostream& out, const HttpRequest& request);
std::ostream& operator<<(std::ostream& out, const HttpResponse& response);

}  // namespace amaranth

#endif  // AMARANTHROUTE_HTTP_H_
