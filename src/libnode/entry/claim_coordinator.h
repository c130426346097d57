#ifndef AMARANTHROUTE_LIBNODE_ENTRY_CLAIM_COORDINATOR_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_CLAIM_COORDINATOR_H_

// Claims of idempotency keys in the platform's table: asked for by this node's
// own calls, and batched for its data centre where it is the delegate.
//
// What it answers: at the size planned, single claims would be tens of
// thousands of writes a second against a table that takes several hundred. So
// the nodes of a data centre send their claims to one of a few delegates,
// chosen by hash, which puts a few milliseconds' worth into one transaction.
//
// A claim never lapses. It names its holder (node, incarnation and claim), so
// after a lost answer a second insert or a read tells whose it is.

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

// How one claim of this node ended.
struct ClaimResult {
  uint64_t claim_id = 0;
  bool known = false;  // false: the platform did not tell in time
  NodeRef holder;
  uint64_t holder_claim_id = 0;
};

class ClaimCoordinator {
 public:
  ClaimCoordinator(Membership& membership, Outbox& outbox, Stats& stats);

  std::function<void(const ClaimResult&, Context&)> on_result;

  // Asks for the key. Ends in exactly one on_result, also without platform.
  void Claim(uint64_t claim_id, const std::string& key, Context& context);

  // As delegate: claims of another node of the data centre.
  void OnClaimRequest(const NodeRef& from, const ClaimRequest& request,
                      Context& context);
  void OnClaimReply(const ClaimReply& reply, Context& context);
  // The link to a delegate broke, or could not be made.
  void OnPeerLost(const std::string& peer, Context& context);
  bool OnPlatformReplied(const PlatformReplied& replied, Context& context);
  void OnTimer(Context& context);
  TimePoint next_timer() const;

 private:
  struct Pending {
    std::string key;
    std::string delegate;
    TimePoint give_up{};
    bool tried_again = false;
  };
  struct Batched {
    NodeRef asker;
    KeyClaim claim;
  };
  struct Batch {
    std::vector<Batched> claims;
  };

  std::string DelegateFor(const std::string& key, const Context& context,
                          const std::string& avoided) const;
  void Send(uint64_t claim_id, Pending& pending, Context& context);
  void AddToBatch(const NodeRef& asker, const KeyClaim& claim,
                  Context& context);
  void Flush(Context& context);
  void Reply(const Batched& batched, bool known, const std::string& holder,
             Context& context);
  void Finish(const ClaimResult& result, Context& context);

  Membership& membership_;
  Outbox& outbox_;
  Stats& stats_;
  std::map<uint64_t, Pending> pending_;  // our own, by claim id
  DeadlineSet deadlines_;
  std::vector<Batched> gathering_;
  TimePoint flush_at_ = kNever;
  std::map<PlatformOpId, Batch> in_flight_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_CLAIM_COORDINATOR_H_
