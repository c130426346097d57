// Failure detection inside a data centre, as in SWIM: probe, indirect probe,
// suspicion, death.

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "libnode/membership/membership.h"
#include "libnode/membership/membership_limits.h"

namespace amaranth::pvt {

namespace {

constexpr size_t kSuspectsProbed = 3;
// Holders of one suspicion spread their deadlines, so that the first of them
// settles it and they do not all probe the suspect at once.
constexpr double kDeadlineSpread = 0.5;

}  // namespace

void Membership::OnPeriod(Context& context) {
  ++period_;
  sync_answers_left_ = kSyncAnswersPerPeriod;
  EndProbe(context);
  ExpireSuspects(context);
  ForgetGone(context);
  StartProbe(context);
  ProbeSuspects(context);
  if (period_ % kContactPeriods == 0) ContactDataCentres(context);
  if (period_ % kReconnectPeriods == 0) Reconnect(context);
  LookForReturned(context);
  const int64_t tenth = kPeriod.count() / 10;
  const int64_t jitter =
      std::uniform_int_distribution<int64_t>(-tenth, tenth)(context.random);
  next_period_ = context.now + kPeriod + Duration(jitter);
}

void Membership::StartProbe(Context& context) {
  const std::string target = NextProbeTarget(context);
  if (target.empty()) return;
  probe_ = Probe{target, context.NextId(), context.now + kAckTimeout};
  Ping(target, probe_->sequence, context);
  // With more news than one datagram holds, one more is sent.
  if (updates_.size() > kUpdatesPerDatagram) {
    for (const std::string& name : RandomPeers(1, context)) {
      Ping(name, context.NextId(), context);
    }
  }
}

// Shuffled round-robin: every member is probed once in each round, so the time
// to first detection is bounded.
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

void Membership::SendIndirect(Context& context) {
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

void Membership::EndProbe(Context& context) {
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
  suspicions_[name].ours = true;
}

Duration Membership::SuspicionTimeout(Context& context) const {
  const double size = static_cast<double>(UpPeers().size()) + 1;
  const double periods = kSuspicionFactor * std::log10(std::max(size, 10.0));
  const Duration scaled(static_cast<int64_t>(periods * kPeriod.count()));
  const Duration base = std::max(scaled, kMinSuspicion);
  const double spread = std::uniform_real_distribution<double>(
      0, kDeadlineSpread)(context.random);
  return base + Duration(static_cast<int64_t>(spread * base.count()));
}

void Membership::ExpireSuspects(Context& context) {
  std::vector<std::string> dead;
  for (auto& [name, suspicion] : suspicions_) {
    if (context.now < suspicion.deadline) continue;
    const auto heard = last_heard_.find(name);
    const bool lives =
        heard != last_heard_.end() && heard->second > suspicion.since;
    if (!lives && suspicion.last_chance) {
      dead.push_back(name);
      continue;
    }
    // Heard directly since, or not asked by us yet: we ask ourselves before we
    // call anybody dead.
    suspicion.last_chance = !lives;
    if (lives) suspicion.since = context.now;
    suspicion.deadline = context.now + 2 * kPeriod;
    Ping(name, context.NextId(), context);
  }
  for (const std::string& name : dead) {
    MemberRecord record = *Find(name);
    record.state = MemberState::kDead;
    context.Log(LogLevel::kWarning, kMembershipPart, name + " is dead");
    Merge(record, context);
  }
}

// Each ping to a suspect carries the suspicion, so it can refute it.
void Membership::ProbeSuspects(Context& context) {
  size_t probed = 0;
  for (const auto& [name, suspicion] : suspicions_) {
    const bool asked_again = suspicion.ours || suspicion.last_chance;
    if (!asked_again || ++probed > kSuspectsProbed) continue;
    Ping(name, context.NextId(), context);
  }
}

void Membership::ForgetGone(Context& context) {
  for (auto entry = tombstones_.begin(); entry != tombstones_.end();) {
    if (context.now < entry->second) {
      ++entry;
      continue;
    }
    table_.Erase(entry->first);
    updates_.Remove(entry->first);
    urgent_.erase(entry->first);
    last_heard_.erase(entry->first);
    entry = tombstones_.erase(entry);
  }
  for (auto relay = relays_.begin(); relay != relays_.end();) {
    const bool over = context.now >= relay->second.expires;
    relay = over ? relays_.erase(relay) : std::next(relay);
  }
}

void Membership::OnAck(const GossipMessage& message, Context& context) {
  if (message.sequence == 0) return;  // A push; it asks for nothing.
  if (probe_ && probe_->sequence == message.sequence) {
    probe_.reset();
    verified_ = true;
    return;
  }
  const auto relay = relays_.find(message.sequence);
  if (relay == relays_.end()) return;
  context.Emit(
      SendGossip{relay->second.asker,
                 BuildMessage(GossipKind::kAck, relay->second.asker_sequence)});
  relays_.erase(relay);
}

void Membership::OnPingRequest(const GossipReceived& received,
                               Context& context) {
  const uint64_t sequence = context.NextId();
  relays_[sequence] =
      Relay{received.from, received.message.sequence, context.now + kRelayTime};
  context.Emit(SendGossip{received.message.target_address,
                          BuildMessage(GossipKind::kPing, sequence)});
}

}  // namespace amaranth::pvt
