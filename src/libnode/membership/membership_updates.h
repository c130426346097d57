#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_UPDATES_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_UPDATES_H_

// What rides on gossip datagrams: fresh records for a limited number of
// transmissions, and the fleet's quarantined fingerprints.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Datagrams stay below what any path carries unfragmented: a lost fragment
// loses the whole datagram, so a probe would fail more often just because much
// is being told.
inline constexpr size_t kDatagramBudget = 1300;

// Upper bounds of the encoded size in bytes (Thrift compact protocol).
size_t EncodedSize(const MemberRecord& record);
size_t EncodedSize(const QuarantineRecord& record);
inline constexpr size_t kGossipHeaderSize = 160;
// Records of a usual size that fit next to the sender's own.
inline constexpr size_t kUpdatesPerDatagram = 5;

// Names of members whose records are still to be told. A record is told about
// 4 log10(n) times by each node that learnt it, which reaches all with high
// probability; the sync by hash repairs the rest.
//
// At most kMaxQueued wait: when whole regions change, telling everything by
// datagram would take longer than the sync, which is cheaper by the record.
class UpdateQueue {
 public:
  static constexpr size_t kMaxQueued = 64;

  void Add(const std::string& name, size_t cluster_size);
  void Remove(const std::string& name) { left_.erase(name); }
  bool empty() const { return left_.empty(); }
  size_t size() const { return left_.size(); }
  // Names to tell now, those told least first.
  std::vector<std::string> InOrder() const;
  // One transmission of `name` was made.
  void Told(const std::string& name);

 private:
  std::map<std::string, int> left_;
};

// Limits the bytes spent on telling records to a rate, with a burst.
class ByteBudget {
 public:
  ByteBudget(size_t bytes_per_second, size_t burst)
      : rate_(static_cast<double>(bytes_per_second)),
        burst_(static_cast<double>(burst)),
        left_(static_cast<double>(burst)) {}

  // What may be spent now.
  size_t Left(TimePoint now);
  void Spend(size_t bytes) { left_ -= static_cast<double>(bytes); }

 private:
  double rate_;
  double burst_;
  double left_;
  TimePoint refilled_{};
};

// Fingerprints of requests that crash servers, highest crash count wins.
class QuarantineList {
 public:
  // True if this told something new.
  bool Add(const QuarantineRecord& record, TimePoint now);
  void Expire(TimePoint now);
  uint32_t CrashesOf(const std::string& service, uint64_t fingerprint) const;
  std::vector<QuarantineRecord> All(TimePoint now) const;
  // The next few in turn, so that all are told again and again.
  std::vector<QuarantineRecord> Next(size_t count, TimePoint now);

 private:
  struct Entry {
    uint32_t crashes = 0;
    TimePoint expires{};
  };
  using Key = std::pair<std::string, uint64_t>;

  bool MakeRoom();

  std::map<Key, Entry> entries_;
  size_t position_ = 0;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_UPDATES_H_
