#include "bench/capacity_fleet.h"

#include <time.h>

#include <algorithm>
#include <tuple>

#include "amaranthroute/wire.h"

namespace amaranth::bench {
namespace {

constexpr Duration kSameDataCentreLatency{300};
constexpr Duration kOtherDataCentreLatency{1500};
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kPlatformLatency = std::chrono::milliseconds(10);
constexpr Duration kAnnouncePeriod = std::chrono::milliseconds(500);
constexpr Duration kServiceTime = std::chrono::milliseconds(5);
constexpr size_t kFrameHeaderBytes = 4;
constexpr size_t kSeedCount = 5;
constexpr size_t kResponseBodyBytes = 512;
constexpr size_t kSampledNodes = 8;
constexpr Duration kPollPeriod = std::chrono::milliseconds(250);

uint64_t ProcessCpuNanos() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<uint64_t>(time.tv_sec) * 1'000'000'000u +
         static_cast<uint64_t>(time.tv_nsec);
}

// Returns the time that one clock reading adds to a measurement, in ns.
uint64_t ClockReadingNanos() {
  constexpr uint64_t kReadings = 20'000;
  const uint64_t start = ProcessCpuNanos();
  for (uint64_t i = 0; i < kReadings; ++i) ProcessCpuNanos();
  return (ProcessCpuNanos() - start) / kReadings;
}

uint64_t CpuNanosSince(uint64_t start) {
  static const uint64_t cost = ClockReadingNanos();
  const uint64_t elapsed_ns = ProcessCpuNanos() - start;
  return elapsed_ns > cost ? elapsed_ns - cost : 0;
}

std::string HostName(size_t node) { return "host-" + std::to_string(node); }

Endpoint HostAddress(size_t node, uint16_t port) {
  return {"10.0." + std::to_string(node / 250) + "." +
              std::to_string(node % 250 + 1),
          port};
}

}  // namespace

Usage operator-(const Usage& a, const Usage& b) {
  Usage result = a;
  result.messages -= b.messages;
  result.bytes -= b.bytes;
  result.reducer_ns -= b.reducer_ns;
  result.codec_ns -= b.codec_ns;
  result.platform_reads -= b.platform_reads;
  result.platform_writes -= b.platform_writes;
  result.platform_rows -= b.platform_rows;
  result.calls_ok -= b.calls_ok;
  result.calls_failed -= b.calls_failed;
  return result;
}

CapacityFleet::CapacityFleet(size_t nodes, size_t data_centres, size_t services)
    : data_centres_(data_centres), services_(services), hosts_(nodes) {
  for (size_t node = 0; node < nodes; ++node) {
    by_name_[HostName(node)] = node;
    by_name_[HostAddress(node, 0).ip] = node;
  }
}

