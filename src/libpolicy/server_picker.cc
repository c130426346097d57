#include "amaranthroute/policy/server_picker.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace amaranth {
namespace {

using Indexes = std::vector<size_t>;

// Lower bound of weights: a server of weight 0 would never be selected, and
// could not be divided by.
constexpr double kMinWeight = 0.01;
// Concurrency limit assumed for a server that has not reported one.
constexpr double kAssumedLimit = 10;

// A remote server is selected over a local one at capacity only if its expected
// wait, times the factor and plus the constant, is still shorter. 20 ms is the
// wait for two calls in turn at a server of short calls, which any burst
// causes.
constexpr double kRemoteFactor = 1.5;
constexpr double kRemoteExtraMicros = 20'000;

double WeightOf(const ServerView& server) {
  return std::clamp(server.weight, kMinWeight, 1.0);
}

double LimitOf(const ServerView& server) {
  return server.limit == 0 ? kAssumedLimit : static_cast<double>(server.limit);
}

// Whether the next call at `server` would be queued.
bool IsAtCapacity(const ServerView& server) {
  if (server.queued > 0) return true;
  return server.in_flight + 1.0 > LimitOf(server) * WeightOf(server);
}

// Returns the latency to assume for servers without a known one, in
// microseconds: the lowest known one, so that such a server is called, but not
// before all others.
double DefaultLatency(const std::vector<ServerView>& servers) {
  Duration lowest{0};
  for (const ServerView& server : servers) {
    if (server.latency <= Duration::zero()) continue;
    if (lowest == Duration::zero() || server.latency < lowest) {
      lowest = server.latency;
    }
  }
  return lowest == Duration::zero() ? 1.0 : static_cast<double>(lowest.count());
}

double ExpectedWait(const ServerView& server, double default_latency) {
  const double latency = server.latency > Duration::zero()
                             ? static_cast<double>(server.latency.count())
                             : default_latency;
  const double calls = 1.0 + server.in_flight + server.queued;
  return calls / LimitOf(server) * latency * server.penalty;
}

size_t PickBetterOfTwo(const std::vector<ServerView>& servers,
                       Indexes candidates, std::mt19937_64& random) {
  if (candidates.size() == 1) return candidates.front();
  std::uniform_int_distribution<size_t> draw_first(0, candidates.size() - 1);
  const size_t first_position = draw_first(random);
  size_t selected = candidates[first_position];
  candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(first_position));
  std::uniform_int_distribution<size_t> draw_second(0, candidates.size() - 1);
  size_t other = candidates[draw_second(random)];
  const double latency = DefaultLatency(servers);
  if (ExpectedWait(servers[other], latency) <
      ExpectedWait(servers[selected], latency)) {
    std::swap(selected, other);
  }
  // A cold server has nothing in flight and wins each comparison, so it accepts
  // only a fraction of the calls, given by its weight. As a factor on the
  // expected wait, a weight of 0.1 would keep all calls from it while the
  // others have free slots.
  const double acceptance =
      WeightOf(servers[selected]) / WeightOf(servers[other]);
  std::bernoulli_distribution accepts(std::min(1.0, acceptance));
  return accepts(random) ? selected : other;
}

template <typename Predicate>
Indexes Filter(const std::vector<ServerView>& servers,
               const Indexes& candidates, Predicate predicate) {
  Indexes found;
  for (size_t index : candidates) {
    if (predicate(servers[index])) found.push_back(index);
  }
  return found;
}

bool HasFreeSlot(const ServerView& server) { return !IsAtCapacity(server); }
bool IsLocal(const ServerView& server) { return server.local; }
bool IsRemote(const ServerView& server) { return !server.local; }
bool IsUsable(const ServerView& server) {
  return !server.ejected && !server.suspect;
}
bool IsUnpenalized(const ServerView& server) { return server.penalty <= 1; }
bool IsNotSuspect(const ServerView& server) { return !server.suspect; }

Indexes WithoutExcluded(const std::vector<ServerView>& servers) {
  Indexes found;
  for (size_t index = 0; index < servers.size(); ++index) {
    if (!servers[index].excluded) found.push_back(index);
  }
  return found;
}

