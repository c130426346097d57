#include "libnode/customers/quota_keeper.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace amaranth::pvt {
namespace {

// Time after the start of a node in which it is no home: when all nodes start
// at once, each takes itself for the only one until it hears of the others.
constexpr Duration kSettleTime = std::chrono::milliseconds(1500);
// A bucket that was not used for this time is full.
constexpr Duration kFillTime = std::chrono::seconds(60);
// Time after which a home that has not answered is passed by.
constexpr Duration kAskTimeout = std::chrono::milliseconds(150);
// Time for which it is then not asked.
constexpr Duration kUnresponsiveTime = std::chrono::milliseconds(500);
// Longest wait for a token at a home.
constexpr Duration kMaxWait = std::chrono::milliseconds(100);
constexpr Duration kServeInterval = std::chrono::milliseconds(5);
// A deputy has the tokens of this time when it is first asked, and again if it
// was not asked for longer.
constexpr Duration kDeputyTime = std::chrono::milliseconds(300);
constexpr Duration kLoanTimeout = std::chrono::milliseconds(100);
// Time between two loans, and after one that brought nothing.
constexpr Duration kLoanInterval = std::chrono::milliseconds(20);
constexpr Duration kFruitlessLoanInterval = std::chrono::milliseconds(100);
// A loan is sized for the requests of this time.
constexpr Duration kLoanTime = std::chrono::milliseconds(250);
// A request that uses a token that came back may have been preceded by the one
// that gave it back in the same quota window: a token must not be kept long.
constexpr Duration kGivenBackLifetime = std::chrono::milliseconds(250);

}  // namespace

QuotaKeeper::QuotaKeeper(const NodeIdentity& identity,
                         const Membership& membership,
                         const SettingsCache& settings, Outbox& outbox,
                         Stats& stats)
    : name_(identity.node.name),
      membership_(membership),
      settings_(settings),
      outbox_(outbox),
      stats_(stats),
      view_(membership, identity.data_centre),
      next_home_timer_(kNever) {}

// A node that is no longer the home of a customer forgets its tokens. It would
// give them out in addition to those of the new home if it became the home
// again.
void QuotaKeeper::RefreshView(TimePoint now) {
  if (!view_.Refresh(now)) return;
  for (auto& [customer, home] : homes_) {
    if (view_.HomeOf(customer) != name_) home.bucket = QuotaBucket();
  }
}

std::string QuotaKeeper::HomeOf(const std::string& customer, TimePoint now) {
  RefreshView(now);
  return view_.HomeOf(customer);
}

std::optional<QuotaDecision> QuotaKeeper::Ask(uint64_t call,
                                              const Customer& customer,
                                              Context& context) {
  RefreshView(context.now);
  if (TakeGivenBack(customer.name, context.now)) return QuotaDecision{true, {}};
  if (AskHome(call, customer.name, context)) return std::nullopt;
  return DecideAlone(customer, context.now);
}

bool QuotaKeeper::IsSettled(TimePoint now) const {
  return now - view_.started_at() >= kSettleTime;
}

bool QuotaKeeper::AskHome(uint64_t call, const std::string& customer,
                          Context& context) {
  for (const std::string& home : view_.HomeAndDeputyOf(customer)) {
    const auto unresponsive = unresponsive_until_.find(home);
    const bool passed_by = unresponsive != unresponsive_until_.end() &&
                           context.now < unresponsive->second;
    if (passed_by || (home == name_ && !IsSettled(context.now))) continue;
    const TimePoint expires = context.now + kAskTimeout;
    uint32_t debt = 0;
    const auto owed = debts_.find(customer);
    if (owed != debts_.end()) {
      debt = owed->second;
      debts_.erase(owed);
    }
    asked_[call] = {customer, home, debt, expires};
    asked_deadlines_.Add(expires, call);
    Send(home, QuotaRequest{call, customer, 1 + debt, false}, context);
    return true;
  }
  return false;
}

void QuotaKeeper::OnUnanswered(uint64_t call, const Asked& asked,
                               Context& context) {
  stats_.Count("amaranth_quota_unanswered_total");
  unresponsive_until_[asked.home] = context.now + kUnresponsiveTime;
  if (asked.debt > 0) debts_[asked.customer] += asked.debt;
  if (AskHome(call, asked.customer, context)) return;
  DecideWithoutHome(call, asked.customer, context);
}

void QuotaKeeper::OnPeerLost(const std::string& peer, Context& context) {
  std::vector<uint64_t> lost;
  for (const auto& [call, asked] : asked_) {
    if (asked.home == peer) lost.push_back(call);
  }
  std::sort(lost.begin(), lost.end());  // replay needs the same order
  for (const uint64_t call : lost) {
    OnUnanswered(call, *TakeAsked(call), context);
  }
}

