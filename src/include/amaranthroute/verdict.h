#ifndef AMARANTHROUTE_VERDICT_H_
#define AMARANTHROUTE_VERDICT_H_

/// What is known about whether a failed request ran, and why it failed.

#include <ostream>
#include <string>
#include <string_view>

#include "amaranthroute/time.h"

namespace amaranth {

/// Whether a request may have had an effect. Doubt is always kMayHaveRun.
enum class Verdict {
  /// Proved: the request never left, or its only holder forgot it for good.
  kNotRun,
  /// Nothing proves that it did not run; never retried if non-idempotent.
  kMayHaveRun,
  /// A backend server answered it.
  kRan,
};

/// Why a request was given up on. The text form is part of the HTTP interface.
enum class Reason {
  kNone,
  kBadRequest,        ///< malformed headers, body or context
  kUnknownService,    ///< no backend server has ever announced this service
  kNoServer,          ///< known service, but no usable backend server now
  kShedAtEntry,       ///< tier below the threshold learned from downstream
  kShedAtServer,      ///< tier below the serving node's own threshold
  kQueueFull,         ///< the serving node's queue has no room for this tier
  kDeadline,          ///< the deadline passed, or cannot be met
  kCancelled,         ///< the caller went away
  kDraining,          ///< the server or node is leaving
  kConnectFailed,     ///< no connection could be made
  kConnectionLost,    ///< the connection ended or went silent after sending
  kServerError,       ///< the backend server broke off its answer
  kRetriesSpent,      ///< no retry credits or retry budget left
  kQuarantined,       ///< this request crashes the servers that run it
  kPlatformDown,      ///< the claim could not be made: platform out of reach
  kHomeUnreachable,   ///< the ticket's home node is gone or cut off
  kClaimedElsewhere,  ///< another node holds the key, its result is unknown
  kTooLarge,          ///< body over the limit, or no buffer memory left
  kNotReady,          ///< the node has no settings yet
  kNoRoute,           ///< no route of the settings takes this host and path
  kServerRefused,     ///< the backend server says that it did not run it
};

/// Stable lower-case text, e.g. "may-have-run".
std::string_view ToString(Verdict verdict);
/// Stable lower-case text, e.g. "shed-at-entry".
std::string_view ToString(Reason reason);

/// A request given up on: what the caller is told, at once.
struct Failure {
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
  /// When to come back; zero means that coming back does not help.
  Duration retry_after{0};
  /// The hop that gave up already retried, or must not: no layer above retries.
  bool final = false;
  std::string detail;

  friend bool operator==(const Failure& a, const Failure& b) {
    return a.verdict == b.verdict && a.reason == b.reason &&
           a.retry_after == b.retry_after && a.final == b.final &&
           a.detail == b.detail;
  }
  friend bool operator!=(const Failure& a, const Failure& b) {
    return !(a == b);
  }
};

std::ostream& operator<<(std::ostream& out, Verdict verdict);
std::ostream& operator<<(std::ostream& out, Reason reason);
std::ostream& operator<<(std::ostream& out, const Failure& failure);

}  // namespace amaranth

#endif  // AMARANTHROUTE_VERDICT_H_
