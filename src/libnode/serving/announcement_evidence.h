#ifndef AMARANTHROUTE_LIBNODE_SERVING_ANNOUNCEMENT_EVIDENCE_H_
#define AMARANTHROUTE_LIBNODE_SERVING_ANNOUNCEMENT_EVIDENCE_H_

// Decides when the announcements of a backend server prove that it is in use.
// One announcement may have been sent before the process started, and an
// earlier process of the node may have acknowledged a departure after that. A
// server in use goes on announcing itself, so several announcements in a row,
// spread over time, are proof without any other knowledge.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "amaranthroute/reducer.h"
#include "amaranthroute/time.h"
#include "libnode/membership/departure_list.h"
#include "libnode/serving/local_server.h"

namespace amaranth::pvt {

class AnnouncementEvidence {
 public:
  // Must be called once, at the start of the process.
  void Start(const NodeIdentity& identity, TimePoint now);

  // Records an announcement that says that the server accepts calls.
  void Count(const std::string& server, const AnnouncementStamp& stamp,
             TimePoint now);
  // Returns whether the announcements recorded so far are enough to use the
  // server.
  bool Suffices(const std::string& server, const AnnouncementStamp& stamp,
                DepartureKnowledge knowledge, TimePoint now) const;
  // Returns whether the announcement is of the process of the server whose
  // announcements are counted, which is normally the last one that started.
  bool IsOfCountedProcess(const std::string& server,
                          const AnnouncementStamp& stamp) const;
  // Returns whether a server that is used on the word of too few announcements
  // has not sent the next one in time.
  bool IsOverdue(const std::string& server, TimePoint now) const;
  // Discards the evidence for a server that was overdue.
  void Withdraw(const std::string& server);

 private:
  struct Entry {
    uint64_t started_ms = 0;
    uint64_t first_sequence = 0;
    uint64_t sequence = 0;
    TimePoint first_at{};
    TimePoint last_at{};
    TimePoint counted_at{};
    size_t count = 0;        // announcements in a row
    bool withdrawn = false;  // was overdue once
  };

  bool MayDoubt(TimePoint now) const;
  // Returns whether the server's process started after this one. No earlier
  // process of the node has acknowledged its departure then.
  bool StartedLater(const Entry& entry) const;
  // Returns whether the first announcement seen is the first that the server's
  // process has sent, or one without a number, which cannot be ordered.
  static bool IsFirst(const Entry& entry);
  static bool IsProven(const Entry& entry);

  static constexpr size_t kProvingAnnouncements = 3;
  static constexpr size_t kMaxServers = 256;

  uint64_t started_ms_ = 0;
  TimePoint started_at_{};
  Duration period_{};
  std::map<std::string, Entry> entries_;  // by server
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SERVING_ANNOUNCEMENT_EVIDENCE_H_
