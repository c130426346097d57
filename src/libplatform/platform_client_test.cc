#include "amaranthroute/platform_client.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <optional>

#include "testsuite/platform_model.h"

namespace amaranth {
namespace {

// What happens to one HTTP call on its way.
enum class Fate {
  kAnswered,
  kAnswerLost,  // takes effect, then no word
  kNeverSent,   // no connection
  kSentLater,   // times out, and reaches the platform after the next call
};

// The platform's model behind an HttpCall that follows a script of fates; once
// the script is used up, calls are answered. Time passes with each call.
class FakePlatform {
 public:
  HttpCall Way() {
    return [this](const Endpoint&, const HttpRequest& request, Duration timeout,
                  const PlatformCredentials*, const HttpClientCallback& done) {
      ++calls_;
      now_ += timeout / 4;
      done(Follow(NextFate(), request));
    };
  }

  NowFunction Clock() {
    return [this] { return now_; };
  }

  void Script(std::vector<Fate> fates) {
    fates_ = {fates.begin(), fates.end()};
  }
  // Every further call.
  void Always(Fate fate) { always_ = fate; }

  int calls() const { return calls_; }
  testsuite::PlatformModel& model() { return model_; }

 private:
  Fate NextFate() {
    if (fates_.empty()) return always_;
    const Fate fate = fates_.front();
    fates_.pop_front();
    return fate;
  }

  HttpClientResult Follow(Fate fate, const HttpRequest& request) {
    HttpClientResult result;
    result.reason = Reason::kConnectionLost;
    const std::optional<HttpRequest> late = std::move(late_);
    late_.reset();
    if (fate == Fate::kNeverSent) result.verdict = Verdict::kNotRun;
    if (fate == Fate::kSentLater) late_ = request;
    if (fate == Fate::kAnswered || fate == Fate::kAnswerLost) {
      const HttpResponse response = model_.Handle(request);
      if (fate == Fate::kAnswered) {
        result = {response, Verdict::kRan, Reason::kNone};
      }
    }
    if (late) model_.Handle(*late);
    return result;
  }

