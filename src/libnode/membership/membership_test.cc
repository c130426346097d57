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

std::string NodeName(const std::string& data_centre, int index) {
  return data_centre + "-" + std::to_string(index);
}

// Adds `nodes_per_centre` nodes to each data centre. The first node is the seed
// of all others.
void AddNodes(MembershipFleet& fleet, const std::vector<std::string>& centres,
              int nodes_per_centre) {
  const std::string seed = NodeName(centres[0], 0);
  for (const std::string& centre : centres) {
    for (int i = 0; i < nodes_per_centre; ++i) {
      const std::string name = NodeName(centre, i);
      fleet.Add(name, centre,
                name == seed ? std::vector<std::string>()
                             : std::vector<std::string>{seed});
    }
  }
}

ServerRecord MakeServer(const std::string& name) {
  return {name, "catalogue", {"127.0.0.1", 8080}, 100, false, {}};
}

void Announce(MembershipFleet& fleet, const std::string& node) {
  fleet.Invoke(node, [&](Membership& m, Context& context) {
    m.AnnounceServer(MakeServer("s-" + node), context);
  });
}

// Runs the fleet while the servers announce themselves each half second, as
// real backend servers do.
void RunAnnouncing(MembershipFleet& fleet,
                   const std::vector<std::string>& nodes, Duration time) {
  for (Duration run{0}; run < time; run += milliseconds(500)) {
    for (const std::string& node : nodes) Announce(fleet, node);
    fleet.Run(milliseconds(500));
  }
}

bool ListsServerOf(MembershipFleet& fleet, const std::string& viewer,
                   const std::string& node) {
  for (const ServerPlace& place : fleet.at(viewer).ServersOf("catalogue")) {
    if (place.node == node) return true;
  }
  return false;
}

int CountNodesListing(MembershipFleet& fleet, const std::string& node) {
  int count = 0;
  for (auto& [name, host] : fleet.hosts()) {
    if (host.running && name != node) count += ListsServerOf(fleet, name, node);
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
  AddNodes(fleet, {"derby"}, 8);
  CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                       seconds(5)));
}

TEST(Membership, DataCentresLearnEachOther) {
  MembershipFleet fleet(2);
  AddNodes(fleet, {"derby", "telford", "walsall"}, 4);
  CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                       seconds(10)));
}

TEST(Membership, PeersAreDiscoveredThroughThePlatform) {
  MembershipFleet fleet(3);
  fleet.platform_up = true;
  fleet.Add("a", "derby");
  fleet.Add("b", "derby");
  CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                       seconds(10)));
}

// Guards against nodes that start at once and don't find each other among the
// rows of many nodes that are gone.
TEST(Membership, PeersAreDiscoveredAmongRowsOfNodesThatAreGone) {
  MembershipFleet fleet(65);
  fleet.platform_up = true;
  for (int i = 0; i < 4; ++i) fleet.Add(NodeName("derby", i), "derby");
  fleet.Run(seconds(40));
  for (int i = 0; i < 1200; ++i) {
    fleet.AddPeerRow("aged-" + std::to_string(i), "10.0.0.1:9");
  }
  for (int i = 0; i < 4; ++i) fleet.Restart(NodeName("derby", i));
  CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                       seconds(15)));
}

// Guards against a node that starts and finds no peer, because the platform
// came back from a copy made before the nodes wrote their rows.
TEST(Membership, PeerRowsAreWrittenAgainAfterThePlatformWasRestored) {
  MembershipFleet fleet(3);
  fleet.platform_up = true;
  AddNodes(fleet, {"derby", "telford"}, 4);
  const auto all_rows_written = [&] { return fleet.peer_rows() == 8; };
  CHECK(fleet.RunUntil(all_rows_written, seconds(40)));
  fleet.RestorePlatform("derby-0");
  fleet.Run(seconds(5));
  CHECK(fleet.peer_rows() > 0);
  CHECK(fleet.RunUntil(all_rows_written, seconds(20)));
  fleet.Add("newcomer", "telford");
  CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                       seconds(10)));
}

