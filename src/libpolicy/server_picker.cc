#include "amaranthroute/policy/server_picker.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace amaranth {
namespace {

using Indexes = std::vector<size_t>;

// Below this a weight would make the score useless, and a server with weight 0
// would never be tried.
constexpr double kMinWeight = 0.01;
// A server whose limit nobody told us is taken to have this many slots.
constexpr double kUnknownLimit = 10;

// A server of another data centre is taken if its expected wait, so much longer
// as this, is still the shorter one. 20 ms is the wait of two turns at a server
// of short calls, which any burst brings.
constexpr double kRemoteFactor = 1.5;
constexpr double kRemoteMicros = 20'000;

double WeightOf(const ServerView& server) {
  return std::clamp(server.weight, kMinWeight, 1.0);
}

double LimitOf(const ServerView& server) {
  return server.limit == 0 ? kUnknownLimit : static_cast<double>(server.limit);
}

// Full: the next call there waits.
bool IsLoaded(const ServerView& server) {
  if (server.queued > 0) return true;
  return server.in_flight + 1.0 > LimitOf(server) * WeightOf(server);
}

// Latency to assume where none was measured: the quickest known one, so that
// an unknown server is tried, but not before all others.
double DefaultLatency(const std::vector<ServerView>& servers) {
  Duration quickest{0};
  for (const ServerView& server : servers) {
    if (server.latency <= Duration::zero()) continue;
    if (quickest == Duration::zero() || server.latency < quickest) {
      quickest = server.latency;
    }
  }
  return quickest == Duration::zero() ? 1.0
                                      : static_cast<double>(quickest.count());
}

double ExpectedWait(const ServerView& server, double default_latency) {
  const double latency = server.latency > Duration::zero()
                             ? static_cast<double>(server.latency.count())
                             : default_latency;
  const double calls = 1.0 + server.in_flight + server.queued;
  return calls / LimitOf(server) * latency * server.penalty;
}

size_t TwoChoices(const std::vector<ServerView>& servers, Indexes among,
                  std::mt19937_64& random) {
  if (among.size() == 1) return among.front();
  std::uniform_int_distribution<size_t> draw_first(0, among.size() - 1);
  const size_t first_at = draw_first(random);
  size_t better = among[first_at];
  among.erase(among.begin() + static_cast<ptrdiff_t>(first_at));
  std::uniform_int_distribution<size_t> draw_second(0, among.size() - 1);
  size_t worse = among[draw_second(random)];
  const double latency = DefaultLatency(servers);
  if (ExpectedWait(servers[worse], latency) <
      ExpectedWait(servers[better], latency)) {
    std::swap(better, worse);
  }
  // A cold server has nothing in flight and wins each comparison; it takes only
  // its weight's part of what it wins. As part of the score, a weight of 0.1
  // would keep it from any call while the others have room.
  const double part = WeightOf(servers[better]) / WeightOf(servers[worse]);
  std::bernoulli_distribution takes(std::min(1.0, part));
  return takes(random) ? better : worse;
}

template <typename Predicate>
Indexes Where(const std::vector<ServerView>& servers, const Indexes& among,
              Predicate predicate) {
  Indexes found;
  for (size_t index : among) {
    if (predicate(servers[index])) found.push_back(index);
  }
  return found;
}

bool HasRoom(const ServerView& server) { return !IsLoaded(server); }
bool IsLocal(const ServerView& server) { return server.local; }
bool IsRemote(const ServerView& server) { return !server.local; }
bool IsSound(const ServerView& server) {
  return !server.ejected && !server.suspect;
}
bool HasNoPenalty(const ServerView& server) { return server.penalty <= 1; }
bool IsTrusted(const ServerView& server) { return !server.suspect; }

Indexes NotExcluded(const std::vector<ServerView>& servers) {
  Indexes found;
  for (size_t index = 0; index < servers.size(); ++index) {
    if (!servers[index].excluded) found.push_back(index);
  }
  return found;
}

// `with_room` and those of `all` that are quicker than each of them although
// they are full: a free slot of a server at a tenth of the speed is worth less
// than a short wait at another, and would draw all that the others can't take
// at once.
Indexes WithQuicker(const std::vector<ServerView>& servers,
                    const Indexes& with_room, const Indexes& all) {
  const double latency = DefaultLatency(servers);
  double best = ExpectedWait(servers[with_room.front()], latency);
  for (const size_t index : with_room) {
    best = std::min(best, ExpectedWait(servers[index], latency));
  }
  Indexes chosen = with_room;
  for (const size_t index : all) {
    if (HasRoom(servers[index])) continue;
    const bool quicker = ExpectedWait(servers[index], latency) < best;
    if (quicker) chosen.push_back(index);
  }
  return chosen;
}

// Where a service is used as a whole. Keeping calls at home would make them
// wait for their own servers: a slow one's queue grows without end beside a
// quick one's that is short, as servers differ more than callers. But a call to
// another data centre costs its bytes, which are dear, and load reports are as
// old as the last answer: the way there must be worth it.
size_t NearOrQuicker(const std::vector<ServerView>& servers,
                     const Indexes& local, const Indexes& remote,
                     std::mt19937_64& random) {
  const size_t near = TwoChoices(servers, local, random);
  if (remote.empty()) return near;
  const size_t far = TwoChoices(servers, remote, random);
  const double latency = DefaultLatency(servers);
  const double far_wait =
      ExpectedWait(servers[far], latency) * kRemoteFactor + kRemoteMicros;
  return far_wait < ExpectedWait(servers[near], latency) ? far : near;
}

size_t PickLocalFirst(const std::vector<ServerView>& servers,
                      const Indexes& usable, const PickOptions& options,
                      std::mt19937_64& random) {
  const Indexes local = Where(servers, usable, IsLocal);
  const Indexes remote = Where(servers, usable, IsRemote);
  if (local.empty()) {
    const Indexes with_room = Where(servers, remote, HasRoom);
    return TwoChoices(servers, with_room.empty() ? remote : with_room, random);
  }
  Indexes local_room = Where(servers, local, HasRoom);
  // Of two drawn ones both may be bad, so a penalty alone would not do.
  const Indexes unpenalised = Where(servers, local_room, HasNoPenalty);
  if (!unpenalised.empty()) local_room = unpenalised;
  if (!local_room.empty()) {
    return TwoChoices(servers, WithQuicker(servers, local_room, local), random);
  }
  if (options.spill_share >= 1.0) {
    return NearOrQuicker(servers, local, remote, random);
  }
  const Indexes remote_room = Where(servers, remote, HasRoom);
  std::bernoulli_distribution spill(std::clamp(options.spill_share, 0.0, 1.0));
  if (!remote_room.empty() && spill(random)) {
    return TwoChoices(servers, remote_room, random);
  }
  return TwoChoices(servers, local, random);
}

}  // namespace

std::optional<size_t> PickServer(const std::vector<ServerView>& servers,
                                 const PickOptions& options,
                                 std::mt19937_64& random) {
  const Indexes open = NotExcluded(servers);
  if (open.empty()) return std::nullopt;
  const Indexes sound = Where(servers, open, IsSound);
  if (!sound.empty()) return PickLocalFirst(servers, sound, options, random);
  const Indexes trusted = Where(servers, open, IsTrusted);
  return PickLocalFirst(servers, trusted.empty() ? open : trusted, options,
                        random);
}

}  // namespace amaranth
