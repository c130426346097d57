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
const SettingsChange kFiveRetryCredits = {"arrieta/progress", "retry_credits",
                                          "5"};

// Five nodes of a data centre watch, and one more may for a moment.
constexpr size_t kMaxWatchers = 6;
// The platform holds a watch for two seconds if nothing changes.
constexpr size_t kSecondsPerWatch = 2;

// A change must be in force this long after the platform acknowledged it, on
// every node that had no disruption for kSettleTime.
constexpr Duration kChangeBound = seconds(2);
constexpr Duration kSettleTime = seconds(3);

bool IsMove(const PlatformRequest& request) {
  return std::holds_alternative<TableMoveHead>(request);
}

void AddNodes(SettingsFleet& fleet, int count) {
  for (int i = 0; i < count; ++i) fleet.Add("n" + std::to_string(i));
}

// Applies `fault` to the first head move only.
void InjectOnFirstMove(SettingsFleet& fleet, Fault fault) {
  fleet.fault = [fault, done = false](const PlatformRequest& request) mutable {
    if (done || !IsMove(request)) return Fault::kNone;
    done = true;
    return fault;
  };
}

bool HasAnswer(const SettingsFleet& fleet, CallId call) {
  return fleet.Status(call) != 0;
}

}  // namespace

TEST_GROUP(SettingsStore){};

// A data centre of forty nodes, each of which is able to watch the platform.
TEST_GROUP(WatchedSettings) {
  SettingsFleet fleet{3};

  void StartFleet(int nodes = 40) {
    fleet.source = SettingsSource::kWatch;
    fleet.document_version = 1;
    AddNodes(fleet, nodes);
    fleet.RunFor(seconds(25));
    CHECK(fleet.AllReadyAt(1));
    fleet.watch_calls.clear();
  }

  size_t Watches() const { return fleet.watch_calls.size(); }
  size_t DistinctWatchers() const {
    return std::set<std::string>(fleet.watch_calls.begin(),
                                 fleet.watch_calls.end())
        .size();
  }

  // Returns the nodes that start watches in a steady state.
  std::set<std::string> Watchers() {
    fleet.watch_calls.clear();
    fleet.RunFor(seconds(11));
    return {fleet.watch_calls.begin(), fleet.watch_calls.end()};
  }

  bool InForceWithin(uint64_t version, Duration limit) {
    return fleet.RunUntil(
        [&] {
          const std::map<std::string, SettingsFleet::SimulatedNode>& nodes =
              fleet.nodes();
          return std::all_of(
              nodes.begin(), nodes.end(), [&](const auto& entry) {
                const bool is_refused = fleet.refused.count(entry.first) > 0;
                return is_refused || entry.second.store->version() == version;
              });
        },
        limit);
  }
};

// Guards against a burst of platform calls that grows with the fleet, since a
// change completes every watch at once.
TEST(WatchedSettings, FewNodesWatchForTheDataCentre) {
  StartFleet();
  fleet.RunFor(seconds(20));
  CHECK(Watches() <= kMaxWatchers * (20 / kSecondsPerWatch + 1));
  CHECK(DistinctWatchers() <= kMaxWatchers);
  fleet.watch_calls.clear();
  fleet.WriteDocument(2);
  CHECK(InForceWithin(2, kChangeBound));
  CHECK(Watches() <= kMaxWatchers * 2);
  fleet.RunFor(seconds(3));
  CHECK(DistinctWatchers() <= kMaxWatchers);
}

// The same for a fleet of twice the size: the number of calls is the same.
TEST(WatchedSettings, TheNumberOfWatchesDoesNotGrowWithTheFleet) {
  StartFleet(80);
  fleet.RunFor(seconds(20));
  CHECK(Watches() <= kMaxWatchers * (20 / kSecondsPerWatch + 1));
  CHECK(DistinctWatchers() <= kMaxWatchers);
  fleet.WriteDocument(2);
  CHECK(InForceWithin(2, kChangeBound));
}

