#ifndef AMARANTHROUTE_LIBNODE_ENTRY_SERVER_CHOICE_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_SERVER_CHOICE_H_

// What this entry node knows of other hosts' backend servers from its own
// calls and from the nodes beside them, and the choice among them. Health and
// load endpoints play no part: they lag and mislead; an answer's own latency
// and load report do not.

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

// Name of a backend server in the fleet: two hosts may use the same name.
std::string ServerKey(const std::string& node, const std::string& server);

class ServerChoice {
 public:
  explicit ServerChoice(std::string data_centre = "")
      : data_centre_(std::move(data_centre)) {}

  // Chooses among `places`, leaving out `tried` and, if `level` is given,
  // servers known to shed that level now.
  std::optional<ServerPlace> Choose(const std::vector<ServerPlace>& places,
                                    const EffectiveSettings& settings,
                                    const std::set<std::string>& tried,
                                    std::optional<uint32_t> level,
                                    TimePoint now, std::mt19937_64& random);

  // The lowest level that any of `places` lets in, as far as known.
  uint32_t Threshold(const std::vector<ServerPlace>& places,
                     TimePoint now) const;

  // The mean of their thresholds: what a call meets where a service is used as
  // a whole. The least of them is that of whichever has just been idle.
  uint32_t MeanThreshold(const std::vector<ServerPlace>& places,
                         TimePoint now) const;

  void OnSent(const std::string& server_key);
  // Ends what OnSent began. `failed`: broke or timed out, not refused.
  void OnEnded(const std::string& service, const std::string& server_key,
               std::optional<Duration> latency, bool failed, TimePoint now);
  void OnReport(const std::string& server_key, const LoadReport& report,
                TimePoint now);
  // A link to the node broke or could not be made. Gossip takes a second or
  // more to find a dead host; until then every other call would run into it.
  void OnUnreachable(const std::string& node, TimePoint now);
  // A call was sent there: if the node could not be reached before, the others
  // wait for what becomes of this one.
  void OnTried(const std::string& node, TimePoint now);
  void OnReached(const std::string& node) { unreachable_.erase(node); }
  // How old the server's last report is; nothing if there is none.
  std::optional<Duration> ReportAge(const std::string& server_key,
                                    TimePoint now) const;
  // Whether a fresh report says that the server has a free slot and no queue.
  bool HasRoom(const std::string& server_key, TimePoint now) const;
  // Forgets servers that nobody has used or reported for a while.
  void Expire(TimePoint now);

  bool Ejected(const std::string& service, const std::string& server_key,
               TimePoint now) const;
  uint32_t InFlight(const std::string& server_key) const;

 private:
  struct Seen {
    uint32_t in_flight = 0;  // this node's own
    Duration latency{0};     // moving mean
    LoadReport report;
    uint32_t sent_since = 0;  // calls of this node since the report
    TimePoint reported{};
    TimePoint used{};
  };

  static uint32_t ThresholdOf(const Seen& seen, TimePoint now);
  static void BringUpToDate(const Seen& seen, TimePoint now, ServerView& view);
  ServerView ViewOf(const ServerPlace& place, const EffectiveSettings& settings,
                    const std::set<std::string>& tried,
                    std::optional<uint32_t> level, TimePoint now) const;

  bool IsUnreachable(const std::string& node, TimePoint now) const;

  std::string data_centre_;  // of this node
  std::map<std::string, Seen> seen_;
  std::map<std::string, TimePoint> unreachable_;     // nodes, until when
  std::map<std::string, OutlierDetector> outliers_;  // by service
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_SERVER_CHOICE_H_
