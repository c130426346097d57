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
                              known.fitness.healthy();
                     });
}

// Returns true if the member has just left, or if one of its servers no longer
// takes new work: the member is dead, or the server was removed, drains or
// became unhealthy. Work moves away from an unhealthy server only as far as
// others have room for it.
bool StopsNewWork(const MemberRecord& before, const MemberRecord& after) {
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
      retained_interval_(kPlatformInterval),
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
  learning_until_ = context.now + kMaxLearningTime;
  updates_.Add(identity_.node.name, 1);
  DiscoverPeers(context);
  // Without seeds, the list of peers is read at once and has the row as well.
  if (identity_.use_platform && !read_peers_op_) {
    next_retained_read_ = context.now;
  }
  const int64_t offset = std::uniform_int_distribution<int64_t>(
      0, kProbePeriod.count())(context.random);
  next_period_ = context.now + Duration(offset);
}

void Membership::OnGossip(const GossipReceived& received, Context& context) {
  DetectPause(context);
  const GossipMessage& message = received.message;
  if (message.from == identity_.node) return;
  for (const MemberRecord& record : message.updates) Merge(record, context);
  LearnDepartures(message.departures, message.from.name, context);
  MergeQuarantines(message.quarantines);
  for (const SuspectNews& news : message.suspect_news) {
    quarantines_.OnNews(news, message.from.name, context.now);
  }
  const MemberRecord* sender = Find(message.from.name);
  if (sender != nullptr && sender->node == message.from) {
    last_heard_[message.from.name] = context.now;
    if (!IsLocal(*sender)) remote_heard_[sender->data_centre] = context.now;
  }
  HandleSettingsVersion(message.from.name, message.settings_version, context);
  OnPlatformEpoch(message.platform_epoch, context);
  // Times of an earlier epoch may have been shown by another clock.
  const bool is_current_epoch = message.platform_epoch == platform_epoch_;
  if (message.settings_confirmed_at && is_current_epoch &&
      on_settings_confirmed) {
    on_settings_confirmed(message.settings_version,
                          *message.settings_confirmed_at, context);
    RelayConfirmation(context);
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
  MaybeStartSync(message.from, message.membership_hash, context);
}

void Membership::OnTimer(Context& context) {
  DetectPause(context);
  if (probe_ && context.now >= probe_->indirect_at) SendIndirectProbes(context);
  if (context.now >= next_push_) PushUrgent(context);
  OnDepartureTimers(context);
  if (context.now >= next_period_) OnPeriod(context);
  if (context.now >= next_platform_) DiscoverPeers(context);
  if (context.now >= next_dial_) DialPeers(context);
  if (context.now >= follow_up_at_) {
    follow_up_at_ = kNever;
    const MemberRecord* peer = Find(follow_up_peer_);
    if (peer != nullptr) {
      StartSync(peer->node.name, peer->peer_address, context);
    }
  }
  ExpireServers(context);
  quarantines_.Expire(context.now);
  own_quarantines_.Expire(context.now);
}

TimePoint Membership::next_timer() const {
  TimePoint next =
      std::min({next_period_, next_push_, next_platform_, next_dial_,
                follow_up_at_, next_departure_timer()});
  if (probe_) next = std::min(next, probe_->indirect_at);
  for (const auto& [server, heard] : last_announced_) {
    next = std::min(next, heard + identity_.rules.server_lease);
  }
  return next;
}

// A process that was paused (SIGSTOP, a frozen machine) still holds probes,
// suspicions and leases that expired meanwhile. Acting on them would declare
// live members dead and drop live servers. Instead, probes are dropped, all
// pending timeouts are restarted, this node's record gets a new version, and
// the view counts as unverified until a peer has answered.
void Membership::DetectPause(Context& context) {
  const TimePoint due = next_timer();
  last_now_ = context.now;
  if (due == kNever || context.now <= due + kStarvedTimerDelay) return;
  probe_.reset();
  if (context.now <= due + kPausedTimerDelay) return;
  context.Log(LogLevel::kWarning, kMembershipPart,
              "process was paused for about " +
                  std::to_string(ToMillis(context.now - due)) +
                  " ms; syncing with peers");
  relays_.clear();
  last_heard_.clear();
  for (auto& [name, suspicion] : suspicions_) {
    suspicion.since = context.now;
    suspicion.deadline = context.now + SuspicionTimeout(context);
    suspicion.final_ping_sent = false;
  }
  for (auto& [server, heard] : last_announced_) heard = context.now;
  view_verified_ = UpPeers().empty();
  next_period_ = context.now;
  ChangeSelf(Self(), false, context);
  SyncWithRandomPeers(2, context);
}

void Membership::AnnounceServer(const ServerRecord& announced,
                                Context& context) {
  ServerRecord server = announced;
  last_announced_[server.server] = context.now;
  MemberRecord self = Self();
  const auto known = FindServer(self, server.server);
  if (known == self.servers.end()) {
    self.servers.push_back(server);
    ChangeSelf(std::move(self), false, context);
    return;
  }
  // A repeated announcement does not undo a drain ordered by
  // SetServerDraining(). A new address means a new server process, to which the
  // order does not apply.
  if (known->address != server.address) drain_ordered_.erase(server.server);
  if (drain_ordered_.count(server.server) != 0) server.draining = true;
  // Announcements carry no fitness.
  if (known->address == server.address) server.fitness = known->fitness;
  if (*known == server) return;
  const bool urgent = server.draining && !known->draining;
  *known = server;
  ChangeSelf(std::move(self), urgent, context);
}

void Membership::RemoveServer(const std::string& server, Context& context) {
  last_announced_.erase(server);
  drain_ordered_.erase(server);
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
  drain_ordered_.insert(server);
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
  // A recovery is not urgent: callers return to the server gradually.
  ChangeSelf(std::move(self), !fitness.healthy(), context);
}

void Membership::ExpireServers(Context& context) {
  std::vector<std::string> expired;
  for (const auto& [server, heard] : last_announced_) {
    if (context.now >= heard + identity_.rules.server_lease) {
      expired.push_back(server);
    }
  }
  for (const std::string& server : expired) {
    context.Log(LogLevel::kWarning, kMembershipPart,
                "server " + server + " sent no announcement within its lease");
    RemoveServer(server, context);
  }
}

void Membership::Leave(Context& context) {
  MemberRecord self = Self();
  if (self.state == MemberState::kLeft) return;
  self.state = MemberState::kLeft;
  settings_relays_stale_ = true;
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

std::optional<TimePoint> Membership::DownSince(
    const std::string& node_name) const {
  const auto tombstone = tombstones_.find(node_name);
  if (tombstone == tombstones_.end()) return std::nullopt;
  return tombstone->second - kTombstoneRetention;
}

std::vector<std::string> Membership::UpInDataCentre() const {
  std::vector<std::string> names = UpPeers();
  if (IsUp(Self())) names.push_back(identity_.node.name);
  return names;
}

void Membership::SetSettingsVersion(uint64_t version) {
  if (version <= settings_version_) return;
  settings_version_ = version;
  header_pushes_left_ = kPushRounds;
  next_push_ = std::min(next_push_, last_now_);
}

void Membership::AddQuarantine(const QuarantineRecord& record,
                               Context& context) {
  if (!quarantines_.Add(record, context.now)) return;
  if (identity_.use_platform && record.crashes >= kSuspectCrashes) {
    own_quarantines_.Add(record, context.now);
    stores_quarantines_ = true;
    next_retained_write_ = context.now;
  }
  quarantines_to_broadcast_.push_back(record);
  header_pushes_left_ = kPushRounds;
  next_push_ = std::min(next_push_, context.now);
}

void Membership::AddSuspectNews(const SuspectNews& news, Context& context) {
  quarantines_.OnNews(news, identity_.node.name, context.now);
  suspect_news_to_broadcast_.push_back(news);
  next_push_ = std::min(next_push_, context.now);
}

const MemberRecord& Membership::Self() const {
  return *table_.Find(identity_.node.name);
}

void Membership::ChangeSelf(MemberRecord record, bool urgent,
                            Context& context) {
  if (superseded_) return;
  ++record.version;
  record.departures = own_departures_.All(context.now);
  table_.Merge(record, context.now);
  updates_.Add(identity_.node.name, UpPeers().size() + 1);
  if (!urgent) return;
  urgent_pushes_left_[identity_.node.name] = kOwnPushRounds;
  next_push_ = std::min(next_push_, context.now);
}

void Membership::Merge(const MemberRecord& record, Context& context) {
  const std::string& name = record.node.name;
  if (name == identity_.node.name) {
    MergeSelf(record, context);
    return;
  }
  RememberDepartures(record, context);
  const MemberRecord* known = table_.Find(name);
  // Tombstones of unknown members are not stored: each node would restart their
  // retention time, so they would circulate in the fleet forever.
  if (known == nullptr && !IsUp(record)) return;
  const bool stops_new_work = known != nullptr && StopsNewWork(*known, record);
  const bool was_up = known != nullptr && IsUp(*known);
  if (!table_.Merge(record, context.now)) return;
  ++records_merged_;
  if (was_up != IsUp(record)) {
    up_peers_stale_ = true;
    settings_relays_stale_ = true;
  }
  TrackState(record, context);
  updates_.Add(name, UpPeers().size() + 1);
  if (!stops_new_work) return;
  urgent_pushes_left_[name] = kPushRounds;
  next_push_ = std::min(next_push_, context.now);
}

void Membership::TrackState(const MemberRecord& record, Context& context) {
  const std::string& name = record.node.name;
  if (!IsUp(record)) {
    suspicions_.erase(name);
    tombstones_[name] = context.now + kTombstoneRetention;
    return;
  }
  tombstones_.erase(name);
  if (record.state == MemberState::kAlive) {
    suspicions_.erase(name);
    return;
  }
  if (!IsLocal(record)) return;  // Only its own data centre declares it dead.
  Suspicion& suspicion = suspicions_[name];
  suspicion.since = context.now;
  suspicion.deadline = context.now + SuspicionTimeout(context);
}

// Handles a record about this node from others, who may consider it suspect or
// dead. This node refutes that with a version above every version received,
// so the refuted record cannot supersede it again.
void Membership::MergeSelf(const MemberRecord& record, Context& context) {
  if (record.node.incarnation > identity_.node.incarnation) {
    if (superseded_) return;
    superseded_ = true;
    if (record.peer_address == identity_.peer_address) {
      superseded_at_same_address_by_ = record.node.incarnation;
    }
    context.Log(LogLevel::kError, kMembershipPart,
                superseded_at_same_address_by_ != 0
                    ? "a previous process at this address had a higher "
                      "incarnation (the clock was set back); restarting with a "
                      "higher one"
                    : "a process with a higher incarnation uses this node's "
                      "name; stopping this one");
    return;
  }
  if (record.node.incarnation < identity_.node.incarnation) {
    LearnDepartures(record.departures, identity_.node.name, context);
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

void Membership::HandleSettingsVersion(const std::string& peer,
                                       uint64_t version, Context& context) {
  // While this node holds no settings, version 0 from a peer is reported as
  // well: that peer may know that there are none.
  if (version <= settings_version_ && settings_version_ != 0) return;
  if (on_settings_version) on_settings_version(peer, version, context);
}

}  // namespace amaranth::pvt
