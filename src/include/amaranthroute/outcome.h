#ifndef AMARANTHROUTE_OUTCOME_H_
#define AMARANTHROUTE_OUTCOME_H_

/// Errors as values, on Boost.Outcome.

#include <boost/outcome/result.hpp>
#include <ostream>
#include <string>

namespace amaranth {

/// What kind of thing went wrong outside a request's own life (see Failure for
/// requests).
enum class ErrorCode {
  kInvalid,      ///< input that does not parse or breaks a rule
  kNotFound,     ///< no such item
  kConflict,     ///< somebody else was first
  kUnavailable,  ///< the other side cannot be reached, or its answer was lost
  kTooLarge,     ///< over a documented limit
};

/// A typed error with a sentence for people.
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string message;

  friend bool operator==(const Error& a, const Error& b) {
    return a.code == b.code && a.message == b.message;
  }
  friend bool operator!=(const Error& a, const Error& b) { return !(a == b); }
};

inline std::ostream& operator<<(std::ostream& out, const Error& error) {
  return out << error.message;
}

/// A value or an Error. Reading the wrong side is a programming error and
/// terminates.
template <typename T>
using Outcome =
    boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

}  // namespace amaranth

#endif  // AMARANTHROUTE_OUTCOME_H_
