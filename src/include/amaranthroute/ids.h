#ifndef AMARANTHROUTE_IDS_H_
#define AMARANTHROUTE_IDS_H_

/// Identities of nodes, calls and addresses.

#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>

namespace amaranth {

/// An IP number (text) and port. No host names: nodes use no resolver.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.port == b.port && a.ip == b.ip;
  }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) {
    return !(a == b);
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
  }
};

/// "ip:port".
std::string ToString(const Endpoint& endpoint);

/// A node process. A restart keeps the name and raises the incarnation, so
/// that nothing meant for the earlier process reaches the later one.
struct NodeRef {
  std::string name;
  uint64_t incarnation = 0;

  friend bool operator==(const NodeRef& a, const NodeRef& b) {
    return a.incarnation == b.incarnation && a.name == b.name;
  }
  friend bool operator!=(const NodeRef& a, const NodeRef& b) {
    return !(a == b);
  }
  friend bool operator<(const NodeRef& a, const NodeRef& b) {
    return std::tie(a.name, a.incarnation) < std::tie(b.name, b.incarnation);
  }
};

/// A request that a caller (or a backend server, for a nested call) made to
/// this node. Assigned by the HTTP shell; unique in the node's incarnation.
using CallId = uint64_t;

/// One try of a call at one backend server. Unique in the entry node's
/// incarnation; with the NodeRef of the entry node it is unique in the fleet.
using AttemptId = uint64_t;

/// One request of this node to the platform. Unique in the incarnation.
using PlatformOpId = uint64_t;

std::ostream& operator<<(std::ostream& out, const Endpoint& endpoint);
std::ostream& operator<<(std::ostream& out, const NodeRef& node);

}  // namespace amaranth

#endif  // AMARANTHROUTE_IDS_H_
