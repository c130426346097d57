#ifndef AMARANTHROUTE_POLICY_CRASH_EVIDENCE_H_
#define AMARANTHROUTE_POLICY_CRASH_EVIDENCE_H_

/// Decides which of the requests in flight at a crash of a backend server are
/// suspected of it, and which one is convicted.
///
/// Load pattern: a busy service whose callers ask for the same pages again and
/// again, among them one request that crashes each server that runs it. Many
/// pages are in flight at each crash. If all of them became suspects, which run
/// alone, the service would serve one page at a time long after the servers are
/// back.
///
/// The request that crashes the servers is in flight at every crash; another
/// page is in flight at some of them, and is answered in between. So the
/// crashes of the whole fleet are counted for each request, and only those of
/// the highest count are suspected. Only a crash while the request ran alone as
/// a suspect convicts it. Other evidence is too weak: calls of one kind may all
/// have the same content, and are then in flight at most crashes of their
/// service, whatever the reason.

#include <cstddef>
#include <cstdint>
#include <vector>

namespace amaranth {

/// A request in flight at a crash, as known to the node beside the server.
struct CrashCandidate {
  uint64_t fingerprint = 0;
  /// Earlier crashes in the fleet at which the request was in flight.
  uint32_t earlier_crashes = 0;
  /// A server here has answered it since the last of them, or at all if there
  /// was none.
  bool answered_since_crash = false;
  /// A server has answered it lately, perhaps before the last crash.
  bool answered_lately = false;
};

/// What follows from a crash. Each fingerprint is in one of the lists.
struct CrashDecision {
  std::vector<uint64_t> convicted;  ///< at most one
  /// To be run with no other call in flight until they are answered.
  std::vector<uint64_t> suspects;
  std::vector<uint64_t> unsuspected;

  friend bool operator==(const CrashDecision& a, const CrashDecision& b) {
    return a.convicted == b.convicted && a.suspects == b.suspects &&
           a.unsuspected == b.unsuspected;
  }
  friend bool operator!=(const CrashDecision& a, const CrashDecision& b) {
    return !(a == b);
  }
};

/// Maximum number of suspects of a crash. If more requests come into question,
/// none of them is suspected, and the next crash tells them apart: running so
/// many alone would take most of the throughput of the servers.
inline constexpr size_t kMaxSuspectsPerCrash = 16;

/// Decides about the requests in flight at one crash. Candidates with
/// fingerprint 0 are ignored, duplicates are merged. `ran_alone`: the only one
/// ran as a suspect, so that no other call could start beside it.
CrashDecision DecideCrash(std::vector<CrashCandidate> in_flight,
                          bool ran_alone);

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_CRASH_EVIDENCE_H_
