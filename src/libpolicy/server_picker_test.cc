#include "amaranthroute/policy/server_picker.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <queue>

namespace amaranth {
namespace {

using std::chrono::milliseconds;

ServerView MakeServer(uint32_t in_flight, bool local) {
  ServerView server;
  server.in_flight = in_flight;
  server.limit = 10;
  server.latency = milliseconds(10);
  server.local = local;
  return server;
}

rc::Gen<ServerView> AnyServer() {
  return rc::gen::build<ServerView>(
      rc::gen::set(&ServerView::in_flight, rc::gen::inRange<uint32_t>(0, 30)),
      rc::gen::set(&ServerView::limit, rc::gen::inRange<uint32_t>(0, 20)),
      rc::gen::set(&ServerView::queued, rc::gen::inRange<uint32_t>(0, 5)),
      rc::gen::set(&ServerView::local), rc::gen::set(&ServerView::ejected),
      rc::gen::set(&ServerView::suspect), rc::gen::set(&ServerView::excluded),
      rc::gen::set(&ServerView::weight, rc::gen::element(0.0, 0.1, 0.5, 1.0)));
}

// Returns the fraction of picks that are remote.
double RemoteShare(const std::vector<ServerView>& servers) {
  constexpr int kPicks = 10000;
  std::mt19937_64 random(1);
  int remote = 0;
  for (int pick = 0; pick < kPicks; ++pick) {
    const size_t index = PickServer(servers, PickOptions{}, random).value();
    if (!servers[index].local) ++remote;
  }
  return static_cast<double>(remote) / kPicks;
}

}  // namespace

TEST_GROUP(ServerPickerTest){};

TEST(ServerPickerTest, PicksAServerUnlessAllAreExcluded) {
  CHECK(rc::check([] {
    const std::vector<ServerView> servers =
        *rc::gen::container<std::vector<ServerView>>(AnyServer());
    std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
    const std::optional<size_t> picked =
        PickServer(servers, PickOptions{}, random);
    const auto any = [&](auto predicate) {
      return std::any_of(servers.begin(), servers.end(),
                         [&](const ServerView& server) {
                           return !server.excluded && predicate(server);
                         });
    };
    RC_ASSERT(picked.has_value() == any([](const auto&) { return true; }));
    if (!picked) return;
    const ServerView& server = servers[*picked];
    RC_ASSERT(!server.excluded);
    // Suspect and ejected servers are the last resort.
    if (server.suspect) {
      RC_ASSERT(!any([](const auto& other) { return !other.suspect; }));
    }
    if (server.ejected) {
      RC_ASSERT(!any(
          [](const auto& other) { return !other.ejected && !other.suspect; }));
    }
  }));
}

TEST(ServerPickerTest, PrefersLocalServersAndCapsTheSpill) {
  const ServerView free_local = MakeServer(3, true);
  const ServerView full_local = MakeServer(12, true);
  const ServerView free_remote = MakeServer(0, false);
  const ServerView full_remote = MakeServer(12, false);
  CHECK(RemoteShare({full_local, free_local, free_remote}) == 0.0);
  const double spilled = RemoteShare({full_local, full_local, free_remote});
  CHECK(spilled > 0.18 && spilled < 0.22);
  CHECK(RemoteShare({full_local, full_local, full_remote}) == 0.0);
  ServerView ejected = free_local;
  ejected.ejected = true;
  CHECK(RemoteShare({ejected, free_remote}) == 1.0);
}

// Guards against a server that has just announced itself and is overloaded by
// all entry nodes at once, since it has nothing in flight, while its caches are
// cold.
TEST(ServerPickerTest, ColdServerGetsAShareByItsWeight) {
  std::vector<ServerView> servers(3, MakeServer(5, true));
  servers[2].in_flight = 0;
  servers[2].weight = 0.1;
  std::mt19937_64 random(1);
  int cold_picks = 0;
  for (int pick = 0; pick < 10000; ++pick) {
    if (PickServer(servers, PickOptions{}, random) == 2u) ++cold_picks;
  }
  CHECK(cold_picks > 500);  // a tenth of the pairs it is in
  CHECK(cold_picks < 850);
}

// Guards against a slow server that gets the same share as two fast ones, as
// with round robin, which makes a third of all requests slow.
TEST(ServerPickerTest, SlowServerGetsFewerCalls) {
  std::vector<ServerView> servers(3, MakeServer(0, true));
  for (ServerView& server : servers) server.limit = 100;
  servers[2].latency = milliseconds(30);
  std::mt19937_64 random(1);
  std::vector<int> picks(3, 0);
  using Completion = std::pair<int, size_t>;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      completions;
  for (int now = 0; now < 30000; ++now) {  // steps of 1/3 ms, one call each
    while (!completions.empty() && completions.top().first <= now) {
      --servers[completions.top().second].in_flight;
      completions.pop();
    }
    const size_t index = PickServer(servers, PickOptions{}, random).value();
    ++picks[index];
    ++servers[index].in_flight;
    completions.emplace(now + (index == 2 ? 90 : 30), index);
  }
  CHECK(picks[2] < 30000 / 5);
  CHECK(picks[2] > 30000 / 20);  // enough to keep its latency known
  CHECK(std::abs(picks[0] - picks[1]) < 30000 / 50);
}

// Guards against most failures falling on the data centre with the slow server:
// if all servers are at capacity and each data centre keeps its calls, the slow
// server gets the same share of them as a fast one.
TEST(ServerPickerTest, ComparesFullServersOfAllDataCentresByExpectedWait) {
  ServerView slow;
  slow.limit = 15;
  slow.in_flight = 15;
  slow.queued = 100;
  slow.latency = std::chrono::milliseconds(200);
  ServerView fast = slow;
  fast.local = false;
  fast.queued = 1;
  fast.latency = std::chrono::milliseconds(40);
  PickOptions options;
  options.spill_share = 1.0;
  std::mt19937_64 random(1);
  int fast_picked = 0;
  for (int i = 0; i < 100; ++i) {
    if (*PickServer({slow, fast}, options, random) == 1) ++fast_picked;
  }
  CHECK_EQUAL(100, fast_picked);
}

}  // namespace amaranth
