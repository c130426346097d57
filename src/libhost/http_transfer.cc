#include "libhost/http_transfer.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>
#include <utility>

#include "libhost/framing.h"

namespace amaranth::pvt {
namespace {

constexpr std::string_view kStatusLine = "HTTP/";

bool IsStatusLine(std::string_view line) {
  return line.substr(0, kStatusLine.size()) == kStatusLine;
}

std::string_view TrimLine(std::string_view line) {
  const auto is_space = [](char c) {
    return c == ' ' || c == '\t' || c == '\r' || c == '\n';
  };
  while (!line.empty() && is_space(line.back())) line.remove_suffix(1);
  while (!line.empty() && is_space(line.front())) line.remove_prefix(1);
  return line;
}

// Larger numbers are no status codes (RFC 9110 section 15).
constexpr long kMaxStatus = 599;

bool HasNoBody(int status) { return status == 204 || status == 304; }

// Returns whether the line starts an interim response (1xx).
bool IsInterimStatusLine(std::string_view line) {
  const size_t space = line.find(' ');
  return space != std::string_view::npos && line.substr(space + 1, 1) == "1";
}

}  // namespace

HttpTransfer::HttpTransfer(const HttpClientOptions& options)
    : options_(options), easy_(curl_easy_init()) {
  if (easy_ == nullptr) throw std::runtime_error("libcurl: no handle");
  SetFixedOptions();
}

HttpTransfer::~HttpTransfer() { curl_easy_cleanup(easy_); }

void HttpTransfer::SetFixedOptions() {
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy_, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy_, CURLOPT_NOPROGRESS, 1L);
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &HttpTransfer::OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &HttpTransfer::OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &HttpTransfer::OnSending);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(options_.connect_timeout.count()));
  curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(options_.max_idle_age.count()));
  if (options_.ack_timeout.count() > 0) SetKeepAlive(options_.ack_timeout);
}

bool HttpTransfer::Prepare(const std::string& base_url, HttpRequest request,
                           Duration timeout,
                           const PlatformCredentials* credentials) {
  request_ = std::move(request);
  if (!IsWritableTarget(request_.target) ||
      !IsWritableTarget(request_.method)) {
    return false;
  }
  // libcurl rewrites paths in URLs, so the request target is set separately and
  // sent unchanged. A signature covers the URL, so a signed request has its
  // target in the URL.
  const bool is_signed = credentials != nullptr;
  SetUrl(is_signed ? base_url + request_.target : base_url);
  curl_easy_setopt(easy_, CURLOPT_REQUEST_TARGET,
                   is_signed ? nullptr : request_.target.c_str());
  const int64_t millis = std::max<int64_t>(1, ToMillis(timeout));
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, static_cast<long>(millis));
  SetMethod();
  if (!SetHeaders()) return false;
  if (is_signed) SetSigning(*credentials);
  return true;
}

// Enables TCP keep-alive: probes start after half of the timeout (at least 1 s)
// and follow one second apart, so that a lost remote end that sends no reset is
// detected on an idle connection, too. HttpClient sets their number to two.
void HttpTransfer::SetKeepAlive(std::chrono::milliseconds timeout) {
  const long seconds = std::max<long>(1, timeout.count() / 2000);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPIDLE, seconds);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPINTVL, 1L);
}

// Sets the URL only if it changed: libcurl copies a string each time, and a
// handle is mostly used for the same server again.
void HttpTransfer::SetUrl(const std::string& url) {
  if (url_ == url) return;
  url_ = url;
  curl_easy_setopt(easy_, CURLOPT_URL, url_.c_str());
}

void HttpTransfer::SetMethod() {
  const std::string_view body = request_.body.view();
  const bool has_no_body = body.empty() && request_.method != "POST" &&
                           request_.method != "PUT" &&
                           request_.method != "PATCH";
  if (request_.method == "HEAD") {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    SetCustomMethod(nullptr);
    return;
  }
  if (has_no_body) {
    curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
  } else {
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS,
                     body.empty() ? "" : body.data());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
  }
  SetCustomMethod(request_.method.c_str());
}

void HttpTransfer::SetCustomMethod(const char* method) {
  const std::string_view wanted = method == nullptr ? "" : method;
  if (method_ == wanted) return;
  method_ = wanted;
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, method);
}

