#ifndef AMARANTHROUTE_LIBNODE_CUSTOMERS_QUOTA_KEEPER_H_
#define AMARANTHROUTE_LIBNODE_CUSTOMERS_QUOTA_KEEPER_H_

// Keeps customers within their quotas across all nodes without a coordinator.
// See docs/design/quotas.md.
//
// As entry node: asks the home of the customer in this data centre for a token
// before a request is sent to a backend server. As home: gives out this data
// centre's part of the quota, and borrows from the homes of other data centres
// when it has none left.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "amaranthroute/policy/quota_bucket.h"
#include "libnode/customers/quota_view.h"
#include "libnode/settings/settings_cache.h"
#include "libnode/shared/deadline_set.h"
#include "libnode/shared/outbox.h"
#include "libnode/shared/stats.h"

namespace amaranth::pvt {

// Whether a request may be sent to a backend server.
struct QuotaDecision {
  bool granted = false;
  Duration retry_after{0};  // if not granted
};

class QuotaKeeper {
 public:
  QuotaKeeper(const NodeIdentity& identity, const Membership& membership,
              const SettingsCache& settings, Outbox& outbox, Stats& stats);

  // Called with the decision about a request that Ask left open. Returns false
  // if the request has ended; its token is then used for another.
  std::function<bool(uint64_t call, const QuotaDecision&, Context&)>
      on_decision;

  void Start(TimePoint now) { view_.Start(now); }
  // Decides about the request `call` of a customer with a quota, or returns
  // nullopt if the home is asked first.
  std::optional<QuotaDecision> Ask(uint64_t call, const Customer& customer,
                                   Context& context);
  // Returns the token of a request that no backend server has run.
  void GiveBack(const std::string& customer, TimePoint now);

  void OnRequest(const NodeRef& from, const QuotaRequest& request,
                 Context& context);
  void OnReply(const QuotaReply& reply, Context& context);
  void OnPeerLost(const std::string& peer, Context& context);
  // Handles a request that was not sent.
  void OnSendFailed(const QuotaRequest& request, Context& context);
  void OnTimer(Context& context);
  TimePoint next_timer() const;

  // Returns the node in this data centre that gives out the customer's quota.
  std::string HomeOf(const std::string& customer, TimePoint now);

 private:
  // A request of this node whose home is asked.
  struct Asked {
    std::string customer;
    std::string home;   // or its deputy
    uint32_t debt = 0;  // tokens asked for in addition, see debts_
    TimePoint expires{};
  };
  // A request of another node, waiting for a token at this home.
  struct Waiting {
    NodeRef from;
    uint64_t id = 0;
    TimePoint since{};
  };
  // The quota of a customer whose home is here.
  struct Home {
    QuotaBucket bucket;
    std::deque<Waiting> waiting;
    size_t loans_asked = 0;  // loans not answered yet
    TimePoint loans_expire{};
    TimePoint next_loan{};
  };
  // Tokens that came back, for the next requests at this node.
  struct GivenBack {
    uint32_t tokens = 0;
    TimePoint expires{};
  };

  void RefreshView(TimePoint now);
  // Returns whether this node may be a home.
  bool IsSettled(TimePoint now) const;

  // Entry node.
  bool TakeGivenBack(const std::string& customer, TimePoint now);
  // Asks the home or its deputy; false if neither is known to respond.
  bool AskHome(uint64_t call, const std::string& customer, Context& context);
  // Asks the next node, or decides alone.
  void OnUnanswered(uint64_t call, const Asked& asked, Context& context);
  QuotaDecision DecideAlone(const Customer& customer, TimePoint now);
  // Ends the wait for a home's answer.
  std::optional<Asked> TakeAsked(uint64_t call);
  void Decide(uint64_t call, const std::string& customer,
              const QuotaDecision& decision, Context& context);
  void DecideWithoutHome(uint64_t call, const std::string& customer,
                         Context& context);

  // Home.
  Home* FindHome(const std::string& customer, TimePoint now);
  void Refill(const Customer& customer, Home& home, TimePoint now);
  void Borrow(const std::string& customer, Home& home, Context& context);
  void ServeWaiting(const std::string& customer, Home& home, Context& context);
  static bool MayWait(const Home& home, TimePoint now);
  void Grant(const NodeRef& to, uint64_t id, const std::string& customer,
             Context& context);
  void Refuse(const NodeRef& to, uint64_t id, const std::string& customer,
              Home& home, Context& context);
  void Send(const std::string& peer, PeerMessage message, Context& context);

  const std::string name_;  // of this node
  const Membership& membership_;
  const SettingsCache& settings_;
  Outbox& outbox_;
  Stats& stats_;
  QuotaView view_;
  std::unordered_map<uint64_t, Asked> asked_;  // by call
  DeadlineSet asked_deadlines_;
  std::map<std::string, TimePoint> unresponsive_until_;
  std::unordered_map<std::string, GivenBack> given_back_;
  std::unordered_map<std::string, QuotaBucket> alone_;  // this node's own parts
  // Tokens that this node gave out alone. The home is charged with them.
  std::unordered_map<std::string, uint32_t> debts_;
  std::map<std::string, Home> homes_;
  TimePoint next_home_timer_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_CUSTOMERS_QUOTA_KEEPER_H_