TEST(Membership, ServersAreListedOnEveryNode) {
  MembershipFleet fleet(4);
  AddNodes(fleet, {"derby", "telford"}, 3);
  RunAnnouncing(fleet, {"derby-1"}, seconds(10));
  const std::vector<ServerPlace>& places =
      fleet.at("telford-2").ServersOf("catalogue");
  CHECK_EQUAL(1u, places.size());
  CHECK(places[0].node == "derby-1");
  CHECK(places[0].data_centre == "derby");
  CHECK_FALSE(places[0].local);
  CHECK(fleet.at("derby-1").ServersOf("catalogue")[0].local);
  CHECK(fleet.at("telford-2").IsServiceKnown("catalogue"));
  CHECK_FALSE(fleet.at("telford-2").IsServiceKnown("proofing"));
}

TEST(Membership, RepeatedAnnouncementKeepsTheVersion) {
  MembershipFleet fleet(5);
  fleet.Add("a", "derby");
  Announce(fleet, "a");
  const uint64_t version = fleet.at("a").version();
  Announce(fleet, "a");
  CHECK_EQUAL(version, fleet.at("a").version());
}

TEST(Membership, ServerThatStopsAnnouncingIsDropped) {
  MembershipFleet fleet(6);
  AddNodes(fleet, {"derby"}, 3);
  RunAnnouncing(fleet, {"derby-0"}, seconds(3));
  CHECK_EQUAL(2, CountNodesListing(fleet, "derby-0"));
  CHECK(fleet.RunUntil([&] { return CountNodesListing(fleet, "derby-0") == 0; },
                       seconds(4)));
}

// Guards against an undetected crash: calls are sent to a killed node until the
// others first suspect it and then, after further probes, declare it dead. No
// other node may be declared dead meanwhile.
TEST(Membership, KilledNodeIsDeclaredDead) {
  MembershipFleet fleet(7);
  AddNodes(fleet, {"derby"}, 6);
  fleet.Run(seconds(10));
  fleet.Kill("derby-3");
  CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                       seconds(15)));
  fleet.Run(seconds(60));
  CHECK(fleet.ViewsMatchRunningNodes());
}

// Guards against healthy nodes being declared dead because of lost datagrams.
// For ten minutes every fifth datagram is lost, some are duplicated, and they
// arrive out of order. Probes keep failing, so members are suspected, and each
// must refute the suspicion in time.
TEST(Membership, DatagramLossDeclaresNoNodeDead) {
  MembershipFleet fleet(8);
  fleet.loss = 0.2;
  fleet.duplication = 0.1;
  fleet.max_delay = milliseconds(40);
  AddNodes(fleet, {"derby"}, 5);
  fleet.Run(seconds(20));
  int suspicions = 0;
  for (int i = 0; i < 600; ++i) {
    fleet.Run(seconds(1));
    suspicions += CountInState(fleet, MemberState::kSuspect);
  }
  CHECK(suspicions > 0);
  CHECK_EQUAL(0, fleet.deaths_declared);
  CHECK(fleet.versions_monotonic);
}

// Guards against a resumed process that declares its peers dead. It is paused
// for 30 s; meanwhile the others declared it dead and one of them died. Its
// probes and suspicions have expired by then, so it must contact its peers
// before it acts on them.
TEST(Membership, ResumedNodeDeclaresNoPeerDead) {
  MembershipFleet fleet(9);
  AddNodes(fleet, {"derby"}, 5);
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
  CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                       seconds(15)));
  CHECK(fleet.at("derby-2").view_verified());
}

// Guards against an old process that overwrites the record of its replacement:
// a new process has the same name while the old one was only paused.
TEST(Membership, LaterIncarnationSupersedesPausedProcess) {
  MembershipFleet fleet(10);
  AddNodes(fleet, {"derby"}, 3);
  fleet.Run(seconds(5));
  MemberRecord later = *fleet.at("derby-1").Find("derby-1");
  later.node.incarnation = 2;
  later.peer_address.ip = "10.0.0.9";
  fleet.Invoke("derby-1", [&](Membership& m, Context& context) {
    MemberSync sync;
    sync.members.push_back(later);
    m.OnSync({"derby-0", 1}, sync, context);
  });
  CHECK(fleet.at("derby-1").superseded());
  CHECK_EQUAL(0u, fleet.at("derby-1").superseded_at_same_address_by());
  CHECK_EQUAL(1u, fleet.at("derby-1").Find("derby-1")->node.incarnation);
}

