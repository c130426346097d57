#include "libnode/membership_updates.h"

#include <algorithm>
#include <cmath>

namespace amaranth::pvt {

namespace {

// Field headers, list headers and lengths of a record, and the varints of its
// numbers at their longest.
constexpr size_t kRecordOverhead = 56;
constexpr size_t kServerOverhead = 20;
constexpr size_t kQuarantineOverhead = 24;
constexpr double kTransmissionsPerLog = 4.0;
constexpr size_t kMaxQuarantines = 1024;

}  // namespace

size_t EncodedSize(const MemberRecord& record) {
  size_t size = kRecordOverhead + record.node.name.size() +
                record.data_centre.size() + record.region.size() +
                record.peer_address.ip.size() + record.gossip_address.ip.size();
  for (const ServerRecord& server : record.servers) {
    size += kServerOverhead + server.server.size() + server.service.size() +
            server.address.ip.size();
  }
  return size;
}

size_t EncodedSize(const QuarantineRecord& record) {
  return kQuarantineOverhead + record.service.size();
}

void UpdateQueue::Add(const std::string& name, size_t cluster_size) {
  const double log_size = std::log10(static_cast<double>(cluster_size) + 1);
  if (left_.size() >= kMaxQueued && left_.count(name) == 0) {
    const auto told_most = std::min_element(
        left_.begin(), left_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    left_.erase(told_most);
  }
  left_[name] =
      std::max(3, static_cast<int>(std::ceil(kTransmissionsPerLog * log_size)));
}

std::vector<std::string> UpdateQueue::InOrder() const {
  std::vector<std::pair<int, std::string>> sorted;
  sorted.reserve(left_.size());
  for (const auto& [name, left] : left_) sorted.emplace_back(-left, name);
  std::sort(sorted.begin(), sorted.end());
  std::vector<std::string> names;
  names.reserve(sorted.size());
  for (auto& [left, name] : sorted) names.push_back(std::move(name));
  return names;
}

void UpdateQueue::Told(const std::string& name) {
  const auto found = left_.find(name);
  if (found == left_.end()) return;
  if (--found->second <= 0) left_.erase(found);
}

size_t ByteBudget::Left(TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  left_ = std::min(burst_, left_ + std::max(0.0, seconds) * rate_);
  return left_ <= 0 ? 0 : static_cast<size_t>(left_);
}

bool QuarantineList::Add(const QuarantineRecord& record) {
  const bool known = Contains(record.service, record.fingerprint);
  if (!known && crashes_.size() >= kMaxQuarantines) return false;
  uint32_t& crashes = crashes_[{record.service, record.fingerprint}];
  if (record.crashes <= crashes) return false;
  crashes = record.crashes;
  return true;
}

bool QuarantineList::Contains(const std::string& service,
                              uint64_t fingerprint) const {
  return crashes_.count({service, fingerprint}) != 0;
}

uint32_t QuarantineList::CrashesOf(const std::string& service,
                                   uint64_t fingerprint) const {
  const auto found = crashes_.find({service, fingerprint});
  return found == crashes_.end() ? 0 : found->second;
}

std::vector<QuarantineRecord> QuarantineList::All() const {
  std::vector<QuarantineRecord> records;
  records.reserve(crashes_.size());
  for (const auto& [key, crashes] : crashes_) {
    records.push_back({key.first, key.second, crashes});
  }
  return records;
}

std::vector<QuarantineRecord> QuarantineList::Next(size_t count) {
  std::vector<QuarantineRecord> records;
  if (crashes_.empty()) return records;
  const size_t wanted = std::min(count, crashes_.size());
  auto entry = crashes_.begin();
  std::advance(entry, position_ % crashes_.size());
  while (records.size() < wanted) {
    records.push_back({entry->first.first, entry->first.second, entry->second});
    if (++entry == crashes_.end()) entry = crashes_.begin();
  }
  position_ = (position_ + wanted) % crashes_.size();
  return records;
}

}  // namespace amaranth::pvt
