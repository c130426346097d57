#include "amaranthroute/platform_client.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <optional>

#include "testsuite/platform_model.h"

namespace amaranth {
namespace {

// How one HTTP call is delivered.
enum class Delivery {
  kAnswered,
  kAnswerLost,  // takes effect, and the answer is lost
  kNotSent,     // no connection could be made
  kDelayed,     // times out, takes effect after the next call
};

// Runs the platform model behind an HttpCall that takes the delivery of each
// call from a script. After the script's end, calls get the default delivery
// (kAnswered unless set). Each call advances the clock by a quarter of its
// timeout.
class FakePlatform {
 public:
  HttpCall MakeHttpCall() {
    return [this](const Endpoint&, const HttpRequest& request, Duration timeout,
                  const PlatformCredentials*, const HttpClientCallback& done) {
      ++calls_;
      now_ += timeout / 4;
      done(Deliver(NextDelivery(), request));
    };
  }

  NowFunction MakeClock() {
    return [this] { return now_; };
  }

  void SetScript(std::vector<Delivery> deliveries) {
    script_ = {deliveries.begin(), deliveries.end()};
  }
  // Sets the delivery of calls after the script's end.
  void SetDefault(Delivery delivery) { default_delivery_ = delivery; }

  int calls() const { return calls_; }
  testsuite::PlatformModel& model() { return model_; }

 private:
  Delivery NextDelivery() {
    if (script_.empty()) return default_delivery_;
    const Delivery delivery = script_.front();
    script_.pop_front();
    return delivery;
  }

  HttpClientResult Deliver(Delivery delivery, const HttpRequest& request) {
    HttpClientResult result;
    result.reason = Reason::kConnectionLost;
    const std::optional<HttpRequest> delayed = std::move(delayed_request_);
    delayed_request_.reset();
    if (delivery == Delivery::kNotSent) result.verdict = Verdict::kNotRun;
    if (delivery == Delivery::kDelayed) delayed_request_ = request;
    if (delivery == Delivery::kAnswered || delivery == Delivery::kAnswerLost) {
      const HttpResponse response = model_.Handle(request);
      if (delivery == Delivery::kAnswered) {
        result = {response, Verdict::kRan, Reason::kNone};
      }
    }
    if (delayed) model_.Handle(*delayed);
    return result;
  }

