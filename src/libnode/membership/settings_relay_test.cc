// Tests of how the nodes of a large data centre learn that their settings are
// the newest.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "amaranthroute/hash.h"
#include "libnode/fakes/membership_fleet.h"
#include "libnode/shared/settings_watchers.h"

namespace amaranth::pvt {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A data centre whose nodes know only what gossip tells them, apart from the
// watchers, which always know that the settings are the newest.
class WatchedDataCentre {
 public:
  WatchedDataCentre(size_t size, uint64_t seed) : fleet_(seed) {
    fleet_.loss = 0.01;
    fleet_.check_versions = false;
    for (size_t i = 0; i < size; ++i) {
      names_.push_back("n" + std::to_string(i));
      fleet_.Add(names_.back(), "derby",
                 i == 0 ? std::vector<std::string>()
                        : std::vector<std::string>{names_[0]});
    }
    for (std::string& name : RendezvousChoose(names_, kSettingsDelegateKey,
                                              kSettingsWatcherCount)) {
      watchers_.insert(std::move(name));
    }
    for (const std::string& name : names_) Connect(name);
  }

  MembershipFleet& fleet() { return fleet_; }
  const std::set<std::string>& watchers() const { return watchers_; }

  // Returns the oldest confirmation of any running node over `time`.
  Duration OldestConfirmationDuring(Duration time) {
    Duration oldest{0};
    for (Duration run{0}; run < time; run += milliseconds(50)) {
      fleet_.Run(milliseconds(50));
      for (const std::string& name : names_) {
        if (!fleet_.host(name).running) continue;
        oldest = std::max(oldest, AgeAt(name).value_or(Duration::max()));
      }
    }
    return oldest;
  }

  // Returns the most datagrams with a confirmation that a node got per second.
  size_t MostReceivedIn(Duration time) {
    received_.clear();
    fleet_.Run(time);
    size_t most = 0;
    for (const auto& [name, count] : received_) most = std::max(most, count);
    return most / static_cast<size_t>(time / seconds(1));
  }

 private:
  std::optional<Duration> AgeAt(const std::string& name) const {
    if (watchers_.count(name) != 0) return Duration(0);
    const auto found = confirmed_.find(name);
    if (found == confirmed_.end()) return std::nullopt;
    return fleet_.now() - found->second;
  }

  void Connect(const std::string& name) {
    Membership& membership = fleet_.at(name);
    membership.settings_confirmed = [this, name](TimePoint) {
      return AgeAt(name);
    };
    membership.on_settings_confirmed = [this, name](uint64_t, Duration ago,
                                                    Context& context) {
      ++received_[name];
      const TimePoint at = context.now - ago;
      TimePoint& known = confirmed_.emplace(name, at).first->second;
      known = std::max(known, at);
    };
  }

  MembershipFleet fleet_;
  std::vector<std::string> names_;
  std::set<std::string> watchers_;
  std::map<std::string, TimePoint> confirmed_;
  std::map<std::string, size_t> received_;
};

}  // namespace

TEST_GROUP(SettingsRelay){};

// Guards against a platform that most nodes of a large fleet watch, because the
// watchers' confirmations are too old when probes have carried them everywhere.
TEST(SettingsRelay, ConfirmationsStayFreshInALargeDataCentre) {
  WatchedDataCentre centre(200, 1);
  centre.fleet().Run(seconds(15));
  CHECK(centre.OldestConfirmationDuring(seconds(10)) <
        kSettingsConfirmationLifetime);
}

// Guards against a branch of the relay tree that hears nothing until the death
// of a node above it is known.
TEST(SettingsRelay, ConfirmationsStayFreshWhileAWatcherIsDown) {
  WatchedDataCentre centre(100, 2);
  centre.fleet().Run(seconds(15));
  centre.fleet().Kill(*centre.watchers().begin());
  CHECK(centre.OldestConfirmationDuring(seconds(8)) <
        kSettingsConfirmationLifetime);
}

// Guards against watchers that send to every node of their data centre.
TEST(SettingsRelay, ConfirmationsCostANodeAConstantNumberOfDatagrams) {
  constexpr size_t kMostDatagramsPerSecond = 16;
  for (const size_t size : {20, 200}) {
    WatchedDataCentre centre(size, 3);
    centre.fleet().Run(seconds(15));
    CHECK(centre.MostReceivedIn(seconds(5)) <= kMostDatagramsPerSecond);
  }
}

}  // namespace amaranth::pvt
