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

bool HasNoBody(int status) { return status == 204 || status == 304; }

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
  if (options_.silence_limit.count() > 0) SetProbes(options_.silence_limit);
}

bool HttpTransfer::Prepare(const std::string& base_url, HttpRequest request,
                           Duration timeout,
                           const PlatformCredentials* signer) {
  request_ = std::move(request);
  if (!IsWritableTarget(request_.target) ||
      !IsWritableTarget(request_.method)) {
    return false;
  }
  // libcurl rewrites paths in URLs; the request target goes out as it came.
  // A signature is over the URL, so a signed request has its target there.
  const bool is_signed = signer != nullptr;
  SetUrl(is_signed ? base_url + request_.target : base_url);
  curl_easy_setopt(easy_, CURLOPT_REQUEST_TARGET,
                   is_signed ? nullptr : request_.target.c_str());
  const int64_t millis = std::max<int64_t>(1, ToMillis(timeout));
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, static_cast<long>(millis));
  SetMethod();
  if (!SetHeaders()) return false;
  if (is_signed) SetSigning(*signer);
  return true;
}

// Two probes a second apart after half of the limit: a peer that is gone
// without a reset is noticed on an idle connection, too.
void HttpTransfer::SetProbes(std::chrono::milliseconds limit) {
  const long seconds = std::max<long>(1, limit.count() / 2000);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPIDLE, seconds);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPINTVL, 1L);
}

// libcurl copies a string at each setting; a handle mostly goes to the same
// server again.
void HttpTransfer::SetUrl(const std::string& url) {
  if (url_ == url) return;
  url_ = url;
  curl_easy_setopt(easy_, CURLOPT_URL, url_.c_str());
}

void HttpTransfer::SetMethod() {
  const std::string_view body = request_.body.view();
  const bool bodyless = body.empty() && request_.method != "POST" &&
                        request_.method != "PUT" && request_.method != "PATCH";
  if (request_.method == "HEAD") {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    SetVerb(nullptr);
    return;
  }
  if (bodyless) {
    curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
  } else {
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS,
                     body.empty() ? "" : body.data());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
  }
  SetVerb(request_.method.c_str());
}

void HttpTransfer::SetVerb(const char* verb) {
  const std::string_view wanted = verb == nullptr ? "" : verb;
  if (method_ == wanted) return;
  method_ = wanted;
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, verb);
}

bool HttpTransfer::SetHeaders() {
  header_count_ = 0;
  // libcurl's own additions are not part of the caller's request.
  for (const char* added : {"Accept", "Expect", "Content-Type"}) {
    if (FindHeader(request_.headers, added).empty()) {
      AppendLine(added, ":", "");
    }
  }
  for (const Header& header : request_.headers) {
    if (IsFramingHeader(header.name)) continue;
    if (!IsWritableHeader(header)) return false;
    // "name;" is libcurl's way to write a field with an empty value.
    AppendLine(header.name, header.value.empty() ? ";" : ": ", header.value);
  }
  LinkHeaderLines();
  return true;
}