bool HttpTransfer::SetHeaders() {
  header_count_ = 0;
  // Header fields that libcurl would add by itself are not part of the caller's
  // request; a line without a value removes them.
  for (const char* default_field : {"Accept", "Expect", "Content-Type"}) {
    if (FindHeader(request_.headers, default_field).empty()) {
      AppendLine(default_field, ":", "");
    }
  }
  for (const Header& header : request_.headers) {
    if (IsFramingHeader(header.name)) continue;
    if (!IsWritableHeader(header)) return false;
    // "name;" is the libcurl syntax for a field with an empty value.
    AppendLine(header.name, header.value.empty() ? ";" : ": ", header.value);
  }
  LinkHeaderLines();
  return true;
}

void HttpTransfer::AppendLine(std::string_view name, std::string_view separator,
                              std::string_view value) {
  if (header_lines_.size() == header_count_) header_lines_.emplace_back();
  std::string& line = header_lines_[header_count_++];
  line.assign(name);
  line.append(separator);
  line.append(value);
}

void HttpTransfer::LinkHeaderLines() {
  header_nodes_.resize(header_count_);
  for (size_t i = 0; i < header_count_; ++i) {
    header_nodes_[i].data = header_lines_[i].data();
    header_nodes_[i].next =
        i + 1 < header_count_ ? &header_nodes_[i + 1] : nullptr;
  }
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER,
                   header_count_ > 0 ? header_nodes_.data() : nullptr);
}

void HttpTransfer::SetSigning(const PlatformCredentials& credentials) {
  sigv4_provider_ = "aws:amz:" + credentials.region + ":" + credentials.service;
  sigv4_user_password_ = credentials.access_key + ":" + credentials.secret_key;
  curl_easy_setopt(easy_, CURLOPT_AWS_SIGV4, sigv4_provider_.c_str());
  curl_easy_setopt(easy_, CURLOPT_USERPWD, sigv4_user_password_.c_str());
}

// Called each time before the request is sent. libcurl resends a request by
// itself when a pooled connection closes without an answer; the server may have
// run the request before it closed, so a second transmission is aborted here.
int HttpTransfer::OnSending(void* self, char* remote_ip, char*, int remote_port,
                            int local_port) {
  HttpTransfer& transfer = *static_cast<HttpTransfer*>(self);
  if (transfer.times_sent_ > 0) return CURL_PREREQFUNC_ABORT;
  const Endpoint remote{remote_ip, static_cast<uint16_t>(remote_port)};
  if (!transfer.uses_new_connection_ &&
      !transfer.is_connection_usable(remote,
                                     static_cast<uint16_t>(local_port))) {
    transfer.met_unusable_connection_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  ++transfer.times_sent_;
  return CURL_PREREQFUNC_OK;
}

void HttpTransfer::UseNewConnection() {
  met_unusable_connection_ = false;
  uses_new_connection_ = true;
  curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
}

// Returns false if there is no memory for `added` more bytes of the response.
bool HttpTransfer::LeaseResponse(size_t added) {
  if (memory_.bytes() == 0) {
    memory_ = MemoryLease(options_.budget, MemoryUse::kResponse);
  }
  return memory_.Resize(response_bytes() + added);
}

size_t HttpTransfer::OnHeader(char* data, size_t size, size_t count,
                              void* self) {
  return static_cast<HttpTransfer*>(self)->ProcessHeader(
      std::string_view(data, size * count));
}

size_t HttpTransfer::ProcessHeader(std::string_view line) {
  response_started_ = true;
  if (header_bytes_ + line.size() > options_.max_response_header_bytes ||
      !LeaseResponse(line.size())) {
    too_large_ = true;
    return 0;
  }
  header_bytes_ += line.size();
  // libcurl reports trailers, too. They are no header fields (RFC 9110 section
  // 6.5.1): one could replace a field that the response was judged by.
  if (head_ended_) return line.size();
  // Interim responses come before the final one; only the headers of the last
  // response are kept.
  if (IsStatusLine(line)) {
    response_.headers.clear();
    is_interim_ = IsInterimStatusLine(line);
    return line.size();
  }
  if (TrimLine(line).empty()) {
    head_ended_ = !is_interim_;
    // A callback that returns 0 makes libcurl close the connection and discard
    // what else arrives on it.
    return EchoesRequest() ? line.size() : 0;
  }
  const size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    response_.headers.push_back(
        {std::string(TrimLine(line.substr(0, colon))),
         std::string(TrimLine(line.substr(colon + 1)))});
  }
  return line.size();
}

