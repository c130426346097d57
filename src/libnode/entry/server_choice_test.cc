#include "libnode/entry/server_choice.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>
#include <vector>

namespace amaranth::pvt {
namespace {

ServerPlace PlaceAt(const std::string& node) {
  ServerPlace place;
  place.node = node;
  place.server = "s";
  place.service = "deep";
  place.data_centre = "here";
  place.slots = 15;
  return place;
}

LoadReport FullReport(uint32_t queued) {
  LoadReport report;
  report.server = "s";
  report.in_flight = 15;
  report.limit = 15;
  report.queued = queued;
  report.turn_us = 1000;  // 15 ms at each of 15 slots
  return report;
}

}  // namespace

// Guards against calls that wait 100 ms at one server while another is idle.
// The idle one had the longer queue in its last answer; since no calls are sent
// to it, no answer shows that the queue has drained.
// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(ServerChoiceGroup){};

TEST(ServerChoiceGroup, AgingReportAccountsForQueueDraining) {
  ServerChoice choice("here");
  const std::vector<ServerPlace> places = {PlaceAt("drained"), PlaceAt("busy")};
  EffectiveSettings settings;
  settings.slow_start = Duration(0);
  std::mt19937_64 random(1);
  const TimePoint start = FromMicros(1'000'000);
  const TimePoint later = start + std::chrono::milliseconds(400);
  choice.OnReport(ServerKey("drained", "s"), FullReport(200), start);
  choice.OnReport(ServerKey("busy", "s"), FullReport(100), later);
  int drained = 0;
  for (int i = 0; i < 100; ++i) {
    const std::optional<ServerPlace> place =
        choice.Choose(places, settings, {}, std::nullopt, later, random);
    if (place->node == "drained") ++drained;
  }
  CHECK_EQUAL(100, drained);
}

TEST(ServerChoiceGroup, CallsCountFromTheMomentTheyAreSent) {
  ServerChoice choice("here");
  const std::vector<ServerPlace> places = {PlaceAt("a"), PlaceAt("b")};
  EffectiveSettings settings;
  settings.slow_start = Duration(0);
  std::mt19937_64 random(1);
  const TimePoint now = FromMicros(1'000'000);
  for (const char* node : {"a", "b"}) {
    choice.OnReport(ServerKey(node, "s"), FullReport(0), now);
  }
  for (int i = 0; i < 50; ++i) choice.OnSent(ServerKey("a", "s"));
  const std::optional<ServerPlace> place =
      choice.Choose(places, settings, {}, std::nullopt, now, random);
  STRCMP_EQUAL("b", place->node.c_str());
}

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(UnreachableHosts) {
  ServerChoice choice{"here"};
  EffectiveSettings settings;
  std::vector<ServerPlace> places{PlaceAt("a"), PlaceAt("b")};
  std::mt19937_64 random{4};

  // Returns how many of a hundred calls go to `node`.
  int CallsSentTo(const std::string& node, int ms) {
    const TimePoint now(std::chrono::milliseconds{ms});
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      const std::optional<ServerPlace> place =
          choice.Choose(places, settings, {}, std::nullopt, now, random);
      choice.OnCalled(place->node, now);
      if (place->node == node) ++sent;
    }
    return sent;
  }

  void MarkUnreachable(const std::string& node, int ms) {
    choice.OnUnreachable(node, TimePoint(std::chrono::milliseconds(ms)));
  }
};

// Guards against calls that hang every other second while a data centre is
// partitioned and connections to it are not reset. If all calls used a host
// again after a second of avoidance, each would wait for a connection that is
// never made. One call probes it; the others avoid it until that is answered.
TEST(UnreachableHosts, OneCallProbesAnUnreachableHost) {
  MarkUnreachable("a", 0);
  CHECK_EQUAL(0, CallsSentTo("a", 500));
  CHECK_EQUAL(1, CallsSentTo("a", 1100));
  CHECK_EQUAL(0, CallsSentTo("a", 1900));
  CHECK_EQUAL(1, CallsSentTo("a", 2200));
  choice.OnReachable("a");
  CHECK(CallsSentTo("a", 2300) > 20);
}

TEST(UnreachableHosts, OnlyHostIsUsedEvenIfUnreachable) {
  places = {PlaceAt("a")};
  MarkUnreachable("a", 0);
  CHECK_EQUAL(100, CallsSentTo("a", 100));
}

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(ServerFitnessPenalty) {
  ServerChoice choice{"here"};
  EffectiveSettings settings;
  std::vector<ServerPlace> places;
  std::mt19937_64 random{4};

  // Returns how many of a hundred calls go to servers for which `bad` is true.
  template <typename Predicate>
  int CallsSentTo(Predicate bad) {
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      const std::optional<ServerPlace> place = choice.Choose(
          places, settings, {}, std::nullopt, FromMicros(60'000'000), random);
      if (bad(place->fitness)) ++sent;
    }
    return sent;
  }

  void AddServers(int count, const ServerFitness& fitness) {
    for (int i = 0; i < count; ++i) {
      places.push_back(PlaceAt("n" + std::to_string(places.size())));
      places.back().fitness = fitness;
    }
  }
};

// Guards against sending a full share of calls to a failing server that this
// node has hardly called.
TEST(ServerFitnessPenalty, FailingServersGetFewCallsWhileOthersAreFree) {
  AddServers(8, {});
  AddServers(2, {true, 1});
  CHECK(CallsSentTo([](const ServerFitness& f) { return f.failing; }) < 10);
}

// Guards against fitness reports that are wrong, or count downstream failures
// against the server. If most servers of a service were excluded, the rest
// would be overloaded.
TEST(ServerFitnessPenalty, FailingServersAreCalledWhenOthersAreFull) {
  AddServers(2, {});
  AddServers(8, {true, 1});
  for (int i = 0; i < 2; ++i) {
    choice.OnReport(ServerKey(places[i].node, "s"), FullReport(200),
                    FromMicros(60'000'000));
  }
  CHECK(CallsSentTo([](const ServerFitness& f) { return f.failing; }) > 90);
}

// Guards against sending a full share of calls to a server that runs at a fifth
// of its speed and that this node has not called recently.
TEST(ServerFitnessPenalty, SlowServersGetFewCalls) {
  AddServers(8, {});
  AddServers(2, {false, 5});
  CHECK(CallsSentTo([](const ServerFitness& f) { return f.slowdown > 1; }) <
        10);
}

}  // namespace amaranth::pvt
