#ifndef AMARANTHROUTE_ROUTES_H_
#define AMARANTHROUTE_ROUTES_H_

/// Routing of requests whose caller names no service: by the host to which they
/// were sent and the longest matching path prefix.

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth {

/// Target service of a route, with its share of the requests of the route.
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

/// A route. Its name is the request class of the requests that match it.
struct Route {
  std::string name;
  std::string host;    ///< compared case-insensitively, without a port
  std::string prefix;  ///< of the path; starts and ends with a slash
  std::vector<RouteTarget> targets;
  /// Its requests need no customer's key.
  bool open = false;

  friend bool operator==(const Route& a, const Route& b) {
    return a.name == b.name && a.host == b.host && a.prefix == b.prefix &&
           a.targets == b.targets && a.open == b.open;
  }
  friend bool operator!=(const Route& a, const Route& b) { return !(a == b); }
};

/// Immutable table of all routes of a settings version. Copies are cheap.
class RouteTable {
 public:
  RouteTable();
  /// Omits routes in which no target has a weight above 0.
  explicit RouteTable(std::vector<Route> routes);

  /// Returns the route of `host` with the longest prefix of `target` (a path
  /// with its query), or null. The pointer is valid as long as this table or a
  /// copy of it exists.
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
  /// Indices into `routes_` by host, longest prefix first.
  using ByHost = std::map<std::string, std::vector<size_t>, std::less<>>;

  std::shared_ptr<const std::vector<Route>> routes_;
  std::shared_ptr<const ByHost> by_host_;
};

/// Chooses a target of the route at random, by weight. Each choice is
/// independent of the load of the targets: moving requests from an overloaded
/// target to another would override the operators' weights just when they
/// matter.
const std::string& DrawTarget(const Route& route, std::mt19937_64& random);

}  // namespace amaranth

#endif  // AMARANTHROUTE_ROUTES_H_
