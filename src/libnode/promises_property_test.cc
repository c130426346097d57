// What must always hold, over random event sequences: several reducers joined
// by the fake fleet, with cuts, pauses, kills, restarts, lost platform answers
// and resends. AMARANTH_PROPERTY_SEEDS runs more seeds than CI's fixed few.

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <iterator>
#include <map>
#include <set>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {
namespace {

constexpr int kSeedsInCi = 40;
// Seeds that once showed a fault; run each time.
constexpr uint64_t kFaultSeeds[] = {899};
constexpr int kSteps = 150;
const std::vector<std::string> kNodes = {"a1", "a2", "d1", "d2"};

// What a caller asked and was told, by call.
struct Asked {
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
      fleet_.RunFor(std::chrono::milliseconds(Below(120)));
    }
    EndFaults();
    fleet_.RunFor(std::chrono::seconds(20));
  }

  // Empty if every promise held.
  std::string Broken() const {
    const std::string runs = BrokenByRuns();
    if (!runs.empty()) return runs;
    for (const auto& [call, asked] : asked_) {
      const FakeAnswer* answer = fleet_.AnswerOf(call);
      if (answer == nullptr) continue;  // its node was killed
      const std::string fault = BrokenBy(asked, *answer);
      if (!fault.empty()) return "request " + asked.request_id + ": " + fault;
    }
    return "";
  }

  size_t answered_ok() const {
    size_t count = 0;
    for (const auto& [call, asked] : asked_) {
      const FakeAnswer* answer = fleet_.AnswerOf(call);
      if (answer != nullptr && answer->response.status == 200) ++count;
    }
    return count;
  }

 private:
  uint64_t Below(uint64_t limit) { return random_() % limit; }
  const std::string& AnyNode() { return kNodes[Below(kNodes.size())]; }

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
    const uint64_t roll = Below(100);
    if (roll < 45) return Ask(NewRequest());
    if (roll < 65 && !history_.empty()) {
      return Ask(history_[Below(history_.size())]);  // a resend
    }
    if (roll < 70) return fleet_.Cut(AnyNode(), AnyNode());
    if (roll < 76) return fleet_.Heal();
    if (roll < 80) return Pause();
    if (roll < 85) return ResumeAll();
    if (roll < 87) return KillAndRestart();
    if (roll < 93) {
      const PlatformMode modes[] = {PlatformMode::kUp, PlatformMode::kDown,
                                    PlatformMode::kLoseAnswers};
      return fleet_.SetPlatform(modes[Below(3)]);
    }
    if (roll < 97 && !asked_.empty()) return HangupLast();
    fleet_.SetServiceTime("deep-a2", std::chrono::milliseconds(1 + Below(800)));
  }

  HttpRequest NewRequest() {
    const std::string id = "r" + std::to_string(history_.size());
    const bool post = Below(2) == 0;
    const char* services[] = {"front", "deep", "side"};
    HttpRequest request =
        MakeRequest(post ? "POST" : "GET", services[Below(3)], "c", id,
                    post && Below(2) == 0 ? "key-" + id : "");
    request.headers.push_back({"X-Token", "token-" + id});
    history_.push_back(request);
    return request;
  }

  void Ask(const HttpRequest& request) {
    Asked asked;
    asked.request_id =
        std::string(FindHeader(request.headers, "X-Amaranth-Request-Id"));
    asked.token = std::string(FindHeader(request.headers, "X-Token"));
    asked.idempotent = request.method == "GET";
    const uint64_t call = fleet_.Call(AnyNode(), request);
    asked_[call] = asked;
    last_call_ = call;
  }

  void Pause() {
    const std::string& node = AnyNode();
    if (paused_.insert(node).second) fleet_.Pause(node);
  }

  void ResumeAll() {
    for (const std::string& node : paused_) fleet_.Resume(node);
    paused_.clear();
  }

  void KillAndRestart() {
    const std::string& node = AnyNode();
    if (paused_.count(node) > 0) return;
    fleet_.Kill(node);
    fleet_.At(std::chrono::milliseconds(Below(3000)),
              [this, node] { fleet_.Restart(node); });
    fleet_.RunFor(std::chrono::seconds(3));
  }

  void HangupLast() { fleet_.Hangup(AnyNode(), last_call_); }

  void EndFaults() {
    ResumeAll();
    fleet_.Heal();
    fleet_.SetPlatform(PlatformMode::kUp);
  }

  // A request that is not idempotent runs at most once at each service; the
  // retry bound is the credits (3) plus the first run, for each time that the
  // caller asked.
  std::string BrokenByRuns() const {
    std::map<std::pair<std::string, std::string>, size_t> runs;
    for (const Effected& effect : fleet_.effects()) {
      ++runs[{effect.request_id, effect.service}];
    }
    std::map<std::string, size_t> times_asked;
    std::map<std::string, bool> idempotent;
    for (const auto& [call, asked] : asked_) {
      ++times_asked[asked.request_id];
      idempotent[asked.request_id] = asked.idempotent;
    }
    constexpr size_t kRunsPerAsking = 4;
    for (const auto& [key, count] : runs) {
      const auto& [id, service] = key;
      if (!idempotent[id] && service != "side" && count > 1) {
        return id + " ran " + std::to_string(count) + " times at " + service;
      }
      if (count > kRunsPerAsking * times_asked[id]) {
        return id + " broke the retry bound at " + service;
      }
    }
    return "";
  }

  std::string BrokenBy(const Asked& asked, const FakeAnswer& answer) const {
    if (answer.response.status == 200) {
      const std::string own = asked.request_id + "|" + asked.token;
      return answer.response.body.view() == own ? "" : "got a crossed answer";
    }
    if (answer.Verdict() != "not-run") return "";
    // Told "not run": it has not run by then, whoever else was asked. A read
    // may run for one asking and be refused for another.
    if (!asked.idempotent) {
      for (const Effected& effect : fleet_.effects()) {
        if (effect.request_id == asked.request_id && effect.at <= answer.at) {
          return "was told not run, had run at " + effect.server;
        }
      }
    }
    size_t asked_times = 0;
    for (const auto& [call, other] : asked_) {
      if (other.request_id == asked.request_id) ++asked_times;
    }
    if (asked_times > 1) return "";
    for (const Effected& effect : fleet_.effects()) {
      if (effect.request_id == asked.request_id) {
        return "was told not run, yet ran at " + effect.server;
      }
    }
    return "";
  }

  FakeFleet fleet_;
  std::mt19937_64 random_;
  std::vector<HttpRequest> history_;
  std::map<uint64_t, Asked> asked_;
  uint64_t last_call_ = 0;
  std::set<std::string> paused_;
};

int SeedsToRun() {
  const char* wanted = std::getenv("AMARANTH_PROPERTY_SEEDS");
  return wanted == nullptr ? kSeedsInCi : std::atoi(wanted);
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
    const std::string broken = scenario.Broken();
    if (!broken.empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + broken).c_str());
    }
  }
  // The faults must not have kept everything from running.
  CHECK(answered > static_cast<size_t>(SeedsToRun()) * 10);
}

}  // namespace amaranth::pvt
