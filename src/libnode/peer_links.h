#ifndef AMARANTHROUTE_LIBNODE_PEER_LINKS_H_
#define AMARANTHROUTE_LIBNODE_PEER_LINKS_H_

// Watches the links to other nodes for silence while answers are awaited.
//
// What fails: a middle box forgets an open connection; writes succeed, nothing
// comes back, and TCP says nothing for minutes while new connections work. A
// link with calls outstanding and no sign of life is pinged, then dropped; its
// calls get the verdict "may have run" and idempotent ones go on over a fresh
// connection. The ping keeps slow servers from looking like dead links.

#include <functional>
#include <map>
#include <string>

#include "amaranthroute/policy/progress_watch.h"
#include "libnode/shared/context.h"

namespace amaranth::pvt {

class PeerLinks {
 public:
  // Whether an answer is awaited from the peer.
  std::function<bool(const std::string& peer)> awaits_answer;
  // A link may be dead: nothing was heard since it was pinged.
  std::function<void(const std::string& peer, Context&)> on_doubt;
  // A link was given up on; called once the effects say so.
  std::function<void(const std::string& peer, Context&)> on_silent;

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