// Guards against a data centre that keeps old settings because the platform
// refuses the nodes that watch on its behalf.
TEST(WatchedSettings, OtherNodesWatchWhenTheWatchersAreRefused) {
  StartFleet();
  fleet.refused = Watchers();
  CHECK(fleet.refused.size() >= 2);
  CHECK(fleet.refused.size() <= 6);
  fleet.WriteDocument(2);
  CHECK(InForceWithin(2, seconds(3)));
}

// The same failure, when the watchers crash 100 ms before the change.
TEST(WatchedSettings, OtherNodesWatchWhenTheWatchersCrash) {
  StartFleet();
  const std::set<std::string> watchers = Watchers();
  for (const std::string& name : watchers) fleet.Kill(name);
  fleet.RunFor(milliseconds(100));
  fleet.WriteDocument(2);
  CHECK(InForceWithin(2, seconds(3)));
}

// Guards against nodes that keep old settings after a platform outage, because
// no watch was active when the document changed.
TEST(WatchedSettings, ChangeDuringAnOutageIsInForceSoonAfterRecovery) {
  StartFleet();
  for (const auto& [name, node] : fleet.nodes()) fleet.refused.insert(name);
  fleet.RunFor(seconds(12));
  fleet.WriteDocument(2);
  fleet.RunFor(seconds(1));
  fleet.refused.clear();
  CHECK(InForceWithin(2, seconds(3)));
}

// Guards against nodes that keep old settings because the answers of their
// watches were lost: an open watch is no proof that a change would be received.
TEST(WatchedSettings, ChangeIsInForceInTimeAfterOpenWatchesLostTheirAnswers) {
  StartFleet();
  for (uint64_t version = 2; version <= 8; ++version) {
    fleet.LoseOpenWatches();
    fleet.RunFor(kSettleTime);
    fleet.WriteDocument(version);
    CHECK(InForceWithin(version, kChangeBound));
    fleet.RunFor(milliseconds(370 * version));
  }
}

// Guards against a change that stays unseen until the next one because the
// document in the answers could not be read.
TEST(WatchedSettings, AChangeThatCouldNotBeReadIsReadAgain) {
  StartFleet();
  fleet.GarbleOpenWatches();
  fleet.WriteDocument(2);
  CHECK(InForceWithin(2, kChangeBound));
}

// The same for a document that the deployment's adapter cannot decode.
TEST(WatchedSettings, AnInvalidDocumentIsNoConfirmation) {
  StartFleet(1);
  const PlatformTime confirmed = *fleet.at("n0").confirmed_at();
  fleet.InvalidateDocument();
  fleet.RunFor(seconds(5));
  CHECK(*fleet.at("n0").confirmed_at() < confirmed + milliseconds(1500));
  fleet.WriteDocument(2);
  CHECK(InForceWithin(2, kChangeBound));
}

// Guards against a change that is skipped because a watch was open while the
// platform came back from a copy: its position is above that of the change.
TEST(WatchedSettings, ChangeAfterARestoreIsNotSkippedByAnOpenWatch) {
  StartFleet();
  fleet.WriteOtherRows(50);
  fleet.RunFor(seconds(3));
  fleet.RestoreFromCopy(1, 10);
  fleet.WriteDocument(2);
  fleet.RunFor(kSettleTime);
  CHECK(fleet.AllReadyAt(2));
}

// The same for nodes that begin to watch later, when the platform has passed
// the position at which they stopped.
TEST(WatchedSettings, ChangeAfterARestoreIsNotSkippedByANodeThatWatchesAgain) {
  StartFleet();
  fleet.WriteOtherRows(50);
  const std::set<std::string> watchers = Watchers();
  fleet.refused = watchers;
  fleet.RunFor(seconds(5));  // others watch for a while
  fleet.refused.clear();
  fleet.RunFor(seconds(10));
  for (const std::string& name : watchers) fleet.Kill(name);
  fleet.RestoreFromCopy(1, 10);
  fleet.WriteDocument(2);
  fleet.WriteOtherRows(100);
  fleet.RunFor(kSettleTime);
  CHECK(fleet.AllReadyAt(2));
}