  testsuite::PlatformModel model_;
  std::deque<Delivery> script_;
  Delivery default_delivery_ = Delivery::kAnswered;
  std::optional<HttpRequest> delayed_request_;
  TimePoint now_ = FromMicros(0);
  int calls_ = 0;
};

PlatformOptions TestOptions() {
  PlatformOptions options;
  options.writes_per_second = 1000;
  options.reads_per_second = 1000;
  return options;
}

PlatformReply CallForReply(PlatformClient& client,
                           const PlatformRequest& request) {
  std::optional<PlatformReply> reply;
  client.Call(request,
              [&](PlatformReply answer) { reply = std::move(answer); });
  CHECK(reply.has_value());
  return reply.value_or(PlatformReply());
}

TableClaimRows Claims(int count, const std::string& holder) {
  TableClaimRows claims;
  for (int i = 0; i < count; ++i) {
    claims.rows.push_back({"key" + std::to_string(i), holder});
  }
  return claims;
}

}  // namespace

TEST_GROUP(PlatformClient) {
  FakePlatform platform_;
  PlatformClient client_{TestOptions(), platform_.MakeHttpCall(),
                         platform_.MakeClock()};

  PlatformReply CallPlatform(const PlatformRequest& request) {
    return CallForReply(client_, request);
  }
};

TEST(PlatformClient, ClaimsMoreRowsThanFitInOneTransaction) {
  const PlatformReply reply = CallPlatform(Claims(250, "a"));
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(reply.holders == std::vector<std::string>(250, "a"));
  CHECK_EQUAL(3u, platform_.model().counts().transactions);
}

// A key that another node holds cancels the transaction of its whole batch. The
// other rows must still be claimed: a second transaction inserts them, and only
// the held key reports the other holder.
TEST(PlatformClient, HeldRowDoesNotBlockOtherRowsOfItsBatch) {
  CallPlatform(TableClaimRows{{{"key1", "b"}}});
  const PlatformReply reply = CallPlatform(Claims(3, "a"));
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK((std::vector<std::string>{"a", "b", "a"}) == reply.holders);
}

TEST(PlatformClient, TwoClaimsOfOneKeyInABatchGetOneHolder) {
  const PlatformReply reply = CallPlatform(
      TableClaimRows{{{"key", "a"}, {"key", "b"}, {"other", "c"}}});
  CHECK((std::vector<std::string>{"a", "a", "c"}) == reply.holders);
}

// The insert takes effect and its answer is lost. The rows are then read back,
// and the caller gets a normal answer with its own claim as the holder.
TEST(PlatformClient, ClaimWithLostAnswerIsResolvedByReadBack) {
  platform_.SetScript({Delivery::kAnswerLost});
  const PlatformReply reply = CallPlatform(Claims(2, "a"));
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK((std::vector<std::string>{"a", "a"}) == reply.holders);
  CHECK_EQUAL(2, platform_.calls());
}

// The insert times out, the read-back finds nothing, and then the insert takes
// effect after all. The second insert must find the rows and report the same
// claim as their holder; otherwise the caller would be told that its request
// was not run.
TEST(PlatformClient, InsertAppliedAfterReadBackKeepsItsHolder) {
  platform_.SetScript({Delivery::kDelayed, Delivery::kAnswered});
  const PlatformReply reply = CallPlatform(Claims(2, "a"));
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK((std::vector<std::string>{"a", "a"}) == reply.holders);
}

// Every answer is lost, starting with that to an insert that may have taken
// effect. The claim must end after a bounded number of calls, with the outcome
// unknown and never as proved not done.
TEST(PlatformClient, ClaimInAnOutageEndsUnknownAfterBoundedCalls) {
  platform_.SetDefault(Delivery::kAnswerLost);
  CHECK(CallPlatform(Claims(1, "a")).status == PlatformStatus::kUnknown);
  CHECK(platform_.calls() <= 4);
}

TEST(PlatformClient, NoConnectionAfterALostAnswerStaysUnknown) {
  platform_.SetScript(
      {Delivery::kAnswerLost, Delivery::kNotSent, Delivery::kNotSent});
  CHECK(CallPlatform(Claims(1, "a")).status == PlatformStatus::kUnknown);
}

TEST(PlatformClient, NoConnectionForTheFirstCallIsUnreachable) {
  platform_.SetDefault(Delivery::kNotSent);
  CHECK(CallPlatform(Claims(1, "a")).status == PlatformStatus::kUnreachable);
  CHECK_EQUAL(1, platform_.calls());
}

// Two nodes claim overlapping keys through any mix of lost, late and unsent
// calls. Each holder that is reported must be the one in the table, so that no
// key is reported to both nodes as their own, and a claim that ends as
// kUnreachable must leave no row.
TEST(PlatformClient, ClaimRepliesMatchTheTableWhateverIsLost) {
  const bool ok = rc::check([](const std::vector<uint8_t>& choices) {
    FakePlatform platform;
    PlatformClient client(TestOptions(), platform.MakeHttpCall(),
                          platform.MakeClock());
    std::vector<Delivery> script;
    script.reserve(choices.size());
    for (const uint8_t n : choices) script.push_back(Delivery(n % 4));
    platform.SetScript(script);
    const PlatformReply a = CallForReply(client, Claims(3, "a"));
    const PlatformReply b = CallForReply(client, Claims(4, "b"));
    platform.SetScript({});
    CallForReply(client, TableReadHead{});  // a delayed write takes effect
    const PlatformReply actual = CallForReply(client, Claims(4, "truth"));
    RC_ASSERT(actual.status == PlatformStatus::kOk);
    for (size_t i = 0; i < actual.holders.size(); ++i) {
      const std::string& holder = actual.holders[i];
      for (const PlatformReply& reply : {a, b}) {
        if (i >= reply.holders.size() || reply.holders[i].empty()) continue;
        RC_ASSERT(reply.holders[i] == holder);
      }
      if (a.status == PlatformStatus::kUnreachable) RC_ASSERT(holder != "a");
      if (b.status == PlatformStatus::kUnreachable) RC_ASSERT(holder != "b");
      RC_ASSERT(a.status != PlatformStatus::kOk || i >= 3 ||
                !a.holders[i].empty());
    }
  });
  CHECK(ok);
}

// Two operators move the head from the same version. One move succeeds, the
// other fails at once with kConditionFailed.
TEST(PlatformClient, OneOfTwoConcurrentMovesSucceeds) {
  CHECK(CallPlatform(TableReadHead{}).status == PlatformStatus::kNotFound);
  CHECK(CallPlatform(TableMoveHead{0, 1, "one", "c1"}).status ==
        PlatformStatus::kOk);
  const PlatformReply second = CallPlatform(TableMoveHead{0, 1, "other", "c2"});
  CHECK(second.status == PlatformStatus::kConditionFailed);
  CHECK(CallPlatform(TableMoveHead{1, 2, "two", "c3"}).status ==
        PlatformStatus::kOk);
  const PlatformReply head = CallPlatform(TableReadHead{});
  CHECK_EQUAL(2u, head.version);
  CHECK("two" == head.bytes);
  CHECK(CallPlatform(TableReadChange{"c2"}).status ==
        PlatformStatus::kNotFound);
}

// The move takes effect and its answer is lost, so its outcome is unknown.
// Reading the change id shows that it took effect, and a repeated move is
// reported as done.
TEST(PlatformClient, MoveWithLostAnswerIsResolvedByItsChangeId) {
  platform_.SetScript({Delivery::kAnswerLost});
  const TableMoveHead move{0, 1, "one", "c1"};
  CHECK(CallPlatform(move).status == PlatformStatus::kUnknown);
  const PlatformReply change = CallPlatform(TableReadChange{"c1"});
  CHECK(change.status == PlatformStatus::kOk);
  CHECK_EQUAL(1u, change.version);
  CHECK(CallPlatform(move).status == PlatformStatus::kOk);
}

TEST(PlatformClient, ListsPeersAcrossSeveralPages) {
  std::vector<std::string> expected;
  for (int i = 100; i < 350; ++i) {
    const std::string name = "node" + std::to_string(i);
    CallPlatform(TableWritePeer{name, "127.0.0.1:1"});
    expected.push_back(name + "=127.0.0.1:1");
  }
  const PlatformReply reply = CallPlatform(TableReadPeers{});
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(expected == reply.peers);
}

TEST(PlatformClient, RetainedStateStandsBesideThePeers) {
  CHECK(CallPlatform(TableReadRetained{"n1"}).retained.empty());
  CallPlatform(TableWritePeer{"n1", "127.0.0.1:1"});
  CallPlatform(TableWriteRetained{"n1", "state"});
  const std::vector<std::string> expected = {"n1=state"};
  const PlatformReply own = CallPlatform(TableReadRetained{"n1"});
  CHECK(own.status == PlatformStatus::kOk);
  CHECK(expected == own.retained);
  const PlatformReply all = CallPlatform(TableReadPeers{"n1"});
  CHECK(expected == all.retained);
  CHECK_EQUAL(1u, all.peers.size());
}

TEST(PlatformClient, ObjectIsWrittenOnceAndReadInFull) {
  const std::string bytes("a\0b\xff", 4);
  CHECK(CallPlatform(ObjectGet{"s/1 é"}).status == PlatformStatus::kNotFound);
  CHECK(CallPlatform(ObjectPut{"s/1 é", bytes}).status == PlatformStatus::kOk);
  CHECK(CallPlatform(ObjectPut{"s/1 é", "x"}).status ==
        PlatformStatus::kConditionFailed);
  const PlatformReply reply = CallPlatform(ObjectGet{"s/1 é"});
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(bytes == reply.bytes);
}

// Claims of many keys use up this node's share of the rate. Further writes must
// fail at once as not done, and nothing is sent that the platform would
// throttle.
TEST(PlatformClient, NothingIsSentOverTheNodesShare) {
  PlatformOptions options = TestOptions();
  options.writes_per_second = 10;
  FakePlatform platform;
  PlatformClient client(options, platform.MakeHttpCall(), platform.MakeClock());
  CHECK(CallForReply(client, Claims(20, "a")).status == PlatformStatus::kOk);
  const int calls = platform.calls();
  CHECK(CallForReply(client, ObjectPut{"n", "x"}).status ==
        PlatformStatus::kUnreachable);
  CHECK_EQUAL(calls, platform.calls());
}

// The owner is destroyed while a call is in flight. The late answer must not
// reach a callback that uses the owner.
TEST(PlatformClient, NoReplyAfterTheClientIsDestroyed) {
  HttpClientCallback pending;
  bool replied = false;
  {
    PlatformClient client(
        TestOptions(),
        [&](const Endpoint&, const HttpRequest&, Duration,
            const PlatformCredentials*,
            HttpClientCallback done) { pending = std::move(done); });
    client.Call(TableReadHead{}, [&](const PlatformReply&) { replied = true; });
  }
  pending(HttpClientResult());
  CHECK_FALSE(replied);
}

}  // namespace amaranth
