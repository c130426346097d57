#ifndef AMARANTHROUTE_LIBNODE_PEER_LINKS_H_
#define AMARANTHROUTE_LIBNODE_PEER_LINKS_H_

// Detects unresponsive links to other nodes while answers are awaited.
//
// If a middlebox loses the state of an open connection, writes succeed, nothing
// comes back, and TCP reports no error for minutes, while new connections work.
// A link with outstanding calls from which nothing is received is pinged, then
// closed. Its calls get the verdict "may have run", and idempotent ones are
// retried over a new connection. The ping distinguishes slow servers from
// broken links.
//
// Links often become unresponsive together, and a node of a large fleet has
// many that it rarely uses. If each were found only by the next call that is
// sent on it, calls would be lost for as long as it takes to use every link. So
// when one link does not answer its ping, all others are pinged, and those that
// carry no calls are closed if they do not answer. A link that carries only the
// peer's calls is left to the peer.

#include <functional>
#include <map>
#include <string>

#include "amaranthroute/policy/progress_watch.h"
#include "libnode/shared/context.h"

namespace amaranth::pvt {

class PeerLinks {
 public:
  // Returns whether an answer of the peer is awaited.
  std::function<bool(const std::string& peer)> awaits_answer;
  // Returns whether the peer awaits an answer of this node.
  std::function<bool(const std::string& peer)> owes_answer;
  // Called when a link is unresponsive: nothing was received since it was
  // pinged.
  std::function<void(const std::string& peer, Context&)> on_unresponsive;
  // Sends the peer a datagram that it answers.
  std::function<void(const std::string& peer, Context&)> ping_by_datagram;
  // Returns whether a datagram of the peer has arrived since `time`.
  std::function<bool(const std::string& peer, TimePoint time)> heard_since;
  // Called when a link was dropped, after the effect that closes it.
  std::function<void(const std::string& peer, Context&)> on_dropped;

  void OnSent(const std::string& peer, const Endpoint& address,
              Context& context);
  void OnReceived(const std::string& peer, Context& context);
  void OnLost(const std::string& peer) { links_.erase(peer); }
  void OnTimer(Context& context);
  TimePoint next_timer() const { return next_check_; }

 private:
  struct Link {
    Endpoint address;
    ProgressWatch watch;
    uint64_t pings = 0;
    // When the link was pinged with all others; kNever once it has answered.
    TimePoint checked_at = kNever;
    // When the link became unresponsive; kNever once it has answered.
    TimePoint unresponsive_since = kNever;
  };

  void Ping(const std::string& peer, Link& link, Context& context);
  void OnUnresponsive(const std::string& peer, Link& link, Context& context);
  // Restarts the timeouts of pings to which an answer may be unread.
  static void Postpone(Link& link, TimePoint now);
  void Drop(const std::string& peer, Context& context);
  // Returns whether the link is known to be broken although its peer runs.
  bool IsBroken(const std::string& peer, const Link& link, bool outstanding,
                TimePoint now) const;
  void CheckAllLinks(Context& context);

  std::map<std::string, Link> links_;
  TimePoint next_check_ = kNever;
  TimePoint all_checked_at_{};
  bool check_all_ = false;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_PEER_LINKS_H_
