// Discovery of peers through the rows of the platform's table.

#include <algorithm>
#include <utility>

#include "libnode/membership/membership.h"
#include "libnode/membership/membership_limits.h"

namespace amaranth::pvt {
namespace {

// Parses a "name=ip:port" row of the platform's peer list. Returns false if it
// is malformed.
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

bool ListsOtherNode(const std::vector<std::string>& rows,
                    const std::string& self) {
  return std::any_of(rows.begin(), rows.end(), [&](const std::string& row) {
    std::string name;
    Endpoint address;
    return ParsePeer(row, name, address) && name != self;
  });
}

}  // namespace

void Membership::DiscoverPeers(Context& context) {
  Reconnect(context);
  next_platform_ = kNever;
  if (!identity_.use_platform) return;
  const bool alone = UpPeers().empty();
  if (!alone && peer_row_written_) return;
  next_platform_ = context.now + platform_interval_;
  platform_interval_ = std::min(platform_interval_ * 2, kMaxPlatformInterval);
  // If a whole region starts at once and each node sends all its operations
  // immediately, the table gets thousands of operations in one second and can
  // take a few hundred. So the seeds are asked first, and the row writes are
  // spread over time by hash.
  if (!started_) started_ = context.now;
  if (!peer_row_due_) peer_row_due_ = context.now + PeerRowDelay();
  const Duration up_for = context.now - *started_;
  const bool seeds_failed =
      identity_.seeds.empty() || up_for >= kSeedTimeoutBeforePlatform;
  const bool row_due = context.now >= *peer_row_due_;
  if (!peer_row_written_ && !row_due) {
    next_platform_ = std::min(next_platform_, *peer_row_due_);
  }
  if (alone && seeds_failed && !read_peers_op_) {
    reads_first_rows_ = next_peer_rows_.empty();
    if (reads_first_rows_) dials_at_once_ = kPeersFromPlatform;
    read_peers_op_ = context.NextId();
    context.Emit(SendPlatform{
        *read_peers_op_, TableReadPeers{identity_.node.name,
                                        std::exchange(next_peer_rows_, {})}});
  }
  if (!peer_row_written_ && !write_peer_op_ && row_due) {
    write_peer_op_ = context.NextId();
    context.Emit(SendPlatform{
        *write_peer_op_,
        TableWritePeer{identity_.node.name, ToString(identity_.peer_address)}});
  }
}

void Membership::OnPeersRead(const PlatformReply& reply, Context& context) {
  OnRetainedRead(reply, context);
  const bool succeeded = reply.status == PlatformStatus::kOk;
  peer_read_failed_ = !succeeded;
  is_only_node_ = succeeded && reads_first_rows_ && reply.more_from.empty() &&
                  !ListsOtherNode(reply.peers, identity_.node.name);
  if (!succeeded || !UpPeers().empty()) return;
  next_peer_rows_ = reply.more_from;
  peers_to_dial_ = reply.peers;
  std::shuffle(peers_to_dial_.begin(), peers_to_dial_.end(), context.random);
  DialPeers(context);
}

// Rows of nodes that are gone may be far more than those of live ones, so a
// node that finds nobody goes through all of them.
void Membership::DialPeers(Context& context) {
  next_dial_ = kNever;
  if (!UpPeers().empty()) {
    peers_to_dial_.clear();
    next_peer_rows_.clear();
    return;
  }
  for (size_t i = 0; i < dials_at_once_ && !peers_to_dial_.empty(); ++i) {
    std::string name;
    Endpoint address;
    const bool valid = ParsePeer(peers_to_dial_.back(), name, address);
    peers_to_dial_.pop_back();
    if (!valid || name == identity_.node.name) continue;
    StartSync(name, address, context);
  }
  dials_at_once_ = std::min(dials_at_once_ * 2, kMaxDialsAtOnce);
  if (!peers_to_dial_.empty()) {
    next_dial_ = context.now + kDialInterval;
  } else if (!next_peer_rows_.empty()) {
    next_platform_ = std::min(next_platform_, context.now + kDialInterval);
  }
}

// The next try may be many seconds away, as their distance doubles.
void Membership::OnPlatformAnswered(Context& context) {
  if (!peer_read_failed_ || read_peers_op_ || !UpPeers().empty()) return;
  peer_read_failed_ = false;
  platform_interval_ = kPlatformInterval;
  next_platform_ = std::min(next_platform_, context.now + PeerRowDelay());
}

}  // namespace amaranth::pvt
