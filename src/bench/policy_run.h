#ifndef AMARANTHROUTE_BENCH_POLICY_RUN_H_
#define AMARANTHROUTE_BENCH_POLICY_RUN_H_

// One run of policy_bench: real reducers and fake backend servers in virtual
// time, under a load with an overload trigger in its middle.

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "libnode/fakes/fake_fleet.h"

namespace amaranth::bench {

/// The overload control that the nodes apply. The policies differ in their
/// settings; kNone also changes the fake backend servers.
enum class Policy {
  /// No concurrency limit, shedding or tiers; backend servers ignore
  /// cancellation, and each nested call has its own deadline and retries.
  kNone,
  kFixedLimit,  ///< the announced slots as limit, and a plain queue
  kSlots,       ///< as kAmaranth, with the announced slots as limit
  kAmaranth,    ///< the default settings, with tiers
};

const char* ToString(Policy policy);

/// Hosts with their backend servers, and the chain of services that each
/// request calls.
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
  std::vector<Service> chain;  ///< from the first service to the deepest

  /// Returns the requests per second that the deepest service can serve.
  double Capacity() const;
};

/// The overload between the start and the end of the trigger.
struct Scenario {
  std::string name;
  double load = 0;       ///< during the trigger, as a share of the capacity
  double slowdown = 1;   ///< factor on the deepest service time, in the trigger
  int hard_resends = 0;  ///< per request, at once after a failure; whole run
};

struct RunOptions {
  Duration before = std::chrono::seconds(10);
  Duration trigger = std::chrono::seconds(30);
  Duration after = std::chrono::seconds(30);
  uint64_t seed = 1;
};

/// Counts for one tier, over the requests that arrived during the trigger.
struct TierResult {
  uint64_t offered = 0;
  uint64_t good = 0;   ///< answered with 200 within the deadline
  double allowed = 0;  ///< requests within the capacity, higher tiers first
};

struct RunResult {
  std::array<TierResult, kTierCount> tiers;
  uint64_t runs = 0;         ///< at all backend servers, over the whole run
  uint64_t wasted_runs = 0;  ///< runs for requests that failed
  double amplification = 0;  ///< runs per request run, at the deepest service
  double resends = 0;        ///< by the clients, per request
  double recovery = -1;      ///< seconds after the trigger ended; -1 for never
  double real_seconds = 0;
  struct Bin {
    uint64_t offered = 0;
    uint64_t good = 0;
  };
  std::vector<Bin> bins;  ///< of kBinLength, by time of arrival
};

/// Length of one bin of RunResult::bins.
inline constexpr Duration kBinLength = std::chrono::milliseconds(100);

RunResult Run(const Topology& topology, const Scenario& scenario, Policy policy,
              const RunOptions& options);

}  // namespace amaranth::bench

#endif  // AMARANTHROUTE_BENCH_POLICY_RUN_H_
