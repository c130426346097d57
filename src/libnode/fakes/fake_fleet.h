#ifndef AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_H_
#define AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_H_

// Fake fleet for tests and the policy bench: several reducers connected by a
// scheduler in virtual time, with fake backend servers and a fake platform. It
// delays, drops and duplicates messages, cuts links, and pauses, kills and
// restarts nodes. It doesn't depend on how the reducers decide.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  // Service times are exponentially distributed with mean service_time, instead
  // of constant.
  bool random_service_time = false;
  // Requests with this body take slow_factor times as long.
  std::string slow_body;
  double slow_factor = 1;
  // Runs that start while more than this share of the slots is taken, their own
  // included, take busy_factor times as long.
  double busy_share = 1;
  double busy_factor = 1;
  // Cold start: a run takes cold_factor times as long at the server's start,
  // decreasing linearly to one over warm_up.
  double cold_factor = 1;
  Duration warm_up{0};
  // If false, runs go on after their cancellation or timeout.
  bool cancellable = true;
  // If false, nested calls don't carry the request's context, so each has its
  // own deadline and retries.
  bool passes_context = true;
  // Nested calls made one after another through the server's own node, given as
  // "service" or "METHOD service".
  std::vector<std::string> nested;
  // Requests with this body abort the process, which restarts later.
  std::string crash_body;
  // Before this time they are answered like all others.
  TimePoint crashes_from{};
  Duration restart_after = std::chrono::seconds(1);
  // How long after a crash and restart it refuses all requests as not run.
  Duration refuses_after_restart{0};
  // The resets of a crash reach the node one by one within this time.
  Duration reset_spread{0};
  // Time from the end of a run until its answer reaches the node.
  Duration answer_delay = std::chrono::microseconds(50);
  bool failing = false;      // answers 500
  double failing_share = 0;  // share of runs that are answered 500
  // Share of the requests that it refuses as not run, whatever its load is.
  double refusing_share = 0;
  // Failed nested calls that the server sends again itself, in total per run.
  int server_retries = 0;
  size_t backlog = 1000;
  // Requests per second that its answers name as its limit, without enforcing
  // it.
  std::optional<double> rate_limit;
  // Its answers say that it leaves, its announcements that it is ready.
  bool leaving = false;
  // Start time in its announcements, which are numbered if it is not 0.
  uint64_t started_ms = 0;
  // If false, it sends only announcements that are passed to Call().
  bool announces = true;
};

// One run of a request at a fake server.
struct FakeServerRun {
  TimePoint at{};
  std::string server;
  std::string service;
  std::string request_id;
  std::string key;  // Idempotency-Key header
  bool finished = false;
};

struct FakeAnswer {
  TimePoint sent_at{};
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

  // Applies to nodes that are added or restarted afterwards.
  DeploymentRules rules;
  // If false, nodes find each other by the rows of the platform only.
  bool lists_seeds = true;

  // Nodes and servers are named; servers run on their node's host.
  void AddNode(const std::string& name, const std::string& data_centre,
               bool use_platform = false);
  void AddServer(const std::string& node, FakeServerOptions options);

  // Sends a caller's request. AnswerOf() returns its answer for the returned
  // id.
  uint64_t Call(const std::string& node, HttpRequest request);
  void HangUp(const std::string& node, uint64_t call);
  const FakeAnswer* AnswerOf(uint64_t call) const;
  std::function<void(uint64_t call, const FakeAnswer&)> on_answer;
  // Called when a server starts to run a request.
  std::function<void(const FakeServerRun&)> on_run;
  // Saves memory in long tests: runs are reported through on_run only, and
  // answers are dropped once on_answer has been called.
  void DiscardHistory() { keeps_history_ = false; }

  void RunFor(Duration length);
  // Runs until `done` returns true or `limit` has passed; returns whether
  // `done` returned true.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  void At(Duration from_now, std::function<void()> action);

  // Faults.
  void Kill(const std::string& node);     // breaks its links
  void Restart(const std::string& node);  // new state and incarnation
  void Pause(const std::string& node);
  void Resume(const std::string& node);
  // Loses datagrams between the nodes, holds messages on open links until
  // Heal() and lets new connections time out. Neither node is notified.
  void Cut(const std::string& a, const std::string& b);
  void Heal();
  void Stop(const std::string& node);  // planned stop
  // Replaces the settings document that nodes with SettingsSource::kWatch
  // watch, which answers their open watches.
  void SetDocument(uint64_t version, std::string text);
  void SetPlatform(PlatformMode mode) { platform_mode_ = mode; }
  // The platform answers nothing more to the node, also no open watch.
  void SilencePlatformFor(const std::string& node);
  void AnswerPlatformCallsOf(const std::string& node) {
    platform_silent_to_.erase(node);
  }
  void SetDatagramLoss(double share) { datagram_loss_ = share; }
  void SetDatagramDuplicates(double share) { datagram_duplicates_ = share; }
  // Sets the time from a platform call to its answer.
  void SetPlatformLatency(Duration latency) { platform_latency_ = latency; }
  // Adds to the latency of every datagram.
  void SetDatagramDelay(Duration delay) { datagram_delay_ = delay; }
  // Loses the messages on all peer links of the node, in both directions; its
  // datagrams arrive.
  void SilenceLinksOf(const std::string& node) { silent_links_.insert(node); }
  void SetServiceTime(const std::string& server, Duration service_time);
  void SetFailingShare(const std::string& server, double share);
  void SetRefusingShare(const std::string& server, double share);
  void SetRateLimit(const std::string& server, std::optional<double> limit);
  void SetLeaving(const std::string& server);
  // Continues as a new process with the same name.
  void ReplaceProcess(const std::string& server, uint64_t started_ms);
  void StopAnnouncing(const std::string& server);
  // Return the server's next announcement, and its leave message. Call() sends
  // them, at once or later.
  HttpRequest NextAnnouncement(const std::string& server,
                               bool draining = false);
  HttpRequest LeaveMessage(const std::string& server);

