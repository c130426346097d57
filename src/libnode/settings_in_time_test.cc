// Whole nodes in virtual time: a change that the platform has acknowledged is
// in force on every node in time, whatever happens to the nodes that watch the
// platform for the others.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libnode/fakes/fake_fleet.h"
#include "libnode/settings/settings_document.h"

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A change must be in force this long after it was acknowledged, on every node
// that runs and reaches the platform, and has done so for kSettleTime.
constexpr Duration kChangeBound = seconds(2);
constexpr Duration kSettleTime = seconds(3);
constexpr Duration kStep = milliseconds(10);
constexpr size_t kWatchers = 5;
// The platform answers slowly, but within what it may take.
constexpr Duration kSlowAnswer = milliseconds(100);

// Nodes of one data centre that watch a settings document, and the versions
// that each has in force.
class WatchingFleet {
 public:
  WatchingFleet(int nodes, uint64_t seed) : fleet(seed) {
    fleet.rules.settings_source = SettingsSource::kWatch;
    fleet.rules.request_id_per_send = true;
    fleet.on_log = [this](const std::string& node, const WriteLog& line) {
      unsigned long long version = 0;
      const bool adopted =
          std::sscanf(line.text.c_str(), "version %llu in force", &version);
      if (adopted) in_force_[node] = version;
    };
    Acknowledge();
    for (int i = 0; i < nodes; ++i) {
      names_.push_back("n" + std::to_string(i));
      fleet.AddNode(names_.back(), "derby", true);
    }
    fleet.RunFor(seconds(20));
  }

  FakeFleet fleet;

  const std::vector<std::string>& names() const { return names_; }
  uint64_t version() const { return version_; }

  // Writes a newer document to the platform.
  void Acknowledge() {
    SettingsDocument document;
    document.version = ++version_;
    fleet.SetDocument(version_, ToText(document));
    acknowledged_[version_] = fleet.now();
  }

  // Returns the nodes that watched the platform most often in `time`.
  std::vector<std::string> Watchers(Duration time = seconds(8)) {
    const std::map<std::string, uint64_t> before = fleet.watches_by_node();
    fleet.RunFor(time);
    std::vector<std::pair<uint64_t, std::string>> counts;
    for (const auto& [name, count] : fleet.watches_by_node()) {
      const auto found = before.find(name);
      counts.emplace_back(count - (found == before.end() ? 0 : found->second),
                          name);
    }
    std::sort(counts.rbegin(), counts.rend());
    std::vector<std::string> watchers;
    for (const auto& [count, name] : counts) {
      if (watchers.size() < kWatchers) watchers.push_back(name);
    }
    return watchers;
  }

  uint64_t Watches() const {
    uint64_t total = 0;
    for (const auto& [name, count] : fleet.watches_by_node()) total += count;
    return total;
  }

  // Excludes the node from Check until it has been left alone for kSettleTime.
  void Disturb(const std::string& node) { disturbed_[node] = kNever; }
  void Settle(const std::string& node) { disturbed_[node] = fleet.now(); }

  void Kill(const std::string& node) {
    fleet.Kill(node);
    Disturb(node);
  }

  void Pause(const std::string& node) {
    fleet.Pause(node);
    Disturb(node);
  }

  void Resume(const std::string& node) {
    fleet.Resume(node);
    Settle(node);
  }

  void Silence(const std::string& node) {
    fleet.SilencePlatformFor(node);
    Disturb(node);
  }

  // Runs for `time` and returns how late an undisturbed node had a change in
  // force, at most, counted from its acknowledgement.
  Duration LatestDuring(Duration time) {
    Duration latest{0};
    for (Duration run{0}; run < time; run += kStep) {
      fleet.RunFor(kStep);
      for (const std::string& name : names_) {
        if (IsDisturbed(name)) continue;
        const uint64_t held = in_force_[name];
        if (held >= version_) continue;
        const TimePoint since = acknowledged_.upper_bound(held)->second;
        latest = std::max(latest, fleet.now() - since);
      }
    }
    return latest;
  }

 private:
  bool IsDisturbed(const std::string& node) const {
    const auto found = disturbed_.find(node);
    if (found == disturbed_.end()) return false;
    return found->second == kNever || fleet.now() < found->second + kSettleTime;
  }