// Guards against a node that starts while the platform has an older document,
// from a copy, and serves it although its peers hold the newest.
TEST(WatchedSettings, ANodeThatStartsDuringARestoreTakesThePeersVersion) {
  StartFleet(4);
  fleet.WriteDocument(2);
  CHECK(InForceWithin(2, kChangeBound));
  fleet.RestoreFromCopy(1, 10);
  for (int i = 0; i < 10; ++i) {
    fleet.Restart("n3");
    CHECK(fleet.RunUntil([&] { return fleet.at("n3").ready(); }, seconds(3)));
    CHECK_EQUAL(2u, fleet.at("n3").version());
  }
}

// The same without any peer that answers: the node must not wait for long.
TEST(WatchedSettings, ANodeThatStartsWithoutPeersIsReadySoon) {
  StartFleet(4);
  fleet.links_up = false;
  fleet.Restart("n3");
  CHECK(fleet.RunUntil([&] { return fleet.at("n3").ready(); }, seconds(1)));
}

TEST(SettingsStore, FleetWithoutSettingsIsReadyWithDefaults) {
  SettingsFleet fleet(1);
  AddNodes(fleet, 2);
  CHECK_FALSE(fleet.at("n0").ready());
  CHECK(fleet.RunUntil([&] { return fleet.AllReadyAt(0); }, seconds(2)));
  CHECK(fleet.at("n0").tree() == SettingsTree());
}

TEST(SettingsStore, AcceptedChangeIsInForceEverywhereWithinFiveSeconds) {
  SettingsFleet fleet(2);
  AddNodes(fleet, 8);
  fleet.RunFor(seconds(2));
  const CallId call = fleet.Change("n3", {kCriticalTier});
  CHECK(fleet.RunUntil([&] { return HasAnswer(fleet, call); }, seconds(2)));
  CHECK_EQUAL(200, fleet.Status(call));
  CHECK(fleet.RunUntil([&] { return fleet.AllReadyAt(1); }, seconds(5)));
  CHECK(fleet.at("n7").tree().Resolve("arrieta", "", "").tier ==
        Tier::kCritical);
  CHECK_EQUAL(1u, fleet.at("n7").history().size());
}

// With the links between two delegates cut, the one that did not accept the
// change must learn of the version by polling the head, within 5 s.
TEST(SettingsStore, DelegateReadsTheHeadWithoutPeerLinks) {
  SettingsFleet fleet(3);
  AddNodes(fleet, 2);
  fleet.RunFor(seconds(2));
  fleet.links_up = false;
  fleet.Change("n0", {kCriticalTier});
  CHECK(fleet.RunUntil([&] { return fleet.AllReadyAt(1); }, seconds(5)));
}

TEST(SettingsStore, OnlyDelegatesPollTheHead) {
  SettingsFleet fleet(4);
  AddNodes(fleet, 12);
  fleet.RunFor(seconds(2));
  fleet.head_reads = 0;
  fleet.RunFor(seconds(10));
  CHECK(fleet.head_reads >= 16);
  CHECK(fleet.head_reads <= 24);
}

TEST(SettingsStore, InvalidChangeIsAnsweredWithAllErrors) {
  SettingsFleet fleet(5);
  AddNodes(fleet, 1);
  const CallId call = fleet.Change(
      "n0", {{"arrieta", "tier", "golden"}, {"a/b/c/d", "deadline_ms", "-1"}});
  CHECK(fleet.RunUntil([&] { return HasAnswer(fleet, call); }, seconds(2)));
  CHECK_EQUAL(400, fleet.Status(call));
  CHECK_EQUAL(3u, nlohmann::json::parse(fleet.BodyText(call))["errors"].size());
  CHECK_EQUAL(0u, fleet.platform.version);
}

