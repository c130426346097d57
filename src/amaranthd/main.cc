// Entry point of the node: parses the options, connects the reducer to the I/O
// shells and runs until the process is asked to stop.
//
// Exit codes: 0 drained and exited, 1 stopped immediately (second signal) or
// failed to start, 2 invalid options.

#include <unistd.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "amaranthd/options.h"
#include "amaranthroute/event_log.h"
#include "amaranthroute/reducer.h"
#include "libhost/host.h"
#include "libhost/platform_bridge.h"
#include "platform/adapter.h"
#include "platform/row_store.h"

namespace amaranth::pvt {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

// Limits how long an exit that nobody has asked for waits for callers that read
// slowly when a stop grace is set.
constexpr std::chrono::milliseconds kFlushTimeoutWithinGrace{300};

// Share of the stop grace after which a stopping process no longer waits for
// callers that read slowly. A process that exceeds the grace is killed.
constexpr double kExitShareOfGrace = 0.95;

// Share of the stop grace in which a stopping process waits for requests in
// flight. The rest is left for writing the last answers.
constexpr double kDrainShareOfGrace = 0.85;

// Returns the wall clock time in microseconds. Later starts on one host get
// higher numbers unless the clock is set back by more than the time between two
// starts. In that case the node learns from its peers that its incarnation is
// too low, and restarts with a higher one (Host::restart_above).
uint64_t NewIncarnation() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// Writes a temporary file and renames it, so that a reader never sees a partly
// written file.
void WritePortsFile(const std::string& path, const NodeIdentity& identity,
                    const HostPorts& ports) {
  const nlohmann::json contents = {
      {"node", identity.node.name}, {"incarnation", identity.node.incarnation},
      {"pid", ::getpid()},          {"ip", identity.peer_address.ip},
      {"caller", ports.caller},     {"operator", ports.operators},
      {"peer", ports.peer},         {"gossip", ports.gossip},
      {"announce", ports.announce}};
  const std::string partial = path + ".partial";
  std::ofstream(partial) << contents.dump() << "\n";
  if (std::rename(partial.c_str(), path.c_str()) != 0) {
    throw std::runtime_error("cannot write " + path);
  }
}

HostOptions ToHostOptions(const DaemonOptions& options) {
  HostOptions host;
  host.self = Hello{options.identity.node, options.identity.fleet,
                    options.identity.data_centre};
  host.caller_listen = {options.ip, options.caller_port};
  host.operator_listen = {options.ip, options.operator_port};
  host.peer_listen = {options.ip, options.peer_port};
  host.gossip_listen = {options.ip, options.gossip_port};
  host.frontend.node_name = options.identity.node.name;
  host.frontend.max_body_bytes = options.identity.max_body_bytes;
  host.budget =
      std::make_shared<MemoryBudget>(options.identity.max_buffered_bytes);
  if (options.announce_port) {
    host.announce_listen = Endpoint{options.ip, *options.announce_port};
  }
  if (options.rows) platform::ConfigureHttpClient(host);
  if (options.stop_grace.count() > 0) {
    host.flush_timeout = kFlushTimeoutWithinGrace;
    host.stop_limit = std::chrono::duration_cast<std::chrono::milliseconds>(
        options.stop_grace * kExitShareOfGrace);
  }
  host.client.max_response_bytes = options.identity.max_body_bytes;
  host.log.level = options.log_level;
  host.log.format = options.log_format;
  host.log.node = options.identity.node.name;
  return host;
}

// Wraps `reducer` to log each event with the digest of its effects, for
// `amaranthctl replay`. An existing file is truncated, because a replay drives
// one node from its start.
HostReducer WithRecording(const HostReducer& reducer,
                          const NodeIdentity& identity,
                          const std::string& path) {
  const std::shared_ptr<std::ofstream> file =
      std::make_shared<std::ofstream>(path, std::ios::trunc);
  if (!*file) throw std::runtime_error("cannot write " + path);
  HostReducer recording;
  recording.start = [file, identity, start = reducer.start](TimePoint now) {
    *file << FormatIdentity(identity, now) << "\n";
    return start(now);
  };
  recording.reduce = [file, reduce = reducer.reduce](const Event& event) {
    Effects effects = reduce(event);
    *file << FormatEvent(event, DigestOf(effects)) << "\n";
    return effects;
  };
  return recording;
}

// Called after the ports are bound, because the node announces their numbers to
// its peers.
HostReducer MakeReducer(const DaemonOptions& options, const HostPorts& ports) {
  NodeIdentity identity = options.identity;
  const std::string& ip = options.ip;
  identity.peer_address = {ip, ports.peer};
  identity.gossip_address = {ip, ports.gossip};
  const auto node = std::make_shared<Node>(identity);
  if (!options.ports_file.empty()) {
    WritePortsFile(options.ports_file, identity, ports);
  }
  HostReducer reducer;
  reducer.start = [node](TimePoint now) { return node->Start(now); };
  reducer.reduce = [node](const Event& event) { return node->Reduce(event); };
  if (!options.record_file.empty()) {
    reducer = WithRecording(reducer, identity, options.record_file);
  }
  if (!options.rows) return reducer;
  return platform::Adapt(reducer, {options.server_service});
}

std::shared_ptr<PlatformBridge> MakePlatformBridge(
    asio::io_context& io, const DaemonOptions& options) {
  if (!options.platform) return nullptr;
  PlatformOptions platform;
  platform.table_endpoint = options.platform->table;
  platform.object_endpoint = options.platform->objects;
  platform.fleet = options.identity.fleet;
  platform.credentials.access_key = options.platform->access_key;
  platform.credentials.secret_key = options.platform->secret_key;
  platform.credentials.region = options.identity.region;
  return std::make_shared<PlatformBridge>(io, std::move(platform));
}

std::shared_ptr<platform::RowStore> MakeRowStore(
    asio::io_context& io, const DaemonOptions& options,
    const std::shared_ptr<MemoryBudget>& budget) {
  if (!options.rows) return nullptr;
  platform::RowStoreOptions rows;
  rows.address = *options.rows;
  rows.config.mesh = options.identity.mesh;
  rows.config.drain_timeout = std::chrono::duration_cast<Duration>(
      options.stop_grace * kDrainShareOfGrace);
  HttpClientOptions client;
  client.ack_timeout = platform::kAckTimeout;
  client.budget = budget;
  const auto http = std::make_shared<HttpClient>(io, client);
  const auto log = std::make_shared<LogSink>(ToHostOptions(options).log);
  return std::make_shared<platform::RowStore>(
      rows, MakeHttpCall(http), [log](const std::string& message) {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        log->Write(TimePoint(std::chrono::duration_cast<Duration>(now)),
                   {LogLevel::kWarning, "store", message});
      });
}

// Routes the shell's platform requests to `store`, unless it is null.
template <typename Store>
void SetPlatformHook(const std::shared_ptr<Store>& store, HostHooks& hooks) {
  if (!store) return;
  hooks.platform = [store](const PlatformRequest& request,
                           std::function<void(PlatformReply)> done) {
    store->Call(request, std::move(done));
  };
}

struct RunResult {
  int exit_code = kExitFailure;
  uint64_t restart_above = 0;  // see Host::restart_above
};

RunResult RunOnce(const DaemonOptions& options) {
  asio::io_context io(1);
  HostHooks hooks;
  const HostOptions host_options = ToHostOptions(options);
  SetPlatformHook(MakeRowStore(io, options, host_options.budget), hooks);
  SetPlatformHook(MakePlatformBridge(io, options), hooks);
  hooks.make_reducer = [&options](const HostPorts& ports) {
    return MakeReducer(options, ports);
  };
  Host host(io, host_options, std::move(hooks));
  host.HandleSignals();
  host.Start();
  io.run();
  return {host.exited() ? kExitSuccess : kExitFailure, host.restart_above()};
}

int Run(DaemonOptions options) {
  RunResult result = RunOnce(options);
  while (result.restart_above != 0) {
    options.identity.node.incarnation = result.restart_above + 1;
    result = RunOnce(options);
  }
  return result.exit_code;
}

int Main(int argc, const char* const* argv) {
  ParsedOptions parsed = ParseDaemonOptions(
      argc, argv,
      [](const char* name) -> const char* { return std::getenv(name); });
  if (!parsed.help_text.empty()) {
    std::cout << parsed.help_text;
    return kExitSuccess;
  }
  for (const std::string& error : parsed.errors) {
    std::cerr << "amaranthd: " << error << "\n";
  }
  if (!parsed.errors.empty()) return kExitUsage;
  NodeIdentity& identity = parsed.options.identity;
  identity.node.incarnation = NewIncarnation();
  identity.started_ms = identity.node.incarnation / 1000;
  if (identity.random_seed == 0) {
    identity.random_seed = identity.node.incarnation;
  }
  try {
    return Run(parsed.options);
  } catch (const std::exception& error) {
    std::cerr << "amaranthd: " << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace
}  // namespace amaranth::pvt

int main(int argc, char** argv) {
  // Otherwise the first log line written after the log collector exits would
  // kill the node.
  std::signal(SIGPIPE, SIG_IGN);
  return amaranth::pvt::Main(argc, argv);
}
