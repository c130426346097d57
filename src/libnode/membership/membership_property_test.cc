#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "libnode/fakes/membership_fleet.h"

namespace amaranth::pvt {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 6;

struct Step {
  int action = 0;
  int node = 0;
  int time_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << step.action << " node " << step.node << " "
             << step.time_ms << " ms}";
}

std::string NodeName(int index) { return "n" + std::to_string(index); }

void Apply(MembershipFleet& fleet, const Step& step) {
  const std::string name = NodeName(step.node);
  MembershipFleet::Host& host = fleet.host(name);
  switch (step.action) {
    case 0:
      host.partition = 1 - host.partition;
      break;
    case 1:
      if (host.running) fleet.Pause(name);
      break;
    case 2:
      if (host.running) fleet.Resume(name);
      break;
    case 3:
      fleet.Kill(name);
      break;
    case 4:
      fleet.Restart(name);
      break;
    case 5:
      if (!host.running || host.paused) break;
      fleet.Invoke(name, [](Membership& m, Context& context) {
        m.AnnounceServer({"s", "catalogue", {"127.0.0.1", 80}, 10, false, {}},
                         context);
      });
      break;
    default:
      if (!host.running || host.paused) break;
      fleet.Invoke(name, [](Membership& m, Context& context) {
        m.SetServerDraining("s", context);
      });
      break;
  }
  fleet.Run(milliseconds(step.time_ms));
}

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::action, rc::gen::inRange(0, 7)),
      rc::gen::set(&Step::node, rc::gen::inRange(0, kNodes)),
      rc::gen::set(&Step::time_ms, rc::gen::inRange(0, 8000)));
}

void Heal(MembershipFleet& fleet) {
  fleet.loss = 0;
  for (auto& [name, host] : fleet.hosts()) {
    host.partition = 0;
    if (host.running) fleet.Resume(name);
  }
}

}  // namespace

TEST_GROUP(MembershipProperties){};

// Checks that under any sequence of partitions, pauses, kills and restarts,
// with datagram loss, no node's record of a member goes back to an earlier
// version, and that after all faults have ended every node sees exactly the
// running nodes as up.
TEST(MembershipProperties, VersionsNeverDecreaseAndViewsConverge) {
  CHECK(rc::check("versions never decrease, views converge", [] {
    const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
    const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
    MembershipFleet fleet(seed);
    fleet.loss = 0.1;
    fleet.duplication = 0.1;
    for (int i = 0; i < kNodes; ++i) {
      fleet.Add(NodeName(i), i % 2 == 0 ? "derby" : "telford",
                i == 0 ? std::vector<std::string>()
                       : std::vector<std::string>{NodeName(0), NodeName(1)});
    }
    fleet.Run(seconds(5));
    for (const Step& step : steps) Apply(fleet, step);
    Heal(fleet);
    // Each data centre needs a running node that detects its dead nodes.
    for (int i = 0; i < 2; ++i) {
      if (!fleet.host(NodeName(i)).running) fleet.Restart(NodeName(i));
    }
    const bool converged = fleet.RunUntil(
        [&] { return fleet.ViewsMatchRunningNodes(); }, seconds(90));
    RC_ASSERT(converged);
    RC_ASSERT(fleet.versions_monotonic);
  }));
}

}  // namespace amaranth::pvt
