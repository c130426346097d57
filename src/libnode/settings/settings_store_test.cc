#include "libnode/settings/settings_store.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "libnode/fakes/settings_fleet.h"

namespace amaranth::pvt {

namespace {

using Fault = SettingsFleet::Fault;
using std::chrono::milliseconds;
using std::chrono::seconds;

const SettingsChange kCriticalTier = {"arrieta", "tier", "critical"};
const SettingsChange kMoreCredits = {"arrieta/progress", "retry_credits", "5"};

bool IsMove(const PlatformRequest& request) {
  return std::holds_alternative<TableMoveHead>(request);
}

void Grow(SettingsFleet& fleet, int count) {
  for (int i = 0; i < count; ++i) fleet.Add("n" + std::to_string(i));
}

// Applies `fault` to the first head move only.
void FaultOnFirstMove(SettingsFleet& fleet, Fault fault) {
  fleet.fault = [fault, done = false](const PlatformRequest& request) mutable {
    if (done || !IsMove(request)) return Fault::kNone;
    done = true;
    return fault;
  };
}

bool Answered(const SettingsFleet& fleet, CallId call) {
  return fleet.Status(call) != 0;
}

}  // namespace

TEST_GROUP(SettingsStore){};

// A data centre of forty nodes, all of which could watch the platform.
TEST_GROUP(WatchedSettings) {
  SettingsFleet fleet{3};

  void Start() {
    fleet.source = SettingsSource::kWatch;
    fleet.document_version = 1;
    Grow(fleet, 40);
    fleet.Run(seconds(25));
    CHECK(fleet.AllAt(1));
    fleet.watch_calls.clear();
  }

  // Those that still watch when all is calm.
  std::set<std::string> Watchers() {
    fleet.watch_calls.clear();
    fleet.Run(seconds(11));
    return {fleet.watch_calls.begin(), fleet.watch_calls.end()};
  }

  bool InForceWithin(uint64_t version, Duration limit) {
    return fleet.RunUntil(
        [&] {
          const std::map<std::string, SettingsFleet::Host>& hosts =
              fleet.hosts();
          return std::all_of(
              hosts.begin(), hosts.end(), [&](const auto& entry) {
                const bool excused = fleet.turned_away.count(entry.first) > 0;
                return excused || entry.second.store->version() == version;
              });
        },
        limit);
  }
};

// Guards against a burst of reads that grows with the fleet: a change wakes
// every watch at once.
TEST(WatchedSettings, AFewNodesWatchForAll) {
  Start();
  fleet.Run(seconds(20));
  CHECK(fleet.watch_calls.size() <= 12);
  fleet.watch_calls.clear();
  fleet.WriteDocument(2);
  CHECK(InForceWithin(2, seconds(2)));
  fleet.Run(seconds(3));
  CHECK(fleet.watch_calls.size() <= 8);
}

// Guards against a data centre that serves old settings since the platform
// turns the nodes away that watch for it.
TEST(WatchedSettings, OthersAskWhenTheWatchersAreTurnedAway) {
  Start();
  fleet.turned_away = Watchers();
  CHECK(fleet.turned_away.size() >= 2);
  CHECK(fleet.turned_away.size() <= 6);
  fleet.WriteDocument(2);
  CHECK(InForceWithin(2, seconds(3)));
}

// The same, where the watchers are gone a moment before the change.
TEST(WatchedSettings, OthersAskWhenTheWatchersAreKilled) {
  Start();
  const std::set<std::string> watchers = Watchers();
  for (const std::string& name : watchers) fleet.Kill(name);
  fleet.Run(milliseconds(100));
  fleet.WriteDocument(2);
  CHECK(InForceWithin(2, seconds(3)));
}

// Guards against nodes that stay with what they have after the platform was
// away: nobody had a watch while the document changed.
TEST(WatchedSettings, AChangeDuringAnOutageIsInForceSoonAfterIt) {
  Start();
  for (const auto& [name, host] : fleet.hosts()) fleet.turned_away.insert(name);
  fleet.Run(seconds(12));
  fleet.WriteDocument(2);
  fleet.Run(seconds(1));
  fleet.turned_away.clear();
  CHECK(InForceWithin(2, seconds(3)));
}

TEST(SettingsStore, FleetWithoutSettingsIsReadyWithDefaults) {
  SettingsFleet fleet(1);
  Grow(fleet, 2);
  CHECK_FALSE(fleet.at("n0").ready());
  CHECK(fleet.RunUntil([&] { return fleet.AllAt(0); }, seconds(2)));
  CHECK(fleet.at("n0").tree() == SettingsTree());
}

TEST(SettingsStore, AcceptedChangeIsInForceEverywhereWithinFiveSeconds) {
  SettingsFleet fleet(2);
  Grow(fleet, 8);
  fleet.Run(seconds(2));
  const CallId call = fleet.Change("n3", {kCriticalTier});
  CHECK(fleet.RunUntil([&] { return Answered(fleet, call); }, seconds(2)));
  CHECK_EQUAL(200, fleet.Status(call));
  CHECK(fleet.RunUntil([&] { return fleet.AllAt(1); }, seconds(5)));
  CHECK(fleet.at("n7").tree().Resolve("arrieta", "", "").tier ==
        Tier::kCritical);
  CHECK_EQUAL(1u, fleet.at("n7").history().size());
}

// The links between nodes are cut, and one of two delegates polls the head.
// It alone must bring the version in within 5 s.
TEST(SettingsStore, DelegatesLearnFromThePlatformWithoutPeers) {
  SettingsFleet fleet(3);
  Grow(fleet, 2);
  fleet.Run(seconds(2));
  fleet.links_up = false;
  fleet.Change("n0", {kCriticalTier});
  CHECK(fleet.RunUntil([&] { return fleet.AllAt(1); }, seconds(5)));
}

TEST(SettingsStore, OnlyDelegatesPollTheHead) {
  SettingsFleet fleet(4);
  Grow(fleet, 12);
  fleet.Run(seconds(2));
  fleet.head_reads = 0;
  fleet.Run(seconds(10));
  CHECK(fleet.head_reads >= 16);
  CHECK(fleet.head_reads <= 24);
}

TEST(SettingsStore, InvalidChangeIsAnsweredWithAllErrors) {
  SettingsFleet fleet(5);
  Grow(fleet, 1);
  const CallId call = fleet.Change(
      "n0", {{"arrieta", "tier", "golden"}, {"a/b/c/d", "deadline_ms", "-1"}});
  CHECK(fleet.RunUntil([&] { return Answered(fleet, call); }, seconds(2)));
  CHECK_EQUAL(400, fleet.Status(call));
  CHECK_EQUAL(3u, nlohmann::json::parse(fleet.Text(call))["errors"].size());
  CHECK_EQUAL(0u, fleet.platform.version);
}

// Two operators change the same value at once through two nodes, each having
// seen version 0. One is accepted; the other must be told who was first and
// change nothing, or it would overwrite what it never saw.
TEST(SettingsStore, RaceHasOneWinnerAndAClearConflict) {
  SettingsFleet fleet(6);
  Grow(fleet, 2);
  fleet.Run(seconds(2));
  const CallId a = fleet.Change("n0", {{"", "deadline_ms", "100"}}, 0);
  const CallId b = fleet.Change("n1", {{"", "deadline_ms", "200"}}, 0);
  CHECK(fleet.RunUntil([&] { return Answered(fleet, a) && Answered(fleet, b); },
                       seconds(3)));
  CHECK_EQUAL(200 + 409, fleet.Status(a) + fleet.Status(b));
  const CallId loser = fleet.Status(a) == 409 ? a : b;
  CHECK_EQUAL(1,
              nlohmann::json::parse(fleet.Text(loser))["version"].get<int>());
  CHECK_EQUAL(1u, fleet.platform.version);
}

TEST(SettingsStore, RaceOnDisjointPathsIsRebased) {
  SettingsFleet fleet(7);
  Grow(fleet, 2);
  fleet.Run(seconds(2));
  const CallId a = fleet.Change("n0", {kCriticalTier});
  const CallId b = fleet.Change("n1", {kMoreCredits});
  CHECK(fleet.RunUntil([&] { return fleet.AllAt(2); }, seconds(5)));
  CHECK_EQUAL(200, fleet.Status(a));
  CHECK_EQUAL(200, fleet.Status(b));
  CHECK_EQUAL(2u, fleet.at("n0").history().size());
}

// The platform moves the head, and its answer is lost. The operator must be
// told that the change was accepted, and it must not be made twice.
TEST(SettingsStore, LostAnswerIsSettledByTheChangeId) {
  SettingsFleet fleet(8);
  Grow(fleet, 1);
  FaultOnFirstMove(fleet, Fault::kLoseAnswer);
  const CallId call = fleet.Change("n0", {kCriticalTier}, 0);
  CHECK(fleet.RunUntil([&] { return Answered(fleet, call); }, seconds(8)));
  CHECK_EQUAL(200, fleet.Status(call));
  CHECK_EQUAL(1u, fleet.platform.version);
}

// The write hangs in the network: the change id is not there yet when it is
// read, and the write takes effect just after. Told "not accepted", the
// operator would see the change come into force all the same.
TEST(SettingsStore, WriteThatTakesEffectLateIsNotCalledLost) {
  SettingsFleet fleet(9);
  Grow(fleet, 1);
  FaultOnFirstMove(fleet, Fault::kHoldBack);
  const CallId call = fleet.Change("n0", {kCriticalTier}, 0);
  CHECK(fleet.RunUntil([&] { return Answered(fleet, call); }, seconds(8)));
  CHECK_EQUAL(200, fleet.Status(call));
  fleet.Run(seconds(3));
  CHECK_EQUAL(1u, fleet.platform.version);
}

TEST(SettingsStore, OutageIsToldWithRetryAfterAndCertainty) {
  SettingsFleet fleet(10);
  Grow(fleet, 1);
  fleet.fault = [](const auto&) { return Fault::kDown; };
  const CallId call = fleet.Change("n0", {kCriticalTier});
  CHECK(fleet.RunUntil([&] { return Answered(fleet, call); }, seconds(20)));
  CHECK_EQUAL(503, fleet.Status(call));
  CHECK_FALSE(FindHeader(fleet.answers[call].headers, "Retry-After").empty());
  CHECK(nlohmann::json::parse(fleet.Text(call))["accepted"] == "no");
}

// The move's answer and every later one are lost. Whether the change was
// accepted cannot be known, and the operator is told so, with the change id.
TEST(SettingsStore, DoubtIsToldAsDoubt) {
  SettingsFleet fleet(11);
  Grow(fleet, 1);
  fleet.fault = [](const PlatformRequest& request) {
    const bool early = std::holds_alternative<TableReadHead>(request) ||
                       std::holds_alternative<ObjectPut>(request);
    return early ? Fault::kNone : Fault::kLoseAnswer;
  };
  const CallId call = fleet.Change("n0", {kCriticalTier});
  CHECK(fleet.RunUntil([&] { return Answered(fleet, call); }, seconds(20)));
  CHECK_EQUAL(503, fleet.Status(call));
  const auto json = nlohmann::json::parse(fleet.Text(call));
  CHECK(json["accepted"] == "unknown");
  CHECK_EQUAL(1u, fleet.platform.changes.count(json["change_id"]));
}

// A node starts while the platform is down. It takes the highest version its
// peers have, and answers no caller before that: with defaults it would treat
// renewals as standard traffic.
TEST(SettingsStore, StartWithoutPlatformTakesThePeersVersion) {
  SettingsFleet fleet(12);
  Grow(fleet, 4);
  fleet.Run(seconds(1));
  fleet.Change("n0", {kCriticalTier});
  CHECK(fleet.RunUntil([&] { return fleet.AllAt(1); }, seconds(5)));
  fleet.fault = [](const auto&) { return Fault::kDown; };
  fleet.Restart("n2");
  CHECK_FALSE(fleet.at("n2").ready());
  CHECK(fleet.RunUntil([&] { return fleet.at("n2").ready(); }, seconds(5)));
  CHECK_EQUAL(1u, fleet.at("n2").version());
}

TEST(SettingsStore, StartWithoutPlatformAndPeersIsNotReady) {
  SettingsFleet fleet(13);
  fleet.fault = [](const auto&) { return Fault::kDown; };
  Grow(fleet, 1);
  fleet.Run(seconds(60));
  CHECK_FALSE(fleet.at("n0").ready());
  fleet.fault = [](const auto&) { return Fault::kNone; };
  CHECK(fleet.RunUntil([&] { return fleet.at("n0").ready(); }, seconds(10)));
}

TEST(SettingsStore, SnapshotWithAWrongHashIsRefused) {
  SettingsFleet fleet(14);
  Grow(fleet, 1);
  SettingsDocument document;
  document.version = 9;
  fleet.Do("n0", [&](SettingsStore& s, Context& context) {
    s.OnSnapshot({9, 1, ToText(document)}, context);
  });
  CHECK_EQUAL(0u, fleet.at("n0").version());
}

// Operators race through several nodes while answers are lost, writes come
// late, the platform is down now and then and nodes restart. Whatever comes:
// versions in force only rise; each version has one winner; a change answered
// 200 stays in the history, one answered 409 or "no" is never in it; in the
// end every node holds the head.
TEST(SettingsStore, RacingOperatorsUnderFaults) {
  CHECK(rc::check("racing operators", [] {
    const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
    const int faulty = *rc::gen::inRange(0, 60);
    SettingsFleet fleet(seed);
    Grow(fleet, 3);
    Random random(seed);
    const auto roll = [&](int below) {
      return std::uniform_int_distribution<int>(0, below - 1)(random);
    };
    const auto faults = [&](const PlatformRequest&) {
      if (roll(100) >= faulty) return Fault::kNone;
      return static_cast<Fault>(1 + roll(4));
    };
    fleet.fault = faults;
    std::vector<CallId> calls;
    for (int i = 0; i < 15; ++i) {
      const std::string node = "n" + std::to_string(roll(3));
      if (roll(10) == 0) fleet.Restart(node);
      std::optional<uint64_t> expected;
      if (roll(2) == 0) expected = fleet.at(node).version();
      // The value marks the change, so that it can be found in the history.
      const std::string mark = std::to_string(1000 + calls.size());
      calls.push_back(fleet.Change(
          node, {{"m" + std::to_string(roll(4)), "deadline_ms", mark}},
          expected));
      fleet.Run(milliseconds(roll(800)));
    }
    fleet.Run(seconds(20));
    fleet.fault = [](const auto&) { return Fault::kNone; };
    RC_ASSERT(fleet.RunUntil(
        [&] { return fleet.AllAt(fleet.platform.version); }, seconds(20)));
    RC_ASSERT(fleet.versions_rose);
    std::map<std::string, int> accepted;
    for (const SettingsHistoryEntry& entry : fleet.at("n0").history()) {
      ++accepted[*entry.changes[0].value];
    }
    RC_ASSERT(fleet.at("n0").history().size() == fleet.platform.version);
    for (size_t i = 0; i < calls.size(); ++i) {
      const int status = fleet.Status(calls[i]);
      const int found = accepted[std::to_string(1000 + i)];
      RC_ASSERT(found <= 1);
      if (status == 200) RC_ASSERT(found == 1);
      if (status == 409) RC_ASSERT(found == 0);
      if (status != 503) continue;
      const auto json = nlohmann::json::parse(fleet.Text(calls[i]));
      if (json["accepted"] == "no") RC_ASSERT(found == 0);
    }
  }));
}

}  // namespace amaranth::pvt
