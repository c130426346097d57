#include "amaranthroute/policy/crash_guard.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace amaranth {
namespace {

constexpr uint64_t kNoFingerprint = 0;
// Crashes with a fingerprint as the only one in flight that prove it the cause.
constexpr int kCrashesAloneToQuarantine = 2;

std::vector<uint64_t> Unique(std::vector<uint64_t> fingerprints) {
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()),
                     fingerprints.end());
  fingerprints.erase(
      std::remove(fingerprints.begin(), fingerprints.end(), kNoFingerprint),
      fingerprints.end());
  return fingerprints;
}

}  // namespace

CrashGuard::CrashGuard(CrashGuardOptions options) : options_(options) {}

void CrashGuard::OnCrash(const std::vector<uint64_t>& in_flight,
                         TimePoint now) {
  RemoveExpired(now);
  const std::vector<uint64_t> candidates = Unique(in_flight);
  std::vector<uint64_t> common;
  for (uint64_t fingerprint : candidates) {
    if (HandlingOf(fingerprint, now) == Handling::kRunAlone) {
      common.push_back(fingerprint);
    }
  }
  // If exactly one suspect was in flight, it is the cause. Several suspects
  // cannot be told apart and continue to be run alone.
  if (common.size() == 1) {
    MarkQuarantined(common.front(), now);
    newly_quarantined_.push_back(common.front());
    return;
  }
  if (candidates.size() == 1) {
    Entry& entry = entries_[candidates.front()];
    entry.last_event = now;
    if (++entry.crashes_alone >= kCrashesAloneToQuarantine &&
        !entry.quarantined) {
      MarkQuarantined(candidates.front(), now);
      newly_quarantined_.push_back(candidates.front());
      return;
    }
  }
  for (uint64_t fingerprint : common.empty() ? candidates : common) {
    MarkSuspect(fingerprint, now);
    new_suspects_.push_back(fingerprint);
  }
  EnforceCapacity();
}

CrashGuard::Handling CrashGuard::HandlingOf(uint64_t fingerprint,
                                            TimePoint now) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || Expired(found->second, now)) {
    return Handling::kNormal;
  }
  if (found->second.quarantined) return Handling::kQuarantined;
  return found->second.suspect ? Handling::kRunAlone : Handling::kNormal;
}

void CrashGuard::OnSurvived(uint64_t fingerprint, TimePoint now) {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) return;
  if (found->second.quarantined && !Expired(found->second, now)) return;
  if (found->second.crashes_alone == 0 || Expired(found->second, now)) {
    entries_.erase(found);
    return;
  }
  // It was the only call in flight at a crash. It is no longer a suspect, but
  // its crash count is kept to detect a request that crashes every other time.
  found->second.suspect = false;
}

std::vector<uint64_t> CrashGuard::TakeNewlyQuarantined() {
  return std::exchange(newly_quarantined_, {});
}

std::vector<uint64_t> CrashGuard::TakeNewSuspects() {
  return std::exchange(new_suspects_, {});
}

void CrashGuard::Quarantine(uint64_t fingerprint, TimePoint now) {
  if (fingerprint == kNoFingerprint) return;
  MarkQuarantined(fingerprint, now);
  EnforceCapacity();
}

void CrashGuard::Suspect(uint64_t fingerprint, TimePoint now) {
  if (fingerprint == kNoFingerprint) return;
  if (HandlingOf(fingerprint, now) == Handling::kQuarantined) return;
  MarkSuspect(fingerprint, now);
  EnforceCapacity();
}

size_t CrashGuard::size() const { return entries_.size(); }

bool CrashGuard::Expired(const Entry& entry, TimePoint now) const {
  const Duration lifetime =
      entry.quarantined ? options_.quarantine : options_.suspicion;
  return now - entry.last_event >= lifetime;
}

void CrashGuard::MarkSuspect(uint64_t fingerprint, TimePoint now) {
  Entry& entry = entries_[fingerprint];
  if (entry.quarantined && !Expired(entry, now)) return;
  entry.quarantined = false;
  entry.suspect = true;
  entry.last_event = now;
}

void CrashGuard::MarkQuarantined(uint64_t fingerprint, TimePoint now) {
  Entry& entry = entries_[fingerprint];
  entry.quarantined = true;
  entry.suspect = false;
  entry.last_event = now;
}

void CrashGuard::RemoveExpired(TimePoint now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    entry =
        Expired(entry->second, now) ? entries_.erase(entry) : std::next(entry);
  }
}

void CrashGuard::EnforceCapacity() {
  while (entries_.size() > options_.capacity) {
    const auto oldest = std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return std::make_pair(a.second.quarantined, a.second.last_event) <
                 std::make_pair(b.second.quarantined, b.second.last_event);
        });
    entries_.erase(oldest);
  }
}

}  // namespace amaranth
