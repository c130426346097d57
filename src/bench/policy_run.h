#ifndef AMARANTHROUTE_BENCH_POLICY_RUN_H_
#define AMARANTHROUTE_BENCH_POLICY_RUN_H_

// One run of the policy bench: real reducers and fake backend servers in
// virtual time, a load with a trigger in its middle, and what callers got.

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "libnode/fakes/fake_fleet.h"

namespace amaranth::bench {

/// The control that the nodes apply; all by settings alone.
enum class Policy {
  /// No limit, no shedding, no tiers; servers never cancel, and each nested
  /// call has its own deadline and retries.
  kNone,
  kFixedLimit,  ///< the announced slots and a plain queue
  kSlots,       ///< as kAmaranth, with the announced slots as the limit
  kAmaranth,    ///< the defaults, with tiers
};

const char* ToString(Policy policy);

/// Hosts with their backend servers, and the chain that each request takes.
struct Topology {
  struct Service {
    std::string name;
    std::vector<std::string> hosts;
    pvt::FakeServerOptions server;
  };
  struct Host {
    std::string name;
    std::string data_centre;
  };

  std::string name;
  std::vector<Host> hosts;
  std::vector<Service> chain;  ///< from the entry to the deepest

  /// Whole requests per second that the deepest service can serve.
  double Capacity() const;
};

/// What goes wrong between the trigger's start and end.
struct Scenario {
  std::string name;
  double load = 0;       ///< while triggered, in parts of the usual capacity
  double slowdown = 1;   ///< of the deepest service, while triggered
  int hard_resends = 0;  ///< at once after each failure, all through the run
};

struct RunOptions {
  Duration before = std::chrono::seconds(10);
  Duration trigger = std::chrono::seconds(30);
  Duration after = std::chrono::seconds(30);
  uint64_t seed = 1;
};

/// Counts for one tier, of the requests that came while triggered.
struct TierResult {
  uint64_t offered = 0;
  uint64_t good = 0;   ///< answered 200 within the deadline
  double allowed = 0;  ///< what the capacity allows, higher tiers first
};

struct RunResult {
  std::array<TierResult, kTierCount> tiers;
  uint64_t runs = 0;         ///< at all servers, in the whole run
  uint64_t wasted_runs = 0;  ///< of requests that failed
  double amplification = 0;  ///< runs per request run, at the deepest service
  double resends = 0;        ///< by clients, per request
  double recovery = -1;      ///< seconds from the trigger's end; -1 never
  double real_seconds = 0;
  struct Bin {
    uint64_t offered = 0;
    uint64_t good = 0;
  };
  std::vector<Bin> bins;  ///< of kBin, by arrival
};

/// Length of a bin of RunResult::bins.
inline constexpr Duration kBin = std::chrono::milliseconds(100);

RunResult Run(const Topology& topology, const Scenario& scenario, Policy policy,
              const RunOptions& options);

}  // namespace amaranth::bench

#endif  // AMARANTHROUTE_BENCH_POLICY_RUN_H_