  testsuite::PlatformModel model_;
  std::deque<Fate> fates_;
  Fate always_ = Fate::kAnswered;
  std::optional<HttpRequest> late_;
  TimePoint now_ = FromMicros(0);
  int calls_ = 0;
};

PlatformOptions Options() {
  PlatformOptions options;
  options.writes_per_second = 1000;
  options.reads_per_second = 1000;
  return options;
}

PlatformReply CallAndWait(PlatformClient& client,
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
  PlatformClient client_{Options(), platform_.Way(), platform_.Clock()};

  PlatformReply Ask(const PlatformRequest& request) {
    return CallAndWait(client_, request);
  }
};

TEST(PlatformClient, ClaimsMoreRowsThanOneTransactionTakes) {
  const PlatformReply reply = Ask(Claims(250, "a"));
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(reply.holders == std::vector<std::string>(250, "a"));
  CHECK_EQUAL(3u, platform_.model().counts().transactions);
}

// Another node holds one key of a batch, which cancels the transaction of all.
// The others' callers must not pay for it: their rows are inserted by a second
// transaction and only the taken key names the other holder.
TEST(PlatformClient, TakenRowDoesNotKeepTheOthersOfItsBatch) {
  Ask(TableClaimRows{{{"key1", "b"}}});
  const PlatformReply reply = Ask(Claims(3, "a"));
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK((std::vector<std::string>{"a", "b", "a"}) == reply.holders);
}

TEST(PlatformClient, TwoClaimsOfOneKeyInABatchHaveOneHolder) {
  const PlatformReply reply =
      Ask(TableClaimRows{{{"key", "a"}, {"key", "b"}, {"other", "c"}}});
  CHECK((std::vector<std::string>{"a", "a", "c"}) == reply.holders);
}

// The insert takes effect and its answer is lost. The caller sees a normal
// answer: the rows are read back, the holder is ourselves.
TEST(PlatformClient, LostAnswerOfAClaimIsSettledByReadingBack) {
  platform_.Script({Fate::kAnswerLost});
  const PlatformReply reply = Ask(Claims(2, "a"));
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK((std::vector<std::string>{"a", "a"}) == reply.holders);
  CHECK_EQUAL(2, platform_.calls());
}

// The insert times out, the read-back finds nothing, then the insert lands
// after all. The second insert finds the row, and the holder it reports is the
// same claim: not "absent", which would be told to the caller as not run.
TEST(PlatformClient, InsertThatLandsAfterTheReadBackIsStillOurs) {
  platform_.Script({Fate::kSentLater, Fate::kAnswered});
  const PlatformReply reply = Ask(Claims(2, "a"));
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK((std::vector<std::string>{"a", "a"}) == reply.holders);
}

// The platform is away for good after an insert that may have landed: the
// claim ends within bounded calls, and never as proved not done.
TEST(PlatformClient, ClaimInAnOutageEndsInDoubtAfterBoundedCalls) {
  platform_.Always(Fate::kAnswerLost);
  CHECK(Ask(Claims(1, "a")).status == PlatformStatus::kUnknown);
  CHECK(platform_.calls() <= 4);
}

TEST(PlatformClient, NoConnectionAfterALostAnswerStaysInDoubt) {
  platform_.Script({Fate::kAnswerLost, Fate::kNeverSent, Fate::kNeverSent});
  CHECK(Ask(Claims(1, "a")).status == PlatformStatus::kUnknown);
}

TEST(PlatformClient, NoConnectionAtFirstIsProvedNotDone) {
  platform_.Always(Fate::kNeverSent);
  CHECK(Ask(Claims(1, "a")).status == PlatformStatus::kUnreachable);
  CHECK_EQUAL(1, platform_.calls());
}

// Two nodes claim overlapping keys through any mix of lost, late and unsent
// calls. Whatever each is told, no key may be told to both as theirs, what is
// told is what the table holds, and "unreachable" leaves no row behind.
TEST(PlatformClient, ClaimsAgreeWithTheTableWhateverIsLost) {
  const bool ok = rc::check([](const std::vector<uint8_t>& fates) {
    FakePlatform platform;
    PlatformClient client(Options(), platform.Way(), platform.Clock());
    std::vector<Fate> script;
    script.reserve(fates.size());
    for (const uint8_t fate : fates) script.push_back(Fate(fate % 4));
    platform.Script(script);
    const PlatformReply a = CallAndWait(client, Claims(3, "a"));
    const PlatformReply b = CallAndWait(client, Claims(4, "b"));
    platform.Script({});
    CallAndWait(client, TableReadHead{});  // lets a late write land
    const PlatformReply truth = CallAndWait(client, Claims(4, "truth"));
    RC_ASSERT(truth.status == PlatformStatus::kOk);
    for (size_t i = 0; i < truth.holders.size(); ++i) {
      const std::string& holder = truth.holders[i];
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

// Two operators move the head from the same version. One wins, the other is
// told at once that the condition failed.
TEST(PlatformClient, OneOfTwoRacingMovesWins) {
  CHECK(Ask(TableReadHead{}).status == PlatformStatus::kNotFound);
  CHECK(Ask(TableMoveHead{0, 1, "one", "c1"}).status == PlatformStatus::kOk);
  const PlatformReply late = Ask(TableMoveHead{0, 1, "other", "c2"});
  CHECK(late.status == PlatformStatus::kConditionFailed);
  CHECK(Ask(TableMoveHead{1, 2, "two", "c3"}).status == PlatformStatus::kOk);
  const PlatformReply head = Ask(TableReadHead{});
  CHECK_EQUAL(2u, head.version);
  CHECK("two" == head.bytes);
  CHECK(Ask(TableReadChange{"c2"}).status == PlatformStatus::kNotFound);
}

// The move takes effect and its answer is lost. The reply leaves the doubt;
// reading the change id settles it, and moving once more is told as done.
TEST(PlatformClient, LostAnswerOfAMoveIsSettledByItsChangeId) {
  platform_.Script({Fate::kAnswerLost});
  const TableMoveHead move{0, 1, "one", "c1"};
  CHECK(Ask(move).status == PlatformStatus::kUnknown);
  const PlatformReply change = Ask(TableReadChange{"c1"});
  CHECK(change.status == PlatformStatus::kOk);
  CHECK_EQUAL(1u, change.version);
  CHECK(Ask(move).status == PlatformStatus::kOk);
}

TEST(PlatformClient, ListsPeersOverSeveralPages) {
  std::vector<std::string> expected;
  for (int i = 100; i < 350; ++i) {
    const std::string name = "node" + std::to_string(i);
    Ask(TableWritePeer{name, "127.0.0.1:1"});
    expected.push_back(name + "=127.0.0.1:1");
  }
  const PlatformReply reply = Ask(TableReadPeers{});
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(expected == reply.peers);
}

TEST(PlatformClient, ObjectIsWrittenOnceAndReadWhole) {
  const std::string bytes("a\0b\xff", 4);
  CHECK(Ask(ObjectGet{"s/1 é"}).status == PlatformStatus::kNotFound);
  CHECK(Ask(ObjectPut{"s/1 é", bytes}).status == PlatformStatus::kOk);
  CHECK(Ask(ObjectPut{"s/1 é", "x"}).status ==
        PlatformStatus::kConditionFailed);
  const PlatformReply reply = Ask(ObjectGet{"s/1 é"});
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(bytes == reply.bytes);
}

// Keys surge past this node's share: further claims are told at once that
// they were not made, and nothing is sent that the platform would throttle.
TEST(PlatformClient, OverItsBudgetNothingIsSent) {
  PlatformOptions options = Options();
  options.writes_per_second = 10;
  FakePlatform platform;
  PlatformClient client(options, platform.Way(), platform.Clock());
  CHECK(CallAndWait(client, Claims(20, "a")).status == PlatformStatus::kOk);
  const int calls = platform.calls();
  CHECK(CallAndWait(client, ObjectPut{"n", "x"}).status ==
        PlatformStatus::kUnreachable);
  CHECK_EQUAL(calls, platform.calls());
}

// The owner is destroyed while a call is out; its late answer must not reach
// a callback that uses the owner.
TEST(PlatformClient, NoReplyAfterTheClientIsGone) {
  HttpClientCallback pending;
  bool replied = false;
  {
    PlatformClient client(
        Options(), [&](const Endpoint&, const HttpRequest&, Duration,
                       const PlatformCredentials*,
                       HttpClientCallback done) { pending = std::move(done); });
    client.Call(TableReadHead{}, [&](const PlatformReply&) { replied = true; });
  }
  pending(HttpClientResult());
  CHECK_FALSE(replied);
}

}  // namespace amaranth
