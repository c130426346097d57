#ifndef AMARANTHROUTE_LIBNODE_SHARED_CREDIT_LEDGER_H_
#define AMARANTHROUTE_LIBNODE_SHARED_CREDIT_LEDGER_H_

// Retry credits of one call or one hop.
//
// Retries multiply with depth. Without a shared limit, three attempts at each
// of six hops turn one request into 3^6 = 729 calls at the deepest service.
// Credits are only transferred: a call grants some of its credits to the hop
// below and gets back at most as many; a lost answer loses them. So the sum
// over the call tree never grows. Every run of a hop after the first is caused
// by one spent credit, so a hop at any depth runs at most 1 + credits times for
// one execution plan of the request.

#include <algorithm>
#include <cstdint>

namespace amaranth::pvt {

class CreditLedger {
 public:
  explicit CreditLedger(uint16_t credits = 0) : available_(credits) {}

  // Spends a credit on a retry; false if none is left.
  bool Spend() {
    if (available_ == 0) return false;
    --available_;
    return true;
  }

  // Takes out credits to grant to the hop of an attempt. One of several is
  // kept, because a lost answer loses all granted credits, and this layer is
  // then the one next to the failure. The last credit is granted, too, or deep
  // hops would never have any; a refusal returns it.
  uint16_t GrantToAttempt() {
    return Take(available_ > 1 ? available_ - 1 : available_);
  }

  // Takes out credits to grant to a nested call: half, rounded up, so that
  // concurrent nested calls can get some, too.
  uint16_t GrantToNested() {
    return Take(static_cast<uint16_t>((available_ + 1) / 2));
  }

  // Adds returned credits, at most as many as were granted: a peer that returns
  // more would otherwise create retries.
  void Return(uint16_t granted, uint16_t returned) {
    available_ =
        static_cast<uint16_t>(available_ + std::min(granted, returned));
  }

  uint16_t available() const { return available_; }

  // Empties the ledger when its hop ends; credits that are still granted are
  // lost.
  uint16_t TakeAll() { return Take(available_); }

 private:
  uint16_t Take(int amount) {
    available_ = static_cast<uint16_t>(available_ - amount);
    return static_cast<uint16_t>(amount);
  }

  uint16_t available_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_CREDIT_LEDGER_H_
