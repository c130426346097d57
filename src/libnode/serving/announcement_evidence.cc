#include "libnode/serving/announcement_evidence.h"

#include <algorithm>

#include "libnode/membership/membership_limits.h"

namespace amaranth::pvt {
namespace {

// A server that was there before this process announces itself within this
// time, or within one and a half announcement periods if these are longer.
constexpr Duration kMinFirstWait = std::chrono::seconds(2);

// Announcement periods after which the next announcement is overdue.
constexpr int kOverduePeriods = 2;

// A start time that is later than the clock by more than this is not believed.
constexpr Duration kClockTolerance = std::chrono::seconds(1);

}  // namespace

void AnnouncementEvidence::Start(const NodeIdentity& identity, TimePoint now) {
  started_ms_ = identity.started_ms;
  started_at_ = now;
  period_ = identity.rules.server_lease / kAnnouncementsPerLease;
}

void AnnouncementEvidence::Count(const std::string& server,
                                 const AnnouncementStamp& stamp,
                                 TimePoint now) {
  if (!MayDoubt(now)) return;
  const bool is_new = entries_.count(server) == 0;
  if (is_new && entries_.size() >= kMaxServers) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return a.second.last_at < b.second.last_at;
        }));
  }
  Entry& entry = entries_[server];
  // A start time that was too high must not keep out the server for good.
  const bool is_earlier = stamp.started_ms < entry.started_ms;
  const bool is_silent = now - entry.last_at >= period_ * kOverduePeriods;
  if (!is_new && is_earlier && !is_silent) return;
  if (is_new || stamp.started_ms != entry.started_ms) {
    entry = Entry();
    entry.started_ms = stamp.started_ms;
    entry.first_sequence = stamp.sequence;
    entry.first_at = now;
  } else if (stamp.sequence != 0 && stamp.sequence <= entry.sequence) {
    if (stamp.sequence == entry.sequence) return;  // a duplicate
    entry.count = 0;
  }
  entry.sequence = stamp.sequence;
  entry.last_at = now;
  // Delayed announcements may arrive at the same time.
  if (entry.count > 0 && now - entry.counted_at < period_ / 2) return;
  ++entry.count;
  entry.counted_at = now;
}

bool AnnouncementEvidence::Suffices(const std::string& server,
                                    const AnnouncementStamp& stamp,
                                    DepartureKnowledge knowledge,
                                    TimePoint now) const {
  if (!MayDoubt(now)) return true;
  if (!IsOfCountedProcess(server, stamp)) return false;
  const Entry& entry = entries_.at(server);
  if (StartedLater(entry)) return true;
  if (knowledge == DepartureKnowledge::kLearning) return false;
  if (IsProven(entry)) return true;
  if (knowledge == DepartureKnowledge::kIncomplete) return false;
  // Departures that could be known are known. What remains is one whose copies
  // were lost in an outage that had ended before this process started.
  const Duration first_wait = std::max(kMinFirstWait, period_ * 3 / 2);
  const bool is_in_time = entry.first_at <= started_at_ + first_wait;
  return !entry.withdrawn && (is_in_time || IsFirst(entry));
}

bool AnnouncementEvidence::IsOfCountedProcess(
    const std::string& server, const AnnouncementStamp& stamp) const {
  const auto found = entries_.find(server);
  return found != entries_.end() &&
         found->second.started_ms == stamp.started_ms;
}

bool AnnouncementEvidence::IsOverdue(const std::string& server,
                                     TimePoint now) const {
  if (!MayDoubt(now)) return false;
  const auto found = entries_.find(server);
  if (found == entries_.end()) return false;
  const Entry& entry = found->second;
  if (StartedLater(entry) || IsProven(entry) || IsFirst(entry)) return false;
  return now - entry.last_at > period_ * kOverduePeriods;
}

void AnnouncementEvidence::Withdraw(const std::string& server) {
  const auto found = entries_.find(server);
  if (found == entries_.end()) return;
  found->second.count = 0;
  found->second.withdrawn = true;
}

// Nobody remembers a departure for longer than that.
bool AnnouncementEvidence::MayDoubt(TimePoint now) const {
  return now - started_at_ < kDepartureRetention;
}

bool AnnouncementEvidence::StartedLater(const Entry& entry) const {
  if (started_ms_ == 0 || entry.started_ms <= started_ms_) return false;
  const Duration limit = entry.first_at - started_at_ + kClockTolerance;
  return entry.started_ms - started_ms_ <=
         static_cast<uint64_t>(ToMillis(limit));
}

bool AnnouncementEvidence::IsFirst(const Entry& entry) {
  return entry.first_sequence <= 1;
}

bool AnnouncementEvidence::IsProven(const Entry& entry) {
  return entry.count >= kProvingAnnouncements;
}

}  // namespace amaranth::pvt
