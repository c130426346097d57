#ifndef AMARANTHROUTE_ROUTES_H_
#define AMARANTHROUTE_ROUTES_H_

/// Which service a request goes to when its caller names none: by the host it
/// was sent to and the longest path prefix.

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth {

/// A service that a route leads to, and its part of the route's requests.
struct RouteTarget {
  std::string service;
  uint32_t weight = 1;  ///< relative to the route's other targets

  friend bool operator==(const RouteTarget& a, const RouteTarget& b) {
    return a.service == b.service && a.weight == b.weight;
  }
  friend bool operator!=(const RouteTarget& a, const RouteTarget& b) {
    return !(a == b);
  }
};

/// One route. Its name is the request class of the requests it takes.
struct Route {
  std::string name;
  std::string host;    ///< compared without case and without a port
  std::string prefix;  ///< of the path; starts and ends with a slash
  std::vector<RouteTarget> targets;

  friend bool operator==(const Route& a, const Route& b) {
    return a.name == b.name && a.host == b.host && a.prefix == b.prefix &&
           a.targets == b.targets;
  }
  friend bool operator!=(const Route& a, const Route& b) { return !(a == b); }
};

/// All routes of a settings version, immutable. Copies are cheap.
class RouteTable {
 public:
  RouteTable();
  /// Routes without a target with a weight are left out.
  explicit RouteTable(std::vector<Route> routes);

  /// The route of `host` with the longest prefix that begins `target` (a path
  /// with its query), or null. Valid while this table or a copy of it lives.
  const Route* Find(std::string_view host, std::string_view target) const;

  const std::vector<Route>& routes() const { return *routes_; }
  bool empty() const { return routes_->empty(); }

  friend bool operator==(const RouteTable& a, const RouteTable& b) {
    return a.routes_ == b.routes_ || *a.routes_ == *b.routes_;
  }
  friend bool operator!=(const RouteTable& a, const RouteTable& b) {
    return !(a == b);
  }

 private:
  /// Places in `routes_` of one host's routes, longest prefix first.
  using ByHost = std::map<std::string, std::vector<size_t>, std::less<>>;

  std::shared_ptr<const std::vector<Route>> routes_;
  std::shared_ptr<const ByHost> by_host_;
};

/// Draws one of the route's targets by weight. Each request is drawn on its
/// own, whatever room a target has: moving a full target's requests to another
/// would undo the operators' shares just when they matter.
const std::string& DrawTarget(const Route& route, std::mt19937_64& random);

}  // namespace amaranth

#endif  // AMARANTHROUTE_ROUTES_H_
