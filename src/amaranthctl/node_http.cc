#include "amaranthctl/node_http.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace amaranth::pvt {
namespace {

// Some port may answer without end; an operator's shell must not run out of
// memory over it.
constexpr size_t kMaxAnswerBytes = 64u << 20;

struct Answer {
  std::string body;
  bool too_large = false;
};

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderLines = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

size_t TakeBytes(char* bytes, size_t size, size_t count, void* target) {
  Answer& answer = *static_cast<Answer*>(target);
  if (answer.body.size() + size * count > kMaxAnswerBytes) {
    answer.too_large = true;
    return 0;
  }
  answer.body.append(bytes, size * count);
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

std::string UrlOf(const Endpoint& node, const std::string& target) {
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

void SetUp(CURL* handle, const std::string& url,
           std::chrono::milliseconds timeout, Answer& answer) {
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  // A proxy from the environment would get the operators' token.
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, TakeBytes);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer);
}

}  // namespace

Outcome<HttpResponse> AskNodeByHttp(const Endpoint& node,
                                    const HttpRequest& request,
                                    std::chrono::milliseconds timeout) {
  const Handle handle(curl_easy_init(), curl_easy_cleanup);
  if (!handle) {
    return Error{ErrorCode::kUnavailable, "libcurl did not start"};
  }
  Answer answer;
  SetUp(handle.get(), UrlOf(node, request.target), timeout, answer);
  SetBody(handle.get(), request);
  const HeaderLines lines = MakeHeaderLines(request);
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, lines.get());
  const CURLcode result = curl_easy_perform(handle.get());
  if (answer.too_large) {
    return Error{ErrorCode::kTooLarge, "the answer is too long"};
  }
  if (result != CURLE_OK) {
    return Error{ErrorCode::kUnavailable, curl_easy_strerror(result)};
  }
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  return HttpResponse{
      static_cast<int>(status), {}, Body(std::move(answer.body))};
}

}  // namespace amaranth::pvt
