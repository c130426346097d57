#include "libnode/membership/membership.h"

#include <algorithm>
#include <utility>

#include "libnode/membership/membership_limits.h"

namespace amaranth::pvt {

namespace {

std::vector<ServerRecord>::iterator FindServer(MemberRecord& record,
                                               const std::string& server) {
  return std::find_if(
      record.servers.begin(), record.servers.end(),
      [&](const ServerRecord& known) { return known.server == server; });
}

bool TakesWork(const MemberRecord& record, const std::string& server) {
  if (!IsUp(record)) return false;
  return std::any_of(record.servers.begin(), record.servers.end(),
                     [&](const ServerRecord& known) {
                       return known.server == server && !known.draining &&
                              known.fitness.sound();
                     });
}

// True if work that went to a server of `before` must stop now, or go elsewhere
// as far as others have room for it.
bool StopsWork(const MemberRecord& before, const MemberRecord& after) {
  if (before.state != MemberState::kLeft && after.state == MemberState::kLeft) {
    return true;
  }
  return std::any_of(before.servers.begin(), before.servers.end(),
                     [&](const ServerRecord& server) {
                       return TakesWork(before, server.server) &&
                              !TakesWork(after, server.server);
                     });
}

}  // namespace

Membership::Membership(const NodeIdentity& identity)
    : identity_(identity),
      table_(identity.node.name),
      gossip_budget_(kGossipBytesPerSecond, kGossipBurst),
      sync_budget_(kSyncBytesPerSecond, kSyncBurst),
      sync_interval_(kMinSyncInterval),
      sync_answers_left_(kSyncAnswersPerPeriod),
      platform_interval_(kPlatformInterval) {
  MemberRecord self;
  self.node = identity.node;
  self.version = 1;
  self.data_centre = identity.data_centre;
  self.region = identity.region;
  self.peer_address = identity.peer_address;
  self.gossip_address = identity.gossip_address;
  table_.Merge(self, TimePoint{});
}

void Membership::Start(Context& context) {
  last_now_ = context.now;
  updates_.Add(identity_.node.name, 1);
  FindPeers(context);
  const int64_t offset = std::uniform_int_distribution<int64_t>(
      0, kPeriod.count())(context.random);
  next_period_ = context.now + Duration(offset);
}

void Membership::OnGossip(const GossipReceived& received, Context& context) {
  NoticePause(context);
  const GossipMessage& message = received.message;
  if (message.from == identity_.node) return;
  for (const MemberRecord& record : message.updates) Merge(record, context);
  MergeQuarantines(message.quarantines);
  const MemberRecord* sender = Find(message.from.name);
  if (sender != nullptr && sender->node == message.from) {
    last_heard_[message.from.name] = context.now;
    if (!IsLocal(*sender)) remote_heard_[sender->data_centre] = context.now;
  }
  SeeSettings(message.from.name, message.settings_version, context);
  if (message.settings_confirmed && on_settings_confirmed) {
    on_settings_confirmed(message.settings_version, *message.settings_confirmed,
                          context);
  }
  switch (message.kind) {
    case GossipKind::kPing:
      context.Emit(
          SendGossip{received.from,
                     BuildMessage(GossipKind::kAck, message.sequence, sender)});
      break;
    case GossipKind::kAck:
      OnAck(message, context);
      break;
    case GossipKind::kPingRequest:
      OnPingRequest(received, context);
      break;
  }
  ConsiderSync(message.from, message.membership_hash, context);
}

void Membership::OnTimer(Context& context) {
  NoticePause(context);
  if (probe_ && context.now >= probe_->indirect_at) SendIndirect(context);
  if (context.now >= next_push_) PushUrgent(context);
  if (context.now >= next_period_) OnPeriod(context);
  if (context.now >= next_platform_) FindPeers(context);
  if (context.now >= follow_up_at_) {
    follow_up_at_ = kNever;
    const MemberRecord* peer = Find(follow_up_peer_);
    if (peer != nullptr) {
      StartSync(peer->node.name, peer->peer_address, context);
    }
  }
  ExpireServers(context);
  quarantines_.Expire(context.now);
}

TimePoint Membership::next_timer() const {
  TimePoint next =
      std::min({next_period_, next_push_, next_platform_, follow_up_at_});
  if (probe_) next = std::min(next, probe_->indirect_at);
  for (const auto& [server, heard] : announced_) {
    next = std::min(next, heard + identity_.rules.server_lease);
  }
  return next;
}

// A process that was stopped (SIGSTOP, a frozen machine) still holds probes,
// suspicions and leases whose time ran out meanwhile. Acting on them would
// declare live members dead and drop live servers. Everything that waits is
// started afresh instead, our own record raised above whatever was said of us,
// and the view counts as unverified until a peer has answered.
void Membership::NoticePause(Context& context) {
  const TimePoint due = next_timer();
  last_now_ = context.now;
  if (due == kNever || context.now <= due + kStarved) return;
  probe_.reset();
  if (context.now <= due + kPaused) return;
  context.Log(LogLevel::kWarning, kMembershipPart,
              "paused for about " +
                  std::to_string(ToMillis(context.now - due)) +
                  " ms; asking peers what has changed");
  relays_.clear();
  last_heard_.clear();
  for (auto& [name, suspicion] : suspicions_) {
    suspicion.since = context.now;
    suspicion.deadline = context.now + SuspicionTimeout(context);
    suspicion.last_chance = false;
  }
  for (auto& [server, heard] : announced_) heard = context.now;
  verified_ = UpPeers().empty();
  next_period_ = context.now;
  ChangeSelf(Self(), false, context);
  SyncWithSome(2, context);
}

void Membership::AnnounceServer(const ServerRecord& announced,
                                Context& context) {
  ServerRecord server = announced;
  announced_[server.server] = context.now;
  MemberRecord self = Self();
  const auto known = FindServer(self, server.server);
  if (known == self.servers.end()) {
    self.servers.push_back(server);
    ChangeSelf(std::move(self), false, context);
    return;
  }
  // A heartbeat does not undo a drain that was ordered from outside; a new
  // process, seen by its new address, starts afresh.
  if (known->address != server.address) told_to_drain_.erase(server.server);
  if (told_to_drain_.count(server.server) != 0) server.draining = true;
  // Announcements say nothing of it.
  if (known->address == server.address) server.fitness = known->fitness;
  if (*known == server) return;
  const bool urgent = server.draining && !known->draining;
  *known = server;
  ChangeSelf(std::move(self), urgent, context);
}

void Membership::RemoveServer(const std::string& server, Context& context) {
  announced_.erase(server);
  told_to_drain_.erase(server);
  MemberRecord self = Self();
  const auto known = FindServer(self, server);
  if (known == self.servers.end()) return;
  self.servers.erase(known);
  ChangeSelf(std::move(self), true, context);
}

void Membership::SetServerDraining(const std::string& server,
                                   Context& context) {
  MemberRecord self = Self();
  const auto known = FindServer(self, server);
  if (known == self.servers.end()) return;
  told_to_drain_.insert(server);
  if (known->draining) return;
  known->draining = true;
  ChangeSelf(std::move(self), true, context);
}

void Membership::SetServerFitness(const std::string& server,
                                  const ServerFitness& fitness,
                                  Context& context) {
  MemberRecord self = Self();
  const auto known = FindServer(self, server);
  if (known == self.servers.end() || known->fitness == fitness) return;
  known->fitness = fitness;
  // That a server is sound again may take its time: callers come back to it
  // one after the other.
  ChangeSelf(std::move(self), !fitness.sound(), context);
}

void Membership::ExpireServers(Context& context) {
  std::vector<std::string> expired;
  for (const auto& [server, heard] : announced_) {
    if (context.now >= heard + identity_.rules.server_lease) {
      expired.push_back(server);
    }
  }
  for (const std::string& server : expired) {
    context.Log(LogLevel::kWarning, kMembershipPart,
                "server " + server + " stopped announcing itself");
    RemoveServer(server, context);
  }
}

void Membership::Leave(Context& context) {
  MemberRecord self = Self();
  if (self.state == MemberState::kLeft) return;
  self.state = MemberState::kLeft;
  ChangeSelf(std::move(self), true, context);
  PushUrgent(context);
}

const MemberRecord* Membership::Find(const std::string& node_name) const {
  return table_.Find(node_name);
}

Endpoint Membership::PeerAddressOf(const std::string& node_name) const {
  const MemberRecord* member = Find(node_name);
  return member == nullptr ? Endpoint() : member->peer_address;
}

std::vector<std::string> Membership::AliveInDataCentre() const {
  std::vector<std::string> names = UpPeers();
  if (IsUp(Self())) names.push_back(identity_.node.name);
  return names;
}

void Membership::SetSettingsVersion(uint64_t version) {
  if (version <= settings_version_) return;
  settings_version_ = version;
  plain_pushes_left_ = kPushes;
  next_push_ = std::min(next_push_, last_now_);
}

void Membership::AddQuarantine(const QuarantineRecord& record,
                               Context& context) {
  if (!quarantines_.Add(record, context.now)) return;
  to_tell_.push_back(record);
  plain_pushes_left_ = kPushes;
  next_push_ = std::min(next_push_, context.now);
}

const MemberRecord& Membership::Self() const {
  return *table_.Find(identity_.node.name);
}

void Membership::ChangeSelf(MemberRecord record, bool urgent,
                            Context& context) {
  if (superseded_) return;
  ++record.version;
  table_.Merge(record, context.now);
  updates_.Add(identity_.node.name, UpPeers().size() + 1);
  if (!urgent) return;
  urgent_[identity_.node.name] = kOwnPushes;
  next_push_ = std::min(next_push_, context.now);
}

void Membership::Merge(const MemberRecord& record, Context& context) {
  const std::string& name = record.node.name;
  if (name == identity_.node.name) {
    MergeSelf(record, context);
    return;
  }
  const MemberRecord* known = table_.Find(name);
  // Taking in tombstones of members that we never knew would pass them round
  // the fleet for ever, each node starting their time anew.
  if (known == nullptr && !IsUp(record)) return;
  const bool stops_work = known != nullptr && StopsWork(*known, record);
  const bool was_up = known != nullptr && IsUp(*known);
  if (!table_.Merge(record, context.now)) return;
  ++merged_;
  if (was_up != IsUp(record)) up_peers_stale_ = true;
  FollowState(record, context);
  updates_.Add(name, UpPeers().size() + 1);
  if (!stops_work) return;
  urgent_[name] = kPushes;
  next_push_ = std::min(next_push_, context.now);
}

void Membership::FollowState(const MemberRecord& record, Context& context) {
  const std::string& name = record.node.name;
  if (!IsUp(record)) {
    suspicions_.erase(name);
    tombstones_[name] = context.now + kTombstoneTime;
    return;
  }
  tombstones_.erase(name);
  if (record.state == MemberState::kAlive) {
    suspicions_.erase(name);
    return;
  }
  if (!IsLocal(record)) return;  // Its own data centre judges.
  Suspicion& suspicion = suspicions_[name];
  suspicion.since = context.now;
  suspicion.deadline = context.now + SuspicionTimeout(context);
}

// Others can only say of us that we are suspect or dead; a newer version of
// ours shows that we are not. Versions rise above every claim heard, so the
// claim cannot come back.
void Membership::MergeSelf(const MemberRecord& record, Context& context) {
  if (record.node.incarnation > identity_.node.incarnation) {
    if (superseded_) return;
    superseded_ = true;
    if (record.peer_address == identity_.peer_address) {
      superseded_here_by_ = record.node.incarnation;
    }
    context.Log(LogLevel::kError, kMembershipPart,
                superseded_here_by_ != 0
                    ? "an earlier process here had a higher incarnation: the "
                      "clock went back; starting again above it"
                    : "a later process uses this node's name; this one is "
                      "retired");
    return;
  }
  if (!Supersedes(record, Self())) return;
  MemberRecord self = Self();
  self.version = record.version;
  ChangeSelf(std::move(self), record.state == MemberState::kDead, context);
}

bool Membership::IsLocal(const MemberRecord& record) const {
  return record.data_centre == identity_.data_centre;
}

void Membership::MergeQuarantines(
    const std::vector<QuarantineRecord>& records) {
  for (const QuarantineRecord& record : records) {
    quarantines_.Add(record, last_now_);
  }
}

void Membership::SeeSettings(const std::string& peer, uint64_t version,
                             Context& context) {
  // While we hold none, a peer that holds none either may know more: that
  // there are none.
  if (version <= settings_version_ && settings_version_ != 0) return;
  if (on_settings_version) on_settings_version(peer, version, context);
}

}  // namespace amaranth::pvt