// Returns false if the response belongs to another request. A server may send a
// second answer to an earlier request where the answer to this one is due; its
// caller would receive the answer of another request.
bool HttpTransfer::EchoesRequest() const {
  if (options_.echoed_field.empty()) return true;
  const std::string_view sent =
      FindHeader(request_.headers, options_.echoed_field);
  const std::string_view echoed =
      FindHeader(response_.headers, options_.echoed_field);
  return sent.empty() || echoed.empty() || sent == echoed;
}

size_t HttpTransfer::OnBody(char* data, size_t size, size_t count, void* self) {
  return static_cast<HttpTransfer*>(self)->ProcessBody(
      std::string_view(data, size * count));
}

size_t HttpTransfer::ProcessBody(std::string_view bytes) {
  if (!body_reserved_) {
    body_reserved_ = true;
    curl_off_t length = -1;
    curl_easy_getinfo(easy_, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    if (length > 0 &&
        static_cast<uint64_t>(length) <= options_.max_response_bytes) {
      body_.Reserve(static_cast<size_t>(length));
    }
  }
  if (body_.size() + bytes.size() > options_.max_response_bytes ||
      !LeaseResponse(bytes.size())) {
    too_large_ = true;
    return 0;
  }
  body_.Append(bytes);
  return bytes.size();
}

bool HttpTransfer::HasKnownLength() const {
  if (request_.method == "HEAD" || HasNoBody(response_.status)) return true;
  if (!FindHeader(response_.headers, "Content-Length").empty()) return true;
  std::string coding(FindHeader(response_.headers, "Transfer-Encoding"));
  std::transform(coding.begin(), coding.end(), coding.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return coding.find("chunked") != std::string::npos;
}

HttpClientResult HttpTransfer::Finish(CURLcode code) {
  // libcurl reports a header line over its own limit, 100 KiB, in this way.
  if (code == CURLE_OUT_OF_MEMORY) too_large_ = true;
  if (code != CURLE_OK) {
    return FailureResult(response_started_ ? Reason::kServerError
                                           : Reason::kConnectionLost);
  }
  long status = 0;
  curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
  response_.status = static_cast<int>(status);
  // libcurl reports success for a response that ends inside its head.
  const bool is_complete =
      head_ended_ && (HasKnownLength() || options_.accept_close_delimited_body);
  if (status < 200 || status > kMaxStatus || !is_complete) {
    return FailureResult(Reason::kServerError);
  }
  const bool is_head = request_.method == "HEAD";
  const std::string length(
      is_head ? FindHeader(response_.headers, "Content-Length") : "");
  RemoveFramingHeaders(response_.headers);
  if (!length.empty()) response_.headers.push_back({"Content-Length", length});
  response_.body =
      body_.Take(std::make_shared<const MemoryLease>(std::move(memory_)));
  HttpClientResult result;
  result.response = std::move(response_);
  result.verdict = Verdict::kRan;
  return result;
}

HttpClientResult HttpTransfer::FailureResult(Reason reason) const {
  HttpClientResult result;
  if (times_sent_ == 0) {
    result.verdict = Verdict::kNotRun;
    result.reason = Reason::kConnectFailed;
    return result;
  }
  result.verdict = Verdict::kMayHaveRun;
  result.reason = too_large_ ? Reason::kTooLarge : reason;
  return result;
}

void HttpTransfer::Clear() {
  if (!sigv4_provider_.empty()) {
    curl_easy_setopt(easy_, CURLOPT_AWS_SIGV4, nullptr);
    curl_easy_setopt(easy_, CURLOPT_USERPWD, nullptr);
    sigv4_provider_.clear();
    sigv4_user_password_.clear();
  }
  if (std::exchange(uses_new_connection_, false)) {
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 0L);
  }
  request_ = {};
  response_ = {};
  body_.Clear();
  memory_ = {};
  header_bytes_ = 0;
  times_sent_ = 0;
  response_started_ = false;
  is_interim_ = false;
  head_ended_ = false;
  too_large_ = false;
  met_unusable_connection_ = false;
  body_reserved_ = false;
  done = nullptr;
}

}  // namespace amaranth::pvt
