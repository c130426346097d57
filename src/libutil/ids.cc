#include "amaranthroute/ids.h"

namespace amaranth {

std::string ToString(const Endpoint& endpoint) {
  return endpoint.ip + ":" + std::to_string(endpoint.port);
}

std::ostream& operator<<(std::ostream& out, const Endpoint& endpoint) {
  return out << endpoint.ip << ":" << endpoint.port;
}

std::ostream& operator<<(std::ostream& out, const NodeRef& node) {
  return out << node.name << "#" << node.incarnation;
}

}  // namespace amaranth
