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
  // Called when a link is unresponsive: nothing was received since it was
  // pinged.
  std::function<void(const std::string& peer, Context&)> on_unresponsive;
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
  };

  std::map<std::string, Link> links_;
  TimePoint next_check_ = kNever;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_PEER_LINKS_H_
