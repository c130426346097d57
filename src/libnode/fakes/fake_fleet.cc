#include "libnode/fakes/fake_fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libnode/fakes/fake_fleet_server.h"

namespace amaranth::pvt {
namespace {

constexpr Duration kSameHostLatency{50};
constexpr Duration kSameDataCentreLatency{200};
constexpr Duration kOtherDataCentreLatency{1000};
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr PlatformTime kPlatformClockStart =
    PlatformTime(std::chrono::hours(100));
constexpr Duration kPlatformTimeout = std::chrono::milliseconds(800);
constexpr Duration kAnnouncePeriod = std::chrono::milliseconds(500);

std::string JsonField(const HttpResponse& response, const char* name) {
  const nlohmann::json json =
      nlohmann::json::parse(response.body.view(), nullptr, false);
  return json.is_object() ? json.value(name, "") : "";
}

}  // namespace

std::string FakeAnswer::Verdict() const {
  return std::string(FindHeader(response.headers, "X-Amaranth-Verdict"));
}
std::string FakeAnswer::Reason() const { return JsonField(response, "reason"); }

HttpRequest MakeRequest(const std::string& method, const std::string& service,
                        const std::string& request_class,
                        const std::string& request_id, const std::string& key) {
  HttpRequest request;
  request.method = method;
  request.headers = {{"X-Amaranth-Service", service},
                     {"X-Amaranth-Class", request_class}};
  if (!request_id.empty()) {
    request.headers.push_back({"X-Amaranth-Request-Id", request_id});
  }
  if (!key.empty()) request.headers.push_back({"Idempotency-Key", key});
  return request;
}

FakeFleet::FakeFleet(uint64_t seed) : random_(seed) {}

// Breaks the reference cycles between servers and their requests.
FakeFleet::~FakeFleet() {
  for (auto& [name, host] : hosts_) {
    for (const std::shared_ptr<Server>& server : host.servers) {
      server->running.clear();
      server->queued.clear();
    }
  }
}

void FakeFleet::AddNode(const std::string& name, const std::string& data_centre,
                        bool use_platform) {
  Host& host = hosts_[name];
  host.name = name;
  host.data_centre = data_centre;
  host.use_platform = use_platform;
  StartNode(host);
}

void FakeFleet::StartNode(Host& host) {
  NodeIdentity identity;
  host.incarnation = next_incarnation_++;
  identity.node = {host.name, host.incarnation};
  identity.data_centre = host.data_centre;
  identity.peer_address = {host.name, 1};
  identity.gossip_address = {host.name, 2};
  identity.use_platform = host.use_platform;
  identity.rules = rules;
  identity.random_seed = random_();
  for (const auto& [name, other] : hosts_) {
    if (lists_seeds && name != host.name) identity.seeds.push_back({name, 2});
  }
  host.node = std::make_unique<Node>(identity);
  host.up = true;
  host.exited = false;
  host.held.clear();
  Apply(host, host.node->Start(now_));
}

void FakeFleet::AddServer(const std::string& node, FakeServerOptions options) {
  const std::shared_ptr<Server> server = std::make_shared<Server>();
  server->options = std::move(options);
  server->host = node;
  server->started = now_;
  hosts_.at(node).servers.push_back(server);
  Announce(server);
}

void FakeFleet::Announce(const std::shared_ptr<Server>& server) {
  if (server->up && server->options.announces) {
    FeedLater(
        server->host, kSameHostLatency,
        CallerRequest{next_call_++, NextAnnouncement(server->options.name)});
  }
  At(kAnnouncePeriod, [this, server] { Announce(server); });
}

HttpRequest FakeFleet::NextAnnouncement(const std::string& server,
                                        bool draining) {
  Server& sender = *FindServer(server);
  HttpRequest request;
  request.method = "POST";
  request.target = "/amaranth/v1/announce";
  nlohmann::json body = {{"server", sender.options.name},
                         {"service", sender.options.service},
                         {"address", "127.0.0.1:9"},
                         {"slots", sender.options.slots},
                         {"draining", draining}};
  if (sender.options.started_ms > 0) {
    body["started_ms"] = sender.options.started_ms;
    body["sequence"] = ++sender.announcements;
  }
  request.body = Body(body.dump());
  return request;
}

HttpRequest FakeFleet::LeaveMessage(const std::string& server) {
  const FakeServerOptions& options = FindServer(server)->options;
  HttpRequest request;
  request.method = "POST";
  request.target = "/amaranth/v1/leave";
  nlohmann::json body = {{"server", options.name}};
  if (options.started_ms > 0) body["started_ms"] = options.started_ms;
  request.body = Body(body.dump());
  return request;
}

void FakeFleet::At(Duration from_now, std::function<void()> action) {
  Schedule(now_ + from_now, std::move(action));
}

void FakeFleet::Schedule(TimePoint at, std::function<void()> action) {
  schedule_.push_back({at, order_++, std::move(action)});
  std::push_heap(schedule_.begin(), schedule_.end());
}

FakeFleet::Scheduled FakeFleet::PopNext() {
  std::pop_heap(schedule_.begin(), schedule_.end());
  Scheduled next = std::move(schedule_.back());
  schedule_.pop_back();
  return next;
}

void FakeFleet::FeedLater(const std::string& host, Duration delay,
                          EventBody body) {
  At(delay, [this, host, body = std::move(body)]() mutable {
    Feed(hosts_.at(host), std::move(body));
  });
}

void FakeFleet::Feed(Host& host, EventBody body) {
  if (!host.up) return;
  if (host.paused) {
    host.held.push_back(std::move(body));
    return;
  }
  Apply(host, host.node->Reduce({now_, std::move(body)}));
}

void FakeFleet::Apply(Host& host, const Effects& effects) {
  for (const Effect& effect : effects) {
    std::visit([&](const auto& body) { Execute(host, body); }, effect);
  }
}

uint64_t FakeFleet::Call(const std::string& node, HttpRequest request) {
  const uint64_t call = next_call_++;
  answers_[call].sent_at = now_;
  FeedLater(node, kSameDataCentreLatency,
            CallerRequest{call, std::move(request)});
  return call;
}

void FakeFleet::HangUp(const std::string& node, uint64_t call) {
  FeedLater(node, kSameDataCentreLatency, CallerGone{call});
}

const FakeAnswer* FakeFleet::AnswerOf(uint64_t call) const {
  const auto found = answers_.find(call);
  const bool answered =
      found != answers_.end() && found->second.at != TimePoint();
  return answered ? &found->second : nullptr;
}

HttpResponse FakeFleet::CallOperatorApi(const std::string& node,
                                        HttpRequest request) {
  const uint64_t call = next_call_++;
  Feed(hosts_.at(node), OperatorRequest{call, std::move(request)});
  RunUntil([&] { return AnswerOf(call) != nullptr; }, std::chrono::seconds(10));
  return answers_[call].response;
}

void FakeFleet::RunFor(Duration length) {
  RunUntil([] { return false; }, length);
}

bool FakeFleet::RunUntil(const std::function<bool()>& done, Duration limit) {
  const TimePoint end = now_ + limit;
  while (!done()) {
    if (schedule_.empty() || schedule_.front().at > end) {
      now_ = end;
      return done();
    }
    const Scheduled next = PopNext();
    now_ = next.at;
    next.action();
  }
  return true;
}

void FakeFleet::Kill(const std::string& node) {
  Host& host = hosts_.at(node);
  host.up = false;
  BreakLinks(node);
  for (auto& [dispatch, running] : host.dispatches) running->cancelled = true;
  host.dispatches.clear();
}

void FakeFleet::Restart(const std::string& node) { StartNode(hosts_.at(node)); }

void FakeFleet::Pause(const std::string& node) {
  hosts_.at(node).paused = true;
}

void FakeFleet::Resume(const std::string& node) {
  Host& host = hosts_.at(node);
  host.paused = false;
  std::vector<EventBody> held = std::move(host.held);
  host.held.clear();
  for (EventBody& body : held) Feed(host, std::move(body));
}

void FakeFleet::Stop(const std::string& node) {
  Feed(hosts_.at(node), StopRequested{});
}

FakeFleet::LinkKey FakeFleet::KeyOf(const std::string& a,
                                    const std::string& b) {
  return a < b ? LinkKey(a, b) : LinkKey(b, a);
}

void FakeFleet::Cut(const std::string& a, const std::string& b) {
  cuts_.insert(KeyOf(a, b));
}

void FakeFleet::Heal() {
  cuts_.clear();
  // TCP retransmits: messages sent on a link that is still open arrive late.
  for (std::function<void()>& action : messages_held_by_cuts_) {
    At(kOtherDataCentreLatency, std::move(action));
  }
  messages_held_by_cuts_.clear();
}

bool FakeFleet::IsCut(const std::string& a, const std::string& b) const {
  return cuts_.count(KeyOf(a, b)) > 0;
}

Duration FakeFleet::Latency(const std::string& a, const std::string& b) {
  const bool same = hosts_.at(a).data_centre == hosts_.at(b).data_centre;
  const int64_t base =
      (same ? kSameDataCentreLatency : kOtherDataCentreLatency).count();
  std::uniform_int_distribution<int64_t> jitter(0, base / 2);
  return Duration(base + jitter(random_));
}

void FakeFleet::BreakLinks(const std::string& node) {
  for (auto& [key, link] : links_) {
    if (!link.open || (key.first != node && key.second != node)) continue;
    link.open = false;
    const std::string& other = key.first == node ? key.second : key.first;
    FeedLater(other, kOtherDataCentreLatency * 2, PeerLost{node});
  }
}

void FakeFleet::Execute(Host& host, const SendPeer& effect) {
  const std::string from = host.name;
  const auto peer = hosts_.find(effect.peer);
  if (peer == hosts_.end()) return;
  if (silent_links_.count(from) + silent_links_.count(effect.peer) > 0) return;
  Host& to = peer->second;
  const LinkKey key = KeyOf(from, effect.peer);
  Link& link = links_[key];
  const bool unreachable = !to.up || IsCut(from, effect.peer);
  if (!link.open) {
    if (unreachable) {
      const Duration delay =
          to.up ? kConnectTimeout : kSameDataCentreLatency * 2;
      FeedLater(from, delay, PeerSendFailed{effect.peer, effect.message});
      return;
    }
    link = Link();
    link.open = true;
    link.incarnation_a = hosts_.at(key.first).incarnation;
    link.incarnation_b = hosts_.at(key.second).incarnation;
  }
  // A link delivers in order and is closed when either process ends.
  const TimePoint arrival =
      std::max(now_ + Latency(from, effect.peer), link.last);
  link.last = arrival;
  const Link sent_on = link;
  const NodeRef sender{from, host.incarnation};
  const std::string to_name = effect.peer;
  std::function<void()> deliver = [this, key, sent_on, sender, to_name,
                                   message = effect.message] {
    const Link& present = links_[key];
    const bool same = present.open &&
                      present.incarnation_a == sent_on.incarnation_a &&
                      present.incarnation_b == sent_on.incarnation_b;
    if (same) Feed(hosts_.at(to_name), PeerReceived{sender, message});
  };
  if (IsCut(from, effect.peer)) {
    messages_held_by_cuts_.push_back(std::move(deliver));
    return;
  }
  Schedule(arrival, std::move(deliver));
}

void FakeFleet::Execute(Host& host, const ClosePeer& effect) {
  Link& link = links_[KeyOf(host.name, effect.peer)];
  if (!link.open) return;
  link.open = false;
  link.incarnation_a = 0;
  FeedLater(host.name, kSameHostLatency, PeerLost{effect.peer});
  if (!IsCut(host.name, effect.peer)) {
    FeedLater(effect.peer, kSameDataCentreLatency, PeerLost{host.name});
  }
}

void FakeFleet::Execute(Host& host, const SendGossip& effect) {
  const std::string from = host.name;
  const std::string to = effect.to.ip;
  if (hosts_.count(to) == 0 || IsCut(from, to)) return;
  std::uniform_real_distribution<double> chance(0, 1);
  if (chance(random_) < datagram_loss_) return;
  const int copies = chance(random_) < datagram_duplicates_ ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    FeedLater(to, Latency(from, to) + datagram_delay_,
              GossipReceived{{from, 2}, effect.message});
  }
}

