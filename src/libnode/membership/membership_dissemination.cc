// Dissemination: contents of datagrams, pushes of urgent changes, and contact
// with other data centres.

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include "amaranthroute/hash.h"
#include "libnode/membership/membership.h"
#include "libnode/membership/membership_limits.h"

namespace amaranth::pvt {

namespace {

constexpr char kDelegateKey[] = "membership-delegates";
constexpr size_t kQuarantinesPerDatagram = 4;
constexpr size_t kSeedsAtOnce = 5;
constexpr size_t kMeanReconnectors = 3;

// Returns at most `count` of the names, chosen at random, in random order.
std::vector<std::string> Sample(const std::vector<std::string>& names,
                                size_t count, Random& random) {
  std::vector<std::string> chosen;
  std::sample(names.begin(), names.end(), std::back_inserter(chosen), count,
              random);
  std::shuffle(chosen.begin(), chosen.end(), random);
  return chosen;
}

bool HasServerOf(const MemberRecord& record, const std::string& service) {
  return std::any_of(
      record.servers.begin(), record.servers.end(),
      [&](const ServerRecord& server) { return server.service == service; });
}

void SendAll(const std::vector<GossipMessage>& datagrams,
             const Endpoint& address, Context& context) {
  for (const GossipMessage& datagram : datagrams) {
    context.Emit(SendGossip{address, datagram});
  }
}

}  // namespace

const std::vector<std::string>& Membership::UpPeers() const {
  if (!up_peers_stale_) return up_peers_;
  up_peers_.clear();
  for (const auto& [name, record] : table_.members()) {
    const bool other = name != identity_.node.name;
    if (other && IsUp(record) && IsLocal(record)) up_peers_.push_back(name);
  }
  up_peers_stale_ = false;
  return up_peers_;
}

std::vector<std::string> Membership::RandomPeers(size_t count,
                                                 Context& context) const {
  return Sample(UpPeers(), count, context.random);
}

std::vector<std::string> Membership::DelegatesOf(
    const std::string& data_centre) const {
  std::vector<std::string> names;
  for (const auto& [name, record] : table_.members()) {
    if (record.data_centre == data_centre && IsUp(record)) {
      names.push_back(name);
    }
  }
  return RendezvousChoose(names, kDelegateKey, kDelegatesPerDataCentre);
}

void Membership::Ping(const std::string& name, uint64_t sequence,
                      Context& context) {
  const MemberRecord* record = Find(name);
  if (record == nullptr) return;
  context.Emit(SendGossip{record->gossip_address,
                          BuildMessage(GossipKind::kPing, sequence, record)});
}

GossipMessage Membership::BuildHeader(GossipKind kind,
                                      uint64_t sequence) const {
  GossipMessage message;
  message.kind = kind;
  message.from = identity_.node;
  message.from_address = identity_.gossip_address;
  message.sequence = sequence;
  message.settings_version = settings_version_;
  if (settings_confirmed_at) {
    message.settings_confirmed_at = settings_confirmed_at();
  }
  message.platform_epoch = platform_epoch_;
  message.membership_hash = table_.hash();
  return message;
}

GossipMessage Membership::BuildMessage(GossipKind kind, uint64_t sequence,
                                       const MemberRecord* receiver) {
  GossipMessage message = BuildHeader(kind, sequence);
  size_t size = kGossipHeaderSize;
  AddRecord(Self(), size, message);
  // A receiver that is considered suspect or dead has to learn of it to refute
  // it.
  if (receiver != nullptr && receiver->state != MemberState::kAlive) {
    AddRecord(*receiver, size, message);
  }
  if (receiver != nullptr) AddDepartures(*receiver, size, message);
  const size_t allowed = size + gossip_budget_.Available(last_now_);
  const size_t before = size;
  AddQueued(std::min(allowed, kDatagramBudget), size, message);
  gossip_budget_.Spend(size - before);
  AddQuarantines(size, message);
  return message;
}

void Membership::AddRecord(const MemberRecord& record, size_t& size,
                           GossipMessage& message) const {
  const size_t more = EncodedSize(record);
  if (size + more > kDatagramBudget) return;
  size += more;
  message.updates.push_back(record);
}

void Membership::AddDepartures(const MemberRecord& receiver, size_t& size,
                               GossipMessage& message) const {
  for (Departure& departure : DeparturesMissingAt(receiver)) {
    const size_t more = EncodedSize(departure);
    if (size + more > kDatagramBudget) return;
    size += more;
    message.departures.push_back(std::move(departure));
  }
}

void Membership::AddQueued(size_t budget, size_t& size,
                           GossipMessage& message) {
  for (const std::string& name : updates_.LeastSentFirst()) {
    const MemberRecord* record = Find(name);
    if (record == nullptr) {
      updates_.Remove(name);
      continue;
    }
    const bool is_self = name == identity_.node.name;
    const size_t more = EncodedSize(*record);
    if (!is_self && size + more > budget) break;
    if (!is_self) AddRecord(*record, size, message);
    updates_.CountTransmission(name);
  }
}

void Membership::AddQuarantines(size_t& size, GossipMessage& message) {
  for (const QuarantineRecord& record :
       quarantines_.Next(kQuarantinesPerDatagram, last_now_)) {
    const size_t more = EncodedSize(record);
    if (size + more > kDatagramBudget) return;
    size += more;
    message.quarantines.push_back(record);
  }
}

// A caller may resend a request that crashed a server within milliseconds, to
// any node. Gossip between neighbours is slower than that, and each resend that
// arrives first crashes a backend server. So the node that detected the crash
// sends the records to each node itself. A suspect is of use only to the nodes
// that may run it, those with a server of its service: a crash with 160 calls
// in flight costs about 6 KB for each of them.
void Membership::BroadcastQuarantines(Context& context) {
  if (quarantines_to_broadcast_.empty() && suspect_news_to_broadcast_.empty()) {
    return;
  }
  std::vector<QuarantineRecord> quarantined;
  std::map<std::string, std::vector<QuarantineRecord>> suspects_by_service;
  for (QuarantineRecord& record : quarantines_to_broadcast_) {
    std::vector<QuarantineRecord>& group =
        record.crashes >= kQuarantineCrashes
            ? quarantined
            : suspects_by_service[record.service];
    group.push_back(std::move(record));
  }
  quarantines_to_broadcast_.clear();
  std::map<std::string, std::vector<SuspectNews>> news_by_service;
  for (SuspectNews& news : suspect_news_to_broadcast_) {
    suspects_by_service.try_emplace(news.service);
    news_by_service[news.service].push_back(std::move(news));
  }
  suspect_news_to_broadcast_.clear();
  const std::vector<GossipMessage> to_all =
      QuarantineDatagrams(quarantined, {});
  std::map<std::string, std::vector<GossipMessage>> to_service;
  for (const auto& [service, suspects] : suspects_by_service) {
    to_service[service] =
        QuarantineDatagrams(suspects, news_by_service[service]);
  }
  for (const auto& [name, record] : table_.members()) {
    if (name == identity_.node.name || !IsUp(record)) continue;
    SendAll(to_all, record.gossip_address, context);
    for (const auto& [service, datagrams] : to_service) {
      if (HasServerOf(record, service)) {
        SendAll(datagrams, record.gossip_address, context);
      }
    }
  }
}

std::vector<GossipMessage> Membership::QuarantineDatagrams(
    const std::vector<QuarantineRecord>& records,
    const std::vector<SuspectNews>& news) const {
  std::vector<GossipMessage> datagrams;
  size_t size = kDatagramBudget;
  const auto make_room = [&](size_t more) {
    if (size + more > kDatagramBudget) {
      datagrams.push_back(BuildHeader(GossipKind::kAck, 0));
      size = kGossipHeaderSize;
    }
    size += more;
  };
  for (const QuarantineRecord& record : records) {
    make_room(EncodedSize(record));
    datagrams.back().quarantines.push_back(record);
  }
  for (const SuspectNews& item : news) {
    make_room(EncodedSize(item));
    datagrams.back().suspect_news.push_back(item);
  }
  return datagrams;
}

// Probes alone reach one member per period, which is too slow for changes that
// stop new work, so each node that learns of one pushes it at once to a few
// others.
void Membership::PushUrgent(Context& context) {
  BroadcastQuarantines(context);
  const bool own_change = urgent_pushes_left_.count(identity_.node.name) != 0;
  std::vector<std::string> targets =
      RandomPeers(own_change ? kOwnPushFanout : kPushFanout, context);
  if (own_change) {
    for (const std::string& data_centre : table_.DataCentres()) {
      if (data_centre == identity_.data_centre) continue;
      for (std::string& name : DelegatesOf(data_centre)) {
        targets.push_back(std::move(name));
      }
    }
  }
  GossipMessage message = BuildHeader(GossipKind::kAck, 0);
  size_t size = kGossipHeaderSize;
  AddQuarantines(size, message);
  AddRecord(Self(), size, message);
  for (const auto& [name, left] : urgent_pushes_left_) {
    const MemberRecord* record = Find(name);
    if (record != nullptr && name != identity_.node.name) {
      AddRecord(*record, size, message);
    }
  }
  for (const std::string& name : targets) {
    context.Emit(SendGossip{Find(name)->gossip_address, message});
  }
  for (auto entry = urgent_pushes_left_.begin();
       entry != urgent_pushes_left_.end();) {
    entry = --entry->second <= 0 ? urgent_pushes_left_.erase(entry)
                                 : std::next(entry);
  }
  if (header_pushes_left_ > 0) --header_pushes_left_;
  const bool more = !urgent_pushes_left_.empty() || header_pushes_left_ > 0;
  next_push_ = more ? context.now + kPushInterval : kNever;
}

// Each second, delegates ping a delegate of each other data centre, whose ack
// carries its table hash; only a difference costs a sync. If a data centre is
// unresponsive, any of its members may be pinged, in case all delegates known
// here are down for good.
void Membership::ContactDataCentres(Context& context) {
  const std::vector<std::string> own = DelegatesOf(identity_.data_centre);
  if (std::find(own.begin(), own.end(), identity_.node.name) == own.end()) {
    return;
  }
  for (const std::string& data_centre : table_.DataCentres()) {
    if (data_centre == identity_.data_centre) continue;
    std::vector<std::string> candidates = DelegatesOf(data_centre);
    const auto heard = remote_heard_.emplace(data_centre, context.now).first;
    if (context.now > heard->second + kRemoteTimeout) {
      for (const auto& [name, record] : table_.members()) {
        if (record.data_centre == data_centre && IsUp(record)) {
          candidates.push_back(name);
        }
      }
    }
    for (const std::string& name : Sample(candidates, 1, context.random)) {
      Ping(name, context.NextId(), context);
    }
  }
}

// Returns true with a probability at which, on average, kMeanReconnectors nodes
// are chosen among this node and its `peers`.
bool Membership::IsRandomlyChosen(size_t peers, Context& context) {
  return std::uniform_int_distribution<size_t>(0, peers)(context.random) <
         kMeanReconnectors;
}

// After a partition inside a data centre each half considers the other dead
// and no longer probes it; without further pings they would never rejoin. Only
// a few nodes do so each time: if all did, the seeds would have to answer every
// node of the fleet every two seconds.
void Membership::Reconnect(Context& context) {
  const size_t peers = UpPeers().size();
  const bool alone = peers == 0;
  if (!IsRandomlyChosen(peers, context) && !alone) return;
  std::vector<std::string> dead;
  for (const auto& [name, until] : tombstones_) {
    const MemberRecord* record = Find(name);
    if (record != nullptr && record->state == MemberState::kDead) {
      dead.push_back(name);
    }
  }
  for (const std::string& name : Sample(dead, 1, context.random)) {
    Ping(name, context.NextId(), context);
  }
  std::vector<Endpoint> seeds;
  std::sample(identity_.seeds.begin(), identity_.seeds.end(),
              std::back_inserter(seeds), alone ? kSeedsAtOnce : 1,
              context.random);
  for (const Endpoint& seed : seeds) {
    if (seed == identity_.gossip_address) continue;
    context.Emit(
        SendGossip{seed, BuildMessage(GossipKind::kPing, context.NextId())});
  }
}

// A node that left as planned is often restarted at once, at the same
// addresses. While the platform is unreachable it may be unable to discover
// peers, and a node that has left is no longer probed, so its servers would be
// missing until the platform is back.
void Membership::PingDepartedMembers(Context& context) {
  if (tombstones_.empty()) return;
  const size_t peers = UpPeers().size();
  for (const auto& [name, until] : tombstones_) {
    if (context.now >= until - kTombstoneRetention + kReturnPingTime) continue;
    if (IsRandomlyChosen(peers, context)) Ping(name, context.NextId(), context);
  }
}

// Spreads the writes of a fleet that starts, or learns of a new epoch, at once.
Duration Membership::PeerRowDelay() const {
  const int64_t spread =
      std::max<int64_t>(1, identity_.rules.peer_row_spread.count());
  return Duration(Hash64(identity_.node.name) % static_cast<uint64_t>(spread));
}

void Membership::OnPlatformEpoch(uint64_t epoch, Context& context) {
  if (epoch <= platform_epoch_) return;
  platform_epoch_ = epoch;
  relayed_confirmation_ = PlatformTime();
  if (on_platform_epoch) on_platform_epoch(epoch, context);
  header_pushes_left_ = kPushRounds;
  next_push_ = std::min(next_push_, context.now);
  stored_departures_.clear();
  if (!own_departures_.empty()) next_retained_write_ = context.now;
  if (!peer_row_written_) return;
  context.Log(LogLevel::kInfo, kMembershipPart,
              "the platform came back from a copy, epoch " +
                  std::to_string(epoch) + "; writing this node's row again");
  peer_row_written_ = false;
  peer_row_due_ = context.now + PeerRowDelay();
  platform_interval_ = kPlatformInterval;
  next_platform_ = std::min(next_platform_, *peer_row_due_);
}

bool Membership::OnPlatformReplied(const PlatformReplied& replied,
                                   Context& context) {
  if (write_peer_op_ && *write_peer_op_ == replied.op) {
    write_peer_op_.reset();
    const uint64_t epoch = replied.reply.epoch;
    const bool is_current = epoch == 0 || epoch == platform_epoch_;
    peer_row_written_ =
        replied.reply.status == PlatformStatus::kOk && is_current;
    return true;
  }
  if (write_retained_op_ && *write_retained_op_ == replied.op) {
    OnRetainedWritten(replied.reply, context);
    return true;
  }
  if (read_retained_op_ && *read_retained_op_ == replied.op) {
    OnRetainedRead(replied.reply, context);
    return true;
  }
  if (!read_peers_op_ || *read_peers_op_ != replied.op) return false;
  read_peers_op_.reset();
  OnPeersRead(replied.reply, context);
  return true;
}

}  // namespace amaranth::pvt
