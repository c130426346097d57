// A request that crashes its servers beside callers who ask for the same pages
// again and again, in virtual time.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "libnode/fakes/fake_fleet.h"

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kService[] = "catalogue";
constexpr char kCrashBody[] = "boom";
constexpr Duration kWarmUp = seconds(4);
constexpr Duration kAttackLength = seconds(9);
constexpr Duration kRunLength = seconds(20);
// The last part of a run, in which all servers are back.
constexpr Duration kAfterwards = seconds(8);
constexpr Duration kServiceTime = milliseconds(300);
constexpr Duration kPoisonPeriod = milliseconds(250);
constexpr Duration kRefusedPause = milliseconds(50);
// The users' rule: at most this many runs that begin later than this after the
// third crash.
constexpr size_t kCrashesToRecognise = 3;
constexpr Duration kRecognitionTime = seconds(3);
constexpr size_t kMaxLateRuns = 3;

// Share of the full rate at which a service counts as recovered.
constexpr double kRecoveredShare = 0.9;

struct Load {
  int hosts = 4;
  int callers = 50;  // closed loop, beside those of the poison request
  int pages = 120;   // 0: each request has a target of its own
  int poison_callers = 24;
  Duration restart_after = milliseconds(1200);
};

}  // namespace

TEST_GROUP(RepeatedPages) {
  FakeFleet fleet{11};
  Load load;
  std::map<uint64_t, int> caller_of;  // by call; without the poison requests
  std::vector<TimePoint> poison_runs;
  size_t quarantined_pages = 0;
  size_t shed_at_entry = 0;
  size_t crash_lines = 0;
  size_t next_target = 0;
  size_t served_afterwards = 0;
  TimePoint end{};

  static std::string Host(int number) { return "n" + std::to_string(number); }

  void Start() {
    fleet.rules.admit_at_edge = true;
    fleet.rules.request_id_per_send = true;
    fleet.rules.callers_resend = true;
    for (int i = 0; i < load.hosts; ++i) fleet.AddNode(Host(i), "a", true);
    fleet.RunFor(seconds(3));
    HttpRequest settings;
    settings.method = "POST";
    settings.target = "/settings";
    settings.body = Body(R"({"changes":[
      {"path":"","name":"concurrency","value":"throughput"},
      {"path":"","name":"deadline_ms","value":"5000"},
      {"path":"","name":"target_p99_ms","value":"1200"}]})");
    CHECK_EQUAL(200, fleet.CallOperatorApi(Host(0), settings).status);
    fleet.RunFor(seconds(5));
    for (int i = 0; i < load.hosts; ++i) {
      FakeServerOptions server;
      server.name = "s" + std::to_string(i);
      server.service = kService;
      server.slots = 50;
      server.service_time = kServiceTime;
      server.crash_body = kCrashBody;
      server.restart_after = load.restart_after;
      server.refuses_after_restart = milliseconds(800);
      server.reset_spread = milliseconds(15);
      server.answer_delay = milliseconds(3);
      fleet.AddServer(Host(i), server);
    }
    fleet.on_run = [this](const FakeServerRun& run) {
      if (run.request_id.rfind("poison", 0) == 0) poison_runs.push_back(run.at);
    };
    fleet.on_log = [this](const std::string&, const WriteLog& line) {
      if (line.text.find(" crashed. ") != std::string::npos) ++crash_lines;
    };
    fleet.on_answer = [this](uint64_t call, const FakeAnswer& answer) {
      OnAnswer(call, answer);
    };
    fleet.DiscardHistory();
    fleet.RunFor(seconds(3));
  }

  std::string RandomHost() {
    return Host(static_cast<int>(fleet.random()() % load.hosts));
  }

  void SendPage(int caller) {
    if (fleet.now() >= end) return;
    const size_t number =
        load.pages == 0 ? next_target++ : fleet.random()() % load.pages;
    HttpRequest request = MakeRequest("GET", kService);
    request.target = "/page/" + std::to_string(number);
    caller_of[fleet.Call(RandomHost(), std::move(request))] = caller;
  }

  void OnAnswer(uint64_t call, const FakeAnswer& answer) {
    const auto found = caller_of.find(call);
    if (found == caller_of.end()) return;
    const int caller = found->second;
    caller_of.erase(found);
    if (answer.response.status == 200) {
      if (fleet.now() >= end - kAfterwards) ++served_afterwards;
      return SendPage(caller);
    }
    if (answer.Reason() == "quarantined") ++quarantined_pages;
    if (answer.Reason() == "shed-at-entry") ++shed_at_entry;
    fleet.At(kRefusedPause, [this, caller] { SendPage(caller); });
  }

  void SendPoison() {
    HttpRequest request =
        MakeRequest("GET", kService, "default",
                    "poison-" + std::to_string(fleet.random()()));
    request.target = "/poison";
    request.body = Body(kCrashBody);
    fleet.Call(RandomHost(), std::move(request));
  }

  void Play() {
    Start();
    end = fleet.now() + kRunLength;
    for (int caller = 0; caller < load.callers; ++caller) {
      fleet.At(milliseconds(6) * caller % kWarmUp,
               [this, caller] { SendPage(caller); });
    }
    for (int caller = 0; caller < load.poison_callers; ++caller) {
      for (Duration at = kWarmUp; at < kWarmUp + kAttackLength;
           at += kPoisonPeriod) {
        fleet.At(at + milliseconds(10) * caller, [this] { SendPoison(); });
      }
    }
    fleet.RunFor(kRunLength);
  }

  size_t LateRuns() const {
    if (poison_runs.size() < kCrashesToRecognise) return 0;
    const TimePoint limit =
        poison_runs[kCrashesToRecognise - 1] + kRecognitionTime;
    return static_cast<size_t>(
        std::count_if(poison_runs.begin(), poison_runs.end(),
                      [&](TimePoint at) { return at > limit; }));
  }

  // Returns the share of the callers' full rate that was served afterwards.
  double RateAfterwards() const {
    const double seconds_served =
        std::chrono::duration<double>(kAfterwards).count();
    return static_cast<double>(served_afterwards) *
           std::chrono::duration<double>(kServiceTime).count() /
           (load.callers * seconds_served);
  }
};