void FakeFleet::Execute(Host&, const AnswerCaller& effect) {
  const auto nested = nested_.find(effect.call);
  if (nested != nested_.end()) {
    const std::function<void(const HttpResponse&)> resume =
        std::move(nested->second);
    nested_.erase(nested);
    At(kSameHostLatency,
       [resume, response = effect.response] { resume(response); });
    return;
  }
  FakeAnswer& answer = answers_[effect.call];
  if (answer.at != TimePoint()) std::abort();  // answered twice
  answer.at = now_;
  answer.response = effect.response;
  if (answer.sent_at == TimePoint()) {  // announcements, operators
    answer.sent_at = now_;
    if (!keeps_history_) answers_.erase(effect.call);
    return;
  }
  if (!on_answer) return;
  if (keeps_history_) return on_answer(effect.call, answer);
  const FakeAnswer moved_answer = std::move(answer);
  answers_.erase(effect.call);
  on_answer(effect.call, moved_answer);
}

void FakeFleet::Execute(Host& host, const WakeAt& effect) {
  const uint64_t wake = ++host.wake;
  const uint64_t incarnation = host.incarnation;
  const std::string name = host.name;
  At(std::max(effect.at - now_, Duration(0)), [this, name, wake, incarnation] {
    Host& target = hosts_.at(name);
    if (target.wake == wake && target.incarnation == incarnation) {
      Feed(target, Tick{});
    }
  });
}

