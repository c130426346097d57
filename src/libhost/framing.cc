#include "libhost/framing.h"

#include <algorithm>
#include <array>
#include <string>

namespace amaranth::pvt {
namespace {

constexpr std::array<std::string_view, 10> kFramingHeaders = {
    "connection",     "keep-alive",        "proxy-connection", "te",
    "trailer",        "transfer-encoding", "upgrade",          "expect",
    "http2-settings", "content-length"};

struct StatusPhrase {
  int status;
  std::string_view phrase;
};

constexpr std::array<StatusPhrase, 36> kReasonPhrases = {{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {203, "Non-Authoritative Information"},
    {204, "No Content"},
    {205, "Reset Content"},
    {206, "Partial Content"},
    {300, "Multiple Choices"},
    {301, "Moved Permanently"},
    {302, "Found"},
    {303, "See Other"},
    {304, "Not Modified"},
    {307, "Temporary Redirect"},
    {308, "Permanent Redirect"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {406, "Not Acceptable"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {410, "Gone"},
    {411, "Length Required"},
    {412, "Precondition Failed"},
    {413, "Content Too Large"},
    {414, "URI Too Long"},
    {415, "Unsupported Media Type"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool EqualsWithoutCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

std::vector<std::string> ConnectionOptions(const std::vector<Header>& headers) {
  std::vector<std::string> names;
  for (const Header& header : headers) {
    if (!EqualsWithoutCase(header.name, "connection")) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      names.emplace_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return names;
}

bool BreaksLine(char c) { return c == '\r' || c == '\n' || c == '\0'; }

}  // namespace

bool IsFramingHeader(std::string_view name) {
  // Called for every field of every message. A linear scan is sufficient: most
  // names differ in length or in the first letter, so few comparisons go
  // further.
  return std::any_of(kFramingHeaders.begin(), kFramingHeaders.end(),
                     [&](std::string_view framing) {
                       return EqualsWithoutCase(name, framing);
                     });
}

void RemoveFramingHeaders(std::vector<Header>& headers) {
  const std::vector<std::string> connection_options =
      ConnectionOptions(headers);
  const auto is_removed = [&](const Header& header) {
    if (IsFramingHeader(header.name)) return true;
    return std::any_of(connection_options.begin(), connection_options.end(),
                       [&](const std::string& name) {
                         return EqualsWithoutCase(header.name, name);
                       });
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), is_removed),
                headers.end());
}

bool IsWritableHeader(const Header& header) {
  const auto breaks_name = [](char c) {
    return BreaksLine(c) || c == ':' || c == ' ' || c == '\t';
  };
  return !header.name.empty() &&
         std::none_of(header.name.begin(), header.name.end(), breaks_name) &&
         std::none_of(header.value.begin(), header.value.end(), BreaksLine);
}

bool IsWritableTarget(std::string_view target) {
  return !target.empty() &&
         std::none_of(target.begin(), target.end(),
                      [](char c) { return BreaksLine(c) || c == ' '; });
}

std::string_view ReasonPhrase(int status) {
  for (const StatusPhrase& entry : kReasonPhrases) {
    if (entry.status == status) return entry.phrase;
  }
  return "Unknown";
}

}  // namespace amaranth::pvt
