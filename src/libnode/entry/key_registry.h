#ifndef AMARANTHROUTE_LIBNODE_ENTRY_KEY_REGISTRY_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_KEY_REGISTRY_H_

// Holds the idempotency keys that only this node may dispatch, by a ticket that
// names it as home or by a claim in the platform's table.
//
// Without it, a caller that lost the answer to a renewal resends it, to this
// node or another, and the renewal is charged twice. A key has one dispatcher
// permanently; the dispatcher keeps the state of the key and gives a resend the
// same answer. No record expires while a resend could still run: a ticket is
// refused before its record may be dropped, and a claim in the platform's table
// outlives its record, so a later resend is answered "may have run" and is not
// run a second time.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "amaranthroute/http.h"
#include "amaranthroute/time.h"
#include "amaranthroute/verdict.h"
#include "libnode/shared/caller_headers.h"
#include "libnode/shared/context.h"

namespace amaranth::pvt {

enum class KeyState {
  kClaiming,        // its claim is in flight
  kRunning,         // its call is in flight here
  kUnclaimed,       // its holder is unknown; never dispatched
  kProvedNotRun,    // held here and proved not to have run: a resend may run
  kDone,            // answered; the answer is kept for resends
  kAnswerEvicted,   // answered; the answer was evicted to save memory
  kOutcomeUnknown,  // may have run; never dispatched again
};

struct KeyRecord {
  KeyState state = KeyState::kUnclaimed;
  uint64_t fingerprint = 0;  // of the request that used the key first
  uint64_t call = 0;         // kClaiming, kRunning
  // The same for every claim of this record, so that a claim whose answer was
  // lost is recognized as this record's when it is sent again.
  uint64_t claim_id = 0;
  HttpResponse answer;  // kDone
  Failure failure;      // kOutcomeUnknown
  TimePoint created{};
};

class KeyRegistry {
 public:
  // Returns a new ticket with this node as its home.
  Ticket IssueTicket(const Context& context);

  // Returns whether a ticket that names this node and incarnation may still be
  // used.
  bool IsUsable(const Ticket& ticket, TimePoint now) const;

  // Returns null if this node holds no record of the key.
  KeyRecord* Find(const std::string& key);

  // Returns a new record, or null if the registry is full: no record is dropped
  // before it expires.
  KeyRecord* Create(const std::string& key, uint64_t fingerprint,
                    TimePoint now);

  // Erases the record of a key that was never dispatched here and that another
  // node or record holds.
  void Erase(const std::string& key) { records_.erase(key); }

  void StoreAnswer(KeyRecord& record, const std::string& key,
                   const HttpResponse& answer);

  // Drops records that are older than any usable ticket, except those of calls
  // in flight.
  void Expire(TimePoint now);

  size_t size() const { return records_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  void EvictAnswersFor(size_t bytes);

  std::map<std::string, KeyRecord> records_;
  std::deque<std::pair<TimePoint, std::string>> by_age_;
  std::deque<std::pair<std::string, size_t>> answers_;  // oldest first
  size_t answer_bytes_ = 0;
  uint64_t last_issued_ = 0;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_KEY_REGISTRY_H_
