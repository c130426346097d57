#include "libnode/membership/membership.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "libnode/fakes/membership_fleet.h"

namespace amaranth::pvt {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

std::string Name(const std::string& data_centre, int index) {
  return data_centre + "-" + std::to_string(index);
}

// `per_centre` nodes in each data centre; the first node is everybody's seed.
void Grow(MembershipFleet& fleet, const std::vector<std::string>& centres,
          int per_centre) {
  const std::string seed = Name(centres[0], 0);
  for (const std::string& centre : centres) {
    for (int i = 0; i < per_centre; ++i) {
      const std::string name = Name(centre, i);
      fleet.Add(name, centre,
                name == seed ? std::vector<std::string>()
                             : std::vector<std::string>{seed});
    }
  }
}

ServerRecord Server(const std::string& name) {
  return {name, "catalogue", {"127.0.0.1", 8080}, 100, false, {}};
}

void Announce(MembershipFleet& fleet, const std::string& node) {
  fleet.Do(node, [&](Membership& m, Context& context) {
    m.AnnounceServer(Server("s-" + node), context);
  });
}

// Servers announce themselves each half second, as they do in life.
void RunAnnouncing(MembershipFleet& fleet,
                   const std::vector<std::string>& nodes, Duration time) {
  for (Duration run{0}; run < time; run += milliseconds(500)) {
    for (const std::string& node : nodes) Announce(fleet, node);
    fleet.Run(milliseconds(500));
  }
}

bool OffersWork(MembershipFleet& fleet, const std::string& viewer,
                const std::string& node) {
  for (const ServerPlace& place : fleet.at(viewer).ServersOf("catalogue")) {
    if (place.node == node) return true;
  }
  return false;
}

int CountOffering(MembershipFleet& fleet, const std::string& node) {
  int count = 0;
  for (auto& [name, host] : fleet.hosts()) {
    if (host.running && name != node) count += OffersWork(fleet, name, node);
  }
  return count;
}

int CountInState(MembershipFleet& fleet, MemberState state) {
  int count = 0;
  for (auto& [name, host] : fleet.hosts()) {
    for (const auto& [other, record] : host.membership->members()) {
      count += record.state == state ? 1 : 0;
    }
  }
  return count;
}

}  // namespace

TEST_GROUP(Membership){};

TEST(Membership, NodesOfOneDataCentreFindEachOther) {
  MembershipFleet fleet(1);
  Grow(fleet, {"derby"}, 8);
  CHECK(fleet.RunUntil([&] { return fleet.AgreesWithTruth(); }, seconds(5)));
}

TEST(Membership, DataCentresLearnEachOther) {
  MembershipFleet fleet(2);
  Grow(fleet, {"derby", "telford", "walsall"}, 4);
  CHECK(fleet.RunUntil([&] { return fleet.AgreesWithTruth(); }, seconds(10)));
}

TEST(Membership, PlatformIsASecondPlaceToFindPeers) {
  MembershipFleet fleet(3);
  fleet.platform_up = true;
  fleet.Add("a", "derby");
  fleet.Add("b", "derby");
  CHECK(fleet.RunUntil([&] { return fleet.AgreesWithTruth(); }, seconds(10)));
}

TEST(Membership, ServersAreKnownEverywhereWithTheirPlace) {
  MembershipFleet fleet(4);
  Grow(fleet, {"derby", "telford"}, 3);
  RunAnnouncing(fleet, {"derby-1"}, seconds(10));
  const std::vector<ServerPlace>& places =
      fleet.at("telford-2").ServersOf("catalogue");
  CHECK_EQUAL(1u, places.size());
  CHECK(places[0].node == "derby-1");
  CHECK(places[0].data_centre == "derby");
  CHECK_FALSE(places[0].local);
  CHECK(fleet.at("derby-1").ServersOf("catalogue")[0].local);
  CHECK(fleet.at("telford-2").ServiceKnown("catalogue"));
  CHECK_FALSE(fleet.at("telford-2").ServiceKnown("proofing"));
}

TEST(Membership, RepeatedAnnouncementMakesNoNewVersion) {
  MembershipFleet fleet(5);
  fleet.Add("a", "derby");
  Announce(fleet, "a");
  const uint64_t version = fleet.at("a").version();
  Announce(fleet, "a");
  CHECK_EQUAL(version, fleet.at("a").version());
}

