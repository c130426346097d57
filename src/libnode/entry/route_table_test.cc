#include <CppUTest/TestHarness.h>

#include <map>

#include "amaranthroute/routes.h"

namespace amaranth {
namespace {

Route MakeRoute(const char* name, const char* host, const char* prefix,
                std::vector<RouteTarget> targets) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.targets = std::move(targets);
  return route;
}

const char* FindRouteName(const RouteTable& table, const char* host,
                          const char* target) {
  const Route* route = table.Find(host, target);
  return route == nullptr ? "none" : route->name.c_str();
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Routes){};

TEST(Routes, LongestPrefixOfTheHostWins) {
  const RouteTable table(
      {MakeRoute("all", "a.example", "/", {{"one", 1}}),
       MakeRoute("deep", "a.example", "/x/y/", {{"two", 1}}),
       MakeRoute("other", "b.example", "/x/", {{"three", 1}})});
  STRCMP_EQUAL("all", FindRouteName(table, "a.example", "/x/z"));
  STRCMP_EQUAL("deep", FindRouteName(table, "A.example:80", "/x/y/1?q=/"));
  STRCMP_EQUAL("other", FindRouteName(table, "b.example", "/x/y/1"));
  STRCMP_EQUAL("none", FindRouteName(table, "b.example", "/x"));
  STRCMP_EQUAL("none", FindRouteName(table, "b.example", "/?/x/"));
  STRCMP_EQUAL("none", FindRouteName(table, "c.example", "/x/"));
}

TEST(Routes, RouteWithoutWeightedTargetIsIgnored) {
  const RouteTable table({MakeRoute("empty", "a.example", "/x/", {}),
                          MakeRoute("zero", "a.example", "/x/", {{"one", 0}}),
                          MakeRoute("all", "a.example", "/", {{"one", 1}})});
  STRCMP_EQUAL("all", FindRouteName(table, "a.example", "/x/1"));
}

TEST(Routes, TargetsAreDrawnByWeight) {
  const Route route = MakeRoute("r", "h", "/", {{"big", 90}, {"small", 10}});
  std::mt19937_64 random(7);
  std::map<std::string, int> drawn;
  for (int i = 0; i < 10'000; ++i) ++drawn[DrawTarget(route, random)];
  // Three standard deviations of 10,000 draws with probability 0.1 are 90.
  CHECK(drawn["small"] > 910 && drawn["small"] < 1090);
}

}  // namespace amaranth
