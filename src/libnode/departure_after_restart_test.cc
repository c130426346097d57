// Backend servers that leave or drain while nodes are killed, stopped and
// restarted, through complete nodes in virtual time.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDrainTime = seconds(2);
constexpr Duration kMaxAcknowledgement = seconds(1);
const std::vector<std::string> kNodes = {"a1", "a2", "a3", "b1", "b2"};

}  // namespace

// Five nodes of two data centres; "leaves" runs beside a1, "stays" beside b1.
TEST_GROUP(DepartureAfterRestart) {
  FakeFleet fleet{59};
  std::vector<TimePoint> runs;  // of the server that leaves

  void Start(bool use_platform) {
    for (const std::string& node : kNodes) {
      fleet.AddNode(node, node.substr(0, 1), use_platform);
    }
    Add("leaves", "a1");
    Add("stays", "b1");
    fleet.on_run = [this](const FakeServerRun& run) {
      if (run.server == "leaves") runs.push_back(run.at);
    };
    fleet.RunFor(seconds(20));
    fleet.StopAnnouncing("leaves");
    SendRequests();
    fleet.RunFor(seconds(1));
    CHECK(!runs.empty());
  }

  void Add(const std::string& name, const std::string& node) {
    FakeServerOptions server;
    server.name = name;
    server.service = "catalogue";
    server.slots = 50;
    server.started_ms = 1000;
    fleet.AddServer(node, server);
  }

  // Sends a request every 10 ms, through each node in turn.
  void SendRequests() {
    for (size_t i = 0; i < 4000; ++i) {
      fleet.At(i * milliseconds(10), [this, i] {
        fleet.Call(
            kNodes[i % kNodes.size()],
            MakeRequest("GET", "catalogue", "browse", "r" + std::to_string(i)));
      });
    }
  }

  // Sends a message of the server and returns when it was acknowledged.
  TimePoint Acknowledge(const HttpRequest& message) {
    const TimePoint sent = fleet.now();
    const uint64_t call = fleet.Call("a1", message);
    CHECK(fleet.RunUntil([&] { return fleet.AnswerOf(call) != nullptr; },
                         kMaxAcknowledgement));
    CHECK_EQUAL(200, fleet.AnswerOf(call)->response.status);
    CHECK(fleet.now() - sent <= kMaxAcknowledgement);
    return fleet.now();
  }

  void Restart(const std::vector<std::string>& nodes, Duration pause) {
    for (const std::string& node : nodes) fleet.Kill(node);
    fleet.RunFor(pause);
    for (const std::string& node : nodes) fleet.Restart(node);
  }

  // `held` arrives 1.5 s after the restart.
  void CheckNoRunsAfterDrain(TimePoint acknowledged, const HttpRequest& held) {
    fleet.RunFor(milliseconds(1500));
    fleet.Call("a1", held);
    fleet.RunFor(seconds(4));
    CHECK_EQUAL(0, std::count_if(runs.begin(), runs.end(), [&](TimePoint at) {
                  return at > acknowledged + kDrainTime;
                }));
  }
};

// Guards against a delayed announcement that the next process of the node
// believes: requests reached a server seconds after its leave was acknowledged.
TEST(DepartureAfterRestart, IsKnownToTheNextProcess) {
  Start(false);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  const TimePoint left = Acknowledge(fleet.LeaveMessage("leaves"));
  Restart({"a1"}, milliseconds(700));
  CheckNoRunsAfterDrain(left, held);
}

// Guards against a leave that is forgotten if all nodes end with the one that
// acknowledged it.
TEST(DepartureAfterRestart, IsKnownIfAllNodesRestart) {
  Start(true);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  const TimePoint left = Acknowledge(fleet.LeaveMessage("leaves"));
  Restart(kNodes, milliseconds(700));
  CheckNoRunsAfterDrain(left, held);
}

// Guards against a drain that is forgotten because no leave followed it.
TEST(DepartureAfterRestart, CoversADrainWithoutALeave) {
  Start(true);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  const TimePoint left = Acknowledge(fleet.NextAnnouncement("leaves", true));
  Restart({"a1"}, milliseconds(700));
  CheckNoRunsAfterDrain(left, held);
}

// Guards against a departure that keeps out the next process of the server.
TEST(DepartureAfterRestart, DoesNotKeepOutASuccessor) {
  Start(true);
  Acknowledge(fleet.LeaveMessage("leaves"));
  Restart({"a1"}, milliseconds(700));
  fleet.RunFor(milliseconds(1500));
  fleet.ReplaceProcess("leaves", 2000);
  runs.clear();
  fleet.Call("a1", fleet.NextAnnouncement("leaves"));
  CHECK(fleet.RunUntil([&] { return !runs.empty(); }, seconds(1)));
}