void FakeFleet::Execute(Host& host, const ExitProcess&) {
  host.exited = true;
  Kill(host.name);
}

void FakeFleet::Execute(Host& host, const WriteLog& effect) {
  if (on_log) on_log(host.name, effect);
}
void FakeFleet::Execute(Host&, const DropIdleConnections&) {}

void FakeFleet::Execute(Host& host, const SendPlatform& effect) {
  const std::string name = host.name;
  ++platform_operations_;
  if (platform_mode_ == PlatformMode::kDown) {
    PlatformReply reply;
    reply.status = PlatformStatus::kUnreachable;
    FeedLater(name, platform_latency_, PlatformReplied{effect.op, reply});
    return;
  }
  if (platform_silent_to_.count(name) > 0) return;
  const auto* watch = std::get_if<TableWatchSettings>(&effect.request);
  if (watch != nullptr && platform_mode_ == PlatformMode::kUp) {
    return StartWatch(host, effect.op, *watch);
  }
  PlatformReply reply = RunPlatform(effect.request);
  Duration delay = platform_latency_;
  if (platform_mode_ == PlatformMode::kLoseAnswers) {
    reply = PlatformReply();
    delay = kPlatformTimeout;
  }
  FeedLater(name, delay, PlatformReplied{effect.op, std::move(reply)});
}

