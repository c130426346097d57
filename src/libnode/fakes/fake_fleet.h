#ifndef AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_H_
#define AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_H_

// Several reducers joined by a tiny scheduler in virtual time, with fake
// backend servers and a fake platform: for tests and the policy bench. It
// delays, cuts, pauses, kills, restarts, drops and duplicates; it knows nothing
// of how the reducers decide.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "amaranthroute/reducer.h"

namespace amaranth::pvt {

struct FakeServerOptions {
  std::string name;
  std::string service;
  uint32_t slots = 10;
  Duration service_time = std::chrono::milliseconds(10);
  // Exponential around service_time, instead of the same each time.
  bool random_service_time = false;
  // Requests with this body take slow_factor as long.
  std::string slow_body;
  double slow_factor = 1;
  // Calls that begin while more than this share of the slots is taken, their
  // own included, take crowded_factor as long.
  double crowded_share = 1;
  double crowded_factor = 1;
  // Cold start: the first call takes this many service times, falling to one
  // over the warm-up.
  double cold_factor = 1;
  Duration warm_up{0};
  // False: works on for callers that have gone away.
  bool cancellable = true;
  // False: nested calls do not say whose they are, so each has its own
  // deadline and retries.
  bool passes_context = true;
  // Services called one after the other through the server's own node, as
  // "service" or "METHOD service".
  std::vector<std::string> nested;
  // Requests with this body abort the process, which restarts later.
  std::string crash_body;
  Duration restart_after = std::chrono::seconds(1);
  bool failing = false;      // answers 500
  double failing_share = 0;  // of its calls, answered 500 as well
  // Times that a failed nested call is sent again by the server itself.
  int own_retries = 0;
  size_t backlog = 1000;
};

// One run of a request at a fake server: the counted effect.
struct Effected {
  TimePoint at{};
  std::string server;
  std::string service;
  std::string request_id;
  std::string key;  // Idempotency-Key header
  bool finished = false;
};

struct FakeAnswer {
  TimePoint asked{};
  TimePoint at{};
  HttpResponse response;
  std::string Verdict() const;
  std::string Reason() const;
};

enum class PlatformMode { kUp, kDown, kLoseAnswers };

class FakeFleet {
 public:
  explicit FakeFleet(uint64_t seed);
  ~FakeFleet();
  FakeFleet(const FakeFleet&) = delete;
  FakeFleet& operator=(const FakeFleet&) = delete;

  // Nodes and servers are named; servers live on their node's host.
  void AddNode(const std::string& name, const std::string& data_centre,
               bool use_platform = false);
  void AddServer(const std::string& node, FakeServerOptions options);

  // A caller's request; the answer is found under the returned id.
  uint64_t Call(const std::string& node, HttpRequest request);
  void Hangup(const std::string& node, uint64_t call);
  const FakeAnswer* AnswerOf(uint64_t call) const;
  std::function<void(uint64_t call, const FakeAnswer&)> on_answer;
  // A server began to run a request.
  std::function<void(const Effected&)> on_run;
  // Long runs leave the hooks to tell of answers and runs, and keep neither.
  void ForgetHistory() { keeps_history_ = false; }

  void RunFor(Duration length);
  // Runs until `done` or the limit; true if done.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  void At(Duration from_now, std::function<void()> action);

  // Faults.
  void Kill(const std::string& node);     // with its state; links break
  void Restart(const std::string& node);  // new incarnation
  void Pause(const std::string& node);
  void Resume(const std::string& node);
  void Cut(const std::string& a, const std::string& b);  // silent
  void Heal();
  void Stop(const std::string& node);  // planned
  void SetPlatform(PlatformMode mode) { platform_mode_ = mode; }
  void SetDatagramLoss(double share) { datagram_loss_ = share; }
  void SetDatagramDuplicates(double share) { datagram_duplicates_ = share; }
  void SetServiceTime(const std::string& server, Duration service_time);
  void SetFailingShare(const std::string& server, double share);