void CapacityFleet::StartAll() {
  for (size_t node = 0; node < hosts_.size(); ++node) {
    const Duration jitter(static_cast<int64_t>(random_() % 500'000));
    Schedule(jitter, [this, node] { StartNode(node); });
  }
}

void CapacityFleet::StartNode(size_t node) {
  SimulatedHost& host = hosts_[node];
  NodeIdentity identity;
  identity.node = {HostName(node), next_incarnation_++};
  const size_t data_centre = DataCentreOf(node);
  identity.data_centre = "data-centre-" + std::to_string(data_centre);
  identity.region = data_centre < 3 ? "region-a" : "region-b";
  identity.peer_address = HostAddress(node, 7001);
  identity.gossip_address = HostAddress(node, 7002);
  for (size_t seed = 0; seed < std::min(kSeedCount, hosts_.size()); ++seed) {
    if (seed != node) identity.seeds.push_back(HostAddress(seed, 7002));
  }
  identity.random_seed = random_();
  host.identity = identity;
  host.node = std::make_unique<Node>(identity);
  host.up = true;
  ApplyEffects(node, host.node->Start(now_));
  Announce(node, identity.node.incarnation);
}

void CapacityFleet::Announce(size_t node, uint64_t incarnation) {
  SimulatedHost& host = hosts_[node];
  if (!host.up || host.identity.node.incarnation != incarnation) return;
  HttpRequest request;
  request.method = "POST";
  request.target = "/amaranth/v1/announce";
  request.body = Body("{\"server\":\"server-" + std::to_string(node) +
                      "\",\"service\":\"service-" +
                      std::to_string(node % services_) + "\",\"address\":\"" +
                      host.identity.peer_address.ip + ":8080\",\"slots\":100}");
  Deliver(node, CallerRequest{next_call_++, std::move(request)});
  Schedule(kAnnouncePeriod,
           [this, node, incarnation] { Announce(node, incarnation); });
}

void CapacityFleet::Schedule(Duration from_now, std::function<void()> action) {
  schedule_.push({now_ + from_now, next_order_++, std::move(action)});
}

void CapacityFleet::RunFor(Duration length) {
  const TimePoint end = now_ + length;
  while (!schedule_.empty() && schedule_.top().at <= end) {
    const Scheduled next = schedule_.top();
    schedule_.pop();
    now_ = next.at;
    next.action();
  }
  now_ = end;
}

Duration CapacityFleet::RunUntilSampledNodes(
    const std::function<bool(size_t node)>& condition, Duration limit) {
  const TimePoint start = now_;
  while (now_ - start < limit) {
    RunFor(kPollPeriod);
    bool all = true;
    for (size_t i = 0; i < kSampledNodes && all; ++i) {
      const size_t node = i * (hosts_.size() - 1) / (kSampledNodes - 1);
      all = !hosts_[node].up || condition(node);
    }
    if (all) break;
  }
  return now_ - start;
}

Duration CapacityFleet::RunUntilMembersSeen(size_t alive, Duration limit) {
  return RunUntilSampledNodes(
      [&](size_t node) { return CountAliveMembers(node) == alive; }, limit);
}

Duration CapacityFleet::RunUntilSettingsInForce(Duration limit) {
  return RunUntilSampledNodes(
      [this](size_t node) {
        const std::string expected =
            "\"settings_version\":" + std::to_string(head_version_) + ",";
        return GetStatus(node).find(expected) != std::string_view::npos;
      },
      limit);
}

// Bypasses Deliver(), so that the cost of the query is not measured.
std::string_view CapacityFleet::GetStatus(size_t node) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/status";
  operator_call_ = next_call_++;
  const OperatorRequest operator_request{operator_call_, std::move(request)};
  ApplyEffects(node, hosts_[node].node->Reduce({now_, operator_request}));
  return operator_answer_.body.view();
}

size_t CapacityFleet::CountAliveMembers(size_t node) {
  const std::string_view text = GetStatus(node);
  const std::string_view expected = "\"state\":\"alive\"";
  size_t count = 0;
  for (size_t at = text.find(expected); at != std::string_view::npos;
       at = text.find(expected, at + 1)) {
    ++count;
  }
  return count;
}

size_t CapacityFleet::up() const {
  return static_cast<size_t>(
      std::count_if(hosts_.begin(), hosts_.end(),
                    [](const SimulatedHost& host) { return host.up; }));
}

void CapacityFleet::Kill(size_t node) {
  hosts_[node].up = false;
  hosts_[node].node.reset();
  for (auto it = links_.begin(); it != links_.end();) {
    if (it->first != node && it->second != node) {
      ++it;
      continue;
    }
    const size_t other = it->first == node ? it->second : it->first;
    const std::string name = HostName(node);
    Schedule(kOtherDataCentreLatency,
             [this, other, name] { Deliver(other, PeerLost{name}); });
    it = links_.erase(it);
  }
}

void CapacityFleet::Restart(size_t node) { StartNode(node); }
void CapacityFleet::PartitionFrom(size_t first) { partition_from_ = first; }
void CapacityFleet::Heal() { partition_from_ = 0; }

void CapacityFleet::ChangeSettings(size_t node, size_t paths) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/settings";
  std::string changes;
  for (size_t i = 0; i < paths; ++i) {
    const uint64_t milliseconds = 1000 + random_() % 1000;
    if (i > 0) changes += ",";
    changes += "{\"path\":\"default/service-" + std::to_string(i) +
               "\",\"name\":\"deadline_ms\",\"value\":" +
               std::to_string(milliseconds) + "}";
  }
  request.body = Body("{\"author\":\"bench\",\"changes\":[" + changes + "]}");
  operator_call_ = next_call_++;
  Deliver(node, OperatorRequest{operator_call_, std::move(request)});
}

void CapacityFleet::SetCallRate(double calls_per_node, double keyed_share,
                                size_t entries) {
  call_rate_ = calls_per_node;
  keyed_share_ = keyed_share;
  ++call_generation_;
  if (call_rate_ <= 0) return;
  for (size_t node = 0; node < std::min(entries, hosts_.size()); ++node) {
    ScheduleCall(node, call_generation_);
  }
}

void CapacityFleet::ScheduleCall(size_t node, uint64_t generation) {
  std::exponential_distribution<double> gap(call_rate_);
  const Duration wait(static_cast<int64_t>(gap(random_) * 1e6));
  Schedule(wait, [this, node, generation] {
    if (generation != call_generation_ || !hosts_[node].up) return;
    const uint64_t call = next_call_++;
    HttpRequest request;
    const bool keyed =
        std::uniform_real_distribution<double>(0, 1)(random_) < keyed_share_;
    request.method = keyed ? "POST" : "GET";
    request.target = "/sessions/" + std::to_string(call);
    request.headers = {{"X-Amaranth-Service",
                        "service-" + std::to_string(random_() % services_)},
                       {"X-Amaranth-Class", "browse"},
                       {"X-Amaranth-Tenant", "arrieta"}};
    if (keyed) {
      request.headers.push_back(
          {"Idempotency-Key", "key-" + std::to_string(call)});
    }
    open_calls_.insert(call);
    Deliver(node, CallerRequest{call, std::move(request)});
    ScheduleCall(node, generation);
  });
}

