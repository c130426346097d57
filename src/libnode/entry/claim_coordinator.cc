#include "libnode/entry/claim_coordinator.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "amaranthroute/hash.h"
#include "libutil/parse_number.h"

namespace amaranth::pvt {
namespace {

// Delegates of a data centre: two, so that one's death halves no more than the
// batching for as long as gossip takes to notice.
constexpr size_t kDelegates = 2;

// Gathering time of a batch. Adds at most this to a claimed request; at two
// delegates in five data centres it bounds the fleet to 500 transactions/s,
// and batches in flight are capped below, which under a slow platform makes
// batches larger instead of more.
constexpr Duration kGather = std::chrono::milliseconds(20);
constexpr size_t kMaxBatch = 100;
constexpr size_t kMaxBatchesInFlight = 4;
constexpr size_t kMaxGathering = 20'000;

// After this long without a word from the platform the caller is told. Its
// request was not run; holding it longer would only keep the caller waiting.
constexpr Duration kGiveUp = std::chrono::milliseconds(1500);

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
                                          const std::string& avoided) const {
  std::vector<std::string> delegates = RendezvousChoose(
      membership_.AliveInDataCentre(), "claim-delegates", kDelegates);
  delegates.erase(std::remove(delegates.begin(), delegates.end(), avoided),
                  delegates.end());
  // Alone, or cut off from the delegates: claim for ourselves.
  if (delegates.empty()) return context.identity.node.name;
  return RendezvousChoose(delegates, key, 1).front();
}

void ClaimCoordinator::Claim(uint64_t claim_id, const std::string& key,
                             Context& context) {
  stats_.Count("amaranth_claims_total");
  Pending pending;
  pending.key = key;
  pending.give_up = context.now + kGiveUp;
  deadlines_.Add(pending.give_up, claim_id);
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

void ClaimCoordinator::AddToBatch(const NodeRef& asker, const KeyClaim& claim,
                                  Context& context) {
  const Batched batched{asker, claim};
  if (!context.identity.use_platform || gathering_.size() >= kMaxGathering) {
    Reply(batched, false, "", context);
    return;
  }
  gathering_.push_back(batched);
  if (flush_at_ == kNever) flush_at_ = context.now + kGather;
  if (gathering_.size() >= kMaxBatch) Flush(context);
}

void ClaimCoordinator::Flush(Context& context) {
  while (!gathering_.empty() && in_flight_.size() < kMaxBatchesInFlight) {
    const size_t count = std::min(gathering_.size(), kMaxBatch);
    Batch batch;
    TableClaimRows rows;
    for (size_t i = 0; i < count; ++i) {
      const Batched& batched = gathering_[i];
      rows.rows.push_back(
          {batched.claim.key,
           FormatHolder(batched.asker, batched.claim.claim_id)});
      batch.claims.push_back(batched);
    }
    gathering_.erase(gathering_.begin(),
                     gathering_.begin() + static_cast<ptrdiff_t>(count));
    const PlatformOpId op = context.NextId();
    in_flight_.emplace(op, std::move(batch));
    context.Emit(SendPlatform{op, std::move(rows)});
  }
  flush_at_ = gathering_.empty() ? kNever : context.now + kGather;
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

void ClaimCoordinator::Reply(const Batched& batched, bool known,
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
  const Endpoint address = membership_.PeerAddressOf(batched.asker.name);
  outbox_.Send(batched.asker.name, address, std::move(reply), context);
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
  if (found == pending_.end()) return;  // given up on, or answered twice
  deadlines_.Remove(found->second.give_up, result.claim_id);
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
    if (pending.tried_again) {
      Finish({claim_id, false, {}, 0}, context);
      continue;
    }
    // Claiming again is harmless: the row names this very claim.
    pending.tried_again = true;
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
