#ifndef AMARANTHROUTE_LIBNODE_FAKES_MEMBERSHIP_FLEET_H_
#define AMARANTHROUTE_LIBNODE_FAKES_MEMBERSHIP_FLEET_H_

// Test fake: several Membership objects connected by a scheduler in virtual
// time that loses, duplicates, delays and reorders datagrams, partitions the
// network, and pauses and restarts nodes.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libnode/membership/membership.h"

namespace amaranth::pvt {

class MembershipFleet {
 public:
  using Delivery = std::variant<std::monostate, GossipReceived, PeerReceived,
                                PlatformReplied>;

  struct Host {
    NodeIdentity identity;
    std::unique_ptr<Membership> membership;
    Random random;
    uint64_t next_id = 1;
    bool running = true;
    bool paused = false;
    int partition = 0;  // only hosts of the same partition reach each other
    std::vector<Delivery> held_deliveries;  // arrived while paused
    uint64_t bytes_sent = 0;
    size_t largest_datagram = 0;
    std::map<std::string, std::pair<uint64_t, uint64_t>> seen_versions;
  };

  explicit MembershipFleet(uint64_t seed) : random_(seed) {}

  double loss = 0;
  double duplication = 0;
  Duration max_delay = std::chrono::milliseconds(5);
  bool platform_up = false;
  bool check_versions = true;
  int deaths_declared = 0;
  // False once any node's record of a member went back to an earlier version.
  bool versions_monotonic = true;

  Host& Add(const std::string& name, const std::string& data_centre,
            const std::vector<std::string>& seeds = {}) {
    Host& host = hosts_[name];
    host.identity.node = {name, 1};
    host.identity.data_centre = data_centre;
    host.identity.peer_address = {"127.0.0.1", NextPort()};
    host.identity.gossip_address = {"127.0.0.1", NextPort()};
    by_gossip_[host.identity.gossip_address] = name;
    by_peer_[host.identity.peer_address] = name;
    for (const std::string& seed : seeds) {
      host.identity.seeds.push_back(hosts_[seed].identity.gossip_address);
    }
    Start(host);
    return host;
  }

  void Kill(const std::string& name) { hosts_[name].running = false; }

  void Restart(const std::string& name) {
    RestartAs(name, hosts_[name].identity.node.incarnation + 1);
  }

  void RestartAs(const std::string& name, uint64_t incarnation) {
    Host& host = hosts_[name];
    host.identity.node.incarnation = incarnation;
    host.running = true;
    host.paused = false;
    host.held_deliveries.clear();
    Start(host);
  }

  // Restores the platform from a copy without any peer rows. `name` is the
  // first node that gets an answer of the platform afterwards.
  void RestorePlatform(const std::string& name) {
    peer_rows_.clear();
    const uint64_t epoch = ++platform_epoch_;
    Invoke(name, [epoch](Membership& m, Context& context) {
      m.OnPlatformEpoch(epoch, context);
    });
  }
  size_t peer_rows() const { return peer_rows_.size(); }
  // Adds the row of a node that is gone.
  void AddPeerRow(const std::string& name, const std::string& address) {
    peer_rows_[name] = address;
  }

  void Pause(const std::string& name) { hosts_[name].paused = true; }

  void Resume(const std::string& name) {
    Host& host = hosts_[name];
    if (!host.paused) return;
    host.paused = false;
    std::vector<Delivery> held_deliveries = std::move(host.held_deliveries);
    host.held_deliveries.clear();
    for (const Delivery& delivery : held_deliveries) Deliver(host, delivery);
    Deliver(host, std::monostate());
  }

  Host& host(const std::string& name) { return hosts_[name]; }
  Membership& at(const std::string& name) { return *hosts_[name].membership; }
  std::map<std::string, Host>& hosts() { return hosts_; }
  TimePoint now() const { return now_; }

