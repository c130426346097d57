#ifndef AMARANTHROUTE_VERDICT_H_
#define AMARANTHROUTE_VERDICT_H_

/// Verdict on whether a failed request ran, and the reason of its failure.

#include <ostream>
#include <string>
#include <string_view>

#include "amaranthroute/time.h"

namespace amaranth {

/// Whether a request may have had an effect. kMayHaveRun in any case of
/// uncertainty.
enum class Verdict {
  /// Certain: the request was never sent, or the only node that had it
  /// discarded it for good, without running it.
  kNotRun,
  /// It may or may not have run. Not retried if non-idempotent.
  kMayHaveRun,
  /// A backend server answered it.
  kRan,
};

/// Reason of a failure. The text form is part of the HTTP interface.
enum class Reason {
  kNone,
  kBadRequest,        ///< malformed headers, body or context; invalid key
  kUnknownService,    ///< no backend server has announced this service
  kNoServer,          ///< known service, but no usable backend server now
  kShedAtEntry,       ///< shed by the entry node before the first attempt
  kShedAtServer,      ///< level below the shedding threshold of the server
  kQueueFull,         ///< no room in the queue of the serving node
  kDeadline,          ///< the deadline has passed or cannot be met
  kCancelled,         ///< the caller disconnected
  kDraining,          ///< the backend server or the node is draining
  kConnectFailed,     ///< no connection could be made
  kConnectionLost,    ///< connection closed or unresponsive after sending
  kServerError,       ///< the backend server did not complete its response
  kRetriesSpent,      ///< repeat of a failed nested call: no credit or unsafe
  kQuarantined,       ///< the request crashes the backend servers that run it
  kPlatformDown,      ///< the platform did not confirm the claim in time
  kHomeUnreachable,   ///< the home node of the key or ticket is unreachable
  kClaimedElsewhere,  ///< the key was used before; its result is unavailable
  kTooLarge,          ///< over a size limit, or no memory left to hold it
  kNotReady,          ///< the node has no settings yet
  kNoRoute,           ///< no route matches this host and path
  kServerRefused,     ///< the backend server reports that it did not run it
  kUnknownKey,        ///< no customer holds the key, or there is none
  kOverQuota,         ///< beyond the customer's quota across all nodes
};

/// Returns stable lower-case text, e.g. "may-have-run".
std::string_view ToString(Verdict verdict);
/// Returns stable lower-case text, e.g. "shed-at-entry".
std::string_view ToString(Reason reason);

/// Failure of a request, as reported to the caller.
struct Failure {
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
  /// Time after which to resend; zero if a resend does not help.
  Duration retry_after{0};
  /// No layer above may retry: the hop that failed has retried already, or a
  /// retry would not help or would add load.
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
