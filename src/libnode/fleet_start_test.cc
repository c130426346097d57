// Tests of what the start of many nodes asks of the platform, and of how soon
// they have their settings.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "libnode/fakes/fake_fleet.h"
#include "libnode/settings/settings_document.h"
#include "libnode/shared/settings_watchers.h"

namespace amaranth::pvt {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kNodes = 60;
constexpr double kMostCallsPerStart = 1.3;
// A watcher repeats its watch each two seconds.
constexpr double kCallsPerWatcherAndSecond = 0.5;

// A fleet of one data centre whose nodes know no other at their start.
class UnseededFleet {
 public:
  explicit UnseededFleet(uint64_t seed) : fleet_(seed) {
    fleet_.rules.settings_source = SettingsSource::kWatch;
    fleet_.rules.peer_row_spread = seconds(1);
    fleet_.use_seeds = false;
    fleet_.first_start = true;
    SettingsDocument document;
    document.version = 1;
    fleet_.SetDocument(1, ToText(document));
    for (size_t i = 0; i < kNodes; ++i) {
      names_.push_back("n" + std::to_string(i));
      fleet_.AddNode(names_.back(), "derby", true);
    }
    fleet_.first_start = false;
  }

  FakeFleet& fleet() { return fleet_; }
  const std::vector<std::string>& names() const { return names_; }

  bool AllReady() {
    return std::all_of(
        names_.begin(), names_.end(),
        [this](const std::string& name) { return fleet_.node(name).ready(); });
  }

  // Returns the platform calls during `time`, apart from those of the watchers.
  double CallsDuring(Duration time) {
    const uint64_t before = fleet_.platform_operations();
    fleet_.RunFor(time);
    const double watched = kSettingsWatcherCount * kCallsPerWatcherAndSecond *
                           static_cast<double>(time / seconds(1));
    return static_cast<double>(fleet_.platform_operations() - before) - watched;
  }

 private:
  FakeFleet fleet_;
  std::vector<std::string> names_;
};

}  // namespace

TEST_GROUP(FleetStart){};

// Guards against a platform that refuses most calls of a fleet that starts,
// since each node asks it for peers, settings and its own row.
TEST(FleetStart, TheFirstStartCostsAboutOneCallANode) {
  UnseededFleet started(1);
  CHECK(
      started.fleet().RunUntil([&] { return started.AllReady(); }, seconds(3)));
  started.fleet().RunFor(seconds(12));
  const double calls =
      static_cast<double>(started.fleet().platform_operations());
  const double watched = 15 * kSettingsWatcherCount * kCallsPerWatcherAndSecond;
  CHECK(calls <= kMostCallsPerStart * kNodes + watched);
}

TEST(FleetStart, ASettledFleetCallsThePlatformOnlyToWatch) {
  UnseededFleet started(2);
  started.fleet().RunFor(seconds(20));
  // A watch may begin just before the time and another end just after it.
  CHECK(started.CallsDuring(seconds(20)) <= kSettingsWatcherCount);
}

// Guards against nodes that read the settings from the platform although any
// peer has them.
TEST(FleetStart, RestartsInTurnCostAboutOneCallEach) {
  UnseededFleet started(3);
  started.fleet().RunFor(seconds(20));
  for (size_t i = 0; i < kNodes; ++i) {
    const std::string& name = started.names()[i];
    started.fleet().At(milliseconds(125) * i, [&started, name] {
      started.fleet().Kill(name);
      started.fleet().Restart(name);
    });
  }
  CHECK(started.CallsDuring(seconds(15)) <= kMostCallsPerStart * kNodes);
  CHECK(started.AllReady());
}

TEST(FleetStart, ARestartedNodeIsReadyWithinHalfASecond) {
  UnseededFleet started(4);
  started.fleet().RunFor(seconds(20));
  started.fleet().Kill("n7");
  started.fleet().Restart("n7");
  CHECK(started.fleet().RunUntil(
      [&] { return started.fleet().node("n7").ready(); }, milliseconds(500)));
}

TEST(FleetStart, NodesKilledTogetherAreReadyWithinASecond) {
  UnseededFleet started(5);
  started.fleet().RunFor(seconds(20));
  for (const std::string& name : started.names()) started.fleet().Kill(name);
  for (const std::string& name : started.names()) started.fleet().Restart(name);
  CHECK(
      started.fleet().RunUntil([&] { return started.AllReady(); }, seconds(1)));
}

// Guards against a fleet whose nodes wait for peers that are all gone.
TEST(FleetStart, ANodeWhoseContactsAreGoneReadsThePlatform) {
  UnseededFleet started(6);
  started.fleet().RunFor(seconds(20));
  for (const std::string& name : started.names()) started.fleet().Kill(name);
  started.fleet().AddNode("late", "derby", true);
  CHECK(started.fleet().RunUntil(
      [&] { return started.fleet().node("late").ready(); }, seconds(2)));
}

// Guards against rows of contacts that are gone, from which a node that starts
// would learn nothing.
TEST(FleetStart, ContactsThatAreGoneAreReplaced) {
  UnseededFleet started(7);
  started.fleet().RunFor(seconds(20));
  // Nodes that are added later replace all earlier ones a few at a time.
  for (size_t i = 0; i < 10; ++i) {
    started.fleet().AddNode("new-" + std::to_string(i), "derby", true);
  }
  started.fleet().RunFor(seconds(5));
  for (const std::string& name : started.names()) started.fleet().Kill(name);
  started.fleet().RunFor(seconds(40));
  started.fleet().AddNode("late", "derby", true);
  CHECK(started.fleet().RunUntil(
      [&] { return started.fleet().node("late").ready(); }, milliseconds(500)));
}

}  // namespace amaranth::pvt
