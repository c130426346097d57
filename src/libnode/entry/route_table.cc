#include <algorithm>
#include <cctype>
#include <utility>

#include "amaranthroute/routes.h"
#include "libnode/shared/request_target.h"

namespace amaranth {
namespace {

std::string HostKey(std::string_view host) {
  std::string key(host.substr(0, host.rfind(':')));
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return key;
}

bool HasTarget(const Route& route) {
  return std::any_of(
      route.targets.begin(), route.targets.end(),
      [](const RouteTarget& target) { return target.weight > 0; });
}

bool StartsWith(std::string_view path, std::string_view prefix) {
  return path.substr(0, prefix.size()) == prefix;
}

}  // namespace

RouteTable::RouteTable() : RouteTable(std::vector<Route>()) {}

RouteTable::RouteTable(std::vector<Route> routes) {
  routes.erase(
      std::remove_if(routes.begin(), routes.end(),
                     [](const Route& route) { return !HasTarget(route); }),
      routes.end());
  ByHost by_host;
  for (size_t i = 0; i < routes.size(); ++i) {
    by_host[HostKey(routes[i].host)].push_back(i);
  }
  for (auto& [host, indexes] : by_host) {
    std::stable_sort(indexes.begin(), indexes.end(), [&](size_t a, size_t b) {
      return routes[a].prefix.size() > routes[b].prefix.size();
    });
  }
  routes_ = std::make_shared<const std::vector<Route>>(std::move(routes));
  by_host_ = std::make_shared<const ByHost>(std::move(by_host));
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  const auto found = by_host_->find(HostKey(host));
  if (found == by_host_->end()) return nullptr;
  const std::string_view path = pvt::PathOf(target);
  for (const size_t index : found->second) {
    const Route& route = (*routes_)[index];
    if (StartsWith(path, route.prefix)) return &route;
  }
  return nullptr;
}

const std::string& DrawTarget(const Route& route, std::mt19937_64& random) {
  uint64_t total = 0;
  for (const RouteTarget& target : route.targets) total += target.weight;
  std::uniform_int_distribution<uint64_t> draw(0, total - 1);
  uint64_t offset = route.targets.size() == 1 ? 0 : draw(random);
  for (const RouteTarget& target : route.targets) {
    if (offset < target.weight) return target.service;
    offset -= target.weight;
  }
  return route.targets.back().service;
}

}  // namespace amaranth
