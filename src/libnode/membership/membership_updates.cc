#include "libnode/membership/membership_updates.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace amaranth::pvt {

namespace {

// Field headers, list headers and string lengths of a record, and its numbers
// as varints of maximum length.
constexpr size_t kRecordOverhead = 56;
constexpr size_t kServerOverhead = 24;
constexpr size_t kStartTimeSize = 8;
constexpr size_t kQuarantineOverhead = 24;
constexpr size_t kDepartureOverhead = 32;
constexpr double kTransmissionsPerLog = 4.0;
constexpr size_t kMaxQuarantines = 1024;
// Limit how long requests are still refused after an operator has fixed the
// service, or if a fingerprint was wrongly suspected. The same times as in
// CrashGuard.
constexpr Duration kSuspectLifetime = std::chrono::minutes(10);
constexpr Duration kQuarantineLifetime = std::chrono::minutes(30);
// As long as answers are remembered (RecentAnswers).
constexpr Duration kInFlightOnlyLifetime = std::chrono::seconds(30);
// Records of one crash arrive over several paths, with different delays. Times
// closer together than this are not taken for a later crash, so that delays do
// not keep a record alive.
constexpr Duration kSameCrash = std::chrono::milliseconds(200);

Duration LifetimeOf(uint32_t crashes) {
  if (crashes >= kQuarantineCrashes) return kQuarantineLifetime;
  return crashes >= kSuspectCrashes ? kSuspectLifetime : kInFlightOnlyLifetime;
}

}  // namespace

size_t EncodedSize(const MemberRecord& record) {
  size_t size = kRecordOverhead + record.node.name.size() +
                record.data_centre.size() + record.region.size() +
                record.peer_address.ip.size() + record.gossip_address.ip.size();
  for (const ServerRecord& server : record.servers) {
    size += kServerOverhead + server.server.size() + server.service.size() +
            server.address.ip.size();
    if (server.started_ms > 0) size += kStartTimeSize;
  }
  for (const Departure& departure : record.departures) {
    size += EncodedSize(departure);
  }
  return size;
}

size_t EncodedSize(const Departure& departure) {
  return kDepartureOverhead + departure.server.size();
}

size_t EncodedSize(const QuarantineRecord& record) {
  return kQuarantineOverhead + record.service.size();
}

size_t EncodedSize(const SuspectNews& news) {
  return kQuarantineOverhead + news.service.size();
}

void UpdateQueue::Add(const std::string& name, size_t cluster_size) {
  const double log_size = std::log10(static_cast<double>(cluster_size) + 1);
  if (sends_left_.size() >= kMaxQueued && sends_left_.count(name) == 0) {
    const auto most_transmitted = std::min_element(
        sends_left_.begin(), sends_left_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    sends_left_.erase(most_transmitted);
  }
  sends_left_[name] =
      std::max(3, static_cast<int>(std::ceil(kTransmissionsPerLog * log_size)));
}

std::vector<std::string> UpdateQueue::LeastSentFirst() const {
  std::vector<std::pair<int, std::string>> sorted;
  sorted.reserve(sends_left_.size());
  for (const auto& [name, left] : sends_left_) sorted.emplace_back(-left, name);
  std::sort(sorted.begin(), sorted.end());
  std::vector<std::string> names;
  names.reserve(sorted.size());
  for (auto& [left, name] : sorted) names.push_back(std::move(name));
  return names;
}

void UpdateQueue::CountTransmission(const std::string& name) {
  const auto found = sends_left_.find(name);
  if (found == sends_left_.end()) return;
  if (--found->second <= 0) sends_left_.erase(found);
}

size_t ByteBudget::Available(TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  available_ = std::min(burst_, available_ + std::max(0.0, seconds) * rate_);
  return available_ <= 0 ? 0 : static_cast<size_t>(available_);
}

bool QuarantineList::MakeRoom() {
  if (entries_.size() < kMaxQuarantines) return true;
  // A crash leaves many fingerprints that are only suspects, or not even that.
  // They must not keep out a fingerprint that is quarantined for repeated
  // crashes.
  const auto least = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.crashes, a.second.expires) <
               std::tie(b.second.crashes, b.second.expires);
      });
  if (least->second.crashes >= kQuarantineCrashes) return false;
  entries_.erase(least);
  return true;
}

bool QuarantineList::Add(const QuarantineRecord& record, TimePoint now) {
  const Duration lifetime = LifetimeOf(record.crashes);
  const bool is_report = record.remaining.count() <= 0;
  const Duration remaining =
      is_report ? lifetime : std::min(lifetime, record.remaining);
  const TimePoint crashed_at = now - (lifetime - remaining);
  const Key key(record.service, record.fingerprint);
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    if (!MakeRoom()) return false;
    Entry& added = entries_[key];
    added.crashes = record.crashes;
    added.expires = now + remaining;
    added.last_crash = crashed_at;
    added.suspected = crashed_at;
    return true;
  }
  Entry& entry = found->second;
  if (is_report) {
    const bool is_old = crashed_at - entry.last_crash > kInFlightOnlyLifetime;
    entry.reported_crashes = is_old ? 1 : entry.reported_crashes + 1;
  }
  if (record.crashes > entry.crashes) {
    entry.crashes = record.crashes;
    entry.expires = now + remaining;
    entry.last_crash = std::max(entry.last_crash, crashed_at);
    entry.suspected = crashed_at;
    return true;
  }
  if (!is_report && crashed_at < entry.last_crash + kSameCrash) return false;
  entry.last_crash = crashed_at;
  if (record.crashes == entry.crashes) {
    entry.expires = now + remaining;
    entry.suspected = crashed_at;
  }
  return true;
}

