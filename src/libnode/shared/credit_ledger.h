#ifndef AMARANTHROUTE_LIBNODE_SHARED_CREDIT_LEDGER_H_
#define AMARANTHROUTE_LIBNODE_SHARED_CREDIT_LEDGER_H_

// Retry credits of one call or one hop.
//
// Load pattern: retries multiply with depth. Without a shared bound, three
// tries at each of six hops turn one request into 3^6 = 729 calls at the
// bottom. Here credits only move: a call lends some of its own to the hop
// below and gets back at most what it lent; a lost answer burns them. The sum
// over the tree therefore never grows, and since every execution beyond the
// first of any hop is caused by one spent credit, a hop at any depth runs at
// most 1 + credits times for one execution plan of the request.

#include <algorithm>
#include <cstdint>

namespace amaranth::pvt {

class CreditLedger {
 public:
  explicit CreditLedger(uint16_t credits = 0) : available_(credits) {}

  // Pays for one retry; false when there is nothing left.
  bool Spend() {
    if (available_ == 0) return false;
    --available_;
    return true;
  }

  // Takes credits out for a hop below. One of several is kept: after a lost
  // answer, which burns all that was lent, the layer next to the failure is
  // this one. A last credit is lent, or deep hops would never have any; a
  // refusal brings it back.
  uint16_t LendToAttempt() {
    return Take(available_ > 1 ? available_ - 1 : available_);
  }

  // Takes credits out for one of possibly several concurrent nested calls:
  // half, so that a sibling still finds some.
  uint16_t LendToNested() {
    return Take(static_cast<uint16_t>((available_ + 1) / 2));
  }

  // Credits that come back can never exceed what was lent: a peer that claims
  // more would otherwise create retries out of nothing.
  void Return(uint16_t lent, uint16_t returned) {
    available_ = static_cast<uint16_t>(available_ + std::min(lent, returned));
  }

  uint16_t available() const { return available_; }

  // Empties the ledger when its hop ends; what is still lent out is burnt.
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