// Guards against a missing server after a planned restart while the platform is
// unreachable. The restarted node has no peers to contact. If the others did
// not ping members that left, its callers would get 503 until the platform is
// back.
TEST(Membership, NodeRestartedWithoutSeedsIsFoundByItsPeers) {
  MembershipFleet fleet(15);
  AddNodes(fleet, {"derby", "telford"}, 6);
  fleet.Run(seconds(15));
  fleet.Invoke("derby-3",
               [](Membership& m, Context& context) { m.Leave(context); });
  fleet.Run(seconds(2));
  fleet.Kill("derby-3");
  fleet.Run(milliseconds(700));
  fleet.host("derby-3").identity.seeds.clear();
  fleet.Restart("derby-3");
  CHECK(fleet.RunUntil(
      [&] { return fleet.at("derby-3").members().size() == 12; }, seconds(2)));
  CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                       seconds(5)));
}

// Guards against a restarted node that no other node lists, so that requests to
// its services find no server. The host's clock was set back before the
// restart, so the new process has a lower incarnation and its records look
// outdated.
TEST(Membership, ProcessStartedAfterClockWasSetBackIsSuperseded) {
  for (const bool left : {false, true}) {
    MembershipFleet fleet(14);
    AddNodes(fleet, {"derby"}, 4);
    fleet.Run(seconds(5));
    fleet.Kill("derby-1");
    fleet.RestartAs("derby-1", 100);
    CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                         seconds(15)));
    if (left) {
      fleet.Invoke("derby-1",
                   [](Membership& m, Context& context) { m.Leave(context); });
      fleet.Run(seconds(2));
    }
    fleet.Kill("derby-1");
    fleet.Run(milliseconds(500));
    fleet.RestartAs("derby-1", 50);
    CHECK(fleet.RunUntil([&] { return fleet.at("derby-1").superseded(); },
                         seconds(3)));
    CHECK_EQUAL(100u, fleet.at("derby-1").superseded_at_same_address_by());
  }
}

// Guards against new work for a node that is stopping. Within 2 s no node of
// any data centre may list its servers, despite datagram loss, or its drain
// would outlast its callers' timeouts.
TEST(Membership, LeavingNodeIsUnlistedWithinTwoSeconds) {
  MembershipFleet fleet(11);
  AddNodes(fleet, {"derby", "telford", "walsall"}, 10);
  RunAnnouncing(fleet, {"derby-7"}, seconds(20));
  CHECK_EQUAL(29, CountNodesListing(fleet, "derby-7"));
  fleet.loss = 0.1;
  fleet.Invoke("derby-7",
               [](Membership& m, Context& context) { m.Leave(context); });
  RunAnnouncing(fleet, {"derby-7"}, seconds(2));
  CHECK_EQUAL(0, CountNodesListing(fleet, "derby-7"));
}

TEST(Membership, DrainingServerGetsNoNewWorkWithinTwoSeconds) {
  MembershipFleet fleet(12);
  AddNodes(fleet, {"derby", "telford"}, 8);
  RunAnnouncing(fleet, {"derby-1"}, seconds(15));
  fleet.Invoke("derby-1", [](Membership& m, Context& context) {
    m.SetServerDraining("s-derby-1", context);
  });
  RunAnnouncing(fleet, {"derby-1"}, seconds(2));
  CHECK_EQUAL(0, CountNodesListing(fleet, "derby-1"));
}

