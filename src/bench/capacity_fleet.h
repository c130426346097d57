#ifndef AMARANTHROUTE_BENCH_CAPACITY_FLEET_H_
#define AMARANTHROUTE_BENCH_CAPACITY_FLEET_H_

// Many reducers in one process and virtual time, joined by their real wire
// encoding, to measure what each size of fleet costs a node: bytes, messages,
// processor time of reducer and codec, memory, and calls of the platform. It
// knows no sockets: headers of IP, UDP and TCP, system calls and HTTP parsing
// are not in its figures.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amaranthroute/reducer.h"

namespace amaranth::bench {

struct Usage {
  uint64_t messages = 0;
  uint64_t bytes = 0;
  uint64_t reducer_ns = 0;
  uint64_t codec_ns = 0;
  uint64_t platform_reads = 0;
  uint64_t platform_writes = 0;  // calls, a batch of claims counts once
  uint64_t platform_rows = 0;    // rows that the writes carried
  uint64_t calls_ok = 0;
  uint64_t calls_failed = 0;
};

Usage operator-(const Usage& a, const Usage& b);

class CapacityFleet {
 public:
  CapacityFleet(size_t nodes, size_t data_centres, size_t services);

  /// Starts every node at once, each with its backend server.
  void StartAll();
  void RunFor(Duration length);
  /// Until the asked nodes see `alive` members, or the limit; the time taken.
  Duration RunUntilSeen(size_t alive, Duration limit);
  /// Until the asked nodes have the newest settings in force.
  Duration RunUntilInForce(Duration limit);

  void Kill(size_t node);
  void Restart(size_t node);
  /// Cuts the data centres from `first` on off from those before it.
  void CutFrom(size_t first_data_centre);
  void Heal();
  /// An operator's change of this many services, asked of `node`.
  void ChangeSettings(size_t node, size_t paths);
  uint64_t settings_version() const { return head_version_; }
  /// Callers ask each of the first `entries` nodes at this rate; a share of
  /// calls brings a key.
  void SetCallRate(double calls_per_node, double keyed_share, size_t entries);

  Usage usage() const { return usage_; }
  /// Most bytes that any one node sent in one second since the last call.
  uint64_t TakePeakBytes();
  /// Most processor time that any one node took in one second.
  uint64_t TakePeakNanos();
  /// Most calls of the platform by the whole fleet in one second.
  uint64_t TakePeakPlatformCalls();
  size_t size() const { return hosts_.size(); }
  size_t up() const;
  size_t DataCentreOf(size_t node) const { return node % data_centres_; }

 private:
  struct Host {
    NodeIdentity identity;
    std::unique_ptr<Node> node;
    bool up = false;
    uint64_t wake = 0;
    int64_t second = 0;
    uint64_t second_bytes = 0;
    uint64_t second_nanos = 0;
  };
  struct Scheduled {
    TimePoint at{};
    uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Scheduled& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  void At(Duration from_now, std::function<void()> action);
  void Boot(size_t node);
  void Feed(size_t node, EventBody body);
  void Apply(size_t node, const Effects& effects);
  void Announce(size_t node, uint64_t incarnation);
  void ScheduleCall(size_t node, uint64_t generation);
  bool Reaches(size_t a, size_t b) const;
  Duration Latency(size_t a, size_t b);
  void Count(size_t node, uint64_t bytes, uint64_t nanos);
  void CountPlatformCall();
  Duration RunUntilAll(const std::function<bool(size_t node)>& holds,
                       Duration limit);
  std::string_view StatusOf(size_t node);
  size_t AliveSeenBy(size_t node);

  void Do(size_t node, const AnswerCaller& effect);
  void Do(size_t node, const SendPeer& effect);
  void Do(size_t node, const ClosePeer& effect);
  void Do(size_t node, const SendGossip& effect);
  void Do(size_t node, const SendServer& effect);
  void Do(size_t node, const CancelServer& effect);
  void Do(size_t node, const SendPlatform& effect);
  void Do(size_t node, const WakeAt& effect);
  void Do(size_t, const DropIdleConnections&) {}
  void Do(size_t, const WriteLog&) {}
  void Do(size_t, const ExitProcess&) {}
  PlatformReply RunPlatform(const PlatformRequest& request);

  size_t data_centres_;
  size_t services_;
  std::vector<Host> hosts_;
  std::unordered_map<std::string, size_t> by_name_;  // also by address
  std::set<std::pair<size_t, size_t>> links_;
  TimePoint now_ = FromMicros(1'000'000);
  uint64_t order_ = 0;
  uint64_t next_call_ = 1;
  uint64_t next_incarnation_ = 1;
  size_t cut_from_ = 0;  // 0: no cut
  double call_rate_ = 0;
  double keyed_share_ = 0;
  uint64_t call_generation_ = 0;
  std::set<uint64_t> callers_;
  uint64_t watched_call_ = 0;
  HttpResponse watched_answer_;
  std::mt19937_64 random_{7};
  std::priority_queue<Scheduled> schedule_;
  Usage usage_;
  uint64_t peak_bytes_ = 0;
  uint64_t peak_nanos_ = 0;
  int64_t platform_second_ = 0;
  uint64_t platform_second_calls_ = 0;
  uint64_t peak_platform_calls_ = 0;
  std::unordered_map<std::string, std::string> rows_;
  std::map<std::string, std::string> objects_;
  std::map<std::string, uint64_t> changes_;
  uint64_t head_version_ = 0;
  std::string head_object_;
};

}  // namespace amaranth::bench

#endif  // AMARANTHROUTE_BENCH_CAPACITY_FLEET_H_
