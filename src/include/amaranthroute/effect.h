#ifndef AMARANTHROUTE_EFFECT_H_
#define AMARANTHROUTE_EFFECT_H_

/// Everything that a node can do to the world, as data.

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

/// Answers a CallerRequest or OperatorRequest, once.
struct AnswerCaller {
  CallId call = 0;
  HttpResponse response;
};

/// Sends on the link to `peer`, opening it to `address` if there is none.
struct SendPeer {
  std::string peer;
  Endpoint address;
  PeerMessage message;
};

/// Drops the link to `peer` (gone silent); the shell reports PeerLost.
struct ClosePeer {
  std::string peer;
};

struct SendGossip {
  Endpoint to;
  GossipMessage message;
};

/// Sends a request to a backend server. The shell ends it with exactly one
/// ServerReplied or ServerFailed.
struct SendServer {
  uint64_t dispatch = 0;
  std::string server;
  Endpoint address;
  HttpRequest request;
  Duration timeout{0};
};

/// Stops waiting and closes the connection; still ends in ServerFailed.
struct CancelServer {
  uint64_t dispatch = 0;
};

/// Closes idle pooled connections to a server that may have gone silent.
struct DropIdleConnections {
  Endpoint address;
};

struct SendPlatform {
  PlatformOpId op = 0;
  PlatformRequest request;
};

/// Asks for a Tick at `at` or soon after; replaces any earlier WakeAt.
struct WakeAt {
  TimePoint at{};
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One short log sentence; `part` picks the fixed prefix.
struct WriteLog {
  LogLevel level = LogLevel::kInfo;
  std::string part;
  std::string text;
};

/// Drained: the process may end.
struct ExitProcess {
  /// Not 0: the node is to start again at once in this process, with a higher
  /// incarnation than this, which an earlier process of this host has used.
  uint64_t restart_above = 0;
};

using Effect = std::variant<AnswerCaller, SendPeer, ClosePeer, SendGossip,
                            SendServer, CancelServer, DropIdleConnections,
                            SendPlatform, WakeAt, WriteLog, ExitProcess>;

/// Effects in the order in which they are to be carried out.
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
