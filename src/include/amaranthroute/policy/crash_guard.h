#ifndef AMARANTHROUTE_POLICY_CRASH_GUARD_H_
#define AMARANTHROUTE_POLICY_CRASH_GUARD_H_

/// Finds requests that crash the backend servers that run them.
///
/// Load pattern: one request kills the server that runs it, its caller (or a
/// retry) sends it again, and it goes from server to server until the service
/// is gone, taking the innocent calls in flight with it each time.
///
/// All calls in flight at a crash are suspects, known by the fingerprint of
/// their content, and run alone from then on. The second crash then has one
/// culprit, which is quarantined: answered at once with a final failure, not
/// run. Suspects that survive a run are cleared. So two crashes are enough, and
/// an innocent request pays one run alone. One crash is never enough: servers
/// also die by themselves.

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth {

/// Bounds of a CrashGuard.
struct CrashGuardOptions {
  /// A suspect that was not sent again is forgotten after this long; crashes
  /// further apart are not counted together.
  Duration suspicion = std::chrono::minutes(10);
  /// A quarantined request is tried again after this long: the servers may
  /// have been mended, and a wrong verdict does not last.
  Duration quarantine = std::chrono::minutes(30);
  /// Fingerprints remembered. Ten crashes of a server with 140 slots, and
  /// some; the oldest suspects go first, quarantined ones last.
  size_t capacity = 2048;
};

/// Poison requests of one service, as a serving node knows them. Fingerprint 0
/// means "none" and is never suspected.
class CrashGuard {
 public:
  /// How a request is to be run.
  enum class Handling {
    kNormal,
    kRunAlone,     ///< with no other call in flight at its server
    kQuarantined,  ///< not at all
  };

  explicit CrashGuard(CrashGuardOptions options = {});

  /// A server died with these fingerprints in flight.
  void OnCrash(const std::vector<uint64_t>& in_flight, TimePoint now);
  Handling HandlingOf(uint64_t fingerprint, TimePoint now) const;
  /// A call with `fingerprint` was answered by its server.
  void OnSurvived(uint64_t fingerprint, TimePoint now);

  /// Fingerprints quarantined by OnCrash since the last time: to be spread.
  std::vector<uint64_t> TakeNewlyQuarantined();
  /// Fingerprints suspected by OnCrash since the last time. Spread, they make
  /// the second crash find its culprit wherever in the data centre it happens.
  std::vector<uint64_t> TakeNewSuspects();
  /// Another node quarantined `fingerprint`.
  void Quarantine(uint64_t fingerprint, TimePoint now);
  /// Another node suspects `fingerprint`.
  void Suspect(uint64_t fingerprint, TimePoint now);

  /// Fingerprints remembered.
  size_t size() const;

 private:
  struct Entry {
    bool suspect = false;
    bool quarantined = false;
    int crashes_alone = 0;
    TimePoint last{};  // of the latest crash or verdict
  };

  bool Expired(const Entry& entry, TimePoint now) const;
  void MarkSuspect(uint64_t fingerprint, TimePoint now);
  void MarkQuarantined(uint64_t fingerprint, TimePoint now);
  void RemoveExpired(TimePoint now);
  void KeepCapacity();

  CrashGuardOptions options_;
  std::unordered_map<uint64_t, Entry> entries_;
  std::vector<uint64_t> newly_quarantined_;
  std::vector<uint64_t> new_suspects_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_CRASH_GUARD_H_
