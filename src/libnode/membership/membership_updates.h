#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_UPDATES_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_UPDATES_H_

// Payload piggybacked on gossip datagrams: changed records, each for a limited
// number of transmissions, and the fleet's quarantined fingerprints.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Limits datagrams to a size that every path carries unfragmented. A lost
// fragment loses the whole datagram, so probes would fail more often only
// because they carry many records.
inline constexpr size_t kDatagramBudget = 1300;

// Return upper bounds of the encoded size in bytes (Thrift compact protocol).
size_t EncodedSize(const MemberRecord& record);
size_t EncodedSize(const Departure& departure);
size_t EncodedSize(const QuarantineRecord& record);
size_t EncodedSize(const SuspectNews& news);
inline constexpr size_t kGossipHeaderSize = 160;
// Number of records of a typical size that fit next to the sender's own.
inline constexpr size_t kTypicalUpdatesPerDatagram = 5;

// Names of members whose records are still to be sent. Each node that learned a
// record sends it about 4 log10(n) times, which reaches all nodes with high
// probability; syncs repair the rest.
//
// At most kMaxQueued names are queued: when whole regions change, sending every
// record by datagram would take longer than syncs, which cost less per record.
class UpdateQueue {
 public:
  static constexpr size_t kMaxQueued = 64;

  void Add(const std::string& name, size_t cluster_size);
  void Remove(const std::string& name) { sends_left_.erase(name); }
  bool empty() const { return sends_left_.empty(); }
  size_t size() const { return sends_left_.size(); }
  // Returns the names in order of transmissions left, most first.
  std::vector<std::string> LeastSentFirst() const;
  // Counts one transmission of `name`; removes it after the last.
  void CountTransmission(const std::string& name);

 private:
  std::map<std::string, int> sends_left_;
};

// Token bucket that limits the bytes spent on sending records.
class ByteBudget {
 public:
  ByteBudget(size_t bytes_per_second, size_t burst)
      : rate_(static_cast<double>(bytes_per_second)),
        burst_(static_cast<double>(burst)),
        available_(static_cast<double>(burst)) {}

  // Returns the number of bytes that may be spent now.
  size_t Available(TimePoint now);
  void Spend(size_t bytes) { available_ -= static_cast<double>(bytes); }

 private:
  double rate_;
  double burst_;
  double available_;
  TimePoint refilled_{};
};

// Fingerprints of requests that were in flight at crashes of servers. The
// highest state (QuarantineRecord::crashes) of a fingerprint is kept, the
// number of crashes that were reported, and the time of the last one.
class QuarantineList {
 public:
  // Returns true if the record was new, raised the state or tells of a later
  // crash. A record without a remaining time is the report of one crash, made
  // by the node beside the server, and always counts as a crash of its own.
  bool Add(const QuarantineRecord& record, TimePoint now);
  void Expire(TimePoint now);
  uint32_t CrashesOf(const std::string& service, uint64_t fingerprint) const;
  // Returns the number of reported crashes at which the fingerprint was in
  // flight. Two that are over half a minute apart are not counted together.
  uint32_t ReportedCrashesOf(const std::string& service,
                             uint64_t fingerprint) const;
  // Returns the time of the last known crash, by this node's clock; nullopt if
  // none is known.
  std::optional<TimePoint> LastCrashOf(const std::string& service,
                                       uint64_t fingerprint) const;
  // Returns the time of the last crash of which the fingerprint was suspected;
  // nullopt if it is no suspect.
  std::optional<TimePoint> SuspectedAt(const std::string& service,
                                       uint64_t fingerprint) const;
  // Records news of a run of a suspect at `node`. Ignored if the fingerprint is
  // not known.
  void OnNews(const SuspectNews& news, const std::string& node, TimePoint now);
  // Returns whether a run of the suspect has started somewhere and not ended.
  // False for one that cannot be cleared: each node needs a run of its own.
  bool IsRunning(const std::string& service, uint64_t fingerprint,
                 TimePoint now) const;
  // Returns the number of fingerprints of the service that are running.
  size_t RunningOf(const std::string& service, TimePoint now) const;
  // Returns whether news of an answer at `node` would help to clear the
  // fingerprint: it is a suspect, was not cleared shortly before, and no answer
  // at this node is known.
  bool CanBeCleared(const std::string& service, uint64_t fingerprint,
                    const std::string& node) const;
  // Returns when answers at two nodes cleared the fingerprint last; nullopt if
  // they have not. One does not suffice, as a server may survive a request that
  // crashes the others.
  std::optional<TimePoint> ClearedAt(const std::string& service,
                                     uint64_t fingerprint) const;
  std::vector<QuarantineRecord> All(TimePoint now) const;
  // Returns the next suspects and quarantined fingerprints in round-robin
  // order, so that all are sent repeatedly.
  std::vector<QuarantineRecord> Next(size_t count, TimePoint now);
  // Returns up to `count` records for a node that may know none: the
  // quarantined ones, then suspects in round-robin order.
  std::vector<QuarantineRecord> QuarantinedFirst(size_t count, TimePoint now);

 private:
  struct Entry {
    uint32_t crashes = 0;  // kInFlightOnly, kSuspectCrashes, kQuarantineCrashes
    uint32_t reported_crashes = 1;
    TimePoint expires{};
    TimePoint last_crash{};
    TimePoint suspected{};  // if it is a suspect
    TimePoint runs_until{};
    std::string answered_by;  // first node with an answer
    TimePoint answered{};
    std::optional<TimePoint> cleared = std::nullopt;
  };
  using Key = std::pair<std::string, uint64_t>;

  static bool IsClearable(const Entry& entry);
  bool MakeRoom();

  std::map<Key, Entry> entries_;
  size_t position_ = 0;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_UPDATES_H_
