// Tests of a fleet whose open links between nodes lose everything from one
// moment on, while new connections and datagrams work.

#include <CppUTest/TestHarness.h>

#include <string>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 30;
constexpr Duration kCallInterval = milliseconds(5);
constexpr Duration kRecoveryTime = milliseconds(1500);
// By then the last call has been answered.
constexpr Duration kAnswerTime = seconds(4);

// Callers that send a request each kCallInterval, to one node after another.
class CallingFleet {
 public:
  CallingFleet() : fleet_(5) {
    fleet_.DiscardHistory();
    for (int i = 0; i < kNodes; ++i) {
      const std::string node = "n" + std::to_string(i);
      fleet_.AddNode(node, "derby");
      FakeServerOptions server;
      server.name = "s" + std::to_string(i);
      server.service = "catalogue";
      fleet_.AddServer(node, server);
    }
    fleet_.on_answer = [this](uint64_t, const FakeAnswer& answer) {
      if (answer.sent_at < counted_from_) return;
      ++answered_;
      served_ += answer.response.status == 200 ? 1 : 0;
    };
  }

  FakeFleet& fleet() { return fleet_; }

  void CallDuring(Duration time) {
    const TimePoint end = fleet_.now() + time;
    while (fleet_.now() < end) {
      fleet_.Call("n" + std::to_string(next_++ % kNodes),
                  MakeRequest("POST", "catalogue"));
      fleet_.RunFor(kCallInterval);
    }
  }

  // Returns the share of the calls during `time` that are answered 200.
  double ServedDuring(Duration time) {
    counted_from_ = fleet_.now();
    answered_ = served_ = 0;
    CallDuring(time);
    fleet_.RunFor(kAnswerTime);
    return static_cast<double>(served_) / answered_;
  }

 private:
  FakeFleet fleet_;
  TimePoint counted_from_{};
  int next_ = 0;
  int answered_ = 0;
  int served_ = 0;
};

}  // namespace

TEST_GROUP(SilentLinks){};

// Guards against requests that are lost one by one until each silent link of
// each node has been found: the larger the fleet, the longer that takes.
TEST(SilentLinks, RequestsAreServedSoonAfterMostLinksWentSilent) {
  for (const double share : {0.4, 0.9}) {
    CallingFleet calling;
    calling.fleet().RunFor(seconds(3));
    calling.CallDuring(seconds(10));
    calling.fleet().SilenceLinks(share);
    calling.CallDuring(kRecoveryTime);
    CHECK(calling.ServedDuring(seconds(2)) >= 0.95);
  }
}

}  // namespace amaranth::pvt