void QuarantineList::Expire(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    it = it->second.expires <= now ? entries_.erase(it) : std::next(it);
  }
}

std::optional<TimePoint> QuarantineList::LastCrashOf(
    const std::string& service, uint64_t fingerprint) const {
  const auto found = entries_.find({service, fingerprint});
  if (found == entries_.end()) return std::nullopt;
  return found->second.last_crash;
}

std::optional<TimePoint> QuarantineList::SuspectedAt(
    const std::string& service, uint64_t fingerprint) const {
  const auto found = entries_.find({service, fingerprint});
  const bool suspect =
      found != entries_.end() && found->second.crashes >= kSuspectCrashes;
  if (!suspect) return std::nullopt;
  return found->second.suspected;
}

uint32_t QuarantineList::ReportedCrashesOf(const std::string& service,
                                           uint64_t fingerprint) const {
  const auto found = entries_.find({service, fingerprint});
  return found == entries_.end() ? 0 : found->second.reported_crashes;
}

uint32_t QuarantineList::CrashesOf(const std::string& service,
                                   uint64_t fingerprint) const {
  const auto found = entries_.find({service, fingerprint});
  return found == entries_.end() ? 0 : found->second.crashes;
}

// A request that is suspected again shortly after it was cleared may be
// answered by some servers and crash the others.
bool QuarantineList::IsClearable(const Entry& entry) {
  if (entry.crashes != kSuspectCrashes) return false;
  return !entry.cleared ||
         entry.suspected >= *entry.cleared + kInFlightOnlyLifetime;
}

void QuarantineList::OnNews(const SuspectNews& news, const std::string& node,
                            TimePoint now) {
  const auto found = entries_.find({news.service, news.fingerprint});
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.runs_until =
      news.event == SuspectEvent::kStarted ? now + news.remaining : now;
  if (news.event != SuspectEvent::kAnswered || !IsClearable(entry)) return;
  if (entry.answered <= entry.suspected) {
    entry.answered = now;
    entry.answered_by = node;
  } else if (entry.answered_by != node) {
    entry.cleared = now;
  }
}

bool QuarantineList::IsRunning(const std::string& service, uint64_t fingerprint,
                               TimePoint now) const {
  const auto found = entries_.find({service, fingerprint});
  return found != entries_.end() && IsClearable(found->second) &&
         now < found->second.runs_until;
}

size_t QuarantineList::RunningOf(const std::string& service,
                                 TimePoint now) const {
  const auto begin = entries_.lower_bound({service, 0});
  size_t running = 0;
  for (auto it = begin; it != entries_.end() && it->first.first == service;
       ++it) {
    if (IsClearable(it->second) && now < it->second.runs_until) ++running;
  }
  return running;
}

bool QuarantineList::CanBeCleared(const std::string& service,
                                  uint64_t fingerprint,
                                  const std::string& node) const {
  const auto found = entries_.find({service, fingerprint});
  if (found == entries_.end() || !IsClearable(found->second)) return false;
  const Entry& entry = found->second;
  return entry.answered <= entry.suspected || entry.answered_by != node;
}

std::optional<TimePoint> QuarantineList::ClearedAt(const std::string& service,
                                                   uint64_t fingerprint) const {
  const auto found = entries_.find({service, fingerprint});
  if (found == entries_.end()) return std::nullopt;
  return found->second.cleared;
}

std::vector<QuarantineRecord> QuarantineList::All(TimePoint now) const {
  std::vector<QuarantineRecord> records;
  records.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    if (entry.expires <= now) continue;
    records.push_back(
        {key.first, key.second, entry.crashes, entry.expires - now});
  }
  return records;
}

std::vector<QuarantineRecord> QuarantineList::Next(size_t count,
                                                   TimePoint now) {
  std::vector<QuarantineRecord> all = All(now);
  // Nodes that do not hear of a crash at once have no use for fingerprints that
  // were only in flight, and there are many of them.
  all.erase(std::remove_if(all.begin(), all.end(),
                           [](const QuarantineRecord& record) {
                             return record.crashes < kSuspectCrashes;
                           }),
            all.end());
  std::vector<QuarantineRecord> records;
  for (size_t i = 0; i < std::min(count, all.size()); ++i) {
    records.push_back(all[position_++ % all.size()]);
  }
  return records;
}

std::vector<QuarantineRecord> QuarantineList::QuarantinedFirst(size_t count,
                                                               TimePoint now) {
  std::vector<QuarantineRecord> records = Next(entries_.size(), now);
  std::stable_partition(records.begin(), records.end(),
                        [](const QuarantineRecord& record) {
                          return record.crashes >= kQuarantineCrashes;
                        });
  if (records.size() > count) records.resize(count);
  position_ += records.size();
  return records;
}

}  // namespace amaranth::pvt
