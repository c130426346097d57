#ifndef AMARANTHROUTE_EVENT_H_
#define AMARANTHROUTE_EVENT_H_

/// Everything that can happen to a node. The reducer is driven by these alone.

#include <cstdint>
#include <ostream>
#include <string>
#include <variant>

#include "amaranthroute/http.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/messages.h"
#include "amaranthroute/platform.h"
#include "amaranthroute/time.h"
#include "amaranthroute/verdict.h"

namespace amaranth {

/// Who sent a CallerRequest, as far as its connection tells.
enum class CallerKind : uint8_t {
  kCaller = 0,  ///< callers' port
  /// The port that only backend servers' announcements come to.
  kAnnouncer = 1,
};

/// A whole HTTP request on the callers' port: from a caller, or from a backend
/// server of this host (nested call, announcement).
struct CallerRequest {
  CallId call = 0;
  HttpRequest request;
  CallerKind from = CallerKind::kCaller;
};

/// The caller's connection ended before its answer.
struct CallerGone {
  CallId call = 0;
};

/// A whole HTTP request on the operators' port. Answered by AnswerCaller too.
struct OperatorRequest {
  CallId call = 0;
  HttpRequest request;
};

/// A frame from a peer. `peer` is as the peer's Hello named itself.
struct PeerReceived {
  NodeRef peer;
  PeerMessage message;
};

/// The link to `peer` ended. Calls sent on it may have run.
struct PeerLost {
  std::string peer;
};

/// A message that provably never left (no link could be made).
struct PeerSendFailed {
  std::string peer;
  PeerMessage message;
};

struct GossipReceived {
  Endpoint from;
  GossipMessage message;
};

/// A backend server's whole answer.
struct ServerReplied {
  uint64_t dispatch = 0;  ///< as in SendServer
  HttpResponse response;
};

/// No whole answer from a backend server.
struct ServerFailed {
  uint64_t dispatch = 0;
  /// kNotRun only if no byte of the request left this host.
  Verdict verdict = Verdict::kMayHaveRun;
  /// kConnectFailed, kConnectionLost (reset, timeout) or kServerError
  /// (truncated body).
  Reason reason = Reason::kConnectionLost;
};

struct PlatformReplied {
  PlatformOpId op = 0;
  PlatformReply reply;
};

/// The moment asked for by WakeAt has come.
struct Tick {};

/// SIGTERM, or an operator's drain: stop gracefully.
struct StopRequested {};

using EventBody =
    std::variant<CallerRequest, CallerGone, OperatorRequest, PeerReceived,
                 PeerLost, PeerSendFailed, GossipReceived, ServerReplied,
                 ServerFailed, PlatformReplied, Tick, StopRequested>;

/// An event and when it happened.
struct Event {
  TimePoint now{};
  EventBody body;
};

bool operator==(const CallerRequest& a, const CallerRequest& b);
bool operator==(const CallerGone& a, const CallerGone& b);
bool operator==(const OperatorRequest& a, const OperatorRequest& b);
bool operator==(const PeerReceived& a, const PeerReceived& b);
bool operator==(const PeerLost& a, const PeerLost& b);
bool operator==(const PeerSendFailed& a, const PeerSendFailed& b);
bool operator==(const GossipReceived& a, const GossipReceived& b);
bool operator==(const ServerReplied& a, const ServerReplied& b);
bool operator==(const ServerFailed& a, const ServerFailed& b);
bool operator==(const PlatformReplied& a, const PlatformReplied& b);
bool operator==(const Tick& a, const Tick& b);
bool operator==(const StopRequested& a, const StopRequested& b);
bool operator==(const Event& a, const Event& b);
std::ostream& operator<<(std::ostream& out, const Event& event);

}  // namespace amaranth

#endif  // AMARANTHROUTE_EVENT_H_
