#ifndef AMARANTHROUTE_LIBNODE_SHARED_CALLER_HEADERS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_CALLER_HEADERS_H_

// The callers' HTTP interface: header names, checked parsing, and the context
// that a backend server hands back with its nested calls.

#include <optional>
#include <string>
#include <string_view>

#include "amaranthroute/http.h"
#include "amaranthroute/outcome.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

inline constexpr std::string_view kServiceHeader = "X-Amaranth-Service";
inline constexpr std::string_view kClassHeader = "X-Amaranth-Class";
inline constexpr std::string_view kTenantHeader = "X-Amaranth-Tenant";
inline constexpr std::string_view kRequestIdHeader = "X-Amaranth-Request-Id";
inline constexpr std::string_view kCallerHeader = "X-Amaranth-Caller";
inline constexpr std::string_view kDeadlineHeader = "X-Amaranth-Deadline-Ms";
inline constexpr std::string_view kContextHeader = "X-Amaranth-Context";
inline constexpr std::string_view kVerdictHeader = "X-Amaranth-Verdict";
inline constexpr std::string_view kFinalHeader = "X-Amaranth-Final";
inline constexpr std::string_view kTicketHeader = "X-Amaranth-Ticket";
// A backend server's own word that it refused a request without running it.
// Not the verdict header: a server that copies a nested answer's headers into
// its own answer would otherwise deny having run.
inline constexpr std::string_view kRefusedHeader = "X-Amaranth-Refused";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

// Backend servers' announcements.
inline constexpr std::string_view kAnnouncePath = "/amaranth/v1/announce";
inline constexpr std::string_view kLeavePath = "/amaranth/v1/leave";

// Longest accepted value of any of these headers, in bytes. Names and keys end
// up in tables and logs of every node, so they are kept short.
inline constexpr size_t kMaxHeaderValue = 200;

struct CallerHeaders {
  std::string service;
  std::string request_class = "default";
  std::string tenant = "default";
  std::string caller;
  std::string request_id;  // empty: the caller gave none
  std::string idempotency_key;
  std::string context_token;
  std::optional<Duration> deadline;
};

// Whether the method alone says that a request changes nothing.
bool IsReadMethod(std::string_view method);

// Printable ASCII without spaces and quotes: safe in logs, JSON and labels.
bool IsCleanText(std::string_view text);

// Service and class of a request that names no service itself.
struct RoutedTo {
  std::string service;
  std::string request_class;
};

// Reads and checks the headers; the Error's message is fit for the caller.
// With `routed`, service and class are taken from there, whatever the headers
// say.
Outcome<CallerHeaders> ParseCallerHeaders(
    const HttpRequest& request,
    const std::optional<RoutedTo>& routed = std::nullopt);

// Identifies a hop in flight to its own node. The nonce keeps a backend server
// (or a caller who guesses) from naming a hop that is not its own.
struct ContextToken {
  uint64_t hop = 0;
  uint64_t nonce = 0;
};
std::string FormatContextToken(const ContextToken& token);
std::optional<ContextToken> ParseContextToken(std::string_view text);

// A ticket names the node that alone may dispatch the request it is used for.
struct Ticket {
  std::string home;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
};
std::string FormatTicket(const Ticket& ticket);
std::optional<Ticket> ParseTicket(std::string_view text);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_CALLER_HEADERS_H_
