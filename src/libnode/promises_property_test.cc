// Property test of the guarantees to callers over random event sequences:
// several reducers connected by the fake fleet, with network partitions,
// paused, killed and restarted nodes, lost platform answers and resends. The
// environment variable AMARANTH_PROPERTY_SEEDS gives the number of seeds;
// without it kSeedsInCi seeds run.

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <iterator>
#include <map>
#include <set>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {
namespace {

constexpr int kSeedsInCi = 40;
// Seeds that have shown a fault; always run.
constexpr uint64_t kFaultSeeds[] = {899};
constexpr int kSteps = 150;
const std::vector<std::string> kNodes = {"a1", "a2", "d1", "d2"};

// A request that a caller sent; one for each call.
struct SentRequest {
  std::string request_id;
  std::string token;
  bool idempotent = false;
  bool keyed = false;
};

class Scenario {
 public:
  explicit Scenario(uint64_t seed) : fleet_(seed), random_(seed * 77 + 1) {
    for (const std::string& node : kNodes) {
      fleet_.AddNode(node, node.substr(0, 1), true);
    }
    AddServer("a1", "front-a1", "front", {"POST deep", "GET side"});
    AddServer("d1", "front-d1", "front", {"POST deep", "GET side"});
    AddServer("a2", "deep-a2", "deep", {});
    AddServer("d2", "deep-d2", "deep", {});
    AddServer("d1", "side-d1", "side", {});
    AddServer("a2", "side-a2", "side", {});
    fleet_.SetDatagramLoss(0.05);
    fleet_.SetDatagramDuplicates(0.05);
    fleet_.RunFor(std::chrono::seconds(4));
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      Step();
      fleet_.RunFor(std::chrono::milliseconds(RandomBelow(120)));
    }
    EndFaults();
    fleet_.RunFor(std::chrono::seconds(20));
  }

  // Returns a description of the first violated guarantee; empty if none is.
  std::string FindViolation() const {
    const std::string runs = FindViolationInRuns();
    if (!runs.empty()) return runs;
    for (const auto& [call, sent] : sent_) {
      const FakeAnswer* answer = fleet_.AnswerOf(call);
      if (answer == nullptr) continue;  // its node was killed
      const std::string found = FindViolationInAnswer(sent, *answer);
      if (!found.empty()) return "request " + sent.request_id + ": " + found;
    }
    return "";
  }

  size_t answered_ok() const {
    size_t count = 0;
    for (const auto& [call, sent] : sent_) {
      const FakeAnswer* answer = fleet_.AnswerOf(call);
      if (answer != nullptr && answer->response.status == 200) ++count;
    }
    return count;
  }

 private:
  uint64_t RandomBelow(uint64_t limit) { return random_() % limit; }
  const std::string& RandomNode() { return kNodes[RandomBelow(kNodes.size())]; }

  void AddServer(const std::string& node, const std::string& name,
                 const std::string& service, std::vector<std::string> nested) {
    FakeServerOptions options;
    options.name = name;
    options.service = service;
    options.nested = std::move(nested);
    options.slots = 4;
    fleet_.AddServer(node, options);
  }

  void Step() {
    const uint64_t roll = RandomBelow(100);
    if (roll < 45) return Send(NewRequest());
    if (roll < 65 && !history_.empty()) {
      return Send(history_[RandomBelow(history_.size())]);  // a resend
    }
    if (roll < 70) return fleet_.Cut(RandomNode(), RandomNode());
    if (roll < 76) return fleet_.Heal();
    if (roll < 80) return Pause();
    if (roll < 85) return ResumeAll();
    if (roll < 87) return KillAndRestart();
    if (roll < 93) {
      const PlatformMode modes[] = {PlatformMode::kUp, PlatformMode::kDown,
                                    PlatformMode::kLoseAnswers};
      return fleet_.SetPlatform(modes[RandomBelow(3)]);
    }
    if (roll < 97 && !sent_.empty()) return HangUpLastCall();
    fleet_.SetServiceTime("deep-a2",
                          std::chrono::milliseconds(1 + RandomBelow(800)));
  }

  HttpRequest NewRequest() {
    const std::string id = "r" + std::to_string(history_.size());
    const bool post = RandomBelow(2) == 0;
    const char* services[] = {"front", "deep", "side"};
    HttpRequest request =
        MakeRequest(post ? "POST" : "GET", services[RandomBelow(3)], "c", id,
                    post && RandomBelow(2) == 0 ? "key-" + id : "");
    request.headers.push_back({"X-Token", "token-" + id});
    history_.push_back(request);
    return request;
  }

