// Departures of local backend servers: what this node has acknowledged, kept by
// other nodes and the platform's table for its next process. The table keeps
// requests that crashed servers as well, in case all nodes end.

#include <algorithm>
#include <utility>

#include "libnode/membership/membership.h"
#include "libnode/membership/membership_limits.h"

namespace amaranth::pvt {

uint64_t Membership::PublishDeparture(const Departure& departure,
                                      Context& context) {
  CopyWait wait;
  wait.number = ++departures_published_;
  wait.server = departure.server;
  wait.until = context.now + kMaxCopyWait;
  if (own_departures_.Add(departure, context.now)) {
    ChangeSelf(Self(), true, context);
    wait.for_peer = PingWitnesses(wait.number, context);
    wait.for_table = identity_.use_platform;
    if (identity_.use_platform) {
      next_retained_read_ = context.now;
      next_retained_write_ = context.now;
    }
  }
  // The timers, which run after this event, write the row and end the wait.
  if (!wait.for_peer && !wait.for_table) wait.until = context.now;
  copy_waits_.push_back(std::move(wait));
  return departures_published_;
}

// A datagram may be lost, and all nodes of the data centre may end with this
// one.
bool Membership::PingWitnesses(uint64_t number, Context& context) {
  std::vector<std::string> witnesses = RandomPeers(kLocalWitnesses, context);
  for (const std::string& data_centre : table_.DataCentres()) {
    if (data_centre == identity_.data_centre) continue;
    witnesses.push_back(RandomMemberOf(data_centre, context));
    break;
  }
  for (const std::string& name : witnesses) {
    const uint64_t sequence = context.NextId();
    witness_pings_[sequence] = number;
    Ping(name, sequence, context);
  }
  next_witness_ping_ = context.now + kPushInterval;
  return !witnesses.empty();
}

void Membership::OnWitnessAck(uint64_t sequence, Context& context) {
  const auto ping = witness_pings_.find(sequence);
  if (ping == witness_pings_.end()) return;
  for (CopyWait& wait : copy_waits_) {
    if (wait.number <= ping->second) wait.for_peer = false;
  }
  witness_pings_.erase(ping);
  EndCopyWaits(context);
}

void Membership::ReadRetained(Context& context) {
  const bool busy = read_retained_op_ || read_peers_op_;
  if (busy || context.now < next_retained_read_) return;
  read_retained_op_ = context.NextId();
  context.Emit(
      SendPlatform{*read_retained_op_, TableReadRetained{identity_.node.name}});
}

void Membership::WriteRetained(Context& context) {
  if (write_retained_op_ || context.now < next_retained_write_) return;
  // The row may hold departures that this process does not know yet.
  if (!departures_read_) return ReadRetained(context);
  next_retained_write_ = kNever;
  RetainedState state;
  state.departures = own_departures_.All(context.now);
  if (!stores_quarantines_ && CoverAll(stored_departures_, state.departures)) {
    return EndTableWaits(context);
  }
  state.quarantines =
      own_quarantines_.QuarantinedFirst(kMaxRetainedQuarantines, context.now);
  stores_quarantines_ = false;
  writing_departures_ = state.departures;
  write_retained_op_ = context.NextId();
  std::optional<PlatformTime> clock;
  if (settings_confirmed_at) clock = settings_confirmed_at();
  context.Emit(SendPlatform{
      *write_retained_op_,
      TableWriteRetained{identity_.node.name, ToText(state, clock)}});
}

void Membership::OnRetainedWritten(const PlatformReply& reply,
                                   Context& context) {
  write_retained_op_.reset();
  if (reply.status == PlatformStatus::kOk) {
    stored_departures_ = std::move(writing_departures_);
    retained_interval_ = kPlatformInterval;
    next_retained_write_ = context.now;
    WriteRetained(context);
    return;
  }
  stores_quarantines_ = true;
  next_retained_write_ = context.now + NextRetainedInterval();
  EndTableWaits(context);
}

Duration Membership::NextRetainedInterval() {
  const Duration interval = retained_interval_;
  retained_interval_ = std::min(interval * 2, kMaxPlatformInterval);
  return interval;
}

void Membership::OnRetainedRead(const PlatformReply& reply, Context& context) {
  read_retained_op_.reset();
  if (departures_read_) return;
  if (reply.status != PlatformStatus::kOk) {
    table_failed_ = true;
    next_retained_read_ = context.now + NextRetainedInterval();
    EndTableWaits(context);
    return;
  }
  departures_read_ = true;
  departures_read_at_ = context.now;
  next_retained_read_ = kNever;
  retained_interval_ = kPlatformInterval;
  std::optional<PlatformTime> clock;
  if (reply.clock != PlatformTime()) clock = reply.clock;
  for (const std::string& row : reply.retained) {
    const size_t equals = row.find('=');
    if (equals == std::string::npos) continue;
    const RetainedState state =
        ParseRetainedState(row.substr(equals + 1), clock);
    MergeQuarantines(state.quarantines);
    if (row.compare(0, equals, identity_.node.name) != 0) continue;
    for (const QuarantineRecord& record : state.quarantines) {
      own_quarantines_.Add(record, context.now);
    }
    stored_departures_ = state.departures;
    LearnDepartures(stored_departures_, "platform", context);
  }
  WriteRetained(context);
}

void Membership::EndTableWaits(Context& context) {
  for (CopyWait& wait : copy_waits_) wait.for_table = false;
  EndCopyWaits(context);
}

void Membership::EndCopyWaits(Context& context) {
  while (!copy_waits_.empty()) {
    const CopyWait& wait = copy_waits_.front();
    const bool waits = wait.for_peer || wait.for_table;
    if (waits && context.now < wait.until) return;
    if (waits) {
      context.Log(LogLevel::kWarning, kMembershipPart,
                  "Departure of backend server " + wait.server +
                      " acknowledged without a confirmed copy at " +
                      (wait.for_peer ? "another node." : "the platform."));
    }
    const uint64_t number = wait.number;
    copy_waits_.pop_front();
    if (on_departure_copied) on_departure_copied(number, context);
  }
  witness_pings_.clear();
  next_witness_ping_ = kNever;
}

void Membership::OnDepartureTimers(Context& context) {
  EndCopyWaits(context);
  if (context.now >= next_witness_ping_) {
    next_witness_ping_ = kNever;
    const bool waits_for_peer =
        std::any_of(copy_waits_.begin(), copy_waits_.end(),
                    [](const CopyWait& wait) { return wait.for_peer; });
    if (waits_for_peer) PingWitnesses(copy_waits_.back().number, context);
  }
  if (context.now >= next_retained_read_) ReadRetained(context);
  WriteRetained(context);
}

TimePoint Membership::next_departure_timer() const {
  TimePoint next = next_witness_ping_;
  const bool reads = read_retained_op_ || read_peers_op_;
  if (!departures_read_ && !reads) next = std::min(next, next_retained_read_);
  if (departures_read_ && !write_retained_op_) {
    next = std::min(next, next_retained_write_);
  }
  return copy_waits_.empty() ? next : std::min(next, copy_waits_.front().until);
}

void Membership::LearnDepartures(const std::vector<Departure>& departures,
                                 const std::string& source, Context& context) {
  bool added = false;
  for (const Departure& departure : departures) {
    // The table keeps a departure for longer than nodes do.
    const bool is_new = own_departures_.Add(departure, context.now);
    if (!is_new && departure.age < kDepartureRetention) continue;
    added = added || is_new;
    if (on_departure_learned) on_departure_learned(departure, source, context);
  }
  if (!added) return;
  ChangeSelf(Self(), false, context);
  if (identity_.use_platform) next_retained_write_ = context.now;
}

void Membership::RememberDepartures(const MemberRecord& record,
                                    Context& context) {
  for (const Departure& departure : record.departures) {
    remembered_departures_[record.node.name].Add(departure, context.now);
  }
}

std::vector<Departure> Membership::DeparturesMissingAt(
    const MemberRecord& record) const {
  const auto found = remembered_departures_.find(record.node.name);
  if (found == remembered_departures_.end()) return {};
  std::vector<Departure> missing = found->second.All(last_now_);
  missing.erase(std::remove_if(missing.begin(), missing.end(),
                               [&](const Departure& departure) {
                                 return CoverAll(record.departures,
                                                 {departure});
                               }),
                missing.end());
  return missing;
}

void Membership::ExpireDepartures(Context& context) {
  if (own_departures_.Expire(kDepartureRetention, context.now)) {
    ChangeSelf(Self(), false, context);
  }
  for (auto node = remembered_departures_.begin();
       node != remembered_departures_.end();) {
    node->second.Expire(kDepartureTellingTime, context.now);
    node = node->second.empty() ? remembered_departures_.erase(node)
                                : std::next(node);
  }
}

DepartureKnowledge Membership::departure_knowledge(TimePoint now) const {
  const bool ended = now >= learning_until_;
  if (identity_.use_platform) {
    // A table that fails now may have failed when an earlier process wrote.
    const bool read_in_time = departures_read_at_ <= learning_until_;
    if (read_in_time && !table_failed_) return DepartureKnowledge::kLearned;
    return ended || (table_failed_ && joined_) ? DepartureKnowledge::kIncomplete
                                               : DepartureKnowledge::kLearning;
  }
  if (joined_ || identity_.seeds.empty()) return DepartureKnowledge::kLearned;
  return ended ? DepartureKnowledge::kIncomplete
               : DepartureKnowledge::kLearning;
}

}  // namespace amaranth::pvt
