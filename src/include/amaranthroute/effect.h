#ifndef AMARANTHROUTE_EFFECT_H_
#define AMARANTHROUTE_EFFECT_H_

/// The side effects that the reducer of a node requests, as plain values.

#include <cstdint>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

#include "amaranthroute/http.h"
#include "amaranthroute/ids.h"
#include "amaranthroute/messages.h"
#include "amaranthroute/platform.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Answers a CallerRequest or an OperatorRequest. Emitted once for each.
struct AnswerCaller {
  CallId call = 0;
  HttpResponse response;
};

/// Sends a message on the link to `peer`. Opens a link to `address` if there is
/// none.
struct SendPeer {
  std::string peer;
  Endpoint address;
  PeerMessage message;
};

/// Closes the link to an unresponsive `peer`. The shell then reports PeerLost.
struct ClosePeer {
  std::string peer;
};

struct SendGossip {
  Endpoint to;
  GossipMessage message;
};

/// Sends a request to a backend server. The shell reports exactly one
/// ServerReplied or ServerFailed for it.
struct SendServer {
  uint64_t dispatch = 0;
  std::string server;
  Endpoint address;
  HttpRequest request;
  Duration timeout{0};
};

/// Stops waiting for a backend server and closes the connection. The shell
/// still reports the end of the dispatch, as ServerFailed.
struct CancelServer {
  uint64_t dispatch = 0;
};

/// Closes the idle pooled connections to a backend server after a timeout on
/// one of them: a middlebox that dropped one connection may have dropped all.
struct DropIdleConnections {
  Endpoint address;
};

struct SendPlatform {
  PlatformOpId op = 0;
  PlatformRequest request;
};

/// Requests a Tick at `at` or soon after. Replaces any earlier WakeAt.
struct WakeAt {
  TimePoint at{};
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Writes one log line. `part` names the component and selects the prefix of
/// the line.
struct WriteLog {
  LogLevel level = LogLevel::kInfo;
  std::string part;
  std::string text;
};

/// Ends the process after it has drained.
struct ExitProcess {
  /// If not 0, the node restarts at once within this process, with an
  /// incarnation above this one: an earlier process of this host has used it.
  uint64_t restart_above = 0;
};

using Effect = std::variant<AnswerCaller, SendPeer, ClosePeer, SendGossip,
                            SendServer, CancelServer, DropIdleConnections,
                            SendPlatform, WakeAt, WriteLog, ExitProcess>;

/// Effects, in the order in which the shell executes them.
using Effects = std::vector<Effect>;

bool operator==(const AnswerCaller& a, const AnswerCaller& b);
bool operator==(const SendPeer& a, const SendPeer& b);
bool operator==(const ClosePeer& a, const ClosePeer& b);
bool operator==(const SendGossip& a, const SendGossip& b);
bool operator==(const SendServer& a, const SendServer& b);
bool operator==(const CancelServer& a, const CancelServer& b);
bool operator==(const DropIdleConnections& a, const DropIdleConnections& b);
bool operator==(const SendPlatform& a, const SendPlatform& b);
bool operator==(const WakeAt& a, const WakeAt& b);
bool operator==(const WriteLog& a, const WriteLog& b);
bool operator==(const ExitProcess& a, const ExitProcess& b);
std::ostream& operator<<(std::ostream& out, const Effect& effect);

}  // namespace amaranth

#endif  // AMARANTHROUTE_EFFECT_H_