// Guards against a sound server that has to wait until its node has asked for
// departures.
TEST(DepartureAfterRestart, DoesNotDelayASoundServer) {
  Start(true);
  Restart(kNodes, milliseconds(700));
  fleet.RunFor(milliseconds(1500));
  runs.clear();
  fleet.Call("a1", fleet.NextAnnouncement("leaves"));
  CHECK(fleet.RunUntil([&] { return !runs.empty(); }, seconds(1)));
}

// The same deployment, with departures that no node and no row of the platform
// holds, because the platform is away and all that know of them end.
TEST_GROUP_BASE(DepartureWithoutPlatform,
                TEST_GROUP_CppUTestGroupDepartureAfterRestart){
    // Takes the platform away, and has the server send `message`.
    TimePoint DepartInOutage(const HttpRequest& message){
        fleet.SetPlatform(PlatformMode::kDown);
return Acknowledge(message);
}  // namespace amaranth::pvt

void EndOutageAfter(Duration delay) {
  fleet.At(delay, [this] { fleet.SetPlatform(PlatformMode::kUp); });
}

// Delivers the announcements half a second apart.
void Deliver(const std::vector<HttpRequest>& announcements) {
  for (const HttpRequest& announcement : announcements) {
    fleet.Call("a1", announcement);
    fleet.RunFor(milliseconds(500));
  }
}

void Stop(const std::vector<std::string>& nodes) {
  for (const std::string& node : nodes) fleet.Stop(node);
  CHECK(fleet.RunUntil(
      [&] {
        return std::all_of(
            nodes.begin(), nodes.end(),
            [&](const std::string& node) { return fleet.Exited(node); });
      },
      seconds(40)));
}
}
;

// Guards against a leave that no node, and no row of the platform, can know.
TEST(DepartureWithoutPlatform, IsKnownIfAllNodesRestart) {
  Start(true);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  fleet.SetPlatform(PlatformMode::kDown);
  const TimePoint left = Acknowledge(fleet.LeaveMessage("leaves"));
  Restart(kNodes, milliseconds(700));
  // Without settings the nodes serve nothing until the platform is back.
  fleet.At(milliseconds(2000),
           [this] { fleet.SetPlatform(PlatformMode::kUp); });
  CheckNoRunsAfterDrain(left, held);
}

// Guards against a delayed announcement that is believed because the platform
// answers again.
TEST(DepartureWithoutPlatform, IsDoubtedAfterTheOutage) {
  Start(true);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  const TimePoint left = DepartInOutage(fleet.LeaveMessage("leaves"));
  Restart(kNodes, milliseconds(700));
  EndOutageAfter(milliseconds(1200));
  CheckNoRunsAfterDrain(left, held);
}

// Guards against two delayed announcements that pass for a server in use.
TEST(DepartureWithoutPlatform, IsDoubtedDespiteTwoLateAnnouncements) {
  Start(true);
  const std::vector<HttpRequest> held = {fleet.NextAnnouncement("leaves"),
                                         fleet.NextAnnouncement("leaves")};
  const TimePoint left = DepartInOutage(fleet.LeaveMessage("leaves"));
  Restart(kNodes, milliseconds(700));
  EndOutageAfter(milliseconds(1700));
  fleet.RunFor(milliseconds(500));
  Deliver(held);
  CheckNoRunsAfterDrain(left, held.back());
}

// Guards against a delayed announcement that ends a drain nobody knows of.
TEST(DepartureWithoutPlatform, IsDoubtedAfterADrain) {
  Start(true);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  const TimePoint left = DepartInOutage(fleet.NextAnnouncement("leaves", true));
  Restart(kNodes, milliseconds(700));
  EndOutageAfter(milliseconds(1200));
  CheckNoRunsAfterDrain(left, held);
}

// Guards against a late drain whose end, later still, is believed at once.
TEST(DepartureWithoutPlatform, IsDoubtedAtTheEndOfADrain) {
  Start(true);
  const std::vector<HttpRequest> held = {fleet.NextAnnouncement("leaves", true),
                                         fleet.NextAnnouncement("leaves")};
  const TimePoint left = DepartInOutage(fleet.LeaveMessage("leaves"));
  Restart(kNodes, milliseconds(700));
  EndOutageAfter(milliseconds(1200));
  fleet.RunFor(milliseconds(500));
  Deliver(held);
  CheckNoRunsAfterDrain(left, held.back());
}