std::optional<QuotaKeeper::Asked> QuotaKeeper::TakeAsked(uint64_t call) {
  const auto found = asked_.find(call);
  if (found == asked_.end()) return std::nullopt;
  Asked asked = std::move(found->second);
  asked_.erase(found);
  asked_deadlines_.Remove(asked.expires, call);
  return asked;
}

bool QuotaKeeper::TakeGivenBack(const std::string& customer, TimePoint now) {
  const auto found = given_back_.find(customer);
  if (found == given_back_.end()) return false;
  const bool usable = now < found->second.expires && found->second.tokens > 0;
  if (!usable || --found->second.tokens == 0) given_back_.erase(found);
  return usable;
}

void QuotaKeeper::GiveBack(const std::string& customer, TimePoint now) {
  GivenBack& given = given_back_[customer];
  if (now >= given.expires) given.tokens = 0;
  ++given.tokens;
  given.expires = now + kGivenBackLifetime;
}

QuotaDecision QuotaKeeper::DecideAlone(const Customer& customer,
                                       TimePoint now) {
  stats_.Count("amaranth_quota_alone_total");
  QuotaBucket& bucket = alone_[customer.name];
  // The home is charged with these tokens later, so they may be given out at
  // once after a start.
  bucket.Refill(view_.PartOfNode(customer.quota), now - kFillTime, now);
  if (bucket.TryTake()) {
    ++debts_[customer.name];
    return {true, {}};
  }
  return {false, bucket.Reserve(now)};
}

void QuotaKeeper::Decide(uint64_t call, const std::string& customer,
                         const QuotaDecision& decision, Context& context) {
  const bool used = on_decision(call, decision, context);
  if (!used && decision.granted) GiveBack(customer, context.now);
}

void QuotaKeeper::DecideWithoutHome(uint64_t call, const std::string& customer,
                                    Context& context) {
  const Customer* found = settings_.customers().Find(customer);
  // The customer was removed while its home was asked: its key no longer
  // counts, and the request is refused.
  const QuotaDecision decision = found == nullptr
                                     ? QuotaDecision{false, kAskTimeout}
                                     : DecideAlone(*found, context.now);
  Decide(call, customer, decision, context);
}

void QuotaKeeper::OnRequest(const NodeRef& from, const QuotaRequest& request,
                            Context& context) {
  RefreshView(context.now);
  Home* home = IsSettled(context.now) ? FindHome(request.customer, context.now)
                                      : nullptr;
  if (home == nullptr) {
    Send(from.name,
         QuotaReply{request.id, request.customer, 0, Duration(0), request.loan},
         context);
    return;
  }
  if (request.loan) {
    const uint32_t given =
        static_cast<uint32_t>(home->bucket.TakeForLoan(request.tokens));
    Send(from.name,
         QuotaReply{request.id, request.customer, given, Duration(0), true},
         context);
    return;
  }
  if (request.tokens > 1) home->bucket.Charge(request.tokens - 1);
  if (home->waiting.empty() && home->bucket.TryTake()) {
    return Grant(from, request.id, request.customer, context);
  }
  home->waiting.push_back({from, request.id, context.now});
  Borrow(request.customer, *home, context);
  if (!MayWait(*home, context.now)) {
    home->waiting.pop_back();
    return Refuse(from, request.id, request.customer, *home, context);
  }
  next_home_timer_ = std::min(next_home_timer_, context.now + kServeInterval);
}

QuotaKeeper::Home* QuotaKeeper::FindHome(const std::string& customer,
                                         TimePoint now) {
  const Customer* known = settings_.customers().Find(customer);
  if (known == nullptr) {
    homes_.erase(customer);
    return nullptr;
  }
  Home& home = homes_[customer];
  Refill(*known, home, now);
  return &home;
}

void QuotaKeeper::Refill(const Customer& customer, Home& home, TimePoint now) {
  TimePoint owned_since = view_.changed_at();
  if (view_.HomeOf(customer.name) != name_) {
    // The home may be giving out tokens as well, to nodes that reach it.
    owned_since = std::max(owned_since, now - kDeputyTime);
    if (now - home.bucket.refilled() > kDeputyTime) home.bucket = QuotaBucket();
  }
  home.bucket.Refill(view_.PartOfHome(customer.quota), owned_since, now);
}

// A call may wait while a loan is under way, or if its own token comes soon.
bool QuotaKeeper::MayWait(const Home& home, TimePoint now) {
  if (home.loans_asked > 0 && now < home.loans_expire) return true;
  return home.waiting.size() == 1 && home.bucket.TimeToToken() <= kMaxWait;
}