// Returns `with_free_slot` and those servers of `all` at capacity whose
// expected wait is shorter than that of each of them. A free slot of a server
// at a tenth of the speed is worth less than a short wait at another one, and
// would attract every call that the others cannot run at once.
Indexes AddFasterServersAtCapacity(const std::vector<ServerView>& servers,
                                   const Indexes& with_free_slot,
                                   const Indexes& all) {
  const double latency = DefaultLatency(servers);
  double shortest_wait = ExpectedWait(servers[with_free_slot.front()], latency);
  for (const size_t index : with_free_slot) {
    shortest_wait =
        std::min(shortest_wait, ExpectedWait(servers[index], latency));
  }
  Indexes chosen = with_free_slot;
  for (const size_t index : all) {
    if (HasFreeSlot(servers[index])) continue;
    const bool is_faster =
        ExpectedWait(servers[index], latency) < shortest_wait;
    if (is_faster) chosen.push_back(index);
  }
  return chosen;
}

// Selects a server when the spill is unlimited and all local servers are at
// capacity. Local servers alone are not enough: as servers differ more than
// callers do, the queue of a slow local server would grow without bound next to
// the short queue of a fast remote one. A remote server must be clearly better,
// as traffic between data centres is expensive and load reports are as old as
// the last answer.
size_t PickLocalOrFasterRemote(const std::vector<ServerView>& servers,
                               const Indexes& local, const Indexes& remote,
                               std::mt19937_64& random) {
  const size_t local_pick = PickBetterOfTwo(servers, local, random);
  if (remote.empty()) return local_pick;
  const size_t remote_pick = PickBetterOfTwo(servers, remote, random);
  const double latency = DefaultLatency(servers);
  const double remote_wait =
      ExpectedWait(servers[remote_pick], latency) * kRemoteFactor +
      kRemoteExtraMicros;
  return remote_wait < ExpectedWait(servers[local_pick], latency) ? remote_pick
                                                                  : local_pick;
}

size_t PickLocalFirst(const std::vector<ServerView>& servers,
                      const Indexes& usable, const PickOptions& options,
                      std::mt19937_64& random) {
  const Indexes local = Filter(servers, usable, IsLocal);
  const Indexes remote = Filter(servers, usable, IsRemote);
  if (local.empty()) {
    const Indexes with_free_slot = Filter(servers, remote, HasFreeSlot);
    return PickBetterOfTwo(
        servers, with_free_slot.empty() ? remote : with_free_slot, random);
  }
  Indexes local_free = Filter(servers, local, HasFreeSlot);
  // A penalty alone is not enough: both drawn servers may have one.
  const Indexes unpenalized = Filter(servers, local_free, IsUnpenalized);
  if (!unpenalized.empty()) local_free = unpenalized;
  if (!local_free.empty()) {
    return PickBetterOfTwo(
        servers, AddFasterServersAtCapacity(servers, local_free, local),
        random);
  }
  if (options.spill_share >= 1.0) {
    return PickLocalOrFasterRemote(servers, local, remote, random);
  }
  const Indexes remote_free = Filter(servers, remote, HasFreeSlot);
  std::bernoulli_distribution spill(std::clamp(options.spill_share, 0.0, 1.0));
  if (!remote_free.empty() && spill(random)) {
    return PickBetterOfTwo(servers, remote_free, random);
  }
  return PickBetterOfTwo(servers, local, random);
}

}  // namespace

std::optional<size_t> PickServer(const std::vector<ServerView>& servers,
                                 const PickOptions& options,
                                 std::mt19937_64& random) {
  const Indexes available = WithoutExcluded(servers);
  if (available.empty()) return std::nullopt;
  const Indexes usable = Filter(servers, available, IsUsable);
  if (!usable.empty()) return PickLocalFirst(servers, usable, options, random);
  const Indexes not_suspect = Filter(servers, available, IsNotSuspect);
  return PickLocalFirst(servers, not_suspect.empty() ? available : not_suspect,
                        options, random);
}

}  // namespace amaranth
