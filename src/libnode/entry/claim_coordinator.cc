#include "libnode/entry/claim_coordinator.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "amaranthroute/hash.h"
#include "libutil/parse_number.h"

namespace amaranth::pvt {
namespace {

// Delegates per data centre. With two, the crash of one affects no more than
// half of the claims until gossip has detected it.
constexpr size_t kDelegates = 2;

// Longest time for which claims are collected into a batch while fewer than
// kMaxBatchesInFlight are in flight; it adds to the latency of a keyed request.
// With two delegates in each of five data centres it limits the fleet to 500
// transactions/s unless batches fill up. The limit of batches in flight makes
// batches larger, rather than more numerous, while the platform is slow.
constexpr Duration kBatchDelay = std::chrono::milliseconds(20);
constexpr size_t kMaxBatch = 100;
constexpr size_t kMaxBatchesInFlight = 4;
constexpr size_t kMaxQueuedClaims = 20'000;

// Without an answer of the platform within this time the caller's request is
// failed. It was not run here; holding it longer would only delay the caller.
constexpr Duration kClaimTimeout = std::chrono::milliseconds(1500);

std::string FormatHolder(const NodeRef& node, uint64_t claim_id) {
  return node.name + "#" + std::to_string(node.incarnation) + "#" +
         std::to_string(claim_id);
}

std::optional<ClaimOutcome> ParseHolder(const std::string& text) {
  const size_t second = text.rfind('#');
  if (second == std::string::npos || second == 0) return std::nullopt;
  const size_t first = text.rfind('#', second - 1);
  if (first == std::string::npos) return std::nullopt;
  const std::string_view view(text);
  const std::optional<uint64_t> incarnation =
      ParseNumber<uint64_t>(view.substr(first + 1, second - first - 1));
  const std::optional<uint64_t> claim =
      ParseNumber<uint64_t>(view.substr(second + 1));
  if (!incarnation || !claim) return std::nullopt;
  ClaimOutcome outcome;
  outcome.holder = NodeRef{text.substr(0, first), *incarnation};
  outcome.holder_claim_id = *claim;
  return outcome;
}

}  // namespace

ClaimCoordinator::ClaimCoordinator(Membership& membership, Outbox& outbox,
                                   Stats& stats)
    : membership_(membership), outbox_(outbox), stats_(stats) {}

std::string ClaimCoordinator::DelegateFor(const std::string& key,
                                          const Context& context,
                                          const std::string& excluded) const {
  std::vector<std::string> delegates = RendezvousChoose(
      membership_.UpInDataCentre(), "claim-delegates", kDelegates);
  delegates.erase(std::remove(delegates.begin(), delegates.end(), excluded),
                  delegates.end());
  // Alone, or partitioned from the delegates: this node claims by itself.
  if (delegates.empty()) return context.identity.node.name;
  return RendezvousChoose(delegates, key, 1).front();
}

void ClaimCoordinator::Claim(uint64_t claim_id, const std::string& key,
                             Context& context) {
  stats_.Count("amaranth_claims_total");
  Pending pending;
  pending.key = key;
  pending.deadline = context.now + kClaimTimeout;
  deadlines_.Add(pending.deadline, claim_id);
  Pending& stored =
      pending_.emplace(claim_id, std::move(pending)).first->second;
  Send(claim_id, stored, context);
}

void ClaimCoordinator::Send(uint64_t claim_id, Pending& pending,
                            Context& context) {
  pending.delegate = DelegateFor(pending.key, context, pending.delegate);
  const NodeRef& self = context.identity.node;
  if (pending.delegate == self.name) {
    AddToBatch(self, {claim_id, pending.key}, context);
    return;
  }
  const MemberRecord* delegate = membership_.Find(pending.delegate);
  if (delegate == nullptr) {
    AddToBatch(self, {claim_id, pending.key}, context);
    return;
  }
  ClaimRequest request;
  request.holder = self;
  request.claims.push_back({claim_id, pending.key});
  outbox_.Send(pending.delegate, delegate->peer_address, std::move(request),
               context);
}

void ClaimCoordinator::OnClaimRequest(const NodeRef& from,
                                      const ClaimRequest& request,
                                      Context& context) {
  for (const KeyClaim& claim : request.claims) {
    AddToBatch(from, claim, context);
  }
}

void ClaimCoordinator::AddToBatch(const NodeRef& requester,
                                  const KeyClaim& claim, Context& context) {
  const BatchedClaim batched{requester, claim};
  if (!context.identity.use_platform ||
      queued_claims_.size() >= kMaxQueuedClaims) {
    Reply(batched, false, "", context);
    return;
  }
  queued_claims_.push_back(batched);
  if (flush_at_ == kNever) flush_at_ = context.now + kBatchDelay;
  if (queued_claims_.size() >= kMaxBatch) Flush(context);
}

void ClaimCoordinator::Flush(Context& context) {
  while (!queued_claims_.empty() && in_flight_.size() < kMaxBatchesInFlight) {
    const size_t count = std::min(queued_claims_.size(), kMaxBatch);
    Batch batch;
    TableClaimRows rows;
    for (size_t i = 0; i < count; ++i) {
      const BatchedClaim& batched = queued_claims_[i];
      rows.rows.push_back(
          {batched.claim.key,
           FormatHolder(batched.requester, batched.claim.claim_id)});
      batch.claims.push_back(batched);
    }
    queued_claims_.erase(
        queued_claims_.begin(),
        queued_claims_.begin() + static_cast<ptrdiff_t>(count));
    const PlatformOpId op = context.NextId();
    in_flight_.emplace(op, std::move(batch));
    context.Emit(SendPlatform{op, std::move(rows)});
  }
  flush_at_ = queued_claims_.empty() ? kNever : context.now + kBatchDelay;
}

bool ClaimCoordinator::OnPlatformReplied(const PlatformReplied& replied,
                                         Context& context) {
  const auto found = in_flight_.find(replied.op);
  if (found == in_flight_.end()) return false;
  const Batch batch = std::move(found->second);
  in_flight_.erase(found);
  const PlatformReply& reply = replied.reply;
  const bool known = reply.status == PlatformStatus::kOk &&
                     reply.holders.size() == batch.claims.size();
  for (size_t i = 0; i < batch.claims.size(); ++i) {
    Reply(batch.claims[i], known, known ? reply.holders[i] : "", context);
  }
  return true;
}

void ClaimCoordinator::Reply(const BatchedClaim& batched, bool known,
                             const std::string& holder, Context& context) {
  ClaimOutcome outcome;
  if (known) {
    const std::optional<ClaimOutcome> parsed = ParseHolder(holder);
    if (parsed) {
      outcome = *parsed;
      outcome.known = true;
    }
  }
  outcome.claim_id = batched.claim.claim_id;
  ClaimReply reply;
  reply.outcomes.push_back(std::move(outcome));
  const Endpoint address = membership_.PeerAddressOf(batched.requester.name);
  outbox_.Send(batched.requester.name, address, std::move(reply), context);
}

void ClaimCoordinator::OnClaimReply(const ClaimReply& reply, Context& context) {
  for (const ClaimOutcome& outcome : reply.outcomes) {
    Finish({outcome.claim_id, outcome.known, outcome.holder,
            outcome.holder_claim_id},
           context);
  }
}

void ClaimCoordinator::Finish(const ClaimResult& result, Context& context) {
  const auto found = pending_.find(result.claim_id);
  if (found == pending_.end()) return;  // timed out, or answered twice
  deadlines_.Remove(found->second.deadline, result.claim_id);
  pending_.erase(found);
  if (!result.known) stats_.Count("amaranth_claims_unknown_total");
  on_result(result, context);
}

void ClaimCoordinator::OnPeerLost(const std::string& peer, Context& context) {
  std::vector<uint64_t> lost;
  for (const auto& [claim_id, pending] : pending_) {
    if (pending.delegate == peer) lost.push_back(claim_id);
  }
  for (const uint64_t claim_id : lost) {
    Pending& pending = pending_.at(claim_id);
    if (pending.retried) {
      Finish({claim_id, false, {}, 0}, context);
      continue;
    }
    // Sending the claim again is safe: the row names this claim as its holder.
    pending.retried = true;
    Send(claim_id, pending, context);
  }
}

void ClaimCoordinator::OnTimer(Context& context) {
  for (const uint64_t claim_id : deadlines_.TakeDue(context.now)) {
    Finish({claim_id, false, {}, 0}, context);
  }
  if (context.now >= flush_at_) Flush(context);
}

TimePoint ClaimCoordinator::next_timer() const {
  const bool can_flush = in_flight_.size() < kMaxBatchesInFlight;
  return std::min(deadlines_.next(), can_flush ? flush_at_ : kNever);
}

}  // namespace amaranth::pvt
