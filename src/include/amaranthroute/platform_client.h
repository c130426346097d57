#ifndef AMARANTHROUTE_PLATFORM_CLIENT_H_
#define AMARANTHROUTE_PLATFORM_CLIENT_H_

/// The client of the platform's table service and object store, over HTTP.
/// It owns no thread and no socket: the caller hands in how to make an HTTP
/// call, so tests can lose answers at will.

#include <functional>
#include <memory>
#include <string>

#include "amaranthroute/http.h"
#include "amaranthroute/http_result.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/platform.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Whom a request to the platform is signed for.
struct PlatformCredentials {
  std::string access_key;
  std::string secret_key;
  std::string region;
  /// Set by PlatformClient for each call: "dynamodb" or "s3".
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

/// Where the platform is and how much of it this node may use.
struct PlatformOptions {
  Endpoint table_endpoint;
  Endpoint object_endpoint;
  std::string table = "amaranthroute";
  std::string bucket = "amaranthroute";
  /// Prefix of every row key and object name, so that fleets can share both.
  std::string fleet = "default";
  PlatformCredentials credentials;
  /// Limit of one HTTP call.
  Duration call_timeout = std::chrono::milliseconds(800);
  /// Limit of one request with all its retries and read-backs. Once it has
  /// passed no further call starts, so a reply comes at the latest
  /// `request_timeout + call_timeout` after Call.
  Duration request_timeout = std::chrono::milliseconds(2000);
  /// This node's share of the platform's rates, in rows a second. The bucket
  /// holds one second's worth. Claims, nearly all writes, go through two
  /// delegates of each data centre: with four data centres the fleet stays
  /// under 320 writes and 800 reads a second.
  double writes_per_second = 40;
  double reads_per_second = 100;
};

/// Makes one HTTP call. The credentials are null if it is not to be signed (no
/// access key was given); they live as long as the PlatformClient. The callback
/// runs once, on any later turn or at once.
using HttpCall = std::function<void(
    const Endpoint& endpoint, HttpRequest request, Duration timeout,
    const PlatformCredentials* credentials, HttpClientCallback done)>;

/// Reads the monotonic clock.
using NowFunction = std::function<TimePoint()>;

/// Turns PlatformRequest values into calls to the platform. Not thread-safe:
/// use it from the thread on which its HttpCall calls back.
class PlatformClient {
 public:
  PlatformClient(PlatformOptions options, HttpCall http_call);
  /// With a clock of the caller's choice, for tests.
  PlatformClient(PlatformOptions options, HttpCall http_call, NowFunction now);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  /// Answers `done` exactly once. Over this node's budget the answer is
  /// kUnreachable at once: nothing was sent. Requests pending when the client
  /// is destroyed are never answered.
  void Call(const PlatformRequest& request,
            std::function<void(PlatformReply)> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_PLATFORM_CLIENT_H_