bool CapacityFleet::IsReachable(size_t a, size_t b) const {
  if (partition_from_ == 0) return true;
  return (DataCentreOf(a) < partition_from_) ==
         (DataCentreOf(b) < partition_from_);
}

Duration CapacityFleet::Latency(size_t a, size_t b) {
  const bool same = DataCentreOf(a) == DataCentreOf(b);
  const int64_t base =
      (same ? kSameDataCentreLatency : kOtherDataCentreLatency).count();
  return Duration(base + static_cast<int64_t>(random_() % 200));
}

void CapacityFleet::RecordUsage(size_t node, uint64_t bytes, uint64_t nanos) {
  SimulatedHost& host = hosts_[node];
  const int64_t second = ToMicros(now_) / 1'000'000;
  if (second != host.second) {
    host.second = second;
    host.second_bytes = 0;
    host.second_nanos = 0;
  }
  host.second_bytes += bytes;
  host.second_nanos += nanos;
  peak_bytes_ = std::max(peak_bytes_, host.second_bytes);
  peak_nanos_ = std::max(peak_nanos_, host.second_nanos);
  usage_.bytes += bytes;
}

uint64_t CapacityFleet::TakePeakBytes() {
  return std::exchange(peak_bytes_, 0);
}

void CapacityFleet::CountPlatformCall() {
  const int64_t second = ToMicros(now_) / 1'000'000;
  if (second != platform_second_) platform_second_calls_ = 0;
  platform_second_ = second;
  ++platform_second_calls_;
  peak_platform_calls_ = std::max(peak_platform_calls_, platform_second_calls_);
}

uint64_t CapacityFleet::TakePeakPlatformCalls() {
  return std::exchange(peak_platform_calls_, 0);
}

uint64_t CapacityFleet::TakePeakNanos() {
  return std::exchange(peak_nanos_, 0);
}

void CapacityFleet::Deliver(size_t node, EventBody body) {
  SimulatedHost& host = hosts_[node];
  if (!host.up) return;
  const Event event{now_, std::move(body)};
  const uint64_t start = ProcessCpuNanos();
  const Effects effects = host.node->Reduce(event);
  const uint64_t elapsed_ns = CpuNanosSince(start);
  usage_.reducer_ns += elapsed_ns;
  RecordUsage(node, 0, elapsed_ns);
  ApplyEffects(node, effects);
}

void CapacityFleet::ApplyEffects(size_t node, const Effects& effects) {
  for (const Effect& effect : effects) {
    std::visit([&](const auto& body) { ApplyEffect(node, body); }, effect);
  }
}

void CapacityFleet::ApplyEffect(size_t, const AnswerCaller& effect) {
  if (effect.call == operator_call_) operator_answer_ = effect.response;
  if (open_calls_.erase(effect.call) == 0) return;
  if (effect.response.status == 200) {
    ++usage_.calls_ok;
  } else {
    ++usage_.calls_failed;
  }
}

void CapacityFleet::ApplyEffect(size_t node, const SendPeer& effect) {
  const auto found = by_name_.find(effect.peer);
  if (found == by_name_.end()) return;
  const size_t to = found->second;
  if (!hosts_[to].up || !IsReachable(node, to)) {
    Schedule(kConnectTimeout,
             [this, node, peer = effect.peer, message = effect.message] {
               Deliver(node, PeerSendFailed{peer, message});
             });
    return;
  }
  links_.insert({std::min(node, to), std::max(node, to)});
  const uint64_t start = ProcessCpuNanos();
  std::string bytes = EncodePeerMessage(effect.message);
  const uint64_t elapsed_ns = CpuNanosSince(start);
  usage_.codec_ns += elapsed_ns;
  ++usage_.messages;
  RecordUsage(node, bytes.size() + kFrameHeaderBytes, elapsed_ns);
  const NodeRef sender = hosts_[node].identity.node;
  Schedule(Latency(node, to), [this, to, sender, bytes = std::move(bytes)] {
    const uint64_t decode_start = ProcessCpuNanos();
    Outcome<PeerMessage> message = DecodePeerMessage(bytes);
    const uint64_t decode_ns = CpuNanosSince(decode_start);
    usage_.codec_ns += decode_ns;
    RecordUsage(to, 0, decode_ns);
    if (message) Deliver(to, PeerReceived{sender, std::move(message.value())});
  });
}

