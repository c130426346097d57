#ifndef AMARANTHROUTE_EVENT_H_
#define AMARANTHROUTE_EVENT_H_

/// The events that drive the reducer of a node. It has no other input.

#include <cstdint>
#include <optional>
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

/// Sender of a CallerRequest, by the port on which it arrived.
enum class CallerKind : uint8_t {
  kCaller = 0,  ///< callers' port
  /// Port for announcements of backend servers only.
  kAnnouncer = 1,
};

/// A complete HTTP request on the callers' port or the announcement port, from
/// a caller or from a backend server of this host (nested call, announcement).
struct CallerRequest {
  CallId call = 0;
  HttpRequest request;
  CallerKind from = CallerKind::kCaller;
};

/// The connection of a caller closed before the call was answered.
struct CallerGone {
  CallId call = 0;
};

/// A complete HTTP request on the operators' port. Also answered by
/// AnswerCaller.
struct OperatorRequest {
  CallId call = 0;
  HttpRequest request;
};

/// A message from a peer. `peer` is the identity from the peer's Hello.
struct PeerReceived {
  NodeRef peer;
  PeerMessage message;
};

/// The link to `peer` closed. Calls sent on it may have run.
struct PeerLost {
  std::string peer;
};

/// A message that was certainly not sent, for example because no link could be
/// opened.
struct PeerSendFailed {
  std::string peer;
  PeerMessage message;
};

struct GossipReceived {
  Endpoint from;
  GossipMessage message;
};

/// What a backend server reports about itself in an answer.
struct ServerNotice {
  /// Requests per second that it accepts from all nodes together, as long as
  /// its answers say so; nullopt if it accepts any number.
  std::optional<double> rate_limit;
  /// It is shutting down and must get no new calls, whatever it announces.
  bool leaving = false;
};

/// A complete response from a backend server. Its headers hold the notice.
struct ServerReplied {
  uint64_t dispatch = 0;  ///< as in SendServer
  HttpResponse response;
};

/// A dispatch to a backend server ended without a complete response.
struct ServerFailed {
  uint64_t dispatch = 0;
  /// kNotRun only if no byte of the request left this host.
  Verdict verdict = Verdict::kMayHaveRun;
  /// For example kConnectFailed, kConnectionLost (reset, timeout) or
  /// kServerError (truncated body).
  Reason reason = Reason::kConnectionLost;
  /// Notice in an answer that cannot be used as a response, if there is one.
  std::optional<ServerNotice> notice = std::nullopt;
};

struct PlatformReplied {
  PlatformOpId op = 0;
  PlatformReply reply;
};

/// The time requested with WakeAt has been reached.
struct Tick {};

/// Requests a graceful stop: SIGTERM, or a drain by an operator.
struct StopRequested {};

using EventBody =
    std::variant<CallerRequest, CallerGone, OperatorRequest, PeerReceived,
                 PeerLost, PeerSendFailed, GossipReceived, ServerReplied,
                 ServerFailed, PlatformReplied, Tick, StopRequested>;

/// An event and the time at which it occurred.
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
bool operator==(const ServerNotice& a, const ServerNotice& b);
bool operator==(const ServerReplied& a, const ServerReplied& b);
bool operator==(const ServerFailed& a, const ServerFailed& b);
bool operator==(const PlatformReplied& a, const PlatformReplied& b);
bool operator==(const Tick& a, const Tick& b);
bool operator==(const StopRequested& a, const StopRequested& b);
bool operator==(const Event& a, const Event& b);
std::ostream& operator<<(std::ostream& out, const Event& event);

}  // namespace amaranth

#endif  // AMARANTHROUTE_EVENT_H_
