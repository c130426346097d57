#ifndef AMARANTHROUTE_PLATFORM_CLIENT_H_
#define AMARANTHROUTE_PLATFORM_CLIENT_H_

/// HTTP client of the platform's table service and object store. It owns no
/// thread and no socket: its user supplies the function that makes an HTTP
/// call, so that tests can simulate lost answers.

#include <functional>
#include <memory>
#include <string>

#include "amaranthroute/http.h"
#include "amaranthroute/http_result.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/platform.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Credentials with which requests to the platform are signed.
struct PlatformCredentials {
  std::string access_key;
  std::string secret_key;
  std::string region;
  /// Set by PlatformClient for each call, to "dynamodb" or "s3".
  std::string service;

  friend bool operator==(const PlatformCredentials& a,
                         const PlatformCredentials& b) {
    return a.access_key == b.access_key && a.secret_key == b.secret_key &&
           a.region == b.region && a.service == b.service;
  }
  friend bool operator!=(const PlatformCredentials& a,
                         const PlatformCredentials& b) {
    return !(a == b);
  }
};

/// Addresses of the platform, and the limits within which this node may use it.
struct PlatformOptions {
  Endpoint table_endpoint;
  Endpoint object_endpoint;
  std::string table = "amaranthroute";
  std::string bucket = "amaranthroute";
  /// Prefix of every row key and object name, so that several fleets can share
  /// the table and the bucket.
  std::string fleet = "default";
  PlatformCredentials credentials;
  /// Timeout of one HTTP call.
  Duration call_timeout = std::chrono::milliseconds(800);
  /// Time after which a request starts no further HTTP call (retry or
  /// read-back). The reply comes at most `request_timeout + call_timeout` after
  /// Call.
  Duration request_timeout = std::chrono::milliseconds(2000);
  /// Rate limits of this node at the platform, in rows per second, with a burst
  /// of one second. Nearly all writes are claims and go through two delegates
  /// per data centre: with four data centres the fleet stays below 320 writes
  /// and 800 reads per second.
  double writes_per_second = 40;
  double reads_per_second = 100;
};

/// Makes one HTTP call. The credentials are null if the call must not be signed
/// (no access key is configured); they live as long as the PlatformClient.
/// `done` runs exactly once, during the call or later.
using HttpCall = std::function<void(
    const Endpoint& endpoint, HttpRequest request, Duration timeout,
    const PlatformCredentials* credentials, HttpClientCallback done)>;

/// Reads the monotonic clock.
using NowFunction = std::function<TimePoint()>;

/// Carries out PlatformRequest values as HTTP calls to the platform. Not
/// thread-safe: must be used on the thread on which HttpCall runs its
/// callbacks.
class PlatformClient {
 public:
  PlatformClient(PlatformOptions options, HttpCall http_call);
  /// Uses `now` as its clock, for tests.
  PlatformClient(PlatformOptions options, HttpCall http_call, NowFunction now);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  /// Runs `done` exactly once, with the reply. A request over the rate limit of
  /// this node is answered kUnreachable at once and nothing is sent. Requests
  /// pending when the client is destroyed are never answered.
  void Call(const PlatformRequest& request,
            std::function<void(PlatformReply)> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_PLATFORM_CLIENT_H_