TEST(Membership, ServerThatStopsAnnouncingIsDropped) {
  MembershipFleet fleet(6);
  Grow(fleet, {"derby"}, 3);
  RunAnnouncing(fleet, {"derby-0"}, seconds(3));
  CHECK_EQUAL(2, CountOffering(fleet, "derby-0"));
  CHECK(fleet.RunUntil([&] { return CountOffering(fleet, "derby-0") == 0; },
                       seconds(4)));
}

// A node is killed. Callers' work goes on being sent there until the others
// notice: first they suspect it, then, after probes of several, call it dead.
// Nobody else may be taken for dead on the way.
TEST(Membership, KilledNodeIsFoundDead) {
  MembershipFleet fleet(7);
  Grow(fleet, {"derby"}, 6);
  fleet.Run(seconds(10));
  fleet.Kill("derby-3");
  CHECK(fleet.RunUntil([&] { return fleet.AgreesWithTruth(); }, seconds(15)));
  fleet.Run(seconds(60));
  CHECK(fleet.AgreesWithTruth());
}

// Every fifth datagram is lost, some come twice, all come out of order, for
// ten minutes. Probes fail all the time, so members are suspected; each must
// refute it before anybody calls it dead, or a healthy host loses its work.
TEST(Membership, LossAloneKillsNobody) {
  MembershipFleet fleet(8);
  fleet.loss = 0.2;
  fleet.duplication = 0.1;
  fleet.max_delay = milliseconds(40);
  Grow(fleet, {"derby"}, 5);
  fleet.Run(seconds(20));
  int suspicions = 0;
  for (int i = 0; i < 600; ++i) {
    fleet.Run(seconds(1));
    suspicions += CountInState(fleet, MemberState::kSuspect);
  }
  CHECK(suspicions > 0);
  CHECK_EQUAL(0, fleet.deaths_declared);
  CHECK(fleet.versions_rose);
}

// A process is stopped for 30 s and goes on. Meanwhile the others called it
// dead and one of them died. When it wakes, its own probes and suspicions are
// 30 s old: acting on them would call all others dead. It asks first.
TEST(Membership, PausedNodeComesBackWithoutBlamingOthers) {
  MembershipFleet fleet(9);
  Grow(fleet, {"derby"}, 5);
  fleet.Run(seconds(10));
  fleet.Pause("derby-2");
  fleet.Run(seconds(30));
  CHECK(fleet.at("derby-0").Find("derby-2")->state == MemberState::kDead);
  fleet.Kill("derby-4");
  fleet.Run(seconds(1));
  fleet.Resume("derby-2");
  CHECK_FALSE(fleet.at("derby-2").view_verified());
  for (const char* name : {"derby-0", "derby-1", "derby-3"}) {
    CHECK(IsUp(*fleet.at("derby-2").Find(name)));
  }
  CHECK(fleet.RunUntil([&] { return fleet.AgreesWithTruth(); }, seconds(15)));
  CHECK(fleet.at("derby-2").view_verified());
}

// A host is replaced: a new process with the same name, while the old one was
// only paused. The old one must not push the new one's record aside.
TEST(Membership, LaterIncarnationRetiresThePausedOne) {
  MembershipFleet fleet(10);
  Grow(fleet, {"derby"}, 3);
  fleet.Run(seconds(5));
  MemberRecord later = *fleet.at("derby-1").Find("derby-1");
  later.node.incarnation = 2;
  later.peer_address.ip = "10.0.0.9";
  fleet.Do("derby-1", [&](Membership& m, Context& context) {
    MemberSync sync;
    sync.members.push_back(later);
    m.OnSync({"derby-0", 1}, sync, context);
  });
  CHECK(fleet.at("derby-1").superseded());
  CHECK_EQUAL(0u, fleet.at("derby-1").superseded_here_by());
  CHECK_EQUAL(1u, fleet.at("derby-1").Find("derby-1")->node.incarnation);
}

