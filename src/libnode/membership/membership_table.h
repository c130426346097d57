#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_TABLE_H_

// Stores the records of all nodes of the fleet, defines which record supersedes
// another, and indexes the backend servers by service.

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

// A backend server that may be given new work for a service.
struct ServerPlace {
  std::string node;
  std::string server;
  std::string service;
  Endpoint peer_address;
  std::string data_centre;
  bool local = false;    // on this node's own host
  bool suspect = false;  // its node may be down
  uint32_t slots = 0;
  ServerFitness fitness;    // as judged by its own node
  uint64_t started_ms = 0;  // as in ServerRecord
  TimePoint first_seen{};   // by this node; a new server is taken to be cold

  friend bool operator==(const ServerPlace& a, const ServerPlace& b);
  friend bool operator!=(const ServerPlace& a, const ServerPlace& b) {
    return !(a == b);
  }
};

// Returns true if `a` is newer than `b`, compared by incarnation, version, then
// state.
bool Supersedes(const MemberRecord& a, const MemberRecord& b);

// Returns true for members that may be given work: alive or suspect.
bool IsUp(const MemberRecord& record);

// Records are split into buckets by hashes of data centre and name. Two nodes
// that differ in a few records exchange only those buckets, and a data centre
// whose records all changed costs no records of others. With 1,600 members in
// seven data centres a bucket holds about 14 records, close to 2 KB; the digest
// takes 1.3 KB.
inline constexpr size_t kBucketsPerDataCentre = 16;
inline constexpr size_t kBucketCount = 16 * kBucketsPerDataCentre;
size_t BucketOf(const MemberRecord& record);

class MembershipTable {
 public:
  explicit MembershipTable(std::string self) : self_(std::move(self)) {}

  // Stores the record and returns true if it is new or supersedes the known
  // one.
  bool Merge(const MemberRecord& record, TimePoint now);
  // Removes a record (a tombstone whose retention time is over).
  void Erase(const std::string& node_name);

  const MemberRecord* Find(const std::string& node_name) const;
  const std::map<std::string, MemberRecord>& members() const {
    return members_;
  }
  const std::vector<ServerPlace>& ServersOf(const std::string& service) const;
  bool IsServiceKnown(const std::string& service) const;
  std::set<std::string> DataCentres() const;

  // Returns a hash that is equal for equal tables. Members that died or
  // left are not included, since nodes forget them at different times;
  // suspicion is not included because it is short-lived.
  uint64_t hash() const { return hash_; }
  std::vector<uint32_t> BucketHashes() const;
  // Returns the records in the buckets whose hash differs from `theirs`, or all
  // records if `theirs` has another number of buckets.
  std::vector<MemberRecord> RecordsInDifferingBuckets(
      const std::vector<uint32_t>& theirs) const;

 private:
  void ForgetRemovedServers(const MemberRecord& before,
                            const MemberRecord& after);
  void Unindex(const MemberRecord& record);
  void Index(const MemberRecord& record, TimePoint now);
  void ToggleHash(const MemberRecord& record);

  std::string self_;
  std::map<std::string, MemberRecord> members_;
  std::unordered_map<std::string, std::vector<ServerPlace>> services_;
  // When each server was first seen, for one incarnation of its node.
  std::map<std::pair<NodeRef, std::string>, TimePoint> first_seen_;
  uint64_t hash_ = 0;
  std::array<uint64_t, kBucketCount> bucket_hashes_{};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_TABLE_H_
