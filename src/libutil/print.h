#ifndef AMARANTHROUTE_LIBUTIL_PRINT_H_
#define AMARANTHROUTE_LIBUTIL_PRINT_H_

// Prints a message, event or effect on one line, for logs, replay and failed
// tests. Based on Fields() in fields.h.

#include <optional>
#include <ostream>
#include <string>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

#include "libutil/fields.h"

namespace amaranth::pvt {

inline void Print(std::ostream& out, const std::string& text) {
  out << '"' << text << '"';
}
inline void Print(std::ostream& out, TimePoint t) {
  out << ToMicros(t) << "us";
}
inline void Print(std::ostream& out, PlatformTime t) {
  out << t.time_since_epoch().count() << "us";
}
inline void Print(std::ostream& out, Duration d) { out << d.count() << "us"; }
inline void Print(std::ostream& out, double value) { out << value; }

template <typename T>
std::enable_if_t<std::is_integral_v<T> || std::is_enum_v<T>> Print(
    std::ostream& out, T value) {
  out << +static_cast<int64_t>(value);
}

template <typename T>
void Print(std::ostream& out, const std::vector<T>& items);
template <typename... Ts>
void Print(std::ostream& out, const std::variant<Ts...>& value);
template <typename T>
void Print(std::ostream& out, const std::optional<T>& value);

inline void Print(std::ostream& out, const Endpoint& value) { out << value; }
inline void Print(std::ostream& out, const NodeRef& value) { out << value; }
inline void Print(std::ostream& out, const Failure& value) { out << value; }
inline void Print(std::ostream& out, const HttpRequest& value) { out << value; }
inline void Print(std::ostream& out, const HttpResponse& value) {
  out << value;
}

template <typename T>
auto Print(std::ostream& out, const T& value)
    -> decltype(Fields(value), void()) {
  out << TypeName(value) << "{";
  std::apply(
      [&](const auto&... field) { ((Print(out, field), out << " "), ...); },
      Fields(value));
  out << "}";
}

template <typename T>
void Print(std::ostream& out, const std::vector<T>& items) {
  out << "[";
  for (const T& item : items) {
    Print(out, item);
    out << " ";
  }
  out << "]";
}

template <typename T>
void Print(std::ostream& out, const std::optional<T>& value) {
  if (value) {
    Print(out, *value);
  } else {
    out << "none";
  }
}

template <typename... Ts>
void Print(std::ostream& out, const std::variant<Ts...>& value) {
  std::visit([&](const auto& alternative) { Print(out, alternative); }, value);
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBUTIL_PRINT_H_