// Guards against one crash that is counted as several, because its resets reach
// the node one by one, beside refused connections of later calls: innocent
// requests then seem to be in flight at many crashes.
TEST(RepeatedPages, ACrashIsCountedOnce) {
  load.callers = 150;
  Play();
  CHECK(poison_runs.size() >= 1);
  CHECK_EQUAL(poison_runs.size(), crash_lines);
  CHECK_EQUAL(0u, quarantined_pages);
}

// Guards against a busy service that serves one request at a time after a crash
// with many pages in flight, because all of them are suspected and run alone.
TEST(RepeatedPages, ABusyServiceRecoversOnceItsServersAreBack) {
  load.callers = 150;
  Play();
  CHECK(RateAfterwards() > kRecoveredShare);
  CHECK_EQUAL(0u, quarantined_pages);
  CHECK(LateRuns() <= kMaxLateRuns);
}

// Guards against entry nodes that refuse requests although servers are idle,
// because the time for which suspects wait to run alone is taken for overload.
TEST(RepeatedPages, WaitsOfSuspectsAreNoOverload) {
  Play();
  CHECK_EQUAL(0u, shed_at_entry);
}

// Guards against a service of many servers that stays slow because each node
// runs each suspect alone for itself.
TEST(RepeatedPages, AnAnswerClearsASuspectAtAllNodes) {
  load.hosts = 40;
  load.callers = 500;
  Play();
  CHECK(RateAfterwards() > kRecoveredShare);
  CHECK(poison_runs.size() <= kCrashesToRecognise + 1);
}

// Guards against a suspect that waits for seconds, and halves the throughput of
// every server meanwhile, because no server ends its calls in flight within a
// pause.
TEST(RepeatedPages, ASuspectRunsSoonBesideLongCalls) {
  load.hosts = 8;
  load.callers = 400;
  load.pages = 0;
  load.restart_after = seconds(10);
  Play();
  CHECK(poison_runs.size() <= kCrashesToRecognise);
  CHECK(poison_runs.back() - poison_runs.front() <= 2 * kServiceTime);
}

}  // namespace amaranth::pvt
