#ifndef AMARANTHROUTE_POLICY_CRASH_GUARD_H_
#define AMARANTHROUTE_POLICY_CRASH_GUARD_H_

/// Detects requests that crash the backend servers that run them.
///
/// Load pattern: one request crashes the server that runs it, a resend or a
/// retry sends it to the next server, and so on until the service is
/// unavailable. Each crash also fails the other calls in flight.
///
/// All calls in flight at a crash become suspects, identified by the
/// fingerprint of their content, and are run alone from then on. The second
/// crash then identifies its cause, which is quarantined: answered at once with
/// a final failure and not run. Suspects that end without a crash are cleared.
/// Two crashes are thus enough, and any other request is run alone once. One
/// crash is never enough, because servers also crash for other reasons.
///
/// The nodes use it for crashes with one request in flight. crash_evidence.h
/// decides about the others, with what all nodes have seen.

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth {

/// Bounds of a CrashGuard.
struct CrashGuardOptions {
  /// Time after its last crash, or the last report of another node, at which a
  /// suspect expires; crashes further apart are not combined.
  Duration suspicion = std::chrono::minutes(10);
  /// Time after which a quarantine ends: the servers may have been fixed, and a
  /// wrong decision must not be permanent.
  Duration quarantine = std::chrono::minutes(30);
  /// Maximum number of stored fingerprints; enough for ten crashes of a server
  /// with 140 slots. The oldest suspects are evicted first, quarantined ones
  /// last.
  size_t capacity = 2048;
};

/// Suspects and quarantined requests of one service at one serving node.
/// Fingerprint 0 means "none" and is never a suspect.
class CrashGuard {
 public:
  /// How a request must be run.
  enum class Handling {
    kNormal,
    kRunAlone,     ///< with no other call in flight at its server
    kQuarantined,  ///< not at all
  };

  explicit CrashGuard(CrashGuardOptions options = {});

  /// Records a server crash with these fingerprints in flight.
  void OnCrash(const std::vector<uint64_t>& in_flight, TimePoint now);
  Handling HandlingOf(uint64_t fingerprint, TimePoint now) const;
  /// Records that a call with `fingerprint` was answered by its server.
  void OnSurvived(uint64_t fingerprint, TimePoint now);

  /// Returns the fingerprints quarantined by OnCrash since the last call of
  /// this function, to be sent to other nodes.
  std::vector<uint64_t> TakeNewlyQuarantined();
  /// Returns the fingerprints that OnCrash made suspects since the last call of
  /// this function. If they are sent to other nodes, the second crash
  /// identifies its cause wherever in the data centre it happens.
  std::vector<uint64_t> TakeNewSuspects();
  /// Records that another node quarantined `fingerprint`.
  void Quarantine(uint64_t fingerprint, TimePoint now);
  /// Records that `fingerprint` is a suspect at another node.
  void Suspect(uint64_t fingerprint, TimePoint now);

  /// Returns the number of stored fingerprints.
  size_t size() const;

 private:
  struct Entry {
    bool suspect = false;
    bool quarantined = false;
    int crashes_alone = 0;
    TimePoint last_event{};  // last crash, suspicion or quarantine
  };

  bool Expired(const Entry& entry, TimePoint now) const;
  void MarkSuspect(uint64_t fingerprint, TimePoint now);
  void MarkQuarantined(uint64_t fingerprint, TimePoint now);
  void RemoveExpired(TimePoint now);
  void EnforceCapacity();

  CrashGuardOptions options_;
  std::unordered_map<uint64_t, Entry> entries_;
  std::vector<uint64_t> newly_quarantined_;
  std::vector<uint64_t> new_suspects_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_CRASH_GUARD_H_
