#include "libnode/entry/key_registry.h"

#include <algorithm>

namespace amaranth::pvt {
namespace {

// A caller gets a ticket with one answer and uses it for its next renewal. Ten
// minutes is enough for a person to fill in a form, and limits the records to
// 37,000 at 306 calls per second of which a fifth use tickets.
constexpr Duration kTicketLifetime = std::chrono::minutes(10);

// A record outlives its ticket, so that the ticket is refused as too old before
// its record is dropped.
constexpr Duration kRecordLifetime = kTicketLifetime + std::chrono::minutes(1);

constexpr size_t kMaxRecords = 100'000;
constexpr size_t kMaxAnswerBytes = 16u << 20;

}  // namespace

Ticket KeyRegistry::IssueTicket(const Context& context) {
  // The sequence is the time of issue, so the ticket carries its own age and an
  // unused ticket needs no memory here.
  const uint64_t now = static_cast<uint64_t>(ToMicros(context.now));
  last_issued_ = std::max(last_issued_ + 1, now);
  return Ticket{context.identity.node.name, context.identity.node.incarnation,
                last_issued_};
}

bool KeyRegistry::IsUsable(const Ticket& ticket, TimePoint now) const {
  if (ticket.sequence > last_issued_) return false;
  const TimePoint issued = FromMicros(static_cast<int64_t>(ticket.sequence));
  return now - issued < kTicketLifetime;
}

KeyRecord* KeyRegistry::Find(const std::string& key) {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

KeyRecord* KeyRegistry::Create(const std::string& key, uint64_t fingerprint,
                               TimePoint now) {
  if (records_.size() >= kMaxRecords) return nullptr;
  KeyRecord& record = records_[key];
  record.fingerprint = fingerprint;
  record.created = now;
  by_age_.emplace_back(now, key);
  return &record;
}

void KeyRegistry::StoreAnswer(KeyRecord& record, const std::string& key,
                              const HttpResponse& answer) {
  const size_t bytes = answer.body.size();
  if (bytes > kMaxAnswerBytes / 4) {
    record.state = KeyState::kAnswerEvicted;
    return;
  }
  EvictAnswersFor(bytes);
  record.state = KeyState::kDone;
  record.answer = answer;
  answers_.emplace_back(key, bytes);
  answer_bytes_ += bytes;
}

void KeyRegistry::EvictAnswersFor(size_t bytes) {
  while (!answers_.empty() && answer_bytes_ + bytes > kMaxAnswerBytes) {
    const auto [key, size] = answers_.front();
    answers_.pop_front();
    answer_bytes_ -= size;
    KeyRecord* record = Find(key);
    if (record == nullptr || record->state != KeyState::kDone) continue;
    record->state = KeyState::kAnswerEvicted;
    record->answer = HttpResponse();
  }
}

void KeyRegistry::Expire(TimePoint now) {
  // Calls in flight are far shorter than the lifetime of a record, but the
  // record of one is never dropped: a resend would then start a second run.
  std::vector<std::pair<TimePoint, std::string>> kept;
  while (!by_age_.empty() && now - by_age_.front().first > kRecordLifetime) {
    const std::string key = by_age_.front().second;
    by_age_.pop_front();
    const KeyRecord* record = Find(key);
    if (record == nullptr) continue;
    const bool in_flight = record->state == KeyState::kClaiming ||
                           record->state == KeyState::kRunning;
    if (in_flight) {
      kept.emplace_back(now, key);
    } else {
      records_.erase(key);
    }
  }
  for (auto& entry : kept) by_age_.push_back(std::move(entry));
}

}  // namespace amaranth::pvt