// Guards against an outage that the next process does not see, as it ended
// before it started: its row lacks the leave.
TEST(DepartureWithoutPlatform, IsDoubtedIfTheOutageEndedBeforeTheRestart) {
  Start(true);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  const TimePoint left = DepartInOutage(fleet.LeaveMessage("leaves"));
  EndOutageAfter(milliseconds(400));
  Restart(kNodes, milliseconds(700));
  fleet.RunFor(milliseconds(1500));
  CheckNoRunsAfterDrain(left, held);
}

// Guards against a server that stays in use on the word of one announcement,
// which arrived as soon after the start as one of a server in use would have.
TEST(DepartureWithoutPlatform, IsDoubtedAgainIfNoMoreAnnouncementsFollow) {
  Start(true);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  DepartInOutage(fleet.LeaveMessage("leaves"));
  EndOutageAfter(milliseconds(400));
  Restart(kNodes, milliseconds(700));
  fleet.RunFor(milliseconds(1500));
  fleet.Call("a1", held);
  fleet.RunFor(milliseconds(1500));
  runs.clear();
  fleet.Call("a1", held);
  fleet.RunFor(seconds(4));
  CHECK_EQUAL(0u, runs.size());
}

// Guards against a node that lives on and is taken for a witness of the leave,
// which never reached it.
TEST(DepartureWithoutPlatform, IsDoubtedIfASurvivorNeverKnew) {
  Start(true);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  for (const std::string& node : kNodes) {
    if (node != "a2") fleet.Cut("a2", node);
  }
  const TimePoint left = DepartInOutage(fleet.LeaveMessage("leaves"));
  Restart({"a1", "a3", "b1", "b2"}, milliseconds(700));
  fleet.Heal();
  EndOutageAfter(milliseconds(1200));
  CheckNoRunsAfterDrain(left, held);
}

// Guards against a doubt that ends with the process that had it.
TEST(DepartureWithoutPlatform, IsDoubtedAfterASecondRestart) {
  Start(true);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  const TimePoint left = DepartInOutage(fleet.LeaveMessage("leaves"));
  Restart(kNodes, milliseconds(700));
  fleet.RunFor(milliseconds(600));
  Restart(kNodes, milliseconds(700));
  EndOutageAfter(milliseconds(1200));
  CheckNoRunsAfterDrain(left, held);
}

// Guards against a leave that is given to a process which is stopping.
TEST(DepartureWithoutPlatform, IsDoubtedAfterPlannedStops) {
  fleet.rules.leave_grace = milliseconds(500);
  Start(true);
  const HttpRequest held = fleet.NextAnnouncement("leaves");
  fleet.SetPlatform(PlatformMode::kDown);
  fleet.Stop("a1");
  const TimePoint left = DepartInOutage(fleet.LeaveMessage("leaves"));
  Stop(kNodes);
  Restart(kNodes, milliseconds(700));
  EndOutageAfter(milliseconds(1200));
  CheckNoRunsAfterDrain(left, held);
}

// Guards against a server in use that waits for the end of an outage before it
// can prove that it is there.
TEST(DepartureWithoutPlatform, DoesNotDelayASoundServerAfterALongOutage) {
  Start(true);
  fleet.SetPlatform(PlatformMode::kDown);
  Restart(kNodes, milliseconds(700));
  Deliver({fleet.NextAnnouncement("leaves"), fleet.NextAnnouncement("leaves"),
           fleet.NextAnnouncement("leaves")});
  fleet.SetPlatform(PlatformMode::kUp);
  runs.clear();
  CHECK(fleet.RunUntil([&] { return !runs.empty(); }, seconds(3)));
}

// Guards against doubt that does not end: the third announcement ends it.
TEST(DepartureWithoutPlatform, DoesNotKeepOutASoundServer) {
  Start(true);
  fleet.SetPlatform(PlatformMode::kDown);
  Restart(kNodes, milliseconds(700));
  EndOutageAfter(milliseconds(1200));
  fleet.RunFor(seconds(5));
  runs.clear();
  Deliver({fleet.NextAnnouncement("leaves"), fleet.NextAnnouncement("leaves"),
           fleet.NextAnnouncement("leaves")});
  CHECK(!runs.empty());
}

}  // namespace amaranth::pvt
