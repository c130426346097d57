#ifndef AMARANTHROUTE_LIBHOST_HTTP_TRANSFER_H_
#define AMARANTHROUTE_LIBHOST_HTTP_TRANSFER_H_

// One request on one libcurl easy handle, and its result.

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthroute/http.h"
#include "libhost/http_client.h"
#include "libutil/growing_buffer.h"

namespace amaranth::pvt {

// Reusable, because setting up a libcurl handle costs more than a request on
// it.
class HttpTransfer {
 public:
  // `options` belong to the client and must outlive the transfer.
  explicit HttpTransfer(const HttpClientOptions& options);
  ~HttpTransfer();
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  CURL* easy() const { return easy_; }

  // Sets up the handle for a request; a non-null `credentials` signs it.
  // Returns false if the request cannot be written as HTTP.
  bool Prepare(const std::string& base_url, HttpRequest request,
               Duration timeout, const PlatformCredentials* credentials);

  // Returns the result after libcurl ended the transfer with `code`.
  HttpClientResult Finish(CURLcode code);
  // Returns the result of a transfer that failed or was cancelled. `reason`
  // applies only if the request was sent and its response was not too large.
  HttpClientResult FailureResult(Reason reason) const;
  // Clears the state of the request, so that the transfer can be reused.
  void Clear();

  // The bytes of the response's head and body so far.
  uint64_t response_bytes() const { return header_bytes_ + body_.size(); }
  // Makes the transfer fail as one whose response is over the limits.
  void SetTooLarge() { too_large_ = true; }
  // Whether the transfer ended, before anything was sent, because the idle
  // connection that it was to use had been closed or had bytes waiting.
  bool met_unusable_connection() const { return met_unusable_connection_; }
  // Sends the request on a new connection when the transfer is started again.
  void UseNewConnection();

  uint64_t id = 0;
  HttpClient::Done done;
  // Returns whether the connection with these addresses may be used for another
  // request.
  std::function<bool(const Endpoint& remote, uint16_t local_port)>
      is_connection_usable;

 private:
  static size_t OnHeader(char* data, size_t size, size_t count, void* self);
  static size_t OnBody(char* data, size_t size, size_t count, void* self);
  static int OnSending(void* self, char* remote_ip, char* local_ip,
                       int remote_port, int local_port);

  void SetFixedOptions();
  void SetKeepAlive(std::chrono::milliseconds timeout);
  void SetUrl(const std::string& url);
  void SetMethod();
  void SetCustomMethod(const char* method);
  void LinkHeaderLines();
  bool SetHeaders();
  void AppendLine(std::string_view name, std::string_view separator,
                  std::string_view value);
  void SetSigning(const PlatformCredentials& credentials);
  bool LeaseResponse(size_t added);
  size_t ProcessHeader(std::string_view line);
  size_t ProcessBody(std::string_view bytes);
  // Returns false if only the end of the connection delimits the body: such a
  // body looks the same whether complete or truncated.
  bool HasKnownLength() const;
  bool EchoesRequest() const;

  const HttpClientOptions& options_;
  CURL* easy_;
  // libcurl only reads the list and does not take ownership. Nodes and lines
  // are kept and reused, which saves two allocations per field.
  std::vector<curl_slist> header_nodes_;
  std::vector<std::string> header_lines_;
  size_t header_count_ = 0;
  std::string url_;     // as set on the handle
  std::string method_;  // as set on the handle
  HttpRequest request_;
  std::string sigv4_provider_;
  std::string sigv4_user_password_;
  HttpResponse response_;
  GrowingBuffer body_;
  MemoryLease memory_;  // of the response
  size_t header_bytes_ = 0;
  int times_sent_ = 0;
  bool response_started_ = false;
  bool is_interim_ = false;  // the response whose head is being read
  bool head_ended_ = false;  // of the final response
  bool too_large_ = false;
  bool met_unusable_connection_ = false;
  bool uses_new_connection_ = false;
  bool body_reserved_ = false;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_HTTP_TRANSFER_H_
