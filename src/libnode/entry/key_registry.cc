#include "libnode/entry/key_registry.h"

#include <algorithm>

namespace amaranth::pvt {
namespace {

// A caller gets a ticket with one answer and uses it for its next renewal; ten
// minutes covers a person filling in a form, and bounds the records: at 306
// calls a second of which a fifth use tickets, 37,000.
constexpr Duration kTicketLifetime = std::chrono::minutes(10);

// A record outlives its ticket, so that the ticket is refused as too old
// before anything about it is forgotten.
constexpr Duration kRecordLifetime = kTicketLifetime + std::chrono::minutes(1);

constexpr size_t kMaxRecords = 100'000;
constexpr size_t kMaxAnswerBytes = 16u << 20;

}  // namespace

Ticket KeyRegistry::Mint(const Context& context) {
  // The sequence is the time of minting, so the ticket carries its own age and
  // an unused ticket costs no memory.
  const uint64_t now = static_cast<uint64_t>(ToMicros(context.now));
  last_minted_ = std::max(last_minted_ + 1, now);
  return Ticket{context.identity.node.name, context.identity.node.incarnation,
                last_minted_};
}

bool KeyRegistry::IsUsable(const Ticket& ticket, TimePoint now) const {
  if (ticket.sequence > last_minted_) return false;
  const TimePoint minted = FromMicros(static_cast<int64_t>(ticket.sequence));
  return now - minted < kTicketLifetime;
}

KeyRecord* KeyRegistry::Find(const std::string& key) {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

KeyRecord* KeyRegistry::Hold(const std::string& key, uint64_t fingerprint,
                             TimePoint now) {
  if (records_.size() >= kMaxRecords) return nullptr;
  KeyRecord& record = records_[key];
  record.fingerprint = fingerprint;
  record.created = now;
  by_age_.emplace_back(now, key);
  return &record;
}

void KeyRegistry::Remember(KeyRecord& record, const std::string& key,
                           const HttpResponse& answer) {
  const size_t bytes = answer.body.size();
  if (bytes > kMaxAnswerBytes / 4) {
    record.state = KeyState::kForgotten;
    return;
  }
  MakeRoomForAnswer(bytes);
  record.state = KeyState::kDone;
  record.answer = answer;
  answers_.emplace_back(key, bytes);
  answer_bytes_ += bytes;
}

void KeyRegistry::MakeRoomForAnswer(size_t bytes) {
  while (!answers_.empty() && answer_bytes_ + bytes > kMaxAnswerBytes) {
    const auto [key, size] = answers_.front();
    answers_.pop_front();
    answer_bytes_ -= size;
    KeyRecord* record = Find(key);
    if (record == nullptr || record->state != KeyState::kDone) continue;
    record->state = KeyState::kForgotten;
    record->answer = HttpResponse();
  }
}

void KeyRegistry::Expire(TimePoint now) {
  // Calls in flight are far shorter than a record's life, but a record of one
  // is never dropped: a resend would then start a second run beside it.
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
