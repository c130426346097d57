// Discovery: how a node that starts finds others, and how halves of a data
// centre and members that were restarted find each other again.
//
// A few nodes of each data centre, its contacts, keep a row in the platform's
// table. A node that starts reads the rows once and syncs with some contacts,
// so a start costs the platform one call, whatever the size of the fleet.

#include <algorithm>
#include <random>
#include <utility>

#include "amaranthroute/hash.h"
#include "libnode/membership/membership.h"
#include "libnode/membership/membership_limits.h"
#include "libnode/shared/random_sample.h"

namespace amaranth::pvt {

namespace {

constexpr char kContactKey[] = "membership-contacts";
constexpr size_t kSeedsAtOnce = 5;
constexpr size_t kMeanReconnectors = 3;

// A row of the platform's peer list.
struct PeerRow {
  std::string name;
  Endpoint address;
  std::string data_centre;  // empty if the row does not tell it
};

// Parses "name=ip:port data-centre", where rows of earlier versions lack the
// data centre.
std::optional<PeerRow> ParsePeerRow(const std::string& text) {
  const size_t space = text.find(' ');
  const std::string address = text.substr(0, space);
  const size_t equals = address.find('=');
  const size_t colon = address.rfind(':');
  if (equals == std::string::npos || colon == std::string::npos ||
      colon < equals) {
    return std::nullopt;
  }
  uint32_t port = 0;
  for (const char c : address.substr(colon + 1)) {
    if (c < '0' || c > '9' || port > UINT16_MAX) return std::nullopt;
    port = port * 10 + static_cast<uint32_t>(c - '0');
  }
  if (port == 0 || port > UINT16_MAX) return std::nullopt;
  PeerRow row;
  row.name = address.substr(0, equals);
  row.address.ip = address.substr(equals + 1, colon - equals - 1);
  row.address.port = static_cast<uint16_t>(port);
  if (space != std::string::npos) row.data_centre = text.substr(space + 1);
  return row;
}

std::vector<PeerRow> ParsePeerRows(const std::vector<std::string>& texts) {
  std::vector<PeerRow> rows;
  for (const std::string& text : texts) {
    if (std::optional<PeerRow> row = ParsePeerRow(text)) {
      rows.push_back(std::move(*row));
    }
  }
  return rows;
}

// Returns some of the rows at the front, which are the newest and thus the most
// likely to be of nodes that still run.
std::vector<PeerRow> ChooseContacts(std::vector<PeerRow> rows, Random& random) {
  rows.resize(std::min(rows.size(), kContactCandidates));
  return RandomSample(rows, kContactsAsked, random);
}

// Returns a delay of less than `spread` that depends on the name only: the
// sooner, the higher the node ranks as a contact. When a whole fleet starts,
// the first to write their rows are then those that stay contacts.
Duration DelayByRank(const std::string& name, Duration spread) {
  constexpr double kScoreRange = 18446744073709551616.0;  // 2^64
  const double share =
      1 - static_cast<double>(RendezvousScore(name, kContactKey)) / kScoreRange;
  return Duration(
      static_cast<int64_t>(share * static_cast<double>(spread.count())));
}

}  // namespace

void Membership::StartDiscovery(Context& context) {
  started_ = context.now;
  list_retry_ = kFirstListRetry;
  list_interval_ = kPlatformInterval;
  row_interval_ = kPlatformInterval;
  Reconnect(context);
  if (!identity_.use_platform) return;
  peer_list_due_ = context.now + FirstListDelay();
  next_platform_ = peer_list_due_;
}

// If all nodes of a fleet read the rows at the same moment, the platform
// refuses most of the calls, and on the first start none finds a row.
Duration Membership::FirstListDelay() const {
  if (!identity_.seeds.empty()) return kSeedTimeoutBeforePlatform;
  return DelayByRank(identity_.node.name, identity_.first_start
                                              ? identity_.rules.peer_row_spread
                                              : kPeerListSpread);
}

void Membership::DiscoverPeers(Context& context) {
  const bool alone = UpPeers().empty();
  if (alone && context.now >= peer_list_due_ && !read_peers_op_) {
    peer_list_due_ = context.now + list_interval_;
    list_interval_ = std::min(list_interval_ * 2, kMaxPlatformInterval);
    read_peers_op_ = context.NextId();
    context.Emit(SendPlatform{*read_peers_op_, TableReadPeers{}});
  }
  if (context.now >= peer_row_due_ && !write_peer_op_) WritePeerRow(context);
  next_platform_ =
      alone ? std::min(peer_list_due_, peer_row_due_) : peer_row_due_;
  if (next_platform_ <= context.now) next_platform_ = kNever;
}

void Membership::WritePeerRow(Context& context) {
  peer_row_due_ = context.now + row_interval_;
  row_interval_ = std::min(row_interval_ * 2, kMaxPlatformInterval);
  TableWritePeer write;
  write.name = identity_.node.name;
  write.address =
      ToString(identity_.peer_address) + " " + identity_.data_centre;
  write.departed = DepartedMembers(context.now);
  removed_rows_.insert(write.departed.begin(), write.departed.end());
  write_peer_op_ = context.NextId();
  context.Emit(SendPlatform{*write_peer_op_, std::move(write)});
}

// Returns members of this data centre that have been gone for longer than a
// restart takes and whose rows this node has not removed.
std::vector<std::string> Membership::DepartedMembers(TimePoint now) const {
  std::vector<std::string> departed;
  for (const auto& [name, until] : tombstones_) {
    const MemberRecord* record = Find(name);
    const bool is_gone = now >= until - kTombstoneRetention + kReturnPingTime;
    if (!is_gone || record == nullptr || !IsLocal(*record)) continue;
    if (removed_rows_.count(name) != 0) continue;
    if (departed.size() < kMaxRowsRemoved) departed.push_back(name);
  }
  return departed;
}

// Writes this node's row if it has become one of the contacts of its data
// centre, because an earlier contact has died or left. The first contact also
// removes the rows of members that are gone.
void Membership::MaintainPeerRow(Context& context) {
  if (!identity_.use_platform) return;
  if (peer_row_due_ != kNever || !view_verified_) return;
  if (!started_ || context.now < *started_ + kContactSettleTime) return;
  const std::vector<std::string> contacts =
      RendezvousChoose(UpInDataCentre(), kContactKey, kContactsPerDataCentre);
  const auto found =
      std::find(contacts.begin(), contacts.end(), identity_.node.name);
  if (found == contacts.end()) return;
  const bool removes_rows =
      found == contacts.begin() && !DepartedMembers(context.now).empty();
  if (!peer_row_written_ || removes_rows) ScheduleRowWrite(context.now);
}

// A node that has lost all its peers looks for them again.
void Membership::SearchPeersIfAlone(Context& context) {
  if (!identity_.use_platform || !UpPeers().empty()) return;
  next_platform_ =
      std::min(next_platform_, std::max(peer_list_due_, context.now));
}

void Membership::ScheduleRowWrite(TimePoint at) {
  peer_row_due_ = at;
  row_interval_ = kPlatformInterval;
  next_platform_ = std::min(next_platform_, at);
}

void Membership::OnPlatformEpoch(uint64_t epoch, Context& context) {
  if (epoch <= platform_epoch_) return;
  platform_epoch_ = epoch;
  header_pushes_left_ = kPushRounds;
  next_push_ = std::min(next_push_, context.now);
  if (!peer_row_written_) return;
  context.Log(LogLevel::kInfo, kMembershipPart,
              "the platform came back from a copy, epoch " +
                  std::to_string(epoch) + "; writing this node's row again");
  peer_row_written_ = false;
  ScheduleRowWrite(context.now + DelayByRank(identity_.node.name,
                                             identity_.rules.peer_row_spread));
}

bool Membership::OnPlatformReplied(const PlatformReplied& replied,
                                   Context& context) {
  if (write_peer_op_ && *write_peer_op_ == replied.op) {
    write_peer_op_.reset();
    const uint64_t epoch = replied.reply.epoch;
    const bool is_current = epoch == 0 || epoch == platform_epoch_;
    peer_row_written_ =
        replied.reply.status == PlatformStatus::kOk && is_current;
    if (peer_row_written_) {
      peer_row_due_ = kNever;
    } else {
      removed_rows_.clear();
    }
    next_platform_ = std::min(next_platform_, peer_row_due_);
    return true;
  }
  if (!read_peers_op_ || *read_peers_op_ != replied.op) return false;
  read_peers_op_.reset();
  if (replied.reply.status == PlatformStatus::kOk) {
    OnPeerList(replied.reply.peers, context);
  } else {
    OnPeerListFailed(context);
  }
  return true;
}

void Membership::OnPeerListFailed(Context& context) {
  // The platform refuses calls for a moment if many nodes start at once.
  if (!peer_list_read_) {
    peer_list_due_ = std::min(peer_list_due_, context.now + list_retry_);
    list_retry_ = std::min(list_retry_ * 2, kMaxPlatformInterval);
    next_platform_ = std::min(next_platform_, peer_list_due_);
  }
  if (on_peer_list) on_peer_list(false, context);
}

void Membership::OnPeerList(const std::vector<std::string>& texts,
                            Context& context) {
  const bool is_first = !peer_list_read_;
  peer_list_read_ = true;
  std::vector<PeerRow> own;     // of this data centre
  std::vector<PeerRow> others;  // of other data centres
  bool is_listed = false;
  bool is_row_outdated = false;  // it leads to an earlier address
  for (PeerRow& row : ParsePeerRows(texts)) {
    if (row.name == identity_.node.name) {
      is_listed = row.address == identity_.peer_address;
      is_row_outdated = !is_listed;
      continue;
    }
    const bool is_local = row.data_centre == identity_.data_centre;
    (is_local ? own : others).push_back(std::move(row));
  }
  const bool lists_others = !own.empty() || !others.empty();
  is_only_node_ = !lists_others;
  const bool has_few_contacts = own.size() < kContactsPerDataCentre;
  if (is_listed) {
    peer_row_written_ = true;
  } else if (is_row_outdated || (has_few_contacts && !peer_row_written_)) {
    ScheduleRowWrite(context.now);
  }
  // Contacts read the settings themselves, since others will ask them.
  const bool is_contact = is_listed || peer_row_due_ != kNever;
  if (on_peer_list) on_peer_list(lists_others && !is_contact, context);
  if (!UpPeers().empty()) return;
  // Nodes of this data centre know all others. A contact asks other data
  // centres as well, and so does a node whose first contacts did not answer.
  std::vector<PeerRow> chosen = ChooseContacts(std::move(own), context.random);
  if (chosen.empty() || is_contact || !is_first) {
    for (PeerRow& row : ChooseContacts(std::move(others), context.random)) {
      chosen.push_back(std::move(row));
    }
  }
  for (const PeerRow& row : chosen) StartSync(row.name, row.address, context);
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
  for (const std::string& name : RandomSample(dead, 1, context.random)) {
    Ping(name, context.NextId(), context);
  }
  for (const Endpoint& seed : RandomSample(
           identity_.seeds, alone ? kSeedsAtOnce : 1, context.random)) {
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

}  // namespace amaranth::pvt
