#include "amaranthroute/http.h"

#include <strings.h>

#include <algorithm>

namespace amaranth {
namespace {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void PrintHeaders(std::ostream& out, const std::vector<Header>& headers) {
  out << " [";
  for (const Header& header : headers) {
    out << header.name << ": " << header.value << "; ";
  }
  out << "]";
}

}  // namespace

std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name) {
  for (const Header& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) return header.value;
  }
  return {};
}

void RemoveHeader(std::vector<Header>& headers, std::string_view name) {
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [&](const Header& header) {
                                 return EqualsIgnoringCase(header.name, name);
                               }),
                headers.end());
}

void SetHeader(std::vector<Header>& headers, std::string_view name,
               std::string_view value) {
  RemoveHeader(headers, name);
  headers.push_back({std::string(name), std::string(value)});
}

std::ostream& operator<<(std::ostream& out, const HttpRequest& request) {
  out << request.method << " " << request.target;
  PrintHeaders(out, request.headers);
  return out << " body:" << request.body.size() << "B";
}

std::ostream& operator<<(std::ostream& out, const HttpResponse& response) {
  out << response.status;
  PrintHeaders(out, response.headers);
  return out << " body:" << response.body.size() << "B";
}

}  // namespace amaranth
