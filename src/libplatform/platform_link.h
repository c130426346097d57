#ifndef AMARANTHROUTE_LIBPLATFORM_PLATFORM_LINK_H_
#define AMARANTHROUTE_LIBPLATFORM_PLATFORM_LINK_H_

#include <functional>
#include <utility>

#include "amaranthroute/platform_client.h"
#include "libplatform/token_bucket.h"

namespace amaranth::pvt {

using PlatformCallback = std::function<void(PlatformReply)>;

// State that TableStore and ObjectStore share: options, the HTTP call function,
// the clock, rate limits and credentials.
class PlatformLink {
 public:
  PlatformLink(PlatformOptions options, HttpCall http_call, NowFunction now)
      : options_(std::move(options)),
        http_call_(std::move(http_call)),
        now_(std::move(now)),
        writes_(options_.writes_per_second, now_()),
        reads_(options_.reads_per_second, now_()),
        table_credentials_(options_.credentials),
        object_credentials_(options_.credentials) {
    table_credentials_.service = "dynamodb";
    object_credentials_.service = "s3";
  }

  const PlatformOptions& options() const { return options_; }
  TimePoint Now() const { return now_(); }
  bool TakeWrites(size_t rows) { return writes_.Take(TokenCount(rows), Now()); }
  bool TakeReads(size_t rows) { return reads_.Take(TokenCount(rows), Now()); }

  void CallTable(HttpRequest request, HttpClientCallback done) {
    Call(options_.table_endpoint, std::move(request), table_credentials_,
         std::move(done));
  }

  void CallObjects(HttpRequest request, HttpClientCallback done) {
    Call(options_.object_endpoint, std::move(request), object_credentials_,
         std::move(done));
  }

 private:
  static double TokenCount(size_t rows) { return static_cast<double>(rows); }

  void Call(const Endpoint& endpoint, HttpRequest request,
            const PlatformCredentials& credentials, HttpClientCallback done) {
    const bool sign = !credentials.access_key.empty();
    http_call_(endpoint, std::move(request), options_.call_timeout,
               sign ? &credentials : nullptr, std::move(done));
  }

  const PlatformOptions options_;
  const HttpCall http_call_;
  const NowFunction now_;
  TokenBucket writes_;
  TokenBucket reads_;
  PlatformCredentials table_credentials_;
  PlatformCredentials object_credentials_;
};

inline PlatformReply ReplyWithStatus(PlatformStatus status) {
  PlatformReply reply;
  reply.status = status;
  return reply;
}

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_PLATFORM_LINK_H_
