// Simulates the fake fleet's backend servers: slots, a queue, nested calls,
// crashes.

#include <algorithm>

#include "libnode/fakes/fake_fleet.h"
#include "libnode/fakes/fake_fleet_server.h"

namespace amaranth::pvt {
namespace {

constexpr Duration kSameHostLatency{50};

ServerFailed ConnectionLostFailure(uint64_t dispatch) {
  return {dispatch, Verdict::kMayHaveRun, Reason::kConnectionLost};
}

}  // namespace

void FakeFleet::SetServiceTime(const std::string& server,
                               Duration service_time) {
  FindServer(server)->options.service_time = service_time;
}

void FakeFleet::SetFailingShare(const std::string& server, double share) {
  FindServer(server)->options.failing_share = share;
}

void FakeFleet::SetRefusingShare(const std::string& server, double share) {
  FindServer(server)->options.refusing_share = share;
}

void FakeFleet::SetRateLimit(const std::string& server,
                             std::optional<double> limit) {
  FindServer(server)->options.rate_limit = limit;
}

void FakeFleet::SetLeaving(const std::string& server) {
  FindServer(server)->options.leaving = true;
}

void FakeFleet::ReplaceProcess(const std::string& server, uint64_t started_ms) {
  Server* found = FindServer(server);
  found->options.leaving = false;
  found->options.started_ms = started_ms;
  found->announcements = 0;
}

void FakeFleet::StopAnnouncing(const std::string& server) {
  FindServer(server)->options.announces = false;
}

FakeFleet::Server* FakeFleet::FindServer(const std::string& name) {
  for (auto& [host_name, host] : hosts_) {
    for (const std::shared_ptr<Server>& candidate : host.servers) {
      if (candidate->options.name == name) return candidate.get();
    }
  }
  return nullptr;
}

void FakeFleet::Execute(Host& host, const SendServer& effect) {
  const auto found =
      std::find_if(host.servers.begin(), host.servers.end(),
                   [&](const std::shared_ptr<Server>& candidate) {
                     return candidate->options.name == effect.server;
                   });
  if (found == host.servers.end() || !(*found)->up) {
    FeedLater(host.name, kSameHostLatency,
              ServerFailed{effect.dispatch, Verdict::kNotRun,
                           Reason::kConnectFailed});
    return;
  }
  const std::shared_ptr<Running> running = std::make_shared<Running>();
  running->server = *found;
  running->dispatch = effect.dispatch;
  running->request = effect.request;
  host.dispatches[effect.dispatch] = running;
  const Server& server = *running->server;
  const double refusing = server.options.refusing_share;
  const bool refuses =
      refusing > 0 && std::bernoulli_distribution(refusing)(random_);
  if (refuses || server.queued.size() >= server.options.backlog ||
      now_ < server.refuses_until) {
    HttpResponse busy;
    busy.status = 503;
    busy.headers = {{"X-Amaranth-Refused", "1"}};
    host.dispatches.erase(effect.dispatch);
    FeedLater(host.name, kSameHostLatency,
              ServerReplied{effect.dispatch, busy});
    return;
  }
  running->server->queued.push_back(running);
  const std::string name = host.name;
  At(effect.timeout, [this, name, running] {
    Host& sender = hosts_.at(name);
    if (sender.dispatches.erase(running->dispatch) == 0) return;
    CancelRun(running);
    Feed(sender, ConnectionLostFailure(running->dispatch));
  });
  StartQueued(running->server);
}

void FakeFleet::Execute(Host& host, const CancelServer& effect) {
  const auto found = host.dispatches.find(effect.dispatch);
  if (found == host.dispatches.end()) return;
  const std::shared_ptr<Running> running = found->second;
  host.dispatches.erase(found);
  CancelRun(running);
  FeedLater(host.name, kSameHostLatency,
            ConnectionLostFailure(effect.dispatch));
}

void FakeFleet::CancelRun(const std::shared_ptr<Running>& running) {
  if (!running->server->options.cancellable) return;
  running->cancelled = true;
  if (running->started) FinishRun(running, 503);
}

void FakeFleet::StartQueued(const std::shared_ptr<Server>& server) {
  while (server->up && server->busy < server->options.slots &&
         !server->queued.empty()) {
    const std::shared_ptr<Running> running = server->queued.front();
    server->queued.pop_front();
    if (running->cancelled) continue;  // cancelled while queued
    running->started = true;
    ++server->busy;
    server->running.push_back(running);
    const std::vector<Header>& headers = running->request.headers;
    running->run_index = runs_.size();
    const FakeServerRun run{
        now_,
        server->options.name,
        server->options.service,
        std::string(FindHeader(headers, "X-Amaranth-Request-Id")),
        std::string(FindHeader(headers, "Idempotency-Key")),
        false};
    if (on_run) on_run(run);
    if (keeps_history_) runs_.push_back(run);
    const std::string& crash = server->options.crash_body;
    if (!crash.empty() && running->request.body.view() == crash &&
        now_ >= server->options.crashes_from) {
      CrashServer(server);
      return;
    }
    const uint64_t generation = server->generation;
    At(ServiceTimeOf(*server, running->request), [this, running, generation] {
      if (running->server->generation == generation) RunNested(running, 0);
    });
  }
}

Duration FakeFleet::ServiceTimeOf(const Server& server,
                                  const HttpRequest& request) {
  double time = static_cast<double>(server.options.service_time.count());
  const std::string& slow = server.options.slow_body;
  if (!slow.empty() && request.body.view() == slow) {
    time *= server.options.slow_factor;
  }
  if (server.busy > server.options.busy_share * server.options.slots) {
    time *= server.options.busy_factor;
  }
  const Duration warm_up = server.options.warm_up;
  const Duration age = now_ - server.started;
  if (age < warm_up) {
    const double warm_up_left = 1 - static_cast<double>(age.count()) /
                                        static_cast<double>(warm_up.count());
    time *= 1 + (server.options.cold_factor - 1) * warm_up_left;
  }
  if (server.options.random_service_time) {
    time = std::exponential_distribution<double>(1 / time)(random_);
  }
  return Duration(static_cast<int64_t>(time));
}

void FakeFleet::RunNested(const std::shared_ptr<Running>& running,
                          size_t next) {
  const std::shared_ptr<Server>& server = running->server;
  if (running->ended) return;
  if (running->cancelled || next == server->options.nested.size()) {
    const double share = server->options.failing_share;
    const bool fails =
        server->options.failing ||
        (share > 0 && std::bernoulli_distribution(share)(random_));
    FinishRun(running, fails ? 500 : 200);
    return;
  }
  std::string service = server->options.nested[next];
  std::string method = "GET";
  const size_t space = service.find(' ');
  if (space != std::string::npos) {
    method = service.substr(0, space);
    service = service.substr(space + 1);
  }
  HttpRequest request = MakeRequest(method, service);
  request.target = running->request.target;
  request.body = running->request.body;
  const uint64_t call = next_call_++;
  const std::vector<Header>& own = running->request.headers;
  if (server->options.passes_context) {
    SetHeader(request.headers, "X-Amaranth-Context",
              FindHeader(own, "X-Amaranth-Context"));
  } else {
    SetHeader(request.headers, "X-Amaranth-Request-Id",
              std::string(FindHeader(own, "X-Amaranth-Request-Id")) + "." +
                  std::to_string(call));
  }
  const uint64_t generation = server->generation;
  nested_[call] = [this, running, next,
                   generation](const HttpResponse& response) {
    if (running->server->generation != generation) return;
    if (response.status < 500) return RunNested(running, next + 1);
    if (running->server_retries++ < running->server->options.server_retries) {
      return RunNested(running, next);
    }
    FinishRun(running, 503);
  };
  FeedLater(server->host, kSameHostLatency,
            CallerRequest{call, std::move(request)});
}

void FakeFleet::FinishRun(const std::shared_ptr<Running>& running, int status) {
  const std::shared_ptr<Server> server = running->server;
  if (running->ended) return;
  running->ended = true;
  --server->busy;
  std::vector<std::shared_ptr<Running>>& list = server->running;
  list.erase(std::remove(list.begin(), list.end(), running), list.end());
  Host& host = hosts_.at(server->host);
  if (!running->cancelled && host.dispatches.erase(running->dispatch) > 0) {
    if (keeps_history_) runs_[running->run_index].finished = status == 200;
    HttpResponse response;
    response.status = status;
    if (server->options.rate_limit) {
      response.headers.push_back({"X-Amaranth-Rate-Limit",
                                  std::to_string(*server->options.rate_limit)});
    }
    if (server->options.leaving) {
      response.headers.push_back({"X-Amaranth-Leaving", "1"});
    }
    response.body = Body(
        std::string(
            FindHeader(running->request.headers, "X-Amaranth-Request-Id")) +
        "|" + std::string(FindHeader(running->request.headers, "X-Token")));
    FeedLater(server->host, server->options.answer_delay,
              ServerReplied{running->dispatch, std::move(response)});
  }
  StartQueued(server);
}

void FakeFleet::CrashServer(const std::shared_ptr<Server>& server) {
  server->up = false;
  ++server->generation;
  server->busy = 0;
  server->running.clear();
  server->queued.clear();
  Host& host = hosts_.at(server->host);
  std::vector<uint64_t> lost_dispatches;
  for (const auto& [dispatch, running] : host.dispatches) {
    if (running->server == server) lost_dispatches.push_back(dispatch);
  }
  const Duration spread = server->options.reset_spread;
  std::uniform_int_distribution<int64_t> reset_after(0, spread.count());
  for (const uint64_t dispatch : lost_dispatches) {
    host.dispatches.erase(dispatch);
    Duration delay = kSameHostLatency;
    if (spread.count() > 0) delay += Duration(reset_after(random_));
    FeedLater(server->host, delay, ConnectionLostFailure(dispatch));
  }
  At(server->options.restart_after, [this, server] {
    server->up = true;
    server->started = now_;
    server->refuses_until = now_ + server->options.refuses_after_restart;
  });
}

}  // namespace amaranth::pvt