  void Send(const HttpRequest& request) {
    SentRequest sent;
    sent.request_id =
        std::string(FindHeader(request.headers, "X-Amaranth-Request-Id"));
    sent.token = std::string(FindHeader(request.headers, "X-Token"));
    sent.idempotent = request.method == "GET";
    const uint64_t call = fleet_.Call(RandomNode(), request);
    sent_[call] = sent;
    last_call_ = call;
  }

  void Pause() {
    const std::string& node = RandomNode();
    if (paused_.insert(node).second) fleet_.Pause(node);
  }

  void ResumeAll() {
    for (const std::string& node : paused_) fleet_.Resume(node);
    paused_.clear();
  }

  void KillAndRestart() {
    const std::string& node = RandomNode();
    if (paused_.count(node) > 0) return;
    fleet_.Kill(node);
    fleet_.At(std::chrono::milliseconds(RandomBelow(3000)),
              [this, node] { fleet_.Restart(node); });
    fleet_.RunFor(std::chrono::seconds(3));
  }

  void HangUpLastCall() { fleet_.HangUp(RandomNode(), last_call_); }

  void EndFaults() {
    ResumeAll();
    fleet_.Heal();
    fleet_.SetPlatform(PlatformMode::kUp);
  }

  // Checks that a non-idempotent request runs at most once at each service, and
  // that each sending of a request runs at most as often as its retry credits
  // (3) plus the first attempt allow.
  std::string FindViolationInRuns() const {
    std::map<std::pair<std::string, std::string>, size_t> runs;
    for (const FakeServerRun& effect : fleet_.runs()) {
      ++runs[{effect.request_id, effect.service}];
    }
    std::map<std::string, size_t> sendings_by_id;
    std::map<std::string, bool> idempotent;
    for (const auto& [call, sent] : sent_) {
      ++sendings_by_id[sent.request_id];
      idempotent[sent.request_id] = sent.idempotent;
    }
    constexpr size_t kMaxRunsPerSending = 4;
    for (const auto& [key, count] : runs) {
      const auto& [id, service] = key;
      if (!idempotent[id] && service != "side" && count > 1) {
        return id + " ran " + std::to_string(count) + " times at " + service;
      }
      if (count > kMaxRunsPerSending * sendings_by_id[id]) {
        return id + " exceeded the retry bound at " + service;
      }
    }
    return "";
  }

  std::string FindViolationInAnswer(const SentRequest& sent,
                                    const FakeAnswer& answer) const {
    if (answer.response.status == 200) {
      const std::string expected = sent.request_id + "|" + sent.token;
      return answer.response.body.view() == expected
                 ? ""
                 : "got the answer to another request";
    }
    if (answer.Verdict() != "not-run") return "";
    // A non-idempotent request with the verdict "not run" must not have run by
    // then for any of its sendings. An idempotent one may run for one sending
    // and be refused for another.
    if (!sent.idempotent) {
      for (const FakeServerRun& effect : fleet_.runs()) {
        if (effect.request_id == sent.request_id && effect.at <= answer.at) {
          return "has the verdict not run, but had run at " + effect.server;
        }
      }
    }
    size_t sendings = 0;
    for (const auto& [call, other] : sent_) {
      if (other.request_id == sent.request_id) ++sendings;
    }
    if (sendings > 1) return "";
    for (const FakeServerRun& effect : fleet_.runs()) {
      if (effect.request_id == sent.request_id) {
        return "has the verdict not run, but ran at " + effect.server;
      }
    }
    return "";
  }

  FakeFleet fleet_;
  std::mt19937_64 random_;
  std::vector<HttpRequest> history_;
  std::map<uint64_t, SentRequest> sent_;
  uint64_t last_call_ = 0;
  std::set<std::string> paused_;
};

int SeedsToRun() {
  const char* value = std::getenv("AMARANTH_PROPERTY_SEEDS");
  return value == nullptr ? kSeedsInCi : std::atoi(value);
}

}  // namespace

TEST_GROUP(Promises){};

TEST(Promises, HoldOverRandomFaults) {
  size_t answered = 0;
  std::vector<uint64_t> seeds(std::begin(kFaultSeeds), std::end(kFaultSeeds));
  for (int seed = 1; seed <= SeedsToRun(); ++seed) {
    seeds.push_back(static_cast<uint64_t>(seed));
  }
  for (const uint64_t seed : seeds) {
    Scenario scenario(seed);
    scenario.Run();
    answered += scenario.answered_ok();
    const std::string violation = scenario.FindViolation();
    if (!violation.empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
    }
  }
  // Enough requests must succeed: if faults stopped all of them, the checks
  // above would hold trivially.
  CHECK(answered > static_cast<size_t>(SeedsToRun()) * 10);
}

}  // namespace amaranth::pvt
