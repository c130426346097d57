#include "amaranthctl/node_http.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace amaranth::pvt {
namespace {

// Keeps amaranthctl from running out of memory if the program that listens on
// the port sends an endless response.
constexpr size_t kMaxBodyBytes = 64u << 20;

struct ReceivedBody {
  std::string body;
  bool too_large = false;
};

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderLines = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

size_t AppendBytes(char* bytes, size_t size, size_t count, void* target) {
  ReceivedBody& received = *static_cast<ReceivedBody*>(target);
  if (received.body.size() + size * count > kMaxBodyBytes) {
    received.too_large = true;
    return 0;
  }
  received.body.append(bytes, size * count);
  return size * count;
}

HeaderLines MakeHeaderLines(const HttpRequest& request) {
  HeaderLines lines(nullptr, curl_slist_free_all);
  for (const Header& header : request.headers) {
    const std::string line = header.name + ": " + header.value;
    lines.reset(curl_slist_append(lines.release(), line.c_str()));
  }
  return lines;
}

std::string MakeUrl(const Endpoint& node, const std::string& target) {
  const bool is_ipv6 = node.ip.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? "[" + node.ip + "]" : node.ip;
  return "http://" + host + ":" + std::to_string(node.port) + target;
}

void SetBody(CURL* handle, const HttpRequest& request) {
  if (request.method == "GET") {
    return;
  }
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(request.body.size()));
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.view().data());
}

void SetTransferOptions(CURL* handle, const std::string& url,
                        std::chrono::milliseconds timeout,
                        ReceivedBody& received) {
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  // Ignores proxies set in the environment: a proxy would see the operators'
  // token.
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBytes);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &received);
}

}  // namespace

Outcome<HttpResponse> SendHttpRequest(const Endpoint& node,
                                      const HttpRequest& request,
                                      std::chrono::milliseconds timeout) {
  const CurlHandle handle(curl_easy_init(), curl_easy_cleanup);
  if (!handle) {
    return Error{ErrorCode::kUnavailable, "cannot initialize libcurl"};
  }
  ReceivedBody received;
  SetTransferOptions(handle.get(), MakeUrl(node, request.target), timeout,
                     received);
  SetBody(handle.get(), request);
  const HeaderLines lines = MakeHeaderLines(request);
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, lines.get());
  const CURLcode result = curl_easy_perform(handle.get());
  if (received.too_large) {
    return Error{ErrorCode::kTooLarge, "the response is longer than 64 MiB"};
  }
  if (result != CURLE_OK) {
    return Error{ErrorCode::kUnavailable, curl_easy_strerror(result)};
  }
  // Nodes always send a length. libcurl reports success for a response that
  // ends inside its head, too.
  curl_off_t length = -1;
  curl_easy_getinfo(handle.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  if (length < 0) {
    return Error{ErrorCode::kUnavailable, "the response is incomplete"};
  }
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  return HttpResponse{
      static_cast<int>(status), {}, Body(std::move(received.body))};
}

}  // namespace amaranth::pvt
