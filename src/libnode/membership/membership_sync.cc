// Anti-entropy over the peer links: the initiator sends a digest of its
// buckets, the peer answers with its own digest and the records of the buckets
// that differ, and the initiator sends back the records that the peer is
// missing.

#include <algorithm>
#include <map>
#include <numeric>
#include <random>
#include <utility>

#include "libnode/membership/membership.h"
#include "libnode/membership/membership_limits.h"

namespace amaranth::pvt {

void Membership::MaybeStartSync(const NodeRef& peer, uint64_t hash,
                                Context& context) {
  const MemberRecord* record = Find(peer.name);
  if (record == nullptr) return;
  if (hash == table_.hash()) {
    if (IsLocal(*record)) mismatch_since_ = kNever;
    return;
  }
  if (context.now < next_sync_) return;
  if (!joined_) {
    StartSync(peer.name, record->peer_address, context);
    return;
  }
  if (!IsLocal(*record)) {
    TimePoint& next = next_remote_sync_[record->data_centre];
    if (context.now < next) return;
    next = context.now + kRemoteSyncInterval;
    StartSync(peer.name, record->peer_address, context);
    return;
  }
  if (mismatch_since_ == kNever) mismatch_since_ = context.now;
  if (context.now < mismatch_since_ + kMismatchTimeout) return;
  StartSync(peer.name, record->peer_address, context);
  next_sync_ = context.now + sync_interval_;
}

void Membership::StartSync(const std::string& name, const Endpoint& address,
                           Context& context) {
  next_sync_ = context.now + (joined_ ? kMinSyncInterval : kJoinSyncInterval);
  MemberSync sync;
  sync.reply_wanted = true;
  sync.bucket_hashes = table_.BucketHashes();
  sync.members.push_back(Self());
  sync.settings_version = settings_version_;
  context.Emit(SendPeer{name, address, std::move(sync)});
}

void Membership::SyncWithRandomPeers(size_t count, Context& context) {
  for (const std::string& name : RandomPeers(count, context)) {
    StartSync(name, Find(name)->peer_address, context);
  }
}

void Membership::OnSync(const NodeRef& from, const MemberSync& sync,
                        Context& context) {
  DetectPause(context);
  const size_t merged_before = records_merged_;
  for (const MemberRecord& record : sync.members) Merge(record, context);
  LearnDepartures(sync.departures, from.name, context);
  MergeQuarantines(sync.quarantines);
  HandleSettingsVersion(from.name, sync.settings_version, context);
  if (sync.reply_wanted) {
    AnswerSync(from, sync, context);
  } else if (!sync.bucket_hashes.empty()) {
    FinishSync(from, sync, records_merged_ - merged_before, context);
  }
}

void Membership::AnswerSync(const NodeRef& from, const MemberSync& sync,
                            Context& context) {
  const MemberRecord* peer = Find(from.name);
  const bool affordable = sync_budget_.Available(context.now) >= kMinSyncBytes;
  if (peer == nullptr || !affordable || sync_answers_left_ <= 0) return;
  --sync_answers_left_;
  MemberSync answer;
  answer.bucket_hashes = table_.BucketHashes();
  answer.members =
      TrimToBudget(table_.RecordsInDifferingBuckets(sync.bucket_hashes),
                   peer->data_centre, context);
  answer.quarantines =
      quarantines_.QuarantinedFirst(kQuarantinesPerSync, last_now_);
  answer.settings_version = settings_version_;
  answer.departures = DeparturesMissingAt(*peer);
  context.Emit(SendPeer{from.name, peer->peer_address, std::move(answer)});
}

void Membership::FinishSync(const NodeRef& from, const MemberSync& sync,
                            size_t records_learned, Context& context) {
  joined_ = true;
  view_verified_ = true;
  sync_interval_ = records_learned > 0
                       ? kMinSyncInterval
                       : std::min(sync_interval_ * 2, kMaxSyncInterval);
  const MemberRecord* peer = Find(from.name);
  if (peer == nullptr) return;
  std::map<std::string, const MemberRecord*> theirs;
  for (const MemberRecord& record : sync.members) {
    theirs[record.node.name] = &record;
  }
  std::vector<MemberRecord> missing_at_peer;
  for (MemberRecord& record :
       table_.RecordsInDifferingBuckets(sync.bucket_hashes)) {
    const auto known = theirs.find(record.node.name);
    if (known == theirs.end() || Supersedes(record, *known->second)) {
      missing_at_peer.push_back(std::move(record));
    }
  }
  missing_at_peer =
      TrimToBudget(std::move(missing_at_peer), peer->data_centre, context);
  if (!missing_at_peer.empty()) {
    MemberSync rest;
    rest.members = std::move(missing_at_peer);
    rest.settings_version = settings_version_;
    context.Emit(SendPeer{from.name, peer->peer_address, std::move(rest)});
  }
  // An answer with many new records was probably cut short by the byte limit.
  // The sync continues with a random member of that data centre, since its two
  // delegates cannot send all of its records to all others in reasonable time.
  if (records_learned < kFollowUpMinRecords) return;
  follow_up_peer_ = RandomMemberOf(peer->data_centre, context);
  follow_up_at_ =
      context.now + (IsLocal(*peer) ? kJoinSyncInterval : kMinSyncInterval);
}

std::string Membership::RandomMemberOf(const std::string& data_centre,
                                       Context& context) const {
  std::vector<std::string> names;
  for (const auto& [name, record] : table_.members()) {
    const bool other = name != identity_.node.name;
    if (other && IsUp(record) && record.data_centre == data_centre) {
      names.push_back(name);
    }
  }
  if (names.empty()) return "";
  std::uniform_int_distribution<size_t> index(0, names.size() - 1);
  return names[index(context.random)];
}

// Cuts the records to the byte limits. Records of the receiver's own data
// centre come first, as most of its work goes there. Records are grouped by
// bucket, since a bucket sent in part has to be sent again; the buckets are in
// random order, so that a record which the receiver does not store cannot block
// others.
std::vector<MemberRecord> Membership::TrimToBudget(
    std::vector<MemberRecord> records, const std::string& first_data_centre,
    Context& context) {
  std::vector<size_t> place(kBucketCount);
  std::iota(place.begin(), place.end(), size_t{0});
  std::shuffle(place.begin(), place.end(), context.random);
  const auto order = [&](const MemberRecord& record) {
    return std::pair(record.data_centre != first_data_centre,
                     place[BucketOf(record)]);
  };
  std::sort(records.begin(), records.end(),
            [&](const MemberRecord& a, const MemberRecord& b) {
              return order(a) < order(b);
            });
  const size_t allowed =
      std::min(kMaxSyncBytes, sync_budget_.Available(context.now));
  size_t size = 0;
  size_t count = 0;
  while (count < records.size()) {
    const size_t more = EncodedSize(records[count]);
    if (size + more > allowed) break;
    size += more;
    ++count;
  }
  records.resize(count);
  sync_budget_.Spend(size);
  return records;
}

}  // namespace amaranth::pvt