// Answers at once if the document is newer than the position of the watch;
// otherwise when it changes, or at the end of the wait.
void FakeFleet::StartWatch(const Host& host, PlatformOpId op,
                           const TableWatchSettings& request) {
  ++watches_by_node_[host.name];
  const OpenWatch watch{host.name, host.incarnation, op};
  if (request.after < document_version_) {
    AnswerWatch(watch, request.after);
    return;
  }
  open_watches_.push_back(watch);
  At(request.wait, [this, watch, after = request.after] {
    const auto found = std::find_if(
        open_watches_.begin(), open_watches_.end(), [&](const OpenWatch& open) {
          return open.node == watch.node && open.op == watch.op &&
                 open.incarnation == watch.incarnation;
        });
    if (found == open_watches_.end()) return;
    open_watches_.erase(found);
    AnswerWatch(watch, after);
  });
}

void FakeFleet::AnswerWatch(const OpenWatch& watch, uint64_t after) {
  if (platform_silent_to_.count(watch.node) > 0) return;
  const PlatformReply reply = RunPlatform(TableWatchSettings{after});
  At(platform_latency_, [this, watch, reply] {
    Host& host = hosts_.at(watch.node);
    if (host.incarnation != watch.incarnation) return;
    Feed(host, PlatformReplied{watch.op, reply});
  });
}

