// Telling others: what a datagram carries, pushes of urgent news, contact with
// other data centres, and finding peers when there are none.

#include <algorithm>
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
constexpr size_t kReconnectors = 3;

// The names in random order, `count` of them at most.
std::vector<std::string> Sample(const std::vector<std::string>& names,
                                size_t count, Random& random) {
  std::vector<std::string> chosen;
  std::sample(names.begin(), names.end(), std::back_inserter(chosen), count,
              random);
  std::shuffle(chosen.begin(), chosen.end(), random);
  return chosen;
}

// "name=ip:port" as the platform lists peers; false if it is not that.
bool ParsePeer(const std::string& row, std::string& name, Endpoint& address) {
  const size_t equals = row.find('=');
  const size_t colon = row.rfind(':');
  if (equals == std::string::npos || colon == std::string::npos ||
      colon < equals) {
    return false;
  }
  uint32_t port = 0;
  for (const char c : row.substr(colon + 1)) {
    if (c < '0' || c > '9' || port > UINT16_MAX) return false;
    port = port * 10 + static_cast<uint32_t>(c - '0');
  }
  if (port == 0 || port > UINT16_MAX) return false;
  name = row.substr(0, equals);
  address.ip = row.substr(equals + 1, colon - equals - 1);
  address.port = static_cast<uint16_t>(port);
  return true;
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

GossipMessage Membership::BuildMessage(GossipKind kind, uint64_t sequence,
                                       const MemberRecord* receiver) {
  GossipMessage message;
  message.kind = kind;
  message.from = identity_.node;
  message.from_address = identity_.gossip_address;
  message.sequence = sequence;
  message.settings_version = settings_version_;
  if (settings_confirmed) {
    message.settings_confirmed = settings_confirmed(last_now_);
  }
  message.membership_hash = table_.hash();
  size_t size = kGossipHeaderSize;
  AddRecord(Self(), size, message);
  // A receiver that we hold for suspect or dead must hear it, to refute it.
  if (receiver != nullptr && receiver->state != MemberState::kAlive) {
    AddRecord(*receiver, size, message);
  }
  const size_t allowed = size + gossip_budget_.Left(last_now_);
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

void Membership::AddQueued(size_t budget, size_t& size,
                           GossipMessage& message) {
  for (const std::string& name : updates_.InOrder()) {
    const MemberRecord* record = Find(name);
    if (record == nullptr) {
      updates_.Remove(name);
      continue;
    }
    const bool is_self = name == identity_.node.name;
    const size_t more = EncodedSize(*record);
    if (!is_self && size + more > budget) break;
    if (!is_self) AddRecord(*record, size, message);
    updates_.Told(name);
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

// A caller sends a poison request again within milliseconds, to any node.
// Gossip from neighbour to neighbour loses that race, and each lost race costs
// a backend server; so the node that learned of it tells every node itself, one
// datagram each. Crashes are rare: at 1,600 nodes this is about 200 KB for one.
void Membership::TellQuarantines(Context& context) {
  if (to_tell_.empty()) return;
  GossipMessage message = BuildMessage(GossipKind::kAck, 0);
  message.updates.clear();
  message.quarantines = std::move(to_tell_);
  to_tell_.clear();
  for (const auto& [name, record] : table_.members()) {
    if (name == identity_.node.name || !IsUp(record)) continue;
    context.Emit(SendGossip{record.gossip_address, message});
  }
}

// Probes alone tell one member each period, which is too slow for news that
// stops work: everybody who learns it passes it on at once to a few.
void Membership::PushUrgent(Context& context) {
  TellQuarantines(context);
  const bool ours = urgent_.count(identity_.node.name) != 0;
  std::vector<std::string> targets =
      RandomPeers(ours ? kOwnPushFanout : kPushFanout, context);
  if (ours) {
    for (const std::string& data_centre : table_.DataCentres()) {
      if (data_centre == identity_.data_centre) continue;
      for (std::string& name : DelegatesOf(data_centre)) {
        targets.push_back(std::move(name));
      }
    }
  }
  GossipMessage message = BuildMessage(GossipKind::kAck, 0);
  message.updates.clear();
  size_t size = kGossipHeaderSize + kQuarantinesPerDatagram * 64;
  AddRecord(Self(), size, message);
  for (const auto& [name, left] : urgent_) {
    const MemberRecord* record = Find(name);
    if (record != nullptr && name != identity_.node.name) {
      AddRecord(*record, size, message);
    }
  }
  for (const std::string& name : targets) {
    context.Emit(SendGossip{Find(name)->gossip_address, message});
  }
  for (auto entry = urgent_.begin(); entry != urgent_.end();) {
    entry = --entry->second <= 0 ? urgent_.erase(entry) : std::next(entry);
  }
  if (plain_pushes_left_ > 0) --plain_pushes_left_;
  const bool more = !urgent_.empty() || plain_pushes_left_ > 0;
  next_push_ = more ? context.now + kPushInterval : kNever;
}

// Delegates ask the delegates of the other data centres for their hash (on the
// ack) each second; only a difference costs a sync. A data centre that has
// gone silent is asked anywhere, in case its delegates as we know them are
// gone for good.
void Membership::ContactDataCentres(Context& context) {
  const std::vector<std::string> own = DelegatesOf(identity_.data_centre);
  if (std::find(own.begin(), own.end(), identity_.node.name) == own.end()) {
    return;
  }
  for (const std::string& data_centre : table_.DataCentres()) {
    if (data_centre == identity_.data_centre) continue;
    std::vector<std::string> candidates = DelegatesOf(data_centre);
    const auto heard = remote_heard_.emplace(data_centre, context.now).first;
    if (context.now > heard->second + kRemoteSilence) {
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

// Of the node and its `peers`, kReconnectors are drawn in the mean.
bool Membership::IsDrawn(size_t peers, Context& context) {
  return std::uniform_int_distribution<size_t>(0, peers)(context.random) <
         kReconnectors;
}

// After a cut inside a data centre each half holds the other for dead and
// probes it no more; somebody has to ask again or they stay apart for ever.
// A few of many nodes do it each time: if all did, the seeds would answer each
// node of the fleet every two seconds.
void Membership::Reconnect(Context& context) {
  const size_t peers = UpPeers().size();
  const bool alone = peers == 0;
  if (!IsDrawn(peers, context) && !alone) return;
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

// A node that left as planned is often started again at once, at the same
// addresses. While the platform is away it can find nobody by itself, and a
// node that has left is probed no more: its server would be missing for as long
// as the platform is.
void Membership::LookForReturned(Context& context) {
  if (tombstones_.empty()) return;
  const size_t peers = UpPeers().size();
  for (const auto& [name, until] : tombstones_) {
    if (context.now >= until - kTombstoneTime + kReturnTime) continue;
    if (IsDrawn(peers, context)) Ping(name, context.NextId(), context);
  }
}

void Membership::FindPeers(Context& context) {
  Reconnect(context);
  next_platform_ = kNever;
  if (!identity_.use_platform) return;
  const bool alone = UpPeers().empty();
  if (!alone && peer_row_written_) return;
  next_platform_ = context.now + platform_interval_;
  platform_interval_ = std::min(platform_interval_ * 2, kMaxPlatformInterval);
  // When a whole region starts at once, each node asking for everything at once
  // is thousands of calls in one second on a table that takes a few hundred.
  // The seeds are asked first, and the rows are written spread out by hash.
  if (!started_) started_ = context.now;
  const Duration up_for = context.now - *started_;
  const bool seeds_failed =
      identity_.seeds.empty() || up_for >= kSeedsBeforePlatform;
  const Duration row_delay(Hash64(identity_.node.name) %
                           static_cast<uint64_t>(std::max<int64_t>(
                               1, identity_.rules.peer_row_spread.count())));
  if (!peer_row_written_ && up_for < row_delay) {
    next_platform_ = std::min(next_platform_, *started_ + row_delay);
  }
  if (alone && seeds_failed && !read_peers_op_) {
    read_peers_op_ = context.NextId();
    context.Emit(SendPlatform{*read_peers_op_, TableReadPeers{}});
  }
  if (!peer_row_written_ && !write_peer_op_ && up_for >= row_delay) {
    write_peer_op_ = context.NextId();
    context.Emit(SendPlatform{
        *write_peer_op_,
        TableWritePeer{identity_.node.name, ToString(identity_.peer_address)}});
  }
}

bool Membership::OnPlatformReplied(const PlatformReplied& replied,
                                   Context& context) {
  if (write_peer_op_ && *write_peer_op_ == replied.op) {
    write_peer_op_.reset();
    peer_row_written_ = replied.reply.status == PlatformStatus::kOk;
    return true;
  }
  if (!read_peers_op_ || *read_peers_op_ != replied.op) return false;
  read_peers_op_.reset();
  if (!UpPeers().empty()) return true;
  for (const std::string& row :
       Sample(replied.reply.peers, kPeersFromPlatform, context.random)) {
    std::string name;
    Endpoint address;
    if (!ParsePeer(row, name, address) || name == identity_.node.name) continue;
    StartSync(name, address, context);
  }
  return true;
}

}  // namespace amaranth::pvt
