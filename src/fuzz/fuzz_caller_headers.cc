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

// One field a line, "name:value"; anything else is a name with no value.
HttpRequest ReadRequest(std::string_view text) {
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

void RequireClean(const std::string& text) {
  Require(text.size() <= amaranth::pvt::kMaxHeaderValue, "values are short");
  for (const char c : text) {
    Require(c > ' ' && c < '\x7f' && c != '"', "values are printable");
  }
}

// Whatever is read as a token or ticket names the same after a round trip.
void RequireRoundTrips(const std::string& text) {
  const std::optional<ContextToken> token =
      amaranth::pvt::ParseContextToken(text);
  if (token) {
    const std::optional<ContextToken> again = amaranth::pvt::ParseContextToken(
        amaranth::pvt::FormatContextToken(*token));
    Require(again && again->hop == token->hop && again->nonce == token->nonce,
            "a context token comes back equal");
  }
  const std::optional<Ticket> ticket = amaranth::pvt::ParseTicket(text);
  if (ticket) {
    const std::optional<Ticket> again =
        amaranth::pvt::ParseTicket(amaranth::pvt::FormatTicket(*ticket));
    Require(again && again->home == ticket->home &&
                again->incarnation == ticket->incarnation &&
                again->sequence == ticket->sequence,
            "a ticket comes back equal");
  }
}

void RequireFramingGone(HttpRequest request) {
  amaranth::pvt::RemoveFramingHeaders(request.headers);
  for (const Header& header : request.headers) {
    Require(!amaranth::pvt::IsFramingHeader(header.name),
            "no framing field is passed on");
  }
}

}  // namespace

// Header fields from callers and backend servers: refused with a sentence, or
// read into values that are safe in logs, labels and settings paths.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const HttpRequest request =
      ReadRequest(std::string_view(reinterpret_cast<const char*>(data), size));
  for (const Header& header : request.headers) {
    RequireRoundTrips(header.value);
  }
  RequireFramingGone(request);
  const Outcome<CallerHeaders> headers =
      amaranth::pvt::ParseCallerHeaders(request);
  if (!headers) {
    Require(!headers.error().message.empty(), "an error says what is wrong");
    return 0;
  }
  for (const std::string* text :
       {&headers.value().service, &headers.value().request_class,
        &headers.value().tenant, &headers.value().caller,
        &headers.value().request_id, &headers.value().idempotency_key,
        &headers.value().context_token}) {
    RequireClean(*text);
  }
  Require(!headers.value().service.empty(), "there is a service");
  return 0;
}
