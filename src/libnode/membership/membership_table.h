#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_TABLE_H_

// The records of all nodes of the fleet, the order in which one record
// supersedes another, and the index of backend servers by service.

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

// Where new work for a service may go.
struct ServerPlace {
  std::string node;
  std::string server;
  std::string service;
  Endpoint peer_address;
  std::string data_centre;
  bool local = false;    // on this node's own host
  bool suspect = false;  // its node may be down
  uint32_t slots = 0;
  ServerFitness fitness;   // as the node beside it judges it
  TimePoint first_seen{};  // by this node; a young server is a cold one

  friend bool operator==(const ServerPlace& a, const ServerPlace& b);
  friend bool operator!=(const ServerPlace& a, const ServerPlace& b) {
    return !(a == b);
  }
};

// True if `a` is newer than `b`: by incarnation, version, then state.
bool Supersedes(const MemberRecord& a, const MemberRecord& b);

// True for members that may be given work: alive or suspect.
bool IsUp(const MemberRecord& record);

// Records are split by hashes of data centre and name, so that two nodes that
// differ in a few records exchange only those buckets, and a data centre that
// is all news costs no records of others. With 1,600 members in seven data
// centres a bucket holds about 14 records, near 2 KB; the digest takes 1.3 KB.
inline constexpr size_t kBucketsPerDataCentre = 16;
inline constexpr size_t kBucketCount = 16 * kBucketsPerDataCentre;
size_t BucketOf(const MemberRecord& record);

class MembershipTable {
 public:
  explicit MembershipTable(std::string self) : self_(std::move(self)) {}

  // Stores the record if it supersedes what is known. True if it did.
  bool Merge(const MemberRecord& record, TimePoint now);
  // Forgets a record (a tombstone whose time is over).
  void Erase(const std::string& node_name);

  const MemberRecord* Find(const std::string& node_name) const;
  const std::map<std::string, MemberRecord>& members() const {
    return members_;
  }
  const std::vector<ServerPlace>& ServersOf(const std::string& service) const;
  bool ServiceKnown(const std::string& service) const;
  std::set<std::string> DataCentres() const;

  // Equal tables have equal hashes. Members that are gone do not count, since
  // nodes forget them at different times; suspicion does not, as it is brief.
  uint64_t hash() const { return hash_; }
  std::vector<uint32_t> BucketHashes() const;
  // Records in the buckets whose hash differs from `theirs`, or all records if
  // that is no digest of ours.
  std::vector<MemberRecord> RecordsWhereDiffers(
      const std::vector<uint32_t>& theirs) const;

 private:
  void ForgetGoneServers(const MemberRecord& before, const MemberRecord& after);
  void Unindex(const MemberRecord& record);
  void Index(const MemberRecord& record, TimePoint now);
  void ToggleHash(const MemberRecord& record);

  std::string self_;
  std::map<std::string, MemberRecord> members_;
  std::unordered_map<std::string, std::vector<ServerPlace>> services_;
  // First sight of each "node/server", for one incarnation of the node.
  std::map<std::pair<NodeRef, std::string>, TimePoint> first_seen_;
  uint64_t hash_ = 0;
  std::array<uint64_t, kBucketCount> bucket_hashes_{};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_TABLE_H_