  TimePoint now() const { return now_; }
  Node& node(const std::string& name) { return *hosts_.at(name).node; }
  bool Exited(const std::string& name) const { return hosts_.at(name).exited; }
  const std::vector<Effected>& effects() const { return effected_; }
  std::mt19937_64& random() { return random_; }
  // Platform writes and reads so far.
  uint64_t platform_operations() const { return platform_operations_; }
  HttpResponse Operator(const std::string& node, HttpRequest request);

 private:
  struct Running;
  struct Server;
  struct Host {
    std::string name;
    std::string data_centre;
    bool use_platform = false;
    uint64_t incarnation = 0;
    std::unique_ptr<Node> node;
    bool up = false;
    bool paused = false;
    bool exited = false;
    std::vector<EventBody> held;  // while paused
    std::map<uint64_t, std::shared_ptr<Running>> dispatches;
    std::vector<std::shared_ptr<Server>> servers;
    uint64_t wake = 0;
  };
  struct Link {
    bool open = false;
    uint64_t incarnation_a = 0;
    uint64_t incarnation_b = 0;
    TimePoint last{};
  };
  struct Scheduled {
    TimePoint at{};
    uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Scheduled& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  using LinkKey = std::pair<std::string, std::string>;

  static LinkKey KeyOf(const std::string& a, const std::string& b);
  bool IsCut(const std::string& a, const std::string& b) const;
  void Schedule(TimePoint at, std::function<void()> action);
  Scheduled TakeNext();
  void StartNode(Host& host);
  void Feed(Host& host, EventBody body);
  void FeedLater(const std::string& host, Duration delay, EventBody body);
  void Apply(Host& host, const Effects& effects);
  void Do(Host& host, const AnswerCaller& effect);
  void Do(Host& host, const SendPeer& effect);
  void Do(Host& host, const ClosePeer& effect);
  void Do(Host& host, const SendGossip& effect);
  void Do(Host& host, const SendServer& effect);
  void Do(Host& host, const CancelServer& effect);
  void Do(Host& host, const DropIdleConnections& effect);
  void Do(Host& host, const SendPlatform& effect);
  void Do(Host& host, const WakeAt& effect);
  void Do(Host& host, const WriteLog& effect);
  void Do(Host& host, const ExitProcess& effect);
  PlatformReply RunPlatform(const PlatformRequest& request);
  void BreakLinks(const std::string& node);
  Duration Latency(const std::string& a, const std::string& b);

  Server* FindServer(const std::string& name);
  void Announce(const std::shared_ptr<Server>& server);
  void StartWaiting(const std::shared_ptr<Server>& server);
  Duration ServiceTimeOf(const Server& server, const HttpRequest& request);
  void RunNested(const std::shared_ptr<Running>& running, size_t next);
  void FinishRun(const std::shared_ptr<Running>& running, int status);
  void Abandon(const std::shared_ptr<Running>& running);
  void CrashServer(const std::shared_ptr<Server>& server);

  TimePoint now_ = FromMicros(1'000'000);
  bool keeps_history_ = true;
  uint64_t order_ = 0;
  uint64_t next_call_ = 1;
  uint64_t next_incarnation_ = 1000;
  std::mt19937_64 random_;
  std::vector<Scheduled> schedule_;  // a heap, the next one at the front
  std::map<std::string, Host> hosts_;
  std::map<LinkKey, Link> links_;
  std::set<LinkKey> cuts_;
  std::vector<std::function<void()>> held_by_cuts_;
  std::map<uint64_t, FakeAnswer> answers_;
  std::map<uint64_t, std::function<void(const HttpResponse&)>> nested_;
  std::vector<Effected> effected_;
  PlatformMode platform_mode_ = PlatformMode::kUp;
  std::map<std::string, std::string> rows_;
  std::map<std::string, std::string> objects_;
  uint64_t head_version_ = 0;
  std::string head_object_;
  std::map<std::string, uint64_t> changes_;
  uint64_t platform_operations_ = 0;
  double datagram_loss_ = 0;
  double datagram_duplicates_ = 0;
};

// Sets the headers of a caller's request.
HttpRequest MakeRequest(const std::string& method, const std::string& service,
                        const std::string& request_class = "default",
                        const std::string& request_id = "",
                        const std::string& key = "");

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_H_
