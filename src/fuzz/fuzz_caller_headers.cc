#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "fuzz/require.h"
#include "libhost/framing.h"
#include "libnode/shared/caller_headers.h"

namespace {

using amaranth::Header;
using amaranth::HttpRequest;
using amaranth::Outcome;
using amaranth::pvt::CallerHeaders;
using amaranth::pvt::ContextToken;
using amaranth::pvt::Require;
using amaranth::pvt::Ticket;

// Reads one header field per line, as "name:value". A line without a colon is a
// name with an empty value.
HttpRequest ParseRequest(std::string_view text) {
  HttpRequest request;
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    const size_t colon = std::min(line.find(':'), line.size());
    const size_t value = std::min(colon + 1, line.size());
    request.headers.push_back(Header{std::string(line.substr(0, colon)),
                                     std::string(line.substr(value))});
  }
  return request;
}

void RequireSafeValue(const std::string& text) {
  Require(text.size() <= amaranth::pvt::kMaxHeaderValue,
          "header value is within the length limit");
  for (const char c : text) {
    Require(c > ' ' && c < '\x7f' && c != '"',
            "header value has only printable characters, no space or quote");
  }
}

// Checks that a context token or ticket that parses is equal after formatting
// and parsing again.
void RequireRoundTrip(const std::string& text) {
  const std::optional<ContextToken> token =
      amaranth::pvt::ParseContextToken(text);
  if (token) {
    const std::optional<ContextToken> reparsed =
        amaranth::pvt::ParseContextToken(
            amaranth::pvt::FormatContextToken(*token));
    Require(reparsed && reparsed->hop == token->hop &&
                reparsed->nonce == token->nonce,
            "context token is equal after a round trip");
  }
  const std::optional<Ticket> ticket = amaranth::pvt::ParseTicket(text);
  if (ticket) {
    const std::optional<Ticket> reparsed =
        amaranth::pvt::ParseTicket(amaranth::pvt::FormatTicket(*ticket));
    Require(reparsed && reparsed->home == ticket->home &&
                reparsed->incarnation == ticket->incarnation &&
                reparsed->sequence == ticket->sequence,
            "ticket is equal after a round trip");
  }
}

void RequireFramingHeadersRemoved(HttpRequest request) {
  amaranth::pvt::RemoveFramingHeaders(request.headers);
  for (const Header& header : request.headers) {
    Require(!amaranth::pvt::IsFramingHeader(header.name),
            "framing headers are removed");
  }
}

}  // namespace

// Header fields from callers and backend servers are either rejected with an
// error message, or parsed into values that are safe in logs, metric labels and
// settings paths.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const HttpRequest request =
      ParseRequest(std::string_view(reinterpret_cast<const char*>(data), size));
  for (const Header& header : request.headers) {
    RequireRoundTrip(header.value);
  }
  RequireFramingHeadersRemoved(request);
  const Outcome<CallerHeaders> headers =
      amaranth::pvt::ParseCallerHeaders(request);
  if (!headers) {
    Require(!headers.error().message.empty(), "error has a message");
    return 0;
  }
  for (const std::string* text :
       {&headers.value().service, &headers.value().request_class,
        &headers.value().tenant, &headers.value().caller,
        &headers.value().request_id, &headers.value().idempotency_key,
        &headers.value().context_token}) {
    RequireSafeValue(*text);
  }
  Require(!headers.value().service.empty(), "service is not empty");
  return 0;
}
