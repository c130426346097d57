#ifndef AMARANTHROUTE_BENCH_CAPACITY_FLEET_H_
#define AMARANTHROUTE_BENCH_CAPACITY_FLEET_H_

// Simulates a fleet: runs many reducers in one process in virtual time,
// connected through the real wire encoding. Measures the cost per node at each
// fleet size: bytes, messages, CPU time of reducer and codec, memory, and calls
// to the platform. No sockets are used, so IP, UDP and TCP headers, system
// calls and HTTP parsing are not included in the figures.

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

/// Cumulative cost of the whole fleet since its start.
struct Usage {
  uint64_t messages = 0;
  uint64_t bytes = 0;
  uint64_t reducer_ns = 0;
  uint64_t codec_ns = 0;
  uint64_t platform_reads = 0;
  uint64_t platform_writes = 0;  // calls; a batch of claims counts once
  uint64_t platform_rows = 0;    // rows written by these calls
  uint64_t calls_ok = 0;
  uint64_t calls_failed = 0;
};

Usage operator-(const Usage& a, const Usage& b);

class CapacityFleet {
 public:
  CapacityFleet(size_t nodes, size_t data_centres, size_t services);

  /// Schedules the start of every node, with one backend server each, at a
  /// random time within the next 500 ms.
  void StartAll();
  void RunFor(Duration length);
  /// Runs until each sampled node that is up sees `alive` live members, or
  /// until `limit` has passed. Returns the virtual time taken.
  Duration RunUntilMembersSeen(size_t alive, Duration limit);
  /// Runs until the newest settings version is in force at each sampled node
  /// that is up, or until `limit` has passed. Returns the virtual time taken.
  Duration RunUntilSettingsInForce(Duration limit);

  void Kill(size_t node);
  void Restart(size_t node);
  /// Partitions the network between the data centres from `first_data_centre`
  /// on and those before it.
  void PartitionFrom(size_t first_data_centre);
  void Heal();
  /// Sends `node` an operator's settings change that covers `paths` services.
  void ChangeSettings(size_t node, size_t paths);
  uint64_t settings_version() const { return head_version_; }
  /// Sends each of the first `entries` nodes `calls_per_node` calls per
  /// second, `keyed_share` (0 to 1) of them with an idempotency key.
  void SetCallRate(double calls_per_node, double keyed_share, size_t entries);

  Usage usage() const { return usage_; }
  /// Returns the most bytes that any one node sent in one second since the
  /// previous call of this function, and resets the maximum.
  uint64_t TakePeakBytes();
  /// As TakePeakBytes(), for the CPU time of one node in one second, in ns.
  uint64_t TakePeakNanos();
  /// As TakePeakBytes(), for the platform calls of the whole fleet in one
  /// second.
  uint64_t TakePeakPlatformCalls();
  size_t size() const { return hosts_.size(); }
  size_t up() const;
  size_t DataCentreOf(size_t node) const { return node % data_centres_; }

 private:
  struct SimulatedHost {
    NodeIdentity identity;
    std::unique_ptr<Node> node;
    bool up = false;
    uint64_t wake_generation = 0;
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

  void Schedule(Duration from_now, std::function<void()> action);
  void StartNode(size_t node);
  void Deliver(size_t node, EventBody body);
  void ApplyEffects(size_t node, const Effects& effects);
  void Announce(size_t node, uint64_t incarnation);
  void ScheduleCall(size_t node, uint64_t generation);
  bool IsReachable(size_t a, size_t b) const;
  Duration Latency(size_t a, size_t b);
  void RecordUsage(size_t node, uint64_t bytes, uint64_t nanos);
  void CountPlatformCall();
  Duration RunUntilSampledNodes(
      const std::function<bool(size_t node)>& condition, Duration limit);
  std::string_view GetStatus(size_t node);
  size_t CountAliveMembers(size_t node);

  void ApplyEffect(size_t node, const AnswerCaller& effect);
  void ApplyEffect(size_t node, const SendPeer& effect);
  void ApplyEffect(size_t node, const ClosePeer& effect);
  void ApplyEffect(size_t node, const SendGossip& effect);
  void ApplyEffect(size_t node, const SendServer& effect);
  void ApplyEffect(size_t node, const CancelServer& effect);
  void ApplyEffect(size_t node, const SendPlatform& effect);
  void ApplyEffect(size_t node, const WakeAt& effect);
  void ApplyEffect(size_t, const DropIdleConnections&) {}
  void ApplyEffect(size_t, const WriteLog&) {}
  void ApplyEffect(size_t, const ExitProcess&) {}
  PlatformReply RunPlatform(const PlatformRequest& request);

  size_t data_centres_;
  size_t services_;
  std::vector<SimulatedHost> hosts_;
  std::unordered_map<std::string, size_t> by_name_;  // by name and by IP
  std::set<std::pair<size_t, size_t>> links_;
  TimePoint now_ = FromMicros(1'000'000);
  uint64_t next_order_ = 0;
  uint64_t next_call_ = 1;
  uint64_t next_incarnation_ = 1;
  size_t partition_from_ = 0;  // 0: no partition
  double call_rate_ = 0;
  double keyed_share_ = 0;
  uint64_t call_generation_ = 0;
  std::set<uint64_t> open_calls_;
  uint64_t operator_call_ = 0;
  HttpResponse operator_answer_;
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
