#include "libnode/peer_links.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace amaranth::pvt {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kRoundTrip = milliseconds(2);
constexpr Duration kServiceTime = milliseconds(20);

// One node and its links, on which it calls one peer after another. Links that
// are silent lose what is sent on them until they are closed.
class LinksOfANode {
 public:
  LinksOfANode(size_t count, uint64_t seed) : random_(seed) {
    for (size_t i = 0; i < count; ++i) {
      peers_.push_back("n" + std::to_string(i));
    }
    links_.awaits_answer = [this](const std::string& peer) {
      return awaited_.count(peer) != 0;
    };
    links_.owes_answer = [this](const std::string& peer) {
      return callers_.count(peer) != 0;
    };
    links_.on_unresponsive = [this](const std::string& peer, Context&) {
      avoided_.insert(peer);
    };
    links_.on_dropped = [this](const std::string& peer, Context&) {
      if (awaited_.erase(peer) > 0) ++calls_lost_;
      avoided_.erase(peer);
      silent_.erase(peer);
      ++dropped_;
    };
    links_.ping_by_datagram = [this](const std::string& peer, Context&) {
      if (frozen_.count(peer) == 0) heard_[peer] = now_ + kRoundTrip;
    };
    links_.heard_since = [this](const std::string& peer, TimePoint time) {
      const auto heard = heard_.find(peer);
      return heard != heard_.end() && heard->second >= time &&
             heard->second <= now_;
    };
    // Every link is open at the start.
    for (const std::string& peer : peers_) Send(peer);
    RunFor(seconds(1));
  }

  void Silence(double share) {
    for (const std::string& peer : peers_) {
      if (Chance() < share) silent_.insert(peer);
    }
  }
  void RunCallOf(const std::string& peer) { callers_.insert(peer); }
  // The peer's process stands still: it answers nothing on any connection.
  void Freeze(const std::string& peer) {
    frozen_.insert(peer);
    silent_.insert(peer);
  }
  void Thaw(const std::string& peer) {
    frozen_.erase(peer);
    silent_.erase(peer);
    if (awaited_.count(peer) != 0) AnswerLater(peer, kRoundTrip);
  }

  void Send(const std::string& peer) {
    if (awaited_.count(peer) != 0) return;
    awaited_.insert(peer);
    Invoke([&](Context& context) {
      links_.OnSent(peer, {"127.0.0.1", 1}, context);
    });
    if (silent_.count(peer) == 0) AnswerLater(peer, kServiceTime);
  }

  // Calls random peers, each `interval`, and returns the share of the calls
  // that were sent on a link that works.
  double ShareOfWorkingLinks(Duration time, Duration interval) {
    int calls = 0;
    int working = 0;
    for (Duration run{0}; run < time; run += interval) {
      const std::string& peer = peers_[std::uniform_int_distribution<size_t>(
          0, peers_.size() - 1)(random_)];
      if (avoided_.count(peer) == 0) {
        ++calls;
        working += silent_.count(peer) == 0 ? 1 : 0;
        Send(peer);
      }
      RunFor(interval);
    }
    return static_cast<double>(working) / std::max(calls, 1);
  }

  void RunFor(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      DeliverDue();
      if (now_ >= links_.next_timer()) {
        Invoke([&](Context& context) { links_.OnTimer(context); });
      }
    }
  }

  // Passes time in which the node's process does not run, but its peers do.
  void Pause(Duration time) { now_ += time; }

  int calls_lost() const { return calls_lost_; }
  int dropped() const { return dropped_; }

 private:
  double Chance() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void AnswerLater(const std::string& peer, Duration delay) {
    answers_.emplace(now_ + delay, peer);
  }

  void DeliverDue() {
    while (!answers_.empty() && answers_.begin()->first <= now_) {
      const std::string peer = answers_.begin()->second;
      answers_.erase(answers_.begin());
      awaited_.erase(peer);
      avoided_.erase(peer);
      Invoke([&](Context& context) { links_.OnReceived(peer, context); });
    }
  }

  void Invoke(const std::function<void(Context&)>& action) {
    Effects effects;
    Context context{identity_, now_, random_, next_id_, effects};
    action(context);
    for (const Effect& effect : effects) {
      const auto* sent = std::get_if<SendPeer>(&effect);
      if (sent == nullptr || silent_.count(sent->peer) != 0) continue;
      pongs_.push_back(sent->peer);
    }
    for (const std::string& peer : std::exchange(pongs_, {})) {
      answers_.emplace(now_ + kRoundTrip, peer);
    }
  }

  NodeIdentity identity_;
  Random random_;
  uint64_t next_id_ = 1;
  TimePoint now_ = FromMicros(1'000'000);
  PeerLinks links_;
  std::vector<std::string> peers_;
  std::set<std::string> silent_;
  std::set<std::string> frozen_;
  std::set<std::string> awaited_;
  std::set<std::string> callers_;  // peers whose calls run at this node
  std::set<std::string> avoided_;
  std::map<std::string, TimePoint> heard_;
  std::multimap<TimePoint, std::string> answers_;
  std::vector<std::string> pongs_;
  int calls_lost_ = 0;
  int dropped_ = 0;
};

}  // namespace

TEST_GROUP(PeerLinks){};

// Guards against a node that finds silent links one call after another: the
// more links it has, the longer it loses calls.
TEST(PeerLinks, ManySilentLinksAreFoundAtOnceAtAnySize) {
  for (const size_t count : {13, 80, 1000}) {
    for (const double share : {0.4, 0.9}) {
      LinksOfANode node(count, 1);
      node.Silence(share);
      node.ShareOfWorkingLinks(milliseconds(1500), milliseconds(50));
      CHECK(node.ShareOfWorkingLinks(seconds(2), milliseconds(50)) >= 0.95);
    }
  }
}

TEST(PeerLinks, LinksThatWorkAreKeptWhenOthersAreSilent) {
  constexpr size_t kCount = 100;
  LinksOfANode node(kCount, 2);
  node.Silence(0.5);
  node.ShareOfWorkingLinks(seconds(3), milliseconds(50));
  CHECK(node.dropped() < static_cast<int>(kCount) * 6 / 10);
}

// A frozen process answers neither on its link nor by datagram, and goes on
// with its calls when it wakes up. Closing the link early would lose them.
TEST(PeerLinks, ALinkToAFrozenPeerIsKeptLonger) {
  LinksOfANode node(10, 3);
  node.Freeze("n3");
  node.Send("n3");
  node.RunFor(milliseconds(1500));
  node.Thaw("n3");
  node.RunFor(milliseconds(200));
  CHECK_EQUAL(0, node.calls_lost());
}

// A peer that is slow to answer a ping would lose the calls that run here.
TEST(PeerLinks, ALinkThatCarriesCallsOfThePeerIsLeftToThePeer) {
  LinksOfANode node(10, 5);
  node.Freeze("n4");
  node.RunCallOf("n4");
  node.Freeze("n3");
  node.Send("n3");
  node.RunFor(milliseconds(1500));
  CHECK_EQUAL(0, node.dropped());
}

// Guards against a node that closes all its links after its own process was
// paused, because the answers to its pings are still unread.
TEST(PeerLinks, APausedNodeKeepsItsLinks) {
  LinksOfANode node(50, 4);
  node.Freeze("n3");
  node.Send("n3");
  node.RunFor(milliseconds(420));
  node.Pause(seconds(1));
  node.RunFor(milliseconds(200));
  CHECK_EQUAL(0, node.dropped());
}

}  // namespace amaranth::pvt