// Two operators change the same value concurrently through two nodes, both
// expecting version 0. One change is accepted. The other must be answered with
// the accepted version and change nothing, or it would overwrite a value that
// its operator has not seen.
TEST(SettingsStore, RaceAcceptsOneChangeAndAnswersConflict) {
  SettingsFleet fleet(6);
  AddNodes(fleet, 2);
  fleet.RunFor(seconds(2));
  const CallId a = fleet.Change("n0", {{"", "deadline_ms", "100"}}, 0);
  const CallId b = fleet.Change("n1", {{"", "deadline_ms", "200"}}, 0);
  CHECK(fleet.RunUntil(
      [&] { return HasAnswer(fleet, a) && HasAnswer(fleet, b); }, seconds(3)));
  CHECK_EQUAL(200 + 409, fleet.Status(a) + fleet.Status(b));
  const CallId conflicting = fleet.Status(a) == 409 ? a : b;
  CHECK_EQUAL(
      1,
      nlohmann::json::parse(fleet.BodyText(conflicting))["version"].get<int>());
  CHECK_EQUAL(1u, fleet.platform.version);
}

TEST(SettingsStore, RaceOnDisjointPathsIsRebased) {
  SettingsFleet fleet(7);
  AddNodes(fleet, 2);
  fleet.RunFor(seconds(2));
  const CallId a = fleet.Change("n0", {kCriticalTier});
  const CallId b = fleet.Change("n1", {kFiveRetryCredits});
  CHECK(fleet.RunUntil([&] { return fleet.AllReadyAt(2); }, seconds(5)));
  CHECK_EQUAL(200, fleet.Status(a));
  CHECK_EQUAL(200, fleet.Status(b));
  CHECK_EQUAL(2u, fleet.at("n0").history().size());
}

// The platform moves the head and its reply is lost. The change must be
// answered as accepted and must not be applied twice.
TEST(SettingsStore, LostReplyIsResolvedByTheChangeId) {
  SettingsFleet fleet(8);
  AddNodes(fleet, 1);
  InjectOnFirstMove(fleet, Fault::kLoseReply);
  const CallId call = fleet.Change("n0", {kCriticalTier}, 0);
  CHECK(fleet.RunUntil([&] { return HasAnswer(fleet, call); }, seconds(8)));
  CHECK_EQUAL(200, fleet.Status(call));
  CHECK_EQUAL(1u, fleet.platform.version);
}

// The write is delayed in the network: the change id is read and not found, and
// the write takes effect just afterwards. If the change were answered as not
// accepted, it would come into force nevertheless.
TEST(SettingsStore, DelayedWriteIsNotAnsweredAsNotAccepted) {
  SettingsFleet fleet(9);
  AddNodes(fleet, 1);
  InjectOnFirstMove(fleet, Fault::kDelayRequest);
  const CallId call = fleet.Change("n0", {kCriticalTier}, 0);
  CHECK(fleet.RunUntil([&] { return HasAnswer(fleet, call); }, seconds(8)));
  CHECK_EQUAL(200, fleet.Status(call));
  fleet.RunFor(seconds(3));
  CHECK_EQUAL(1u, fleet.platform.version);
}

TEST(SettingsStore, OutageIsAnsweredWithRetryAfterAndNotAccepted) {
  SettingsFleet fleet(10);
  AddNodes(fleet, 1);
  fleet.fault = [](const auto&) { return Fault::kDown; };
  const CallId call = fleet.Change("n0", {kCriticalTier});
  CHECK(fleet.RunUntil([&] { return HasAnswer(fleet, call); }, seconds(20)));
  CHECK_EQUAL(503, fleet.Status(call));
  CHECK_FALSE(FindHeader(fleet.answers[call].headers, "Retry-After").empty());
  CHECK(nlohmann::json::parse(fleet.BodyText(call))["accepted"] == "no");
}

// The reply to the move and all later replies are lost. The node cannot know
// whether the change was accepted, so the answer says "unknown" and contains
// the change id.
TEST(SettingsStore, UnknownOutcomeIsAnsweredWithTheChangeId) {
  SettingsFleet fleet(11);
  AddNodes(fleet, 1);
  fleet.fault = [](const PlatformRequest& request) {
    const bool early = std::holds_alternative<TableReadHead>(request) ||
                       std::holds_alternative<ObjectPut>(request);
    return early ? Fault::kNone : Fault::kLoseReply;
  };
  const CallId call = fleet.Change("n0", {kCriticalTier});
  CHECK(fleet.RunUntil([&] { return HasAnswer(fleet, call); }, seconds(20)));
  CHECK_EQUAL(503, fleet.Status(call));
  const auto json = nlohmann::json::parse(fleet.BodyText(call));
  CHECK(json["accepted"] == "unknown");
  CHECK_EQUAL(1u, fleet.platform.changes.count(json["change_id"]));
}

