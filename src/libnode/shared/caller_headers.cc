#include "libnode/shared/caller_headers.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include "libutil/parse_number.h"

namespace amaranth::pvt {
namespace {

constexpr int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::string_view kContextTokenPrefix = "c1";
constexpr std::string_view kTicketPrefix = "t1";

Outcome<std::string> ReadText(const HttpRequest& request,
                              std::string_view name) {
  const std::string_view value = FindHeader(request.headers, name);
  if (value.size() > kMaxHeaderValue) {
    return Error{ErrorCode::kTooLarge, std::string(name) + " is too long"};
  }
  if (!IsSafeText(value)) {
    return Error{ErrorCode::kInvalid,
                 std::string(name) + " has characters that are not allowed"};
  }
  return std::string(value);
}

// Service, class and tenant become parts of settings paths and label values.
Outcome<std::string> ReadName(const HttpRequest& request,
                              std::string_view name) {
  Outcome<std::string> text = ReadText(request, name);
  if (!text) return text;
  if (text.value().find_first_of("/*,;") != std::string::npos) {
    return Error{ErrorCode::kInvalid,
                 std::string(name) + " must not contain / * , ;"};
  }
  return text;
}

std::string ToHex(uint64_t value) {
  char buffer[17];
  const std::to_chars_result result =
      std::to_chars(buffer, buffer + sizeof buffer, value, 16);
  return std::string(buffer, result.ptr);
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const size_t at = text.find(separator);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) return parts;
    text.remove_prefix(at + 1);
  }
}

Outcome<std::optional<Duration>> ReadDeadline(const HttpRequest& request) {
  const std::string_view text = FindHeader(request.headers, kDeadlineHeader);
  if (text.empty()) return std::optional<Duration>();
  const std::optional<uint64_t> millis = ParseNumber<uint64_t>(text);
  if (!millis || *millis == 0 || *millis > kMaxDeadlineMs) {
    return Error{ErrorCode::kInvalid,
                 std::string(kDeadlineHeader) + " must be 1 to 3600000"};
  }
  return std::optional<Duration>(std::chrono::milliseconds(*millis));
}

}  // namespace

bool IsReadMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

Verdict UnregisteredVerdict(const HttpRequest& request,
                            const DeploymentRules& rules) {
  const bool named =
      !FindHeader(request.headers, kIdempotencyKeyHeader).empty() ||
      !FindHeader(request.headers, kRequestIdHeader).empty();
  const bool may_be_resend =
      !rules.request_id_per_send && !IsReadMethod(request.method) && named;
  return may_be_resend ? Verdict::kMayHaveRun : Verdict::kNotRun;
}

bool IsSafeText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < '\x7f' && c != '"' && c != '\\';
  });
}

Outcome<CallerHeaders> ParseCallerHeaders(
    const HttpRequest& request, const std::optional<MatchedRoute>& routed) {
  struct Field {
    std::string_view header;
    std::string CallerHeaders::*member;
    bool is_name;
  };
  static constexpr Field kFields[] = {
      {kServiceHeader, &CallerHeaders::service, true},
      {kClassHeader, &CallerHeaders::request_class, true},
      {kTenantHeader, &CallerHeaders::tenant, true},
      {kCallerHeader, &CallerHeaders::caller, false},
      {kRequestIdHeader, &CallerHeaders::request_id, false},
      {kIdempotencyKeyHeader, &CallerHeaders::idempotency_key, false},
      {kContextHeader, &CallerHeaders::context_token, false},
  };
  CallerHeaders headers;
  for (const Field& field : kFields) {
    Outcome<std::string> text = field.is_name ? ReadName(request, field.header)
                                              : ReadText(request, field.header);
    if (!text) return text.error();
    if (!text.value().empty()) headers.*field.member = text.value();
  }
  if (routed) {
    headers.service = routed->service;
    headers.request_class = routed->request_class;
  }
  if (headers.service.empty()) {
    return Error{ErrorCode::kInvalid,
                 std::string(kServiceHeader) + " is missing"};
  }
  Outcome<std::optional<Duration>> deadline = ReadDeadline(request);
  if (!deadline) return deadline.error();
  headers.deadline = deadline.value();
  return headers;
}

std::string FormatContextToken(const ContextToken& token) {
  return std::string(kContextTokenPrefix) + "." + ToHex(token.hop) + "." +
         ToHex(token.nonce);
}

std::optional<ContextToken> ParseContextToken(std::string_view text) {
  const std::vector<std::string_view> parts = Split(text, '.');
  if (parts.size() != 3 || parts[0] != kContextTokenPrefix) return std::nullopt;
  const std::optional<uint64_t> hop = ParseNumber<uint64_t>(parts[1], 16);
  const std::optional<uint64_t> nonce = ParseNumber<uint64_t>(parts[2], 16);
  if (!hop || !nonce) return std::nullopt;
  return ContextToken{*hop, *nonce};
}

std::string FormatTicket(const Ticket& ticket) {
  return std::string(kTicketPrefix) + "~" + ticket.home + "~" +
         ToHex(ticket.incarnation) + "~" + ToHex(ticket.sequence);
}

std::optional<Ticket> ParseTicket(std::string_view text) {
  const std::vector<std::string_view> parts = Split(text, '~');
  if (parts.size() != 4 || parts[0] != kTicketPrefix) return std::nullopt;
  const std::optional<uint64_t> incarnation =
      ParseNumber<uint64_t>(parts[2], 16);
  const std::optional<uint64_t> sequence = ParseNumber<uint64_t>(parts[3], 16);
  if (!incarnation || !sequence || parts[1].empty()) return std::nullopt;
  return Ticket{std::string(parts[1]), *incarnation, *sequence};
}

}  // namespace amaranth::pvt