  std::vector<std::string> names_;
  uint64_t version_ = 0;
  std::map<uint64_t, TimePoint> acknowledged_;
  std::map<std::string, uint64_t> in_force_;
  std::map<std::string, TimePoint> disturbed_;
};

// Returns the latest of several fleets, in each of which `fault` comes at
// another moment of the watches, and a change at the same moment.
template <typename Fault>
Duration LatestAfter(int nodes, const Fault& fault) {
  constexpr int kFleets = 12;
  Duration latest{0};
  for (int i = 0; i < kFleets; ++i) {
    WatchingFleet nodes_and_platform(nodes, 100 + static_cast<uint64_t>(i));
    const std::vector<std::string> watchers = nodes_and_platform.Watchers();
    nodes_and_platform.fleet.RunFor(milliseconds(170 * i));
    fault(nodes_and_platform, watchers);
    nodes_and_platform.Acknowledge();
    latest =
        std::max(latest, nodes_and_platform.LatestDuring(kChangeBound * 3));
  }
  return latest;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(SettingsInTime){};

TEST(SettingsInTime, AChangeIsInForceAtOnce) {
  const Duration latest =
      LatestAfter(9, [](WatchingFleet&, const std::vector<std::string>&) {});
  CHECK_COMPARE(latest.count(), <=, Duration(milliseconds(500)).count());
}

// Guards against a change that nobody fetches in time because all nodes that
// watch the platform end as it is acknowledged.
TEST(SettingsInTime, WatchersAreKilledAsAChangeIsAcknowledged) {
  const Duration latest = LatestAfter(
      9, [](WatchingFleet& nodes, const std::vector<std::string>& watchers) {
        nodes.fleet.SetPlatformLatency(kSlowAnswer);
        for (const std::string& name : watchers) nodes.Kill(name);
      });
  CHECK_COMPARE(latest.count(), <=, kChangeBound.count());
}

// The same, when they stand still and their connections stay open.
TEST(SettingsInTime, WatchersStandStillAsAChangeIsAcknowledged) {
  const Duration latest = LatestAfter(
      9, [](WatchingFleet& nodes, const std::vector<std::string>& watchers) {
        nodes.fleet.SetPlatformLatency(kSlowAnswer);
        for (const std::string& name : watchers) nodes.Pause(name);
      });
  CHECK_COMPARE(latest.count(), <=, kChangeBound.count());
}

// The same in a data centre of 40 nodes with slow links, where the news of a
// watcher is old when it arrives.
TEST(SettingsInTime, WatchersAreKilledWhereDatagramsAreSlow) {
  const Duration latest = LatestAfter(
      40, [](WatchingFleet& nodes, const std::vector<std::string>& watchers) {
        nodes.fleet.SetDatagramDelay(milliseconds(400));
        nodes.fleet.RunFor(seconds(5));
        for (const std::string& name : watchers) nodes.Kill(name);
      });
  CHECK_COMPARE(latest.count(), <=, kChangeBound.count());
}

// Guards against an open watch that is taken as evidence that nothing is new.
TEST(SettingsInTime, ThePlatformFallsSilentToTheWatchers) {
  const Duration latest = LatestAfter(
      9, [](WatchingFleet& nodes, const std::vector<std::string>& watchers) {
        for (const std::string& name : watchers) nodes.Silence(name);
      });
  CHECK_COMPARE(latest.count(), <=, kChangeBound.count());
}

// Guards against a confirmation that is old because its sender stood still, and
// is counted from the moment at which it went on.
TEST(SettingsInTime, WatchersThatStoodStillConfirmNothing) {
  const Duration latest = LatestAfter(
      9, [](WatchingFleet& nodes, const std::vector<std::string>& watchers) {
        for (const std::string& name : watchers) nodes.Silence(name);
        for (const std::string& name : watchers) nodes.Pause(name);
        nodes.fleet.At(milliseconds(900), [&nodes, watchers] {
          for (const std::string& name : watchers) nodes.fleet.Resume(name);
        });
      });
  CHECK_COMPARE(latest.count(), <=, kChangeBound.count());
}

// Guards against a node that has heard of a newer version and waits for peers
// that do not send it.
TEST(SettingsInTime, ANodeWithSilentLinksReadsThePlatformItself) {
  const Duration latest = LatestAfter(
      9, [](WatchingFleet& nodes, const std::vector<std::string>& watchers) {
        for (const std::string& name : nodes.names()) {
          const bool watches = std::find(watchers.begin(), watchers.end(),
                                         name) != watchers.end();
          if (!watches) nodes.fleet.SilenceLinksOf(name);
        }
      });
  CHECK_COMPARE(latest.count(), <=, kChangeBound.count());
}

// Guards against any of these together: nodes are killed, restarted, stopped
// and cut off from the platform at random while changes follow each other.
TEST(SettingsInTime, RandomFaultsOfNodes) {
  constexpr int kSeeds = 10;
  constexpr int kChanges = 40;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    WatchingFleet nodes(12, seed);
    std::mt19937_64 random(seed);
    const auto below = [&random](size_t count) {
      return std::uniform_int_distribution<size_t>(0, count - 1)(random);
    };
    Duration latest{0};
    for (int i = 0; i < kChanges; ++i) {
      // Now and then up to eight of twelve nodes fail together, the watchers
      // among them in half of the cases.
      const size_t count = below(3) == 0 ? below(9) : 0;
      std::set<std::string> failing;
      if (count >= kWatchers && below(2) == 0) {
        const std::vector<std::string> watchers = nodes.Watchers(seconds(4));
        failing.insert(watchers.begin(), watchers.end());
      }
      while (failing.size() < count) {
        failing.insert(nodes.names()[below(nodes.names().size())]);
      }
      const size_t kind = below(3);
      for (const std::string& name : failing) {
        if (kind == 0) nodes.Kill(name);
        if (kind == 1) nodes.Pause(name);
        if (kind == 2) nodes.Silence(name);
      }
      latest = std::max(latest, nodes.LatestDuring(milliseconds(below(300))));
      nodes.Acknowledge();
      latest =
          std::max(latest, nodes.LatestDuring(milliseconds(500 + below(2500))));
      for (const std::string& name : failing) {
        if (kind == 0) nodes.fleet.Restart(name);
        if (kind == 1) nodes.fleet.Resume(name);
        if (kind == 2) nodes.fleet.AnswerPlatformCallsOf(name);
        nodes.Settle(name);
      }
    }
    CHECK_COMPARE(latest.count(), <=, kChangeBound.count());
  }
}

