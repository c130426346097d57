#include "node_client.h"

#include <curl/curl.h>

#include <memory>

namespace amaranth::testsuite {
namespace {

size_t AppendBody(char* data, size_t size, size_t count, void* target) {
  static_cast<std::string*>(target)->append(data, size * count);
  return size * count;
}

size_t AppendHeader(char* data, size_t size, size_t count, void* target) {
  const std::string line(data, size * count);
  const size_t colon = line.find(": ");
  const size_t end = line.find('\r');
  if (colon != std::string::npos && end != std::string::npos) {
    const size_t start = colon + 2;
    static_cast<std::vector<Header>*>(target)->push_back(
        {line.substr(0, colon), line.substr(start, end - start)});
  }
  return size * count;
}

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using CurlList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

CurlList HeaderList(const HttpRequest& request) {
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const Header& header : request.headers) {
    list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
  }
  return CurlList(list, curl_slist_free_all);
}

}  // namespace

std::optional<HttpResponse> CallNode(const std::string& address,
                                     const HttpRequest& request,
                                     Duration timeout) {
  thread_local const CurlHandle handle(curl_easy_init(), curl_easy_cleanup);
  CURL* curl = handle.get();
  curl_easy_reset(curl);

  HttpResponse response;
  std::string body;
  const std::string url = "http://" + address + request.target;
  const CurlList headers = HeaderList(request);
  const std::string_view sent = request.body.view();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(ToMillis(timeout)));
  if (!sent.empty() || request.method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(sent.size()));
    curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS,
                     sent.empty() ? "" : sent.data());
  }
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &body);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, AppendHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &response.headers);
  if (curl_easy_perform(curl) != CURLE_OK) return std::nullopt;

  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  response.status = static_cast<int>(status);
  response.body = Body(std::move(body));
  return response;
}

}  // namespace amaranth::testsuite