void CapacityFleet::ApplyEffect(size_t node, const ClosePeer& effect) {
  const size_t other = by_name_.at(effect.peer);
  links_.erase({std::min(node, other), std::max(node, other)});
  Schedule(kSameDataCentreLatency,
           [this, node, peer = effect.peer] { Deliver(node, PeerLost{peer}); });
}

void CapacityFleet::ApplyEffect(size_t node, const SendGossip& effect) {
  const uint64_t start = ProcessCpuNanos();
  std::string bytes = EncodeGossip(effect.message);
  const uint64_t elapsed_ns = CpuNanosSince(start);
  usage_.codec_ns += elapsed_ns;
  ++usage_.messages;
  RecordUsage(node, bytes.size(), elapsed_ns);
  const auto found = by_name_.find(effect.to.ip);
  if (found == by_name_.end()) return;
  const size_t to = found->second;
  if (!hosts_[to].up || !IsReachable(node, to)) return;
  const Endpoint from = hosts_[node].identity.gossip_address;
  Schedule(Latency(node, to), [this, to, from, bytes = std::move(bytes)] {
    const uint64_t decode_start = ProcessCpuNanos();
    Outcome<GossipMessage> message = DecodeGossip(bytes);
    const uint64_t decode_ns = CpuNanosSince(decode_start);
    usage_.codec_ns += decode_ns;
    RecordUsage(to, 0, decode_ns);
    if (message) Deliver(to, GossipReceived{from, std::move(message.value())});
  });
}

void CapacityFleet::ApplyEffect(size_t node, const SendServer& effect) {
  const uint64_t dispatch = effect.dispatch;
  Schedule(kServiceTime, [this, node, dispatch] {
    HttpResponse response;
    response.status = 200;
    response.body = Body(std::string(kResponseBodyBytes, 'x'));
    Deliver(node, ServerReplied{dispatch, std::move(response)});
  });
}

void CapacityFleet::ApplyEffect(size_t, const CancelServer&) {
  // Cancellation is not simulated: the server still answers after
  // kServiceTime.
}

void CapacityFleet::ApplyEffect(size_t node, const SendPlatform& effect) {
  PlatformReply reply = RunPlatform(effect.request);
  Schedule(kPlatformLatency,
           [this, node, op = effect.op, reply = std::move(reply)] {
             Deliver(node, PlatformReplied{op, reply});
           });
}

void CapacityFleet::ApplyEffect(size_t node, const WakeAt& effect) {
  SimulatedHost& host = hosts_[node];
  const uint64_t wake_generation = ++host.wake_generation;
  const Duration wait = std::max(effect.at - now_, Duration(0));
  Schedule(wait, [this, node, wake_generation] {
    if (hosts_[node].wake_generation == wake_generation) Deliver(node, Tick{});
  });
}

PlatformReply CapacityFleet::RunPlatform(const PlatformRequest& request) {
  CountPlatformCall();
  PlatformReply reply;
  reply.status = PlatformStatus::kOk;
  if (const auto* claims = std::get_if<TableClaimRows>(&request)) {
    ++usage_.platform_writes;
    usage_.platform_rows += claims->rows.size();
    for (const TableClaimRows::Row& row : claims->rows) {
      reply.holders.push_back(rows_.emplace(row.key, row.holder).first->second);
    }
  } else if (const auto* move = std::get_if<TableMoveHead>(&request)) {
    ++usage_.platform_writes;
    usage_.platform_rows += 2;
    if (move->expected_version != head_version_) {
      reply.status = PlatformStatus::kConditionFailed;
      return reply;
    }
    head_version_ = move->version;
    head_object_ = move->object;
    changes_[move->change_id] = move->version;
  } else if (const auto* put = std::get_if<ObjectPut>(&request)) {
    ++usage_.platform_writes;
    objects_[put->name] = put->bytes;
  } else if (const auto* write = std::get_if<TableWritePeer>(&request)) {
    ++usage_.platform_writes;
    ++usage_.platform_rows;
    rows_["peer/" + write->name] = write->address;
  } else if (std::holds_alternative<TableWriteRetained>(request)) {
    ++usage_.platform_writes;
    ++usage_.platform_rows;
  } else {
    ++usage_.platform_reads;
    if (std::holds_alternative<TableReadHead>(request)) {
      reply.version = head_version_;
      reply.bytes = head_object_;
      if (head_version_ == 0) reply.status = PlatformStatus::kNotFound;
    } else if (const auto* read = std::get_if<TableReadChange>(&request)) {
      const auto found = changes_.find(read->change_id);
      if (found == changes_.end()) reply.status = PlatformStatus::kNotFound;
      if (found != changes_.end()) reply.version = found->second;
    } else if (const auto* get = std::get_if<ObjectGet>(&request)) {
      reply.bytes = objects_[get->name];
    }
  }
  return reply;
}

}  // namespace amaranth::bench
