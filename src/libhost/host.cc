#include "libhost/host.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <deque>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <variant>

#include "libhost/gossip_socket.h"
#include "libhost/peer_transport.h"

namespace amaranth::pvt {
namespace {

// How often the exiting process checks whether the kernel has accepted all
// answers; HostOptions::flush_timeout bounds the wait.
constexpr std::chrono::milliseconds kFlushCheckPeriod{5};

// steady_clock has a finer resolution than the reducer's clock and so overflows
// sooner; a distant alarm is reached in several waits.
constexpr std::chrono::hours kMaxTimerWait{1};

// The monotonic clock of the machine, the only clock that the reducer sees.
TimePoint Now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

std::chrono::steady_clock::time_point ToSteady(TimePoint at) {
  return std::chrono::steady_clock::time_point(at.time_since_epoch());
}

// Adds the purpose and endpoint to the error: "address in use" alone does not
// tell which port is meant.
template <typename Make>
auto Bind(const char* what, const Endpoint& listen, Make make) {
  try {
    return make();
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("cannot listen for ") + what + " on " +
                             ToString(listen) + ": " + error.what());
  }
}

}  // namespace

class Host::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, HostOptions options, HostHooks hooks)
      : io_(io),
        options_(std::move(options)),
        hooks_(std::move(hooks)),
        log_(options_.log),
        wake_timer_(io),
        flush_timer_(io),
        signals_(io),
        client_(io, ClientOptions()) {}

  // The hooks of the frontends, of peers and of gossip capture `this` without
  // owning it: the objects that hold them are members.
  void Open() {
    intake_ = std::make_shared<HttpIntake>();
    intake_->budget = options_.budget;
    callers_ = OpenFrontend("callers", options_.caller_listen,
                            [this](CallId call, HttpRequest request) {
                              Post(CallerRequest{call, std::move(request)});
                            });
    operators_ = OpenFrontend("operators", options_.operator_listen,
                              [this](CallId call, HttpRequest request) {
                                Post(OperatorRequest{call, std::move(request)});
                              });
    if (options_.announce_listen) {
      announcers_ = OpenFrontend("announcements", *options_.announce_listen,
                                 [this](CallId call, HttpRequest request) {
                                   Post(CallerRequest{call, std::move(request),
                                                      CallerKind::kAnnouncer});
                                 });
    }
    PeerLimits limits;
    limits.budget = options_.budget;
    peers_ = Bind("peers", options_.peer_listen, [&] {
      return std::make_unique<PeerTransport>(
          io_, options_.self, options_.peer_listen, MakePeerHooks(), limits);
    });
    gossip_ = Bind("gossip", options_.gossip_listen, [&] {
      return std::make_unique<GossipSocket>(
          io_, options_.gossip_listen,
          [this](const Endpoint& from, GossipMessage message) {
            Post(GossipReceived{from, std::move(message)});
          });
    });
    ports_ = {callers_->port(), operators_->port(), peers_->port(),
              gossip_->port(), announcers_ ? announcers_->port() : uint16_t{0}};
  }

  const HostPorts& ports() const { return ports_; }
  bool exited() const { return exited_; }
  uint64_t restart_above() const {
    return stop_requested_ ? 0 : restart_above_;
  }

  void Start() {
    reducer_ = hooks_.make_reducer(ports_);
    reducing_ = true;
    ExecuteEffects(reducer_.start(Now()));
    started_ = true;
    ProcessEvents();
  }

  void RequestStop() {
    if (std::exchange(stop_requested_, true)) {
      io_.stop();
      return;
    }
    stop_requested_at_ = std::chrono::steady_clock::now();
    callers_->CloseAfterAnswers();
    Post(StopRequested{});
  }

  void HandleSignals() {
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.add(SIGHUP);
    AwaitSignal();
  }

  void Stop() {
    if (std::exchange(stopped_, true)) return;
    wake_timer_.cancel();
    flush_timer_.cancel();
    signals_.cancel();
    if (callers_) callers_->Stop();
    if (operators_) operators_->Stop();
    if (announcers_) announcers_->Stop();
    if (peers_) peers_->Stop();
    if (gossip_) gossip_->Stop();
  }

  void Execute(AnswerCaller& effect) {
    if (callers_->Answer(effect.call, effect.response)) return;
    if (operators_->Answer(effect.call, effect.response)) return;
    if (announcers_) announcers_->Answer(effect.call, effect.response);
  }

  void Execute(SendPeer& effect) {
    peers_->Send(effect.peer, effect.address, std::move(effect.message));
  }

  void Execute(ClosePeer& effect) { peers_->Close(effect.peer); }

  void Execute(SendGossip& effect) { gossip_->Send(effect.to, effect.message); }

  void Execute(SendServer& effect) {
    const uint64_t dispatch = effect.dispatch;
    const uint64_t sent = client_.Send(
        effect.address, std::move(effect.request), effect.timeout,
        [weak = weak_from_this(), dispatch](HttpClientResult result) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (!self) return;
          self->dispatches_.erase(dispatch);
          self->OnServerResult(dispatch, std::move(result));
        });
    dispatches_.emplace(dispatch, sent);
  }

  void Execute(CancelServer& effect) {
    const auto found = dispatches_.find(effect.dispatch);
    if (found != dispatches_.end()) client_.Cancel(found->second);
  }

  void Execute(DropIdleConnections& effect) {
    client_.DropIdle(effect.address);
  }

  void Execute(SendPlatform& effect) {
    const PlatformOpId op = effect.op;
    if (!hooks_.platform) {
      PlatformReply reply;
      reply.status = PlatformStatus::kUnreachable;
      Post(PlatformReplied{op, reply});
      return;
    }
    hooks_.platform(effect.request,
                    [weak = weak_from_this(), op](PlatformReply reply) {
                      const std::shared_ptr<Impl> self = weak.lock();
                      if (self)
                        self->Post(PlatformReplied{op, std::move(reply)});
                    });
  }

  // The reducer moves its alarm with almost every event. A timer that expires
  // before the new alarm is left alone and set again when it expires: setting
  // the kernel timer each time would cost a system call per event.
  void Execute(WakeAt& effect) {
    wake_at_ = effect.at;
    if (wake_at_ < armed_at_) ArmTimer();
  }

  void Execute(WriteLog& effect) { log_.Write(Now(), effect); }

  void Execute(ExitProcess& effect) {
    restart_above_ = effect.restart_above;
    callers_->StopAccepting();
    operators_->StopAccepting();
    if (announcers_) announcers_->StopAccepting();
    flush_deadline_ = std::chrono::steady_clock::now() + options_.flush_timeout;
    if (stop_requested_) {
      flush_deadline_ =
          std::max(flush_deadline_, stop_requested_at_ + options_.stop_limit);
    }
    AwaitFlush();
  }

 private:
  HttpClientOptions ClientOptions() const {
    HttpClientOptions client = options_.client;
    client.budget = options_.budget;
    return client;
  }

  std::unique_ptr<HttpFrontend> OpenFrontend(
      const char* what, const Endpoint& listen,
      std::function<void(CallId, HttpRequest)> on_request) {
    HttpFrontendHooks hooks;
    hooks.on_request = std::move(on_request);
    hooks.on_caller_gone = [this](CallId call) { Post(CallerGone{call}); };
    hooks.on_error = [this, what](const std::string& error, size_t calls) {
      // Idle connections end all the time and are not logged.
      if (calls == 0) return;
      log_.Write(Now(), {LogLevel::kWarning, what,
                         "Connection with " + std::to_string(calls) +
                             " open calls ended: " + error});
    };
    return Bind(what, listen, [&] {
      return std::make_unique<HttpFrontend>(io_, listen, options_.frontend,
                                            intake_, std::move(hooks));
    });
  }

  PeerHooks MakePeerHooks() {
    PeerHooks hooks;
    hooks.on_message = [this](const NodeRef& peer, PeerMessage message) {
      Post(PeerReceived{peer, std::move(message)});
    };
    hooks.on_lost = [this](const std::string& peer) { Post(PeerLost{peer}); };
    hooks.on_send_failed = [this](const std::string& peer,
                                  PeerMessage message) {
      Post(PeerSendFailed{peer, std::move(message)});
    };
    return hooks;
  }

  void OnServerResult(uint64_t dispatch, HttpClientResult result) {
    if (result.response) {
      Post(ServerReplied{dispatch, std::move(*result.response)});
    } else {
      Post(ServerFailed{dispatch, result.verdict, result.reason});
    }
  }

  // Executing an effect may cause another event (an answer to a connection that
  // just broke). It is queued, so that reduce is never re-entered and effects
  // stay in order.
  void Post(EventBody body) {
    if (stopped_) return;
    events_.push_back(Event{Now(), std::move(body)});
    if (started_ && !reducing_) ProcessEvents();
  }

  void ProcessEvents() {
    reducing_ = true;
    while (!events_.empty() && !stopped_) {
      const Event event = std::move(events_.front());
      events_.pop_front();
      ExecuteEffects(reducer_.reduce(event));
    }
    reducing_ = false;
  }

  void ExecuteEffects(Effects effects) {
    for (Effect& effect : effects) {
      std::visit([this](auto& body) { Execute(body); }, effect);
    }
  }

  void ArmTimer() {
    armed_at_ = wake_at_;
    const TimePoint at = std::min(wake_at_, Now() + kMaxTimerWait);
    wake_timer_.expires_at(ToSteady(at));
    wake_timer_.async_wait(
        [weak = weak_from_this()](const asio::error_code& error) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (self && !error) self->OnTimer();
        });
  }

  void OnTimer() {
    armed_at_ = kNever;
    if (wake_at_ == kNever) return;
    if (wake_at_ > Now()) {
      ArmTimer();
      return;
    }
    wake_at_ = kNever;
    Post(Tick{});
  }

  void AwaitSignal() {
    signals_.async_wait(
        [weak = weak_from_this()](const asio::error_code& error, int signal) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (error || !self) return;
          self->AwaitSignal();
          if (signal == SIGHUP) return self->LogReloadRequest();
          self->RequestStop();
        });
  }

  // Operators send SIGHUP when a settings file has changed. The default action
  // would end the process and cut the connections of callers.
  void LogReloadRequest() {
    log_.Write(Now(), {LogLevel::kInfo, "host",
                       "SIGHUP received: flags cannot be reloaded while the "
                       "process runs; settings are watched all the time."});
  }

  bool IsFlushed() const {
    const size_t announced = announcers_ ? announcers_->unwritten_answers() : 0;
    return callers_->unwritten_answers() + operators_->unwritten_answers() +
                   announced ==
               0 &&
           !peers_->HasUnwritten();
  }

  void AwaitFlush() {
    if (IsFlushed() || std::chrono::steady_clock::now() > flush_deadline_) {
      exited_ = true;
      io_.stop();
      return;
    }
    flush_timer_.expires_after(kFlushCheckPeriod);
    flush_timer_.async_wait(
        [weak = weak_from_this()](const asio::error_code& error) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (self && !error) self->AwaitFlush();
        });
  }

  asio::io_context& io_;
  HostOptions options_;
  HostHooks hooks_;
  LogSink log_;
  HostReducer reducer_;
  HostPorts ports_;

  std::deque<Event> events_;
  bool started_ = false;
  bool reducing_ = false;
  bool stop_requested_ = false;
  std::chrono::steady_clock::time_point stop_requested_at_;
  bool stopped_ = false;
  bool exited_ = false;
  uint64_t restart_above_ = 0;

  asio::steady_timer wake_timer_;
  TimePoint wake_at_ = kNever;   // as the reducer requested
  TimePoint armed_at_ = kNever;  // as the timer is set
  asio::steady_timer flush_timer_;
  std::chrono::steady_clock::time_point flush_deadline_;
  asio::signal_set signals_;

  std::shared_ptr<HttpIntake> intake_;
  std::unordered_map<uint64_t, uint64_t> dispatches_;  // to ids of client_
  std::unique_ptr<HttpFrontend> callers_;
  std::unique_ptr<HttpFrontend> operators_;
  std::unique_ptr<HttpFrontend> announcers_;
  std::unique_ptr<PeerTransport> peers_;
  std::unique_ptr<GossipSocket> gossip_;
  HttpClient client_;
};

Host::Host(asio::io_context& io, HostOptions options, HostHooks hooks)
    : impl_(std::make_shared<Impl>(io, std::move(options), std::move(hooks))) {
  impl_->Open();
}

Host::~Host() { impl_->Stop(); }

const HostPorts& Host::ports() const { return impl_->ports(); }

void Host::Start() { impl_->Start(); }

void Host::RequestStop() { impl_->RequestStop(); }

void Host::HandleSignals() { impl_->HandleSignals(); }

bool Host::exited() const { return impl_->exited(); }

uint64_t Host::restart_above() const { return impl_->restart_above(); }

}  // namespace amaranth::pvt
