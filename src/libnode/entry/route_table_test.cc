#include <CppUTest/TestHarness.h>

#include <map>

#include "amaranthroute/routes.h"

namespace amaranth {
namespace {

Route Make(const char* name, const char* host, const char* prefix,
           std::vector<RouteTarget> targets) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.targets = std::move(targets);
  return route;
}

const char* NameFor(const RouteTable& table, const char* host,
                    const char* target) {
  const Route* route = table.Find(host, target);
  return route == nullptr ? "none" : route->name.c_str();
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Routes){};

TEST(Routes, LongestPrefixOfTheHostWins) {
  const RouteTable table({Make("all", "a.example", "/", {{"one", 1}}),
                          Make("deep", "a.example", "/x/y/", {{"two", 1}}),
                          Make("other", "b.example", "/x/", {{"three", 1}})});
  STRCMP_EQUAL("all", NameFor(table, "a.example", "/x/z"));
  STRCMP_EQUAL("deep", NameFor(table, "A.example:80", "/x/y/1?q=/"));
  STRCMP_EQUAL("other", NameFor(table, "b.example", "/x/y/1"));
  STRCMP_EQUAL("none", NameFor(table, "b.example", "/x"));
  STRCMP_EQUAL("none", NameFor(table, "b.example", "/?/x/"));
  STRCMP_EQUAL("none", NameFor(table, "c.example", "/x/"));
}

TEST(Routes, ARouteThatLeadsNowhereIsLeftOut) {
  const RouteTable table({Make("empty", "a.example", "/x/", {}),
                          Make("zero", "a.example", "/x/", {{"one", 0}}),
                          Make("all", "a.example", "/", {{"one", 1}})});
  STRCMP_EQUAL("all", NameFor(table, "a.example", "/x/1"));
}

TEST(Routes, TargetsAreDrawnByWeight) {
  const Route route = Make("r", "h", "/", {{"big", 90}, {"small", 10}});
  std::mt19937_64 random(7);
  std::map<std::string, int> drawn;
  for (int i = 0; i < 10'000; ++i) ++drawn[DrawTarget(route, random)];
  // Three standard deviations of a draw of 10,000 at one in ten are 90.
  CHECK(drawn["small"] > 910 && drawn["small"] < 1090);
}

}  // namespace amaranth