  TimePoint now() const { return now_; }
  Node& node(const std::string& name) { return *hosts_.at(name).node; }
  bool Exited(const std::string& name) const { return hosts_.at(name).exited; }
  const std::vector<FakeServerRun>& runs() const { return runs_; }
  std::mt19937_64& random() { return random_; }
  // Returns the number of platform reads and writes so far.
  uint64_t platform_operations() const { return platform_operations_; }
  // Returns how many watches of the settings document each node has started.
  const std::map<std::string, uint64_t>& watches_by_node() const {
    return watches_by_node_;
  }
  // Called for each line that a node logs.
  std::function<void(const std::string& node, const WriteLog&)> on_log;
  HttpResponse CallOperatorApi(const std::string& node, HttpRequest request);

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
  struct OpenWatch {
    std::string node;
    uint64_t incarnation = 0;
    PlatformOpId op = 0;
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
  Scheduled PopNext();
  void StartNode(Host& host);
  void Feed(Host& host, EventBody body);
  void FeedLater(const std::string& host, Duration delay, EventBody body);
  void Apply(Host& host, const Effects& effects);
  void Execute(Host& host, const AnswerCaller& effect);
  void Execute(Host& host, const SendPeer& effect);
  void Execute(Host& host, const ClosePeer& effect);
  void Execute(Host& host, const SendGossip& effect);
  void Execute(Host& host, const SendServer& effect);
  void Execute(Host& host, const CancelServer& effect);
  void Execute(Host& host, const DropIdleConnections& effect);
  void Execute(Host& host, const SendPlatform& effect);
  void Execute(Host& host, const WakeAt& effect);
  void Execute(Host& host, const WriteLog& effect);
  void Execute(Host& host, const ExitProcess& effect);
  PlatformReply RunPlatform(const PlatformRequest& request);
  void StartWatch(const Host& host, PlatformOpId op,
                  const TableWatchSettings& request);
  // Answers the watch unless the node has ended since or gets no answers.
  void AnswerWatch(const OpenWatch& watch, uint64_t after);
  void BreakLinks(const std::string& node);
  Duration Latency(const std::string& a, const std::string& b);

  Server* FindServer(const std::string& name);
  void Announce(const std::shared_ptr<Server>& server);
  void StartQueued(const std::shared_ptr<Server>& server);
  Duration ServiceTimeOf(const Server& server, const HttpRequest& request);
  void RunNested(const std::shared_ptr<Running>& running, size_t next);
  void FinishRun(const std::shared_ptr<Running>& running, int status);
  void CancelRun(const std::shared_ptr<Running>& running);
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
  std::vector<std::function<void()>> messages_held_by_cuts_;
  std::map<uint64_t, FakeAnswer> answers_;
  std::map<uint64_t, std::function<void(const HttpResponse&)>> nested_;
  std::vector<FakeServerRun> runs_;
  PlatformMode platform_mode_ = PlatformMode::kUp;
  std::map<std::string, std::string> rows_;
  // Rows of retained state, and peer rows unless seeds are listed.
  std::map<std::string, std::string> node_rows_;
  std::map<std::string, std::string> objects_;
  uint64_t head_version_ = 0;
  std::string head_object_;
  std::map<std::string, uint64_t> changes_;
  uint64_t document_version_ = 0;
  std::string document_;
  std::vector<OpenWatch> open_watches_;
  std::map<std::string, uint64_t> watches_by_node_;
  std::set<std::string> platform_silent_to_;
  std::set<std::string> silent_links_;
  uint64_t platform_operations_ = 0;
  double datagram_loss_ = 0;
  double datagram_duplicates_ = 0;
  Duration datagram_delay_{0};
  Duration platform_latency_ = std::chrono::milliseconds(5);
};

// Returns a caller's request with its headers set.
HttpRequest MakeRequest(const std::string& method, const std::string& service,
                        const std::string& request_class = "default",
                        const std::string& request_id = "",
                        const std::string& key = "");

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_FAKES_FAKE_FLEET_H_
