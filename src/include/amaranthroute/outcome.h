#ifndef AMARANTHROUTE_OUTCOME_H_
#define AMARANTHROUTE_OUTCOME_H_

/// Errors as values, based on Boost.Outcome.

#include <boost/outcome/result.hpp>
#include <ostream>
#include <string>

namespace amaranth {

/// Category of an error that does not concern the outcome of a request (see
/// Failure for those).
enum class ErrorCode {
  kInvalid,      ///< input that does not parse or violates a rule
  kNotFound,     ///< no such item
  kConflict,     ///< a concurrent change was made first
  kUnavailable,  ///< the remote side is unreachable, or its answer was lost
  kTooLarge,     ///< over a documented limit
};

/// An error code and a human-readable message.
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

/// A value or an Error. Access to the one that is not there is a programming
/// error and terminates the process.
template <typename T>
using Outcome =
    boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

}  // namespace amaranth

#endif  // AMARANTHROUTE_OUTCOME_H_