// A node is stopped as planned and started again at its addresses while the
// store is away. It knows nobody, and nobody looks for one that has left: its
// server is missing and its callers get 503 until the store comes back.
TEST(Membership, ANodeThatStartsAgainAloneIsFoundByItsPeers) {
  MembershipFleet fleet(15);
  Grow(fleet, {"derby", "telford"}, 6);
  fleet.Run(seconds(15));
  fleet.Do("derby-3",
           [](Membership& m, Context& context) { m.Leave(context); });
  fleet.Run(seconds(2));
  fleet.Kill("derby-3");
  fleet.Run(milliseconds(700));
  fleet.host("derby-3").identity.seeds.clear();
  fleet.Restart("derby-3");
  CHECK(fleet.RunUntil(
      [&] { return fleet.at("derby-3").members().size() == 12; }, seconds(2)));
  CHECK(fleet.RunUntil([&] { return fleet.AgreesWithTruth(); }, seconds(5)));
}

// Callers' requests to a service find no server: its node was started again and
// nobody lists it. The host's clock had been set back in between, so the new
// process has the lower incarnation, and its records look outdated to all.
TEST(Membership, AProcessStartedAfterItsClockWentBackLearnsOfIt) {
  for (const bool left : {false, true}) {
    MembershipFleet fleet(14);
    Grow(fleet, {"derby"}, 4);
    fleet.Run(seconds(5));
    fleet.Kill("derby-1");
    fleet.RestartAs("derby-1", 100);
    CHECK(fleet.RunUntil([&] { return fleet.AgreesWithTruth(); }, seconds(15)));
    if (left) {
      fleet.Do("derby-1",
               [](Membership& m, Context& context) { m.Leave(context); });
      fleet.Run(seconds(2));
    }
    fleet.Kill("derby-1");
    fleet.Run(milliseconds(500));
    fleet.RestartAs("derby-1", 50);
    CHECK(fleet.RunUntil([&] { return fleet.at("derby-1").superseded(); },
                         seconds(3)));
    CHECK_EQUAL(100u, fleet.at("derby-1").superseded_here_by());
  }
}

// A node is told to stop while callers everywhere still send it work. Within
// 2 s no node of any data centre may offer its servers, with loss and all, or
// its drain takes longer than its callers' patience.
TEST(Membership, LeavingIsKnownToAllWithinTwoSeconds) {
  MembershipFleet fleet(11);
  Grow(fleet, {"derby", "telford", "walsall"}, 10);
  RunAnnouncing(fleet, {"derby-7"}, seconds(20));
  CHECK_EQUAL(29, CountOffering(fleet, "derby-7"));
  fleet.loss = 0.1;
  fleet.Do("derby-7",
           [](Membership& m, Context& context) { m.Leave(context); });
  RunAnnouncing(fleet, {"derby-7"}, seconds(2));
  CHECK_EQUAL(0, CountOffering(fleet, "derby-7"));
}

TEST(Membership, DrainingServerGetsNoNewWorkWithinTwoSeconds) {
  MembershipFleet fleet(12);
  Grow(fleet, {"derby", "telford"}, 8);
  RunAnnouncing(fleet, {"derby-1"}, seconds(15));
  fleet.Do("derby-1", [](Membership& m, Context& context) {
    m.SetServerDraining("s-derby-1", context);
  });
  RunAnnouncing(fleet, {"derby-1"}, seconds(2));
  CHECK_EQUAL(0, CountOffering(fleet, "derby-1"));
}

// One data centre is cut off for five minutes. Inside it work goes on; outside
// its members stay listed, since only their own data centre may judge them.
// One of them dies meanwhile; after the cut everybody learns that.
TEST(Membership, CutOffDataCentreStaysListedAndRejoins) {
  MembershipFleet fleet(13);
  Grow(fleet, {"derby", "telford"}, 4);
  fleet.Run(seconds(15));
  for (int i = 0; i < 4; ++i) fleet.host(Name("telford", i)).island = 1;
  fleet.Run(minutes(5));
  for (int i = 0; i < 4; ++i) {
    CHECK(IsUp(*fleet.at("derby-1").Find(Name("telford", i))));
    CHECK(IsUp(*fleet.at("telford-1").Find(Name("derby", i))));
  }
  fleet.Kill("telford-3");
  fleet.Run(seconds(15));
  for (int i = 0; i < 4; ++i) fleet.host(Name("telford", i)).island = 0;
  CHECK(fleet.RunUntil([&] { return fleet.AgreesWithTruth(); }, seconds(15)));
}

