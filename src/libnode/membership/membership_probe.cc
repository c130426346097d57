// SWIM failure detection inside a data centre: probe, indirect probe,
// suspicion, declaration of death.

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "libnode/membership/membership.h"
#include "libnode/membership/membership_limits.h"

namespace amaranth::pvt {

namespace {

constexpr size_t kMaxSuspectsPinged = 3;
// Nodes that hold the same suspicion randomize their deadlines, so that the
// first of them resolves it and they do not all ping the suspect at once.
constexpr double kDeadlineSpread = 0.5;

}  // namespace

void Membership::OnPeriod(Context& context) {
  ++period_count_;
  sync_answers_left_ = kSyncAnswersPerPeriod;
  FailOpenProbe(context);
  ExpireSuspects(context);
  DropExpired(context);
  StartProbe(context);
  PingSuspects(context);
  if (period_count_ % kContactPeriods == 0) ContactDataCentres(context);
  if (period_count_ % kReconnectPeriods == 0) Reconnect(context);
  PingDepartedMembers(context);
  const int64_t tenth = kProbePeriod.count() / 10;
  const int64_t jitter =
      std::uniform_int_distribution<int64_t>(-tenth, tenth)(context.random);
  next_period_ = context.now + kProbePeriod + Duration(jitter);
}

void Membership::StartProbe(Context& context) {
  const std::string target = NextProbeTarget(context);
  if (target.empty()) return;
  probe_ = Probe{target, context.NextId(), context.now + kAckTimeout};
  Ping(target, probe_->sequence, context);
  // If one datagram cannot hold all queued updates, one more is sent.
  if (updates_.size() > kTypicalUpdatesPerDatagram) {
    for (const std::string& name : RandomPeers(1, context)) {
      Ping(name, context.NextId(), context);
    }
  }
}

// Shuffled round-robin: every member is probed once per round, which bounds the
// time to detection.
std::string Membership::NextProbeTarget(Context& context) {
  if (probe_order_.empty()) {
    probe_order_ = UpPeers();
    std::shuffle(probe_order_.begin(), probe_order_.end(), context.random);
  }
  while (!probe_order_.empty()) {
    std::string name = std::move(probe_order_.back());
    probe_order_.pop_back();
    const MemberRecord* record = Find(name);
    if (record != nullptr && IsUp(*record)) return name;
  }
  return "";
}

void Membership::SendIndirectProbes(Context& context) {
  probe_->indirect_at = kNever;
  const MemberRecord* target = Find(probe_->target);
  if (target == nullptr) return;
  for (const std::string& name : RandomPeers(kIndirectProbes + 1, context)) {
    if (name == probe_->target) continue;
    GossipMessage message =
        BuildMessage(GossipKind::kPingRequest, probe_->sequence);
    message.target = target->node.name;
    message.target_address = target->gossip_address;
    context.Emit(SendGossip{Find(name)->gossip_address, std::move(message)});
  }
}

void Membership::FailOpenProbe(Context& context) {
  if (!probe_) return;
  const std::string target = probe_->target;
  probe_.reset();
  MarkSuspect(target, context);
}

void Membership::MarkSuspect(const std::string& name, Context& context) {
  const MemberRecord* known = Find(name);
  if (known == nullptr || known->state != MemberState::kAlive) return;
  MemberRecord suspect = *known;
  suspect.state = MemberState::kSuspect;
  Merge(suspect, context);
  suspicions_[name].own_probe_failed = true;
}

Duration Membership::SuspicionTimeout(Context& context) const {
  const double size = static_cast<double>(UpPeers().size()) + 1;
  const double periods = kSuspicionFactor * std::log10(std::max(size, 10.0));
  const Duration scaled(static_cast<int64_t>(periods * kProbePeriod.count()));
  const Duration base = std::max(scaled, kMinSuspicionTimeout);
  const double spread = std::uniform_real_distribution<double>(
      0, kDeadlineSpread)(context.random);
  return base + Duration(static_cast<int64_t>(spread * base.count()));
}

void Membership::ExpireSuspects(Context& context) {
  std::vector<std::string> dead;
  for (auto& [name, suspicion] : suspicions_) {
    if (context.now < suspicion.deadline) continue;
    const auto heard = last_heard_.find(name);
    const bool heard_since =
        heard != last_heard_.end() && heard->second > suspicion.since;
    if (!heard_since && suspicion.final_ping_sent) {
      dead.push_back(name);
      continue;
    }
    // The suspect was heard from since, or this node has not pinged it after
    // the deadline. It is pinged before it is declared dead.
    suspicion.final_ping_sent = !heard_since;
    if (heard_since) suspicion.since = context.now;
    suspicion.deadline = context.now + 2 * kProbePeriod;
    Ping(name, context.NextId(), context);
  }
  for (const std::string& name : dead) {
    MemberRecord record = *Find(name);
    record.state = MemberState::kDead;
    context.Log(LogLevel::kWarning, kMembershipPart,
                name + " is dead: no answer within the suspicion timeout");
    Merge(record, context);
  }
}

// Each ping to a suspect carries the suspicion, so that the suspect can refute
// it.
void Membership::PingSuspects(Context& context) {
  size_t probed = 0;
  for (const auto& [name, suspicion] : suspicions_) {
    const bool needs_ping =
        suspicion.own_probe_failed || suspicion.final_ping_sent;
    if (!needs_ping || ++probed > kMaxSuspectsPinged) continue;
    Ping(name, context.NextId(), context);
  }
}

void Membership::DropExpired(Context& context) {
  ExpireDepartures(context);
  for (auto entry = tombstones_.begin(); entry != tombstones_.end();) {
    if (context.now < entry->second) {
      ++entry;
      continue;
    }
    table_.Erase(entry->first);
    updates_.Remove(entry->first);
    urgent_pushes_left_.erase(entry->first);
    last_heard_.erase(entry->first);
    entry = tombstones_.erase(entry);
  }
  for (auto relay = relays_.begin(); relay != relays_.end();) {
    const bool over = context.now >= relay->second.expires;
    relay = over ? relays_.erase(relay) : std::next(relay);
  }
}

void Membership::OnAck(const GossipMessage& message, Context& context) {
  if (message.sequence == 0) return;  // A push, which answers no ping.
  if (probe_ && probe_->sequence == message.sequence) {
    probe_.reset();
    view_verified_ = true;
    return;
  }
  OnWitnessAck(message.sequence, context);
  const auto relay = relays_.find(message.sequence);
  if (relay == relays_.end()) return;
  context.Emit(SendGossip{
      relay->second.requester,
      BuildMessage(GossipKind::kAck, relay->second.requester_sequence)});
  relays_.erase(relay);
}

void Membership::OnPingRequest(const GossipReceived& received,
                               Context& context) {
  const uint64_t sequence = context.NextId();
  relays_[sequence] = Relay{received.from, received.message.sequence,
                            context.now + kRelayTimeout};
  context.Emit(SendGossip{received.message.target_address,
                          BuildMessage(GossipKind::kPing, sequence)});
}

}  // namespace amaranth::pvt