// Guards against the loss of a data centre's members during a network
// partition. One data centre is cut off for five minutes. Its members stay
// listed elsewhere, since only their own data centre may declare them dead. One
// of them dies during the partition; after it all nodes learn of that.
TEST(Membership, PartitionedDataCentreStaysListedAndRejoins) {
  MembershipFleet fleet(13);
  AddNodes(fleet, {"derby", "telford"}, 4);
  fleet.Run(seconds(15));
  for (int i = 0; i < 4; ++i) fleet.host(NodeName("telford", i)).partition = 1;
  fleet.Run(minutes(5));
  for (int i = 0; i < 4; ++i) {
    CHECK(IsUp(*fleet.at("derby-1").Find(NodeName("telford", i))));
    CHECK(IsUp(*fleet.at("telford-1").Find(NodeName("derby", i))));
  }
  fleet.Kill("telford-3");
  fleet.Run(seconds(15));
  for (int i = 0; i < 4; ++i) fleet.host(NodeName("telford", i)).partition = 0;
  CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                       seconds(15)));
}

// Guards against a lasting split of a data centre: its halves declared each
// other dead and no longer probe each other, so they rejoin only by
// reconnecting.
TEST(Membership, HalvesOfAPartitionedDataCentreRejoin) {
  MembershipFleet fleet(14);
  AddNodes(fleet, {"derby"}, 6);
  fleet.Run(seconds(10));
  for (int i = 3; i < 6; ++i) fleet.host(NodeName("derby", i)).partition = 1;
  fleet.Run(seconds(60));
  CHECK(fleet.at("derby-0").Find("derby-4")->state == MemberState::kDead);
  for (int i = 3; i < 6; ++i) fleet.host(NodeName("derby", i)).partition = 0;
  CHECK(fleet.RunUntil([&] { return fleet.ViewsMatchRunningNodes(); },
                       seconds(30)));
}

TEST(Membership, ReturningServerHasANewFirstSeenTime) {
  MembershipFleet fleet(15);
  fleet.Add("a", "derby");
  Announce(fleet, "a");
  const TimePoint first = fleet.at("a").ServersOf("catalogue")[0].first_seen;
  fleet.Run(seconds(1));
  fleet.Invoke("a", [](Membership& m, Context& context) {
    m.RemoveServer("s-a", context);
  });
  Announce(fleet, "a");
  CHECK(fleet.at("a").ServersOf("catalogue")[0].first_seen > first);
}

TEST(Membership, QuarantineReachesEveryNode) {
  MembershipFleet fleet(16);
  AddNodes(fleet, {"derby", "telford"}, 4);
  fleet.Run(seconds(10));
  fleet.Invoke("derby-2", [](Membership& m, Context& context) {
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
  AddNodes(fleet, {"derby"}, 12);
  fleet.Run(seconds(10));
  for (auto& [name, host] : fleet.hosts()) {
    Membership* membership = host.membership.get();
    membership->on_settings_version = [membership](const std::string&,
                                                   uint64_t version, Context&) {
      membership->SetSettingsVersion(version);
    };
  }
  int informed = 0;
  fleet.Invoke("derby-5",
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

// Guards against calls to servers that are known to fail. If many start to fail
// at once, their records do not fit into one datagram.
TEST(Membership, ManyFailingServersAreKnownEverywhereWithinASecond) {
  MembershipFleet fleet(23);
  AddNodes(fleet, {"derby"}, 40);
  constexpr int kFailing = 25;
  std::vector<std::string> failing;
  failing.reserve(kFailing);
  for (int i = 0; i < kFailing; ++i) failing.push_back(NodeName("derby", i));
  RunAnnouncing(fleet, failing, seconds(20));
  for (const std::string& node : failing) {
    fleet.Invoke(node, [&](Membership& m, Context& context) {
      m.SetServerFitness("s-" + node, {true, 1}, context);
    });
  }
  const std::function<bool()> all_informed = [&] {
    for (auto& [name, host] : fleet.hosts()) {
      for (const ServerPlace& place : host.membership->ServersOf("catalogue")) {
        if (!place.fitness.failing) return false;
      }
    }
    return true;
  };
  CHECK(fleet.RunUntil(all_informed, seconds(1)));
}

}  // namespace amaranth::pvt
