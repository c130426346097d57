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

LoadReport Busy(uint32_t queued) {
  LoadReport report;
  report.server = "s";
  report.in_flight = 15;
  report.limit = 15;
  report.queued = queued;
  report.turn_us = 1000;  // 15 ms at each of 15 slots
  return report;
}

}  // namespace

// Callers wait 100 ms at one server while the other stands idle. The idle one
// had the longer queue when it last answered; since nobody sends to it, no
// answer tells that the queue has drained meanwhile.
// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(ServerChoiceGroup){};

TEST(ServerChoiceGroup, AQueueDrainsWhileNobodySendsThere) {
  ServerChoice choice("here");
  const std::vector<ServerPlace> places = {PlaceAt("drained"), PlaceAt("busy")};
  EffectiveSettings settings;
  settings.slow_start = Duration(0);
  std::mt19937_64 random(1);
  const TimePoint start = FromMicros(1'000'000);
  const TimePoint later = start + std::chrono::milliseconds(400);
  choice.OnReport(ServerKey("drained", "s"), Busy(200), start);
  choice.OnReport(ServerKey("busy", "s"), Busy(100), later);
  int drained = 0;
  for (int i = 0; i < 100; ++i) {
    const std::optional<ServerPlace> place =
        choice.Choose(places, settings, {}, std::nullopt, later, random);
    if (place->node == "drained") ++drained;
  }
  CHECK_EQUAL(100, drained);
}

TEST(ServerChoiceGroup, OwnCallsCountFromTheMomentTheyAreSent) {
  ServerChoice choice("here");
  const std::vector<ServerPlace> places = {PlaceAt("a"), PlaceAt("b")};
  EffectiveSettings settings;
  settings.slow_start = Duration(0);
  std::mt19937_64 random(1);
  const TimePoint now = FromMicros(1'000'000);
  for (const char* node : {"a", "b"}) {
    choice.OnReport(ServerKey(node, "s"), Busy(0), now);
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

  // Of a hundred calls, how many go to `node`.
  int SentTo(const std::string& node, int ms) {
    const TimePoint now(std::chrono::milliseconds{ms});
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      const std::optional<ServerPlace> place =
          choice.Choose(places, settings, {}, std::nullopt, now, random);
      choice.OnTried(place->node, now);
      if (place->node == node) ++sent;
    }
    return sent;
  }

  void LoseAt(const std::string& node, int ms) {
    choice.OnUnreachable(node, TimePoint(std::chrono::milliseconds(ms)));
  }
};

// Callers see calls hang in one second of every two while a data centre is cut
// off without resets: a host that was avoided for a second is tried by all
// calls at once, and each waits for the connection that never comes. One call
// tries; the others go on elsewhere until it has been answered.
TEST(UnreachableHosts, OneCallTriesAHostThatCouldNotBeReached) {
  LoseAt("a", 0);
  CHECK_EQUAL(0, SentTo("a", 500));
  CHECK_EQUAL(1, SentTo("a", 1100));
  CHECK_EQUAL(0, SentTo("a", 1900));
  CHECK_EQUAL(1, SentTo("a", 2200));
  choice.OnReached("a");
  CHECK(SentTo("a", 2300) > 20);
}

TEST(UnreachableHosts, TheOnlyHostIsUsedAlsoInDoubt) {
  places = {PlaceAt("a")};
  LoseAt("a", 0);
  CHECK_EQUAL(100, SentTo("a", 100));
}

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(JudgedServers) {
  ServerChoice choice{"here"};
  EffectiveSettings settings;
  std::vector<ServerPlace> places;
  std::mt19937_64 random{4};

  // Of a hundred calls, how many go to servers that `bad` holds for.
  template <typename Predicate>
  int SentTo(Predicate bad) {
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

// Guards against failures of a server that this node has hardly called.
TEST(JudgedServers, FailingOnesGetFewCallsWhileOthersAreFree) {
  AddServers(8, {});
  AddServers(2, {true, 1});
  CHECK(SentTo([](const ServerFitness& f) { return f.failing; }) < 10);
}

// Guards against judges that are wrong, or blame their servers for what lies
// below: with most of a service left out, the rest would carry all.
TEST(JudgedServers, FailingOnesAreCalledWhenTheOthersAreFull) {
  AddServers(2, {});
  AddServers(8, {true, 1});
  for (int i = 0; i < 2; ++i) {
    choice.OnReport(ServerKey(places[i].node, "s"), Busy(200),
                    FromMicros(60'000'000));
  }
  CHECK(SentTo([](const ServerFitness& f) { return f.failing; }) > 90);
}

// Guards against the full share of calls for a server at a fifth of its speed
// that this node has not called lately.
TEST(JudgedServers, SlowOnesGetFewCalls) {
  AddServers(8, {});
  AddServers(2, {false, 5});
  CHECK(SentTo([](const ServerFitness& f) { return f.slowdown > 1; }) < 10);
}

}  // namespace amaranth::pvt