// A node starts while the platform is down. It must adopt the highest version
// of its peers before it becomes ready: with the defaults it would treat
// renewals as standard traffic.
TEST(SettingsStore, StartWithoutPlatformAdoptsThePeersVersion) {
  SettingsFleet fleet(12);
  AddNodes(fleet, 4);
  fleet.RunFor(seconds(1));
  fleet.Change("n0", {kCriticalTier});
  CHECK(fleet.RunUntil([&] { return fleet.AllReadyAt(1); }, seconds(5)));
  fleet.fault = [](const auto&) { return Fault::kDown; };
  fleet.Restart("n2");
  CHECK_FALSE(fleet.at("n2").ready());
  CHECK(fleet.RunUntil([&] { return fleet.at("n2").ready(); }, seconds(5)));
  CHECK_EQUAL(1u, fleet.at("n2").version());
}

TEST(SettingsStore, StartWithoutPlatformAndPeersIsNotReady) {
  SettingsFleet fleet(13);
  fleet.fault = [](const auto&) { return Fault::kDown; };
  AddNodes(fleet, 1);
  fleet.RunFor(seconds(60));
  CHECK_FALSE(fleet.at("n0").ready());
  fleet.fault = [](const auto&) { return Fault::kNone; };
  CHECK(fleet.RunUntil([&] { return fleet.at("n0").ready(); }, seconds(10)));
}

TEST(SettingsStore, SnapshotWithAWrongHashIsRejected) {
  SettingsFleet fleet(14);
  AddNodes(fleet, 1);
  SettingsDocument document;
  document.version = 9;
  fleet.RunOnNode("n0", [&](SettingsStore& s, Context& context) {
    s.OnSnapshot({9, 1, ToText(document)}, context);
  });
  CHECK_EQUAL(0u, fleet.at("n0").version());
}

// Operators change settings concurrently through several nodes while replies
// are lost, writes are delayed, the platform is down at times and nodes
// restart. Invariants: versions in force never decrease; each version has one
// change; a change answered with 200 stays in the history, one answered with
// 409 or "no" is never in it; in the end every node holds the head.
TEST(SettingsStore, RacingOperatorsUnderFaults) {
  CHECK(rc::check("racing operators", [] {
    const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
    const int fault_percent = *rc::gen::inRange(0, 60);
    SettingsFleet fleet(seed);
    AddNodes(fleet, 3);
    Random random(seed);
    const auto random_below = [&](int below) {
      return std::uniform_int_distribution<int>(0, below - 1)(random);
    };
    const auto faults = [&](const PlatformRequest&) {
      if (random_below(100) >= fault_percent) return Fault::kNone;
      return static_cast<Fault>(1 + random_below(4));
    };
    fleet.fault = faults;
    std::vector<CallId> calls;
    for (int i = 0; i < 15; ++i) {
      const std::string node = "n" + std::to_string(random_below(3));
      if (random_below(10) == 0) fleet.Restart(node);
      std::optional<uint64_t> expected;
      if (random_below(2) == 0) expected = fleet.at(node).version();
      // A unique value identifies the change in the history.
      const std::string value = std::to_string(1000 + calls.size());
      calls.push_back(fleet.Change(
          node, {{"m" + std::to_string(random_below(4)), "deadline_ms", value}},
          expected));
      fleet.RunFor(milliseconds(random_below(800)));
    }
    fleet.RunFor(seconds(20));
    fleet.fault = [](const auto&) { return Fault::kNone; };
    RC_ASSERT(fleet.RunUntil(
        [&] { return fleet.AllReadyAt(fleet.platform.version); }, seconds(20)));
    RC_ASSERT(fleet.versions_monotonic);
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
      const auto json = nlohmann::json::parse(fleet.BodyText(calls[i]));
      if (json["accepted"] == "no") RC_ASSERT(found == 0);
    }
  }));
}

}  // namespace amaranth::pvt
