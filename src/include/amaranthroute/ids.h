#ifndef AMARANTHROUTE_IDS_H_
#define AMARANTHROUTE_IDS_H_

/// Identifiers of nodes and calls, and network addresses.

#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>

namespace amaranth {

/// IP address (text) and port. Host names are not supported: nodes use no
/// resolver.
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

/// Returns "ip:port".
std::string ToString(const Endpoint& endpoint);

/// Identifies a node process. A restart keeps the name and raises the
/// incarnation, so that messages to the earlier process are not taken by the
/// later one.
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

/// Identifies an HTTP request that a caller, an operator or a backend server
/// (nested call, announcement) made to this node. Assigned by the HTTP shell;
/// unique within the incarnation of the node.
using CallId = uint64_t;

/// Identifies an attempt of a call at a backend server. Unique within the
/// incarnation of the entry node; together with the NodeRef of the entry node
/// it is unique in the fleet.
using AttemptId = uint64_t;

/// Identifies a request of this node to the platform. Unique within the
/// incarnation.
using PlatformOpId = uint64_t;

std::ostream& operator<<(std::ostream& out, const Endpoint& endpoint);
std::ostream& operator<<(std::ostream& out, const NodeRef& node);

}  // namespace amaranth

#endif  // AMARANTHROUTE_IDS_H_
