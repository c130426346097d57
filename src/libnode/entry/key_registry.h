#ifndef AMARANTHROUTE_LIBNODE_ENTRY_KEY_REGISTRY_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_KEY_REGISTRY_H_

// The idempotency keys that this node alone may dispatch: by a ticket that
// names it as home, or by a claim in the platform's table.
//
// What fails without it: a caller that lost its answer sends a renewal again,
// to this node or another, and it is charged twice. A key has one dispatcher
// for good; the dispatcher remembers how the key stands and gives a resend the
// same answer. Nothing here lapses while a resend could still run: a ticket is
// refused before its record may be dropped, and a claim outlives its record in
// the platform, which then answers "may have run" instead of a second run.

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
  kClaiming,   // asking the platform whose key it is
  kRunning,    // its call is in flight here
  kUnclaimed,  // the platform did not tell whose it is; never dispatched
  kIdle,       // ours, and proved not to have run: a resend may run
  kDone,       // answered; the answer is at hand
  kForgotten,  // answered; the answer was dropped to save memory
  kDoubt,      // may have run; never dispatched again
};

struct KeyRecord {
  KeyState state = KeyState::kUnclaimed;
  uint64_t fingerprint = 0;  // of the request it was first used for
  uint64_t call = 0;         // kClaiming, kRunning
  // The same for every claim of this record, so that a claim whose answer was
  // lost is recognised as this record's when it is made again.
  uint64_t claim_id = 0;
  HttpResponse answer;  // kDone
  Failure failure;      // kDoubt
  TimePoint created{};
};

class KeyRegistry {
 public:
  // A new ticket with this node as its home.
  Ticket Mint(const Context& context);

  // Whether a ticket that names this node and incarnation may still be used.
  bool IsUsable(const Ticket& ticket, TimePoint now) const;

  // Null if this node holds no record of the key.
  KeyRecord* Find(const std::string& key);

  // A new record; null if there is no room: nothing is dropped early.
  KeyRecord* Hold(const std::string& key, uint64_t fingerprint, TimePoint now);

  // A record that was never dispatched and is held by somebody else.
  void Drop(const std::string& key) { records_.erase(key); }

  void Remember(KeyRecord& record, const std::string& key,
                const HttpResponse& answer);

  // Drops records that no usable ticket can need any more.
  void Expire(TimePoint now);

  size_t size() const { return records_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  void MakeRoomForAnswer(size_t bytes);

  std::map<std::string, KeyRecord> records_;
  std::deque<std::pair<TimePoint, std::string>> by_age_;
  std::deque<std::pair<std::string, size_t>> answers_;  // oldest first
  size_t answer_bytes_ = 0;
  uint64_t last_minted_ = 0;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_KEY_REGISTRY_H_