// Guards against a node that ends abnormally while it stops, with its calls,
// because all other nodes of its data centre have left before it; and against
// settings that get old there.
TEST(SettingsInTime, TheLastNodeOfADataCentreAnswersItsCallsWhileItStops) {
  constexpr Duration kWork = seconds(4);
  for (const int size : {1, 2, 3, 7}) {
    WatchingFleet nodes(size, 11);
    const std::string last = nodes.names().back();
    FakeServerOptions server;
    server.name = "s";
    server.service = "subscriptions";
    server.service_time = kWork;
    nodes.fleet.AddServer(last, server);
    nodes.fleet.RunFor(seconds(3));
    HttpRequest request = MakeRequest("POST", "subscriptions");
    request.headers.push_back({"X-Amaranth-Deadline-Ms", "10000"});
    const uint64_t call = nodes.fleet.Call(last, request);
    for (const std::string& name : nodes.names()) {
      nodes.fleet.RunFor(milliseconds(200));
      nodes.fleet.Stop(name);
      if (name != last) nodes.Disturb(name);
    }
    nodes.fleet.RunFor(milliseconds(300));
    nodes.Acknowledge();
    const Duration latest = nodes.LatestDuring(kChangeBound);
    CHECK_COMPARE(latest.count(), <, kChangeBound.count());
    CHECK(
        nodes.fleet.RunUntil([&] { return nodes.fleet.Exited(last); }, kWork));
    CHECK(nodes.fleet.AnswerOf(call) != nullptr);
    CHECK_EQUAL(200, nodes.fleet.AnswerOf(call)->response.status);
  }
}

// Guards against a bound that is kept by calls to the platform: nodes in a
// steady state make no more of them than five watchers whose watches take two
// seconds each.
TEST(SettingsInTime, ASteadyStateCostsAConstantNumberOfCalls) {
  constexpr uint64_t kMostWatchesIn20Seconds = 50;
  for (const int size : {4, 12, 60}) {
    WatchingFleet nodes(size, 7);
    const uint64_t before = nodes.Watches();
    nodes.fleet.RunFor(seconds(20));
    CHECK_COMPARE(nodes.Watches() - before, <=, kMostWatchesIn20Seconds);
  }
}

}  // namespace amaranth::pvt
