#ifndef AMARANTHROUTE_LIBNODE_ENTRY_SERVER_CHOICE_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_SERVER_CHOICE_H_

// Chooses backend servers by what this entry node knows of them from its own
// calls and from their serving nodes. Health and load endpoints are not used:
// they lag and can mislead, which the latency and load report of an answer do
// not.

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/policy/outlier.h"
#include "amaranthroute/policy/server_picker.h"
#include "amaranthroute/settings.h"
#include "libnode/membership/membership.h"

namespace amaranth::pvt {

// Returns a name of a backend server that is unique in the fleet: two hosts may
// use the same server name.
std::string ServerKey(const std::string& node, const std::string& server);

class ServerChoice {
 public:
  explicit ServerChoice(std::string data_centre = "")
      : data_centre_(std::move(data_centre)) {}

  // Chooses among `places`, leaving out `tried_servers` and, if `level` is
  // given, servers known to shed that level now.
  std::optional<ServerPlace> Choose(const std::vector<ServerPlace>& places,
                                    const EffectiveSettings& settings,
                                    const std::set<std::string>& tried_servers,
                                    std::optional<uint32_t> level,
                                    TimePoint now, std::mt19937_64& random);

  // Returns the lowest shedding threshold of those `places` that are not
  // suspect; 0 if one of these is unknown.
  uint32_t LowestThreshold(const std::vector<ServerPlace>& places,
                           TimePoint now) const;

  // Returns the mean of the known shedding thresholds, which is what a call
  // meets where all servers of a service are used. The lowest threshold is that
  // of a server that has just been idle.
  uint32_t MeanThreshold(const std::vector<ServerPlace>& places,
                         TimePoint now) const;

  void OnSent(const std::string& server_key);
  // Ends an attempt that OnSent began. `failed`: a connection failure, a
  // timeout or a server error; a refusal is not a failure.
  void OnEnded(const std::string& service, const std::string& server_key,
               std::optional<Duration> latency, bool failed, TimePoint now);
  void OnReport(const std::string& server_key, const LoadReport& report,
                TimePoint now);
  // Records that the process of a server that started at `started_ms` has said
  // in an answer that it leaves. It gets no calls any more, even if its node
  // has forgotten that, for example because the node restarted, and lists it.
  void OnLeaving(const std::string& server_key, uint64_t started_ms,
                 TimePoint now);
  // Handles a link to the node that broke, could not be opened, or is
  // unresponsive. Gossip takes a second or more to detect a dead host; until
  // then calls would still be sent to it.
  void OnUnreachable(const std::string& node, TimePoint now);
  // Handles a call sent to the node. If the node was unreachable, other calls
  // avoid it again until the outcome of this one is known.
  void OnCalled(const std::string& node, TimePoint now);
  void OnReachable(const std::string& node) { unreachable_.erase(node); }
  // Returns the age of the server's last load report, if there is one.
  std::optional<Duration> ReportAge(const std::string& server_key,
                                    TimePoint now) const;
  // Returns the rate limit in the server's last load report.
  std::optional<double> ReportedRateLimit(const std::string& server_key,
                                          TimePoint now) const;
  // Returns whether a recent report shows a free slot, no queue and no
  // shedding.
  bool HasCapacity(const std::string& server_key, TimePoint now) const;
  // Drops the state of servers that were not used for a while.
  void Expire(TimePoint now);

  bool Ejected(const std::string& service, const std::string& server_key,
               TimePoint now) const;
  uint32_t InFlight(const std::string& server_key) const;

 private:
  struct ServerState {
    uint32_t in_flight = 0;  // attempts of this node
    Duration latency{0};     // exponential moving average
    LoadReport report;
    // Calls that this node sent since the report.
    uint32_t sent_since_report = 0;
    TimePoint reported_at{};
    TimePoint last_used{};
  };

  struct Departure {
    uint64_t started_ms = 0;
    TimePoint since{};
  };

  bool HasLeft(const std::string& server_key, const ServerPlace& place) const;
  static uint32_t ThresholdOf(const ServerState& state, TimePoint now);
  static void ExtrapolateLoad(const ServerState& state, TimePoint now,
                              ServerView& view);
  ServerView ViewOf(const ServerPlace& place, const EffectiveSettings& settings,
                    const std::set<std::string>& tried_servers,
                    std::optional<uint32_t> level, TimePoint now) const;

  bool IsUnreachable(const std::string& node, TimePoint now) const;

  std::string data_centre_;  // of this node
  std::map<std::string, ServerState> servers_;
  std::map<std::string, Departure> departures_;      // by server key
  std::map<std::string, TimePoint> unreachable_;     // by node, until when
  std::map<std::string, OutlierDetector> outliers_;  // by service
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_SERVER_CHOICE_H_