void HttpTransfer::AppendLine(std::string_view name, std::string_view between,
                              std::string_view value) {
  if (header_lines_.size() == header_count_) header_lines_.emplace_back();
  std::string& line = header_lines_[header_count_++];
  line.assign(name);
  line.append(between);
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

void HttpTransfer::SetSigning(const PlatformCredentials& signer) {
  signing_text_ = "aws:amz:" + signer.region + ":" + signer.service;
  signing_user_ = signer.access_key + ":" + signer.secret_key;
  curl_easy_setopt(easy_, CURLOPT_AWS_SIGV4, signing_text_.c_str());
  curl_easy_setopt(easy_, CURLOPT_USERPWD, signing_user_.c_str());
}

// Called before each sending of the request. libcurl sends again by itself
// when a pooled connection closes without an answer; the other side may have
// run the request before it closed, so the second sending is refused here.
int HttpTransfer::OnSending(void* self, char*, char*, int, int) {
  HttpTransfer& transfer = *static_cast<HttpTransfer*>(self);
  if (transfer.times_sent_ > 0) return CURL_PREREQFUNC_ABORT;
  ++transfer.times_sent_;
  return CURL_PREREQFUNC_OK;
}

size_t HttpTransfer::OnHeader(char* data, size_t size, size_t count,
                              void* self) {
  return static_cast<HttpTransfer*>(self)->TakeHeader(
      std::string_view(data, size * count));
}

size_t HttpTransfer::TakeHeader(std::string_view line) {
  responding_ = true;
  header_bytes_ += line.size();
  if (header_bytes_ > options_.max_response_header_bytes) {
    too_large_ = true;
    return 0;
  }
  // An interim response (1xx) comes before the real one; only the last counts.
  if (IsStatusLine(line)) {
    response_.headers.clear();
    return line.size();
  }
  // The empty line ends the headers; a failed callback makes libcurl close the
  // connection, with whatever else comes on it.
  if (TrimLine(line).empty() && !EchoesRequest()) return 0;
  const size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    response_.headers.push_back(
        {std::string(TrimLine(line.substr(0, colon))),
         std::string(TrimLine(line.substr(colon + 1)))});
  }
  return line.size();
}

// A server may send a second answer to an earlier request just where the answer
// to this one is due. Its caller would get somebody else's answer.
bool HttpTransfer::EchoesRequest() const {
  if (options_.echoed_field.empty()) return true;
  const std::string_view sent =
      FindHeader(request_.headers, options_.echoed_field);
  const std::string_view echoed =
      FindHeader(response_.headers, options_.echoed_field);
  return sent.empty() || echoed.empty() || sent == echoed;
}

size_t HttpTransfer::OnBody(char* data, size_t size, size_t count, void* self) {
  return static_cast<HttpTransfer*>(self)->TakeBody(
      std::string_view(data, size * count));
}

size_t HttpTransfer::TakeBody(std::string_view bytes) {
  if (body_.empty() && !framed_) {
    framed_ = true;
    curl_off_t length = -1;
    curl_easy_getinfo(easy_, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    if (length > 0 &&
        static_cast<uint64_t>(length) <= options_.max_response_bytes) {
      body_.reserve(static_cast<size_t>(length));
    }
  }
  if (body_.size() + bytes.size() > options_.max_response_bytes) {
    too_large_ = true;
    return 0;
  }
  body_.append(bytes);
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
  if (code != CURLE_OK) {
    return GiveUp(responding_ ? Reason::kServerError : Reason::kConnectionLost);
  }
  long status = 0;
  curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
  response_.status = static_cast<int>(status);
  const bool whole = HasKnownLength() || options_.body_may_end_with_connection;
  if (status < 200 || status > 999 || !whole) {
    return GiveUp(Reason::kServerError);
  }
  const bool is_head = request_.method == "HEAD";
  const std::string length(
      is_head ? FindHeader(response_.headers, "Content-Length") : "");
  RemoveFramingHeaders(response_.headers);
  if (!length.empty()) response_.headers.push_back({"Content-Length", length});
  response_.body = Body(std::move(body_));
  HttpClientResult result;
  result.response = std::move(response_);
  result.verdict = Verdict::kRan;
  return result;
}

HttpClientResult HttpTransfer::GiveUp(Reason reason) const {
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
  if (!signing_text_.empty()) {
    curl_easy_setopt(easy_, CURLOPT_AWS_SIGV4, nullptr);
    curl_easy_setopt(easy_, CURLOPT_USERPWD, nullptr);
    signing_text_.clear();
    signing_user_.clear();
  }
  request_ = {};
  response_ = {};
  body_ = {};
  header_bytes_ = 0;
  times_sent_ = 0;
  responding_ = false;
  too_large_ = false;
  framed_ = false;
  done = nullptr;
}

}  // namespace amaranth::pvt
