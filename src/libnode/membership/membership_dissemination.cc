// Dissemination: contents of datagrams, pushes of urgent changes and contact
// with other data centres.

#include <algorithm>
#include <utility>

#include "amaranthroute/hash.h"
#include "libnode/membership/membership.h"
#include "libnode/membership/membership_limits.h"
#include "libnode/shared/random_sample.h"

namespace amaranth::pvt {

namespace {

constexpr char kDelegateKey[] = "membership-delegates";
constexpr size_t kQuarantinesPerDatagram = 4;

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
  return RandomSample(UpPeers(), count, context.random);
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
  if (settings_confirmed) {
    message.settings_confirmed = settings_confirmed(last_now_);
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
// sends every node a datagram itself. Crashes are rare: with 1,600 nodes one
// costs about 200 KB.
void Membership::BroadcastQuarantines(Context& context) {
  if (quarantines_to_broadcast_.empty()) return;
  GossipMessage message = BuildHeader(GossipKind::kAck, 0);
  message.quarantines = std::move(quarantines_to_broadcast_);
  quarantines_to_broadcast_.clear();
  for (const auto& [name, record] : table_.members()) {
    if (name == identity_.node.name || !IsUp(record)) continue;
    context.Emit(SendGossip{record.gossip_address, message});
  }
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
    for (const std::string& name :
         RandomSample(candidates, 1, context.random)) {
      Ping(name, context.NextId(), context);
    }
  }
}

}  // namespace amaranth::pvt
