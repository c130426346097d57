// Property test of departures over random orders of leaves, drains, delayed
// announcements, kills, stops and restarts of nodes, and outages of the
// platform. The environment variable AMARANTH_PROPERTY_SEEDS gives the number
// of seeds.

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSeedsInCi = 30;
constexpr Duration kDrainTime = seconds(2);
constexpr Duration kStep = milliseconds(100);
constexpr int kSteps = 600;
constexpr int kStepsPerAnnouncement = 5;
constexpr char kServer[] = "server";
const std::vector<std::string> kNodes = {"a1", "a2", "b1", "b2"};

// A server beside a1 whose processes leave or drain one after the other, and
// one beside b1 that stays. Seeds alternate between two kinds of faults, so
// that some node or the platform can always know a departure: any nodes end
// while the platform is up, or one node at a time, also while it is down.
class Scenario {
 public:
  explicit Scenario(uint64_t seed)
      : fleet_(seed), random_(seed * 31 + 7), ends_many_nodes_(seed % 2 == 0) {
    for (const std::string& node : kNodes) {
      fleet_.AddNode(node, node.substr(0, 1), true);
    }
    AddServer(kServer, "a1");
    AddServer("stays", "b1");
    fleet_.StopAnnouncing(kServer);
    fleet_.SetDatagramLoss(0.05);
    fleet_.on_run = [this](const FakeServerRun& run) {
      if (run.server != kServer) return;
      last_run_ = run.at;
      if (acknowledged_ && run.at > *acknowledged_ + kDrainTime) ++late_runs_;
    };
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) Step(step);
    fleet_.SetPlatform(PlatformMode::kUp);
    for (int i = 0; i < 120; ++i) {
      fleet_.RunFor(kStep);
      RestartExited();
    }
    ReplaceServer();
    for (int i = 0; i < 6; ++i) {
      Post(fleet_.NextAnnouncement(kServer));
      SendRequests(milliseconds(500));
    }
  }

  size_t late_runs() const { return late_runs_; }
  size_t departures() const { return departures_; }
  bool last_process_is_used() const {
    return last_run_ > fleet_.now() - seconds(1);
  }

 private:
  uint64_t RandomBelow(uint64_t limit) { return random_() % limit; }

  void AddServer(const std::string& name, const std::string& node) {
    FakeServerOptions server;
    server.name = name;
    server.service = "catalogue";
    server.slots = 50;
    server.started_ms = started_ms_;
    fleet_.AddServer(node, server);
  }

  uint64_t Post(const HttpRequest& message) {
    return fleet_.Call("a1", message);
  }

  void SendRequests(Duration length) {
    for (Duration at{0}; at < length; at += milliseconds(20)) {
      const std::string& node = kNodes[RandomBelow(kNodes.size())];
      fleet_.Call(node, MakeRequest("GET", "catalogue", "browse",
                                    "r" + std::to_string(next_request_++)));
      fleet_.RunFor(milliseconds(20));
    }
  }

  void Step(int step) {
    if (step % kStepsPerAnnouncement == 0) Announce();
    if (!delayed_.empty() && RandomBelow(10) == 0) {
      Post(delayed_[RandomBelow(delayed_.size())]);
    }
    if (RandomBelow(12) == 0) EndNodes();
    if (!ends_many_nodes_ && RandomBelow(20) == 0) {
      fleet_.SetPlatform(RandomBelow(2) == 0 ? PlatformMode::kUp
                                             : PlatformMode::kDown);
    }
    const bool ready = !departing_ && !acknowledged_;
    if (ready && step % 60 == 20) departing_ = true;
    const bool gone =
        acknowledged_ && fleet_.now() > *acknowledged_ + seconds(4);
    if (gone && RandomBelow(20) == 0) ReplaceServer();
    RestartExited();
    SendRequests(kStep);
    if (departing_ && fleet_.AnswerOf(departure_call_) != nullptr) {
      departing_ = false;
      acknowledged_ = fleet_.AnswerOf(departure_call_)->at;
      ++departures_;
    }
  }

  void Announce() {
    if (departing_) {
      departure_call_ =
          Post(sends_leave_ ? fleet_.LeaveMessage(kServer)
                            : fleet_.NextAnnouncement(kServer, true));
      return;
    }
    if (acknowledged_) {
      // Some servers go on saying "ready" after their leave.
      if (sends_leave_ && says_ready_) Post(fleet_.NextAnnouncement(kServer));
      if (!sends_leave_) Post(fleet_.NextAnnouncement(kServer, true));
      return;
    }
    const HttpRequest announcement = fleet_.NextAnnouncement(kServer);
    delayed_.push_back(announcement);
    if (RandomBelow(4) > 0) Post(announcement);
  }

  void ReplaceServer() {
    departing_ = false;
    departure_call_ = 0;
    acknowledged_.reset();
    started_ms_ += 1000;
    fleet_.ReplaceProcess(kServer, started_ms_);
    sends_leave_ = RandomBelow(3) > 0;
    says_ready_ = RandomBelow(2) == 0;
  }

  void EndNodes() {
    if (!down_.empty()) return;
    const size_t count = ends_many_nodes_ ? 1 + RandomBelow(kNodes.size()) : 1;
    // The node beside the server ends most often.
    const size_t first = RandomBelow(2) == 0 ? 0 : RandomBelow(kNodes.size());
    const bool is_planned = RandomBelow(3) == 0;
    for (size_t i = 0; i < count; ++i) {
      const std::string& node = kNodes[(first + i) % kNodes.size()];
      down_.insert(node);
      if (is_planned) {
        fleet_.Stop(node);
        continue;
      }
      fleet_.Kill(node);
      fleet_.At(milliseconds(RandomBelow(3000)), [this, node] {
        fleet_.Restart(node);
        down_.erase(node);
      });
    }
  }

  void RestartExited() {
    for (const std::string& node : kNodes) {
      if (down_.count(node) == 0 || !fleet_.Exited(node)) continue;
      fleet_.Restart(node);
      down_.erase(node);
    }
  }

  FakeFleet fleet_;
  std::mt19937_64 random_;
  const bool ends_many_nodes_;
  uint64_t started_ms_ = 1000;
  bool sends_leave_ = true;  // otherwise it drains without a leave
  bool says_ready_ = false;  // after its leave
  bool departing_ = false;   // until the departure is acknowledged
  uint64_t departure_call_ = 0;
  std::optional<TimePoint> acknowledged_;
  std::vector<HttpRequest> delayed_;
  std::set<std::string> down_;
  TimePoint last_run_{};
  uint64_t next_request_ = 0;
  size_t late_runs_ = 0;
  size_t departures_ = 0;
};

int SeedsToRun() {
  const char* value = std::getenv("AMARANTH_PROPERTY_SEEDS");
  return value == nullptr ? kSeedsInCi : std::atoi(value);
}

}  // namespace

TEST_GROUP(DepartureProperty){};

// Guards against calls to a server later than its drain time after its leave or
// drain was acknowledged, and against a successor that is not used, whatever
// the order of messages and restarts.
TEST(DepartureProperty, HoldsOverRandomOrders) {
  size_t departures = 0;
  for (int seed = 1; seed <= SeedsToRun(); ++seed) {
    Scenario scenario(static_cast<uint64_t>(seed));
    scenario.Run();
    departures += scenario.departures();
    const std::string label = "seed " + std::to_string(seed);
    CHECK_EQUAL_TEXT(0u, scenario.late_runs(), label.c_str());
    CHECK_TEXT(scenario.last_process_is_used(), label.c_str());
  }
  CHECK(departures > static_cast<size_t>(SeedsToRun()) * 3);
}

}  // namespace amaranth::pvt
