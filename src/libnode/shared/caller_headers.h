#ifndef AMARANTHROUTE_LIBNODE_SHARED_CALLER_HEADERS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_CALLER_HEADERS_H_

// The HTTP interface of callers: header names, their validation, and the
// context that a backend server returns with its nested calls.

#include <optional>
#include <string>
#include <string_view>

#include "amaranthroute/http.h"
#include "amaranthroute/outcome.h"
#include "amaranthroute/reducer.h"
#include "amaranthroute/time.h"
#include "amaranthroute/verdict.h"

namespace amaranth::pvt {

inline constexpr std::string_view kServiceHeader = "X-Amaranth-Service";
inline constexpr std::string_view kClassHeader = "X-Amaranth-Class";
inline constexpr std::string_view kTenantHeader = "X-Amaranth-Tenant";
// The customer's key, sent by callers. Never forwarded.
inline constexpr std::string_view kKeyHeader = "X-Amaranth-Key";
// Name of the customer who holds the key. Set only by nodes.
inline constexpr std::string_view kCustomerHeader = "X-Amaranth-Customer";
inline constexpr std::string_view kRequestIdHeader = "X-Amaranth-Request-Id";
inline constexpr std::string_view kCallerHeader = "X-Amaranth-Caller";
inline constexpr std::string_view kDeadlineHeader = "X-Amaranth-Deadline-Ms";
inline constexpr std::string_view kContextHeader = "X-Amaranth-Context";
inline constexpr std::string_view kVerdictHeader = "X-Amaranth-Verdict";
inline constexpr std::string_view kFinalHeader = "X-Amaranth-Final";
inline constexpr std::string_view kTicketHeader = "X-Amaranth-Ticket";
// Set by a backend server that refused a request without running it. This is
// not the verdict header, because a server that copies the headers of a nested
// answer into its own answer would then claim not to have run.
inline constexpr std::string_view kRefusedHeader = "X-Amaranth-Refused";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

// Backend servers' announcements.
inline constexpr std::string_view kAnnouncePath = "/amaranth/v1/announce";
inline constexpr std::string_view kLeavePath = "/amaranth/v1/leave";

// Limits the length of the values of these headers, in bytes. Names and keys
// are kept in the tables and logs of every node, so they must be short.
inline constexpr size_t kMaxHeaderValue = 200;

struct CallerHeaders {
  std::string service;
  std::string request_class = "default";
  std::string tenant = "default";
  std::string caller;
  std::string request_id;  // empty: not sent by the caller
  std::string idempotency_key;
  std::string context_token;
  std::optional<Duration> deadline;
};

// Returns whether requests of this method are read-only.
bool IsReadMethod(std::string_view method);

// Returns the verdict of a request that is refused before its key is looked up:
// an earlier request under the same idempotency key or request id may have run.
// Judged by the method alone, since its class may be unknown.
Verdict UnregisteredVerdict(const HttpRequest& request,
                            const DeploymentRules& rules);

// Returns whether the text is printable ASCII without spaces, double quotes and
// backslashes, and so is safe in logs, JSON and metric labels.
bool IsSafeText(std::string_view text);

// What a route gives to a request without a service header.
struct MatchedRoute {
  std::string service;
  std::string request_class;
  bool open = false;  // needs no customer's key
};

// Parses and validates the headers. The message of an error may be shown to the
// caller. With `routed`, service and class are taken from it, not from the
// headers.
Outcome<CallerHeaders> ParseCallerHeaders(
    const HttpRequest& request,
    const std::optional<MatchedRoute>& routed = std::nullopt);

// Identifies a hop in flight at its serving node. The nonce keeps a backend
// server, or a caller that guesses, from naming a hop that is not its own.
struct ContextToken {
  uint64_t hop = 0;
  uint64_t nonce = 0;
};
std::string FormatContextToken(const ContextToken& token);
std::optional<ContextToken> ParseContextToken(std::string_view text);

// Names the only node that may dispatch the request for which the ticket is
// used.
struct Ticket {
  std::string home;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
};
std::string FormatTicket(const Ticket& ticket);
std::optional<Ticket> ParseTicket(std::string_view text);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_CALLER_HEADERS_H_
