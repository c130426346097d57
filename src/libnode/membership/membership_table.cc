#include "libnode/membership/membership_table.h"

#include <algorithm>
#include <tuple>

#include "amaranthroute/hash.h"

namespace amaranth::pvt {

namespace {

// A record's content changes only with its version, so name, incarnation and
// version identify the whole record.
uint64_t RecordHash(const MemberRecord& record) {
  const uint64_t seed = record.node.incarnation * 0x9E3779B97F4A7C15ull;
  return Hash64(record.node.name, seed ^ record.version);
}

bool OrderedBefore(const ServerPlace& a, const ServerPlace& b) {
  return std::tie(a.node, a.server) < std::tie(b.node, b.server);
}

}  // namespace

bool operator==(const ServerPlace& a, const ServerPlace& b) {
  const auto fields = [](const ServerPlace& v) {
    return std::tie(v.node, v.server, v.service, v.peer_address, v.data_centre,
                    v.local, v.suspect, v.slots, v.fitness, v.started_ms,
                    v.first_seen);
  };
  return fields(a) == fields(b);
}

bool Supersedes(const MemberRecord& a, const MemberRecord& b) {
  return std::tie(a.node.incarnation, a.version, a.state) >
         std::tie(b.node.incarnation, b.version, b.state);
}

bool IsUp(const MemberRecord& record) {
  return record.state == MemberState::kAlive ||
         record.state == MemberState::kSuspect;
}

size_t BucketOf(const MemberRecord& record) {
  constexpr size_t kGroups = kBucketCount / kBucketsPerDataCentre;
  const size_t group = Hash64(record.data_centre) % kGroups;
  return group * kBucketsPerDataCentre +
         Hash64(record.node.name) % kBucketsPerDataCentre;
}

bool MembershipTable::Merge(const MemberRecord& record, TimePoint now) {
  const auto found = members_.find(record.node.name);
  if (found == members_.end()) {
    members_.emplace(record.node.name, record);
  } else {
    if (!Supersedes(record, found->second)) return false;
    Unindex(found->second);
    ToggleHash(found->second);
    ForgetRemovedServers(found->second, record);
    found->second = record;
  }
  ToggleHash(record);
  Index(record, now);
  return true;
}

void MembershipTable::Erase(const std::string& node_name) {
  const auto found = members_.find(node_name);
  if (found == members_.end()) return;
  Unindex(found->second);
  ToggleHash(found->second);
  ForgetRemovedServers(found->second, MemberRecord());
  members_.erase(found);
}

const MemberRecord* MembershipTable::Find(const std::string& node_name) const {
  const auto found = members_.find(node_name);
  return found == members_.end() ? nullptr : &found->second;
}

const std::vector<ServerPlace>& MembershipTable::ServersOf(
    const std::string& service) const {
  static const std::vector<ServerPlace> none;
  const auto found = services_.find(service);
  return found == services_.end() ? none : found->second;
}

bool MembershipTable::IsServiceKnown(const std::string& service) const {
  return services_.count(service) != 0;
}

std::set<std::string> MembershipTable::DataCentres() const {
  std::set<std::string> names;
  for (const auto& [name, record] : members_) {
    if (IsUp(record)) names.insert(record.data_centre);
  }
  return names;
}

std::vector<uint32_t> MembershipTable::BucketHashes() const {
  std::vector<uint32_t> digest;
  digest.reserve(kBucketCount);
  for (const uint64_t hash : bucket_hashes_) {
    digest.push_back(static_cast<uint32_t>(hash));
  }
  return digest;
}

std::vector<MemberRecord> MembershipTable::RecordsInDifferingBuckets(
    const std::vector<uint32_t>& theirs) const {
  const std::vector<uint32_t> ours = BucketHashes();
  const bool all = theirs.size() != ours.size();
  std::vector<MemberRecord> records;
  for (const auto& [name, record] : members_) {
    const size_t bucket = BucketOf(record);
    if (all || ours[bucket] != theirs[bucket]) records.push_back(record);
  }
  return records;
}

// A server that was removed and returns is cold again, as is a server of a
// restarted node. If its first-seen time were kept, it would get a full share
// of work at once.
void MembershipTable::ForgetRemovedServers(const MemberRecord& before,
                                           const MemberRecord& after) {
  for (const ServerRecord& server : before.servers) {
    const bool kept = before.node == after.node &&
                      std::any_of(after.servers.begin(), after.servers.end(),
                                  [&](const ServerRecord& other) {
                                    return other.server == server.server;
                                  });
    if (!kept) first_seen_.erase({before.node, server.server});
  }
}

void MembershipTable::Unindex(const MemberRecord& record) {
  for (const ServerRecord& server : record.servers) {
    std::vector<ServerPlace>& places = services_[server.service];
    places.erase(std::remove_if(places.begin(), places.end(),
                                [&](const ServerPlace& place) {
                                  return place.node == record.node.name;
                                }),
                 places.end());
  }
}

void MembershipTable::Index(const MemberRecord& record, TimePoint now) {
  for (const ServerRecord& server : record.servers) {
    std::vector<ServerPlace>& places = services_[server.service];
    const TimePoint first_seen =
        first_seen_.emplace(std::pair(record.node, server.server), now)
            .first->second;
    if (!IsUp(record) || server.draining) continue;
    ServerPlace place;
    place.node = record.node.name;
    place.server = server.server;
    place.service = server.service;
    place.peer_address = record.peer_address;
    place.data_centre = record.data_centre;
    place.local = record.node.name == self_;
    place.suspect = record.state == MemberState::kSuspect;
    place.slots = server.slots;
    place.fitness = server.fitness;
    place.started_ms = server.started_ms;
    place.first_seen = first_seen;
    places.insert(
        std::upper_bound(places.begin(), places.end(), place, OrderedBefore),
        place);
  }
}

void MembershipTable::ToggleHash(const MemberRecord& record) {
  if (!IsUp(record)) return;
  const uint64_t hash = RecordHash(record);
  hash_ ^= hash;
  bucket_hashes_[BucketOf(record)] ^= hash;
}

}  // namespace amaranth::pvt