  // Calls `action` with the node's membership and applies the effects, as the
  // reducer would.
  void Invoke(const std::string& name,
              const std::function<void(Membership&, Context&)>& action) {
    Host& host = hosts_[name];
    Effects effects;
    Context context{host.identity, now_, host.random, host.next_id, effects};
    action(*host.membership, context);
    ApplyEffects(host, effects);
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (!queue_.empty() && queue_.top().at <= end) {
      Entry entry = queue_.top();
      queue_.pop();
      now_ = std::max(now_, entry.at);
      Host& host = hosts_[entry.host];
      if (entry.incarnation != host.identity.node.incarnation) continue;
      const bool timer = std::holds_alternative<std::monostate>(entry.delivery);
      if (timer && host.membership->next_timer() > entry.at) continue;
      Deliver(host, entry.delivery);
    }
    now_ = end;
  }

  // Runs until `condition` holds. Returns false if it does not within `limit`.
  bool RunUntil(const std::function<bool()>& condition, Duration limit) {
    const TimePoint end = now_ + limit;
    while (!condition()) {
      if (now_ >= end) return false;
      Run(std::chrono::milliseconds(50));
    }
    return true;
  }

  // Returns true if all running nodes have the same view of which nodes are up.
  bool ViewsAgree() {
    const Host* first = nullptr;
    for (const auto& [name, host] : hosts_) {
      if (!host.running) continue;
      if (first == nullptr) first = &host;
      if (host.membership->hash() != first->membership->hash()) return false;
    }
    return true;
  }

  // Returns true if every running node considers exactly the running nodes up.
  bool ViewsMatchRunningNodes() {
    for (const auto& [name, host] : hosts_) {
      if (!host.running) continue;
      for (const auto& [other, other_host] : hosts_) {
        const MemberRecord* record = host.membership->Find(other);
        const bool up = record != nullptr && IsUp(*record);
        if (up != other_host.running) return false;
      }
    }
    return ViewsAgree();
  }

 private:
  static constexpr size_t kRowsPerReply = 500;

  struct Entry {
    TimePoint at;
    uint64_t order = 0;
    std::string host;
    uint64_t incarnation = 0;
    Delivery delivery;

    friend bool operator<(const Entry& a, const Entry& b) {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };

  uint16_t NextPort() { return next_port_++; }

  void Start(Host& host) {
    host.random.seed(random_());
    host.seen_versions.clear();
    host.membership = std::make_unique<Membership>(host.identity);
    Invoke(host.identity.node.name,
           [](Membership& m, Context& context) { m.Start(context); });
  }

  void Schedule(TimePoint at, const Host& host, Delivery delivery) {
    queue_.push({at, order_++, host.identity.node.name,
                 host.identity.node.incarnation, std::move(delivery)});
  }

  void Deliver(Host& host, const Delivery& delivery) {
    if (!host.running) return;
    if (host.paused) {
      const bool timer = std::holds_alternative<std::monostate>(delivery);
      if (!timer) host.held_deliveries.push_back(delivery);
      return;
    }
    Invoke(host.identity.node.name, [&](Membership& m, Context& context) {
      if (const auto* gossip = std::get_if<GossipReceived>(&delivery)) {
        m.OnGossip(*gossip, context);
      } else if (const auto* frame = std::get_if<PeerReceived>(&delivery)) {
        m.OnSync(frame->peer, std::get<MemberSync>(frame->message), context);
      } else if (const auto* reply = std::get_if<PlatformReplied>(&delivery)) {
        m.OnPlatformEpoch(reply->reply.epoch, context);
        m.OnPlatformReplied(*reply, context);
      } else {
        m.OnTimer(context);
      }
    });
  }

