#ifndef AMARANTHROUTE_LIBHOST_HTTP_TRANSFER_H_
#define AMARANTHROUTE_LIBHOST_HTTP_TRANSFER_H_

// One request on one libcurl easy handle, and what came of it.

#include <curl/curl.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthroute/http.h"
#include "libhost/http_client.h"

namespace amaranth::pvt {

// Reusable: libcurl's set-up of a handle costs more than a request on it.
class HttpTransfer {
 public:
  // `options` are the client's and outlive the transfer.
  explicit HttpTransfer(const HttpClientOptions& options);
  ~HttpTransfer();
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  CURL* easy() const { return easy_; }

  // False if the request cannot be written as HTTP.
  bool Prepare(const std::string& base_url, HttpRequest request,
               Duration timeout, const PlatformCredentials* signer);

  // What is known after libcurl ended the transfer with `code`.
  HttpClientResult Finish(CURLcode code);
  // What is known when the transfer is given up from outside.
  HttpClientResult GiveUp(Reason reason) const;
  // Frees what the request held.
  void Clear();

  uint64_t id = 0;
  HttpClient::Done done;

 private:
  static size_t OnHeader(char* data, size_t size, size_t count, void* self);
  static size_t OnBody(char* data, size_t size, size_t count, void* self);
  static int OnSending(void* self, char*, char*, int, int);

  void SetFixedOptions();
  void SetProbes(std::chrono::milliseconds limit);
  void SetUrl(const std::string& url);
  void SetMethod();
  void SetVerb(const char* verb);
  void LinkHeaderLines();
  bool SetHeaders();
  void AppendLine(std::string_view name, std::string_view between,
                  std::string_view value);
  void SetSigning(const PlatformCredentials& signer);
  size_t TakeHeader(std::string_view line);
  size_t TakeBody(std::string_view bytes);
  // A body whose end is told only by the end of the connection looks the same
  // whole and cut short, so it never counts as whole.
  bool HasKnownLength() const;
  bool EchoesRequest() const;

  const HttpClientOptions& options_;
  CURL* easy_;
  // libcurl reads the list and leaves it to its maker, so the nodes and lines
  // are ours and are used again: two allocations less for each field.
  std::vector<curl_slist> header_nodes_;
  std::vector<std::string> header_lines_;
  size_t header_count_ = 0;
  std::string url_;     // as set on the handle
  std::string method_;  // as set on the handle
  HttpRequest request_;
  std::string signing_text_;
  std::string signing_user_;
  HttpResponse response_;
  std::string body_;
  size_t header_bytes_ = 0;
  int times_sent_ = 0;
  bool responding_ = false;
  bool too_large_ = false;
  bool framed_ = false;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_HTTP_TRANSFER_H_