void QuotaKeeper::Borrow(const std::string& customer, Home& home,
                         Context& context) {
  const bool under_way =
      home.loans_asked > 0 && context.now < home.loans_expire;
  if (under_way || context.now < home.next_loan) return;
  const Customer* known = settings_.customers().Find(customer);
  const std::vector<std::string> lenders = view_.OtherHomesOf(customer);
  if (known == nullptr || lenders.empty()) return;
  const double wanted = std::max<double>(
      static_cast<double>(home.waiting.size()),
      known->quota.rate * std::chrono::duration<double>(kLoanTime).count());
  home.loans_asked = lenders.size();
  home.loans_expire = context.now + kLoanTimeout;
  home.next_loan = context.now + kFruitlessLoanInterval;
  const uint32_t each =
      1 + static_cast<uint32_t>(wanted / static_cast<double>(lenders.size()));
  stats_.Count("amaranth_quota_loans_total");
  for (const std::string& lender : lenders) {
    Send(lender, QuotaRequest{context.NextId(), customer, each, true}, context);
  }
}

void QuotaKeeper::ServeWaiting(const std::string& customer, Home& home,
                               Context& context) {
  while (!home.waiting.empty()) {
    const Waiting first = home.waiting.front();
    if (home.bucket.TryTake()) {
      home.waiting.pop_front();
      Grant(first.from, first.id, customer, context);
      continue;
    }
    const bool waits_long = context.now - first.since >= kMaxWait;
    if (!waits_long && MayWait(home, context.now)) break;
    home.waiting.pop_front();
    Refuse(first.from, first.id, customer, home, context);
  }
}

void QuotaKeeper::Grant(const NodeRef& to, uint64_t id,
                        const std::string& customer, Context& context) {
  Send(to.name, QuotaReply{id, customer, 1, Duration(0), false}, context);
}

void QuotaKeeper::Refuse(const NodeRef& to, uint64_t id,
                         const std::string& customer, Home& home,
                         Context& context) {
  const Duration retry_after =
      std::max(home.bucket.Reserve(context.now), kServeInterval);
  Send(to.name, QuotaReply{id, customer, 0, retry_after, false}, context);
}

void QuotaKeeper::OnReply(const QuotaReply& reply, Context& context) {
  if (reply.loan) {
    const auto found = homes_.find(reply.customer);
    if (found == homes_.end()) return;
    Home& home = found->second;
    if (home.loans_asked > 0) --home.loans_asked;
    home.bucket.Add(reply.tokens);
    if (reply.tokens > 0) home.next_loan = context.now + kLoanInterval;
    ServeWaiting(reply.customer, home, context);
    return;
  }
  const std::optional<Asked> asked = TakeAsked(reply.id);
  if (!asked) {
    // The answer came too late: the request was decided without it.
    for (uint32_t i = 0; i < reply.tokens; ++i) {
      GiveBack(reply.customer, context.now);
    }
    return;
  }
  unresponsive_until_.erase(asked->home);
  const bool unknown_there =
      reply.tokens == 0 && reply.retry_after == Duration(0);
  if (unknown_there) {
    if (asked->debt > 0) debts_[asked->customer] += asked->debt;
    return DecideWithoutHome(reply.id, asked->customer, context);
  }
  Decide(reply.id, asked->customer, {reply.tokens > 0, reply.retry_after},
         context);
}

void QuotaKeeper::OnSendFailed(const QuotaRequest& request, Context& context) {
  if (request.loan) return;  // the loan expires
  const std::optional<Asked> asked = TakeAsked(request.id);
  if (asked) OnUnanswered(request.id, *asked, context);
}

void QuotaKeeper::OnTimer(Context& context) {
  for (const uint64_t call : asked_deadlines_.TakeDue(context.now)) {
    const std::optional<Asked> asked = TakeAsked(call);
    if (asked) OnUnanswered(call, *asked, context);
  }
  if (context.now < next_home_timer_) return;
  next_home_timer_ = kNever;
  RefreshView(context.now);
  for (auto& [customer, home] : homes_) {
    if (home.waiting.empty()) continue;
    const Customer* known = settings_.customers().Find(customer);
    if (known != nullptr) Refill(*known, home, context.now);
    ServeWaiting(customer, home, context);
    if (!home.waiting.empty()) next_home_timer_ = context.now + kServeInterval;
  }
}

TimePoint QuotaKeeper::next_timer() const {
  return std::min(asked_deadlines_.next(), next_home_timer_);
}

void QuotaKeeper::Send(const std::string& peer, PeerMessage message,
                       Context& context) {
  outbox_.Send(peer, membership_.PeerAddressOf(peer), std::move(message),
               context);
}

}  // namespace amaranth::pvt