// A data centre splits in two halves that call each other dead and probe each
// other no more. Without an attempt at reconnecting they would stay apart.
TEST(Membership, HalvesOfADataCentreFindEachOtherAgain) {
  MembershipFleet fleet(14);
  Grow(fleet, {"derby"}, 6);
  fleet.Run(seconds(10));
  for (int i = 3; i < 6; ++i) fleet.host(Name("derby", i)).island = 1;
  fleet.Run(seconds(60));
  CHECK(fleet.at("derby-0").Find("derby-4")->state == MemberState::kDead);
  for (int i = 3; i < 6; ++i) fleet.host(Name("derby", i)).island = 0;
  CHECK(fleet.RunUntil([&] { return fleet.AgreesWithTruth(); }, seconds(30)));
}

TEST(Membership, RestartedServerIsColdAgain) {
  MembershipFleet fleet(15);
  fleet.Add("a", "derby");
  Announce(fleet, "a");
  const TimePoint first = fleet.at("a").ServersOf("catalogue")[0].first_seen;
  fleet.Run(seconds(1));
  fleet.Do("a", [](Membership& m, Context& context) {
    m.RemoveServer("s-a", context);
  });
  Announce(fleet, "a");
  CHECK(fleet.at("a").ServersOf("catalogue")[0].first_seen > first);
}

TEST(Membership, QuarantineReachesEveryNode) {
  MembershipFleet fleet(16);
  Grow(fleet, {"derby", "telford"}, 4);
  fleet.Run(seconds(10));
  fleet.Do("derby-2", [](Membership& m, Context& context) {
    m.AddQuarantine({"proofing", 77, 2}, context);
  });
  CHECK(fleet.RunUntil(
      [&] {
        for (auto& [name, host] : fleet.hosts()) {
          if (!host.membership->IsQuarantined("proofing", 77)) return false;
        }
        return true;
      },
      seconds(5)));
  CHECK_FALSE(fleet.at("telford-0").IsQuarantined("proofing", 78));
}

TEST(Membership, SettingsVersionReachesEveryNodeWithinASecond) {
  MembershipFleet fleet(17);
  Grow(fleet, {"derby"}, 12);
  fleet.Run(seconds(10));
  for (auto& [name, host] : fleet.hosts()) {
    Membership* membership = host.membership.get();
    membership->on_settings_version = [membership](const std::string&,
                                                   uint64_t version, Context&) {
      membership->SetSettingsVersion(version);
    };
  }
  int informed = 0;
  fleet.Do("derby-5",
           [&](Membership& m, Context&) { m.SetSettingsVersion(3); });
  for (auto& [name, host] : fleet.hosts()) {
    host.membership->on_settings_version =
        [&informed, membership = host.membership.get()](
            const std::string&, uint64_t version, Context&) {
          if (version < 3) return;
          membership->SetSettingsVersion(version);
          ++informed;
        };
  }
  CHECK(fleet.RunUntil([&] { return informed == 11; }, seconds(1)));
}

// Guards against calls to servers that are known to be bad: when many turn bad
// at once, their records do not fit into one datagram.
TEST(Membership, ManyBadServersAreKnownEverywhereWithinASecond) {
  MembershipFleet fleet(23);
  Grow(fleet, {"derby"}, 40);
  constexpr int kBad = 25;
  std::vector<std::string> bad;
  bad.reserve(kBad);
  for (int i = 0; i < kBad; ++i) bad.push_back(Name("derby", i));
  RunAnnouncing(fleet, bad, seconds(20));
  for (const std::string& node : bad) {
    fleet.Do(node, [&](Membership& m, Context& context) {
      m.SetServerFitness("s-" + node, {true, 1}, context);
    });
  }
  const std::function<bool()> all_know = [&] {
    for (auto& [name, host] : fleet.hosts()) {
      for (const ServerPlace& place : host.membership->ServersOf("catalogue")) {
        if (!place.fitness.failing) return false;
      }
    }
    return true;
  };
  CHECK(fleet.RunUntil(all_know, seconds(1)));
}

}  // namespace amaranth::pvt