  void ApplyEffects(Host& host, const Effects& effects) {
    for (const Effect& effect : effects) {
      if (const auto* gossip = std::get_if<SendGossip>(&effect)) {
        SendDatagram(host, *gossip);
      } else if (const auto* frame = std::get_if<SendPeer>(&effect)) {
        SendPeerMessage(host, *frame);
      } else if (const auto* op = std::get_if<SendPlatform>(&effect)) {
        RunPlatform(host, *op);
      } else if (const auto* log = std::get_if<WriteLog>(&effect)) {
        const bool death = log->text.find("is dead") != std::string::npos;
        deaths_declared += death ? 1 : 0;
      }
    }
    if (check_versions) CheckVersions(host);
    const TimePoint timer = host.membership->next_timer();
    if (timer != kNever) {
      Schedule(std::max(timer, now_), host, std::monostate());
    }
  }

  void SendDatagram(Host& from, const SendGossip& sent) {
    size_t size = kGossipHeaderSize;
    for (const MemberRecord& record : sent.message.updates) {
      size += EncodedSize(record);
    }
    for (const QuarantineRecord& record : sent.message.quarantines) {
      size += EncodedSize(record);
    }
    from.bytes_sent += size;
    from.largest_datagram = std::max(from.largest_datagram, size);
    const auto target = by_gossip_.find(sent.to);
    if (target == by_gossip_.end()) return;
    Host& to = hosts_[target->second];
    if (to.partition != from.partition) return;
    const int copies = RandomBool(duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (RandomBool(loss)) continue;
      Schedule(now_ + RandomDelay(), to,
               GossipReceived{from.identity.gossip_address, sent.message});
    }
  }

  void SendPeerMessage(Host& from, const SendPeer& sent) {
    const auto& sync = std::get<MemberSync>(sent.message);
    from.bytes_sent += 64 + sync.bucket_hashes.size() * 5;
    for (const MemberRecord& record : sync.members) {
      from.bytes_sent += EncodedSize(record);
    }
    const auto target = by_peer_.find(sent.address);
    if (target == by_peer_.end()) return;
    Host& to = hosts_[target->second];
    if (to.partition != from.partition || !to.running) return;
    Schedule(now_ + max_delay, to,
             PeerReceived{from.identity.node, sent.message});
  }

  void RunPlatform(Host& from, const SendPlatform& sent) {
    PlatformReply reply;
    reply.status =
        platform_up ? PlatformStatus::kOk : PlatformStatus::kUnreachable;
    if (const auto* row = std::get_if<TableWritePeer>(&sent.request)) {
      if (platform_up) peer_rows_[row->name] = row->address;
    }
    if (platform_up) {
      reply.epoch = platform_epoch_;
      const auto* read = std::get_if<TableReadPeers>(&sent.request);
      auto row = peer_rows_.lower_bound(read == nullptr ? "" : read->from);
      for (; row != peer_rows_.end(); ++row) {
        if (reply.peers.size() == kRowsPerReply) {
          reply.more_from = row->first;
          break;
        }
        reply.peers.push_back(row->first + "=" + row->second);
      }
    }
    Schedule(now_ + max_delay, from, PlatformReplied{sent.op, reply});
  }

  void CheckVersions(Host& host) {
    for (const auto& [name, record] : host.membership->members()) {
      const std::pair<uint64_t, uint64_t> version(record.node.incarnation,
                                                  record.version);
      auto& seen = host.seen_versions[name];
      if (version < seen) versions_monotonic = false;
      seen = version;
    }
  }

  bool RandomBool(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  Duration RandomDelay() {
    return Duration(std::uniform_int_distribution<int64_t>(
        100, max_delay.count())(random_));
  }

  Random random_;
  TimePoint now_ = FromMicros(1'000'000);
  uint64_t order_ = 0;
  uint16_t next_port_ = 10000;
  std::map<std::string, Host> hosts_;
  std::map<Endpoint, std::string> by_gossip_;
  std::map<Endpoint, std::string> by_peer_;
  std::map<std::string, std::string> peer_rows_;
  uint64_t platform_epoch_ = 1;
  std::priority_queue<Entry> queue_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_FAKES_MEMBERSHIP_FLEET_H_
