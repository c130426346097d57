#ifndef AMARANTHROUTE_LIBNODE_ENTRY_CLAIM_COORDINATOR_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_CLAIM_COORDINATOR_H_

// Claims idempotency keys in the platform's table for the calls of this node
// and, where it is a delegate, for the other nodes of its data centre.
//
// At the planned fleet size, single claims would be tens of thousands of writes
// per second against a table that takes several hundred. So the nodes of a data
// centre send their claims to one of a few delegates, chosen by hash, which
// batches the claims of a few milliseconds into one transaction.
//
// A claim never expires. It names its holder (node, incarnation and claim id),
// so after a lost answer a second insert or a read shows who holds the key.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "amaranthroute/event.h"
#include "libnode/membership/membership.h"
#include "libnode/shared/context.h"
#include "libnode/shared/deadline_set.h"
#include "libnode/shared/outbox.h"
#include "libnode/shared/stats.h"

namespace amaranth::pvt {

// The result of one claim of this node.
struct ClaimResult {
  uint64_t claim_id = 0;
  bool known = false;  // false: the platform did not answer in time
  NodeRef holder;
  uint64_t holder_claim_id = 0;
};

class ClaimCoordinator {
 public:
  ClaimCoordinator(Membership& membership, Outbox& outbox, Stats& stats);

  std::function<void(const ClaimResult&, Context&)> on_result;

  // Claims the key. Causes exactly one on_result, also without a platform.
  void Claim(uint64_t claim_id, const std::string& key, Context& context);

  // As a delegate, handles claims of another node of the data centre.
  void OnClaimRequest(const NodeRef& from, const ClaimRequest& request,
                      Context& context);
  void OnClaimReply(const ClaimReply& reply, Context& context);
  // Handles a link to a delegate that broke or could not be opened.
  void OnPeerLost(const std::string& peer, Context& context);
  bool OnPlatformReplied(const PlatformReplied& replied, Context& context);
  void OnTimer(Context& context);
  TimePoint next_timer() const;

 private:
  struct Pending {
    std::string key;
    std::string delegate;
    TimePoint deadline{};
    bool retried = false;
  };
  struct BatchedClaim {
    NodeRef requester;
    KeyClaim claim;
  };
  struct Batch {
    std::vector<BatchedClaim> claims;
  };

  std::string DelegateFor(const std::string& key, const Context& context,
                          const std::string& excluded) const;
  void Send(uint64_t claim_id, Pending& pending, Context& context);
  void AddToBatch(const NodeRef& requester, const KeyClaim& claim,
                  Context& context);
  void Flush(Context& context);
  void Reply(const BatchedClaim& batched, bool known, const std::string& holder,
             Context& context);
  void Finish(const ClaimResult& result, Context& context);

  Membership& membership_;
  Outbox& outbox_;
  Stats& stats_;
  std::map<uint64_t, Pending> pending_;  // of this node, by claim id
  DeadlineSet deadlines_;
  std::vector<BatchedClaim> queued_claims_;
  TimePoint flush_at_ = kNever;
  std::map<PlatformOpId, Batch> in_flight_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_CLAIM_COORDINATOR_H_