void FakeFleet::SetDocument(uint64_t version, std::string text) {
  const uint64_t before = document_version_;
  document_version_ = version;
  document_ = std::move(text);
  for (const OpenWatch& watch : std::exchange(open_watches_, {})) {
    AnswerWatch(watch, before);
  }
}

void FakeFleet::SilencePlatformFor(const std::string& node) {
  platform_silent_to_.insert(node);
}

PlatformReply FakeFleet::RunPlatform(const PlatformRequest& request) {
  PlatformReply reply;
  reply.status = PlatformStatus::kOk;
  if (const auto* claims = std::get_if<TableClaimRows>(&request)) {
    for (const TableClaimRows::Row& row : claims->rows) {
      reply.holders.push_back(rows_.emplace(row.key, row.holder).first->second);
    }
  } else if (std::holds_alternative<TableReadHead>(request)) {
    reply.version = head_version_;
    reply.bytes = head_object_;
    if (head_version_ == 0) reply.status = PlatformStatus::kNotFound;
  } else if (const auto* move = std::get_if<TableMoveHead>(&request)) {
    if (move->expected_version != head_version_) {
      reply.status = PlatformStatus::kConditionFailed;
      return reply;
    }
    head_version_ = move->version;
    head_object_ = move->object;
    changes_[move->change_id] = move->version;
  } else if (std::holds_alternative<TableReadPeers>(request)) {
    reply.clock = kPlatformClockStart + (now_ - TimePoint());
    for (const auto& [key, text] : node_rows_) AddPeerRow(key, text, reply);
  } else if (const auto* peer = std::get_if<TableWritePeer>(&request)) {
    if (!lists_seeds) node_rows_[peer->name] = peer->address;
  } else if (const auto* read = std::get_if<TableReadRetained>(&request)) {
    reply.clock = kPlatformClockStart + (now_ - TimePoint());
    const std::string key = read->name + std::string(kRetainedRowSuffix);
    const auto found = node_rows_.find(key);
    if (found != node_rows_.end()) AddPeerRow(key, found->second, reply);
  } else if (const auto* row = std::get_if<TableWriteRetained>(&request)) {
    node_rows_[row->name + std::string(kRetainedRowSuffix)] = row->text;
  } else if (const auto* change = std::get_if<TableReadChange>(&request)) {
    const auto found = changes_.find(change->change_id);
    if (found == changes_.end()) {
      reply.status = PlatformStatus::kNotFound;
    } else {
      reply.version = found->second;
    }
  } else if (const auto* watch = std::get_if<TableWatchSettings>(&request)) {
    reply.version = document_version_;
    reply.clock = kPlatformClockStart + (now_ - TimePoint());
    if (document_version_ > watch->after) reply.bytes = document_;
  } else if (const auto* put = std::get_if<ObjectPut>(&request)) {
    objects_[put->name] = put->bytes;
  } else if (const auto* get = std::get_if<ObjectGet>(&request)) {
    const auto found = objects_.find(get->name);
    if (found == objects_.end()) {
      reply.status = PlatformStatus::kNotFound;
    } else {
      reply.bytes = found->second;
    }
  }
  return reply;
}

}  // namespace amaranth::pvt
