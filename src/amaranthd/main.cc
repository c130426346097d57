// The node program: reads its options, joins the reducer with the shells, and
// runs until it is asked to stop.
//
// Exit codes: 0 drained and ended, 1 stopped at once (second signal) or could
// not start, 2 options are wrong.

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

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// A stopping process that has a grace must not overrun it for a slow reader: it
// would be killed with its other connections.
constexpr std::chrono::milliseconds kFlushInGrace{300};

// Of the grace that a stopping process has, the part in which it waits for
// requests in flight; the rest is for writing the last answers.
constexpr double kDrainPartOfGrace = 0.85;

// Later starts on one host get higher numbers as long as its wall clock does
// not go back by more than the time between two starts; if it does, the node
// learns of it from its peers and starts again (Host::restart_above).
uint64_t NewIncarnation() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// Renamed into place, so that a reader never sees half of it.
void WritePortsFile(const std::string& path, const NodeIdentity& identity,
                    const HostPorts& ports) {
  const nlohmann::json text = {
      {"node", identity.node.name}, {"incarnation", identity.node.incarnation},
      {"pid", ::getpid()},          {"ip", identity.peer_address.ip},
      {"caller", ports.caller},     {"operator", ports.operators},
      {"peer", ports.peer},         {"gossip", ports.gossip},
      {"announce", ports.announce}};
  const std::string partial = path + ".partial";
  std::ofstream(partial) << text.dump() << "\n";
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
  host.max_buffered_bytes = options.identity.max_buffered_bytes;
  if (options.announce_port) {
    host.announce_listen = Endpoint{options.ip, *options.announce_port};
  }
  if (options.rows) platform::AdaptShells(host);
  if (options.stop_grace.count() > 0) host.flush_timeout = kFlushInGrace;
  host.client.max_response_bytes = options.identity.max_body_bytes;
  host.log.level = options.log_level;
  host.log.format = options.log_format;
  host.log.node = options.identity.node.name;
  return host;
}

// Writes each event with its effects' digest, for `amaranthctl replay`. A new
// process starts a new log: a replay drives one node from its start.
HostReducer Recorded(const HostReducer& reducer, const NodeIdentity& identity,
                     const std::string& path) {
  const std::shared_ptr<std::ofstream> file =
      std::make_shared<std::ofstream>(path, std::ios::trunc);
  if (!*file) throw std::runtime_error("cannot write " + path);
  HostReducer recorded;
  recorded.start = [file, identity, start = reducer.start](TimePoint now) {
    *file << FormatIdentity(identity, now) << "\n";
    return start(now);
  };
  recorded.reduce = [file, reduce = reducer.reduce](const Event& event) {
    Effects effects = reduce(event);
    *file << FormatEvent(event, DigestOf(effects)) << "\n";
    return effects;
  };
  return recorded;
}

// The node is made when the ports are bound: it tells its peers of them.
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
    reducer = Recorded(reducer, identity, options.record_file);
  }
  if (!options.rows) return reducer;
  return platform::Adapt(reducer, {options.server_service});
}

std::shared_ptr<PlatformBridge> MakePlatform(asio::io_context& io,
                                             const DaemonOptions& options) {
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

std::shared_ptr<platform::RowStore> MakeRowStore(asio::io_context& io,
                                                 const DaemonOptions& options) {
  if (!options.rows) return nullptr;
  platform::RowStoreOptions rows;
  rows.address = *options.rows;
  rows.config.mesh = options.identity.mesh;
  rows.config.drain_timeout = std::chrono::duration_cast<Duration>(
      options.stop_grace * kDrainPartOfGrace);
  HttpClientOptions client;
  client.ack_timeout = platform::kSilenceLimit;
  const auto http = std::make_shared<HttpClient>(io, client);
  const auto log = std::make_shared<LogSink>(ToHostOptions(options).log);
  return std::make_shared<platform::RowStore>(
      rows, MakeHttpCall(http), [log](const std::string& text) {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        log->Write(TimePoint(std::chrono::duration_cast<Duration>(now)),
                   {LogLevel::kWarning, "store", text});
      });
}

// The shell's calls to the platform go to `store`, if there is one.
template <typename Store>
void UseStore(const std::shared_ptr<Store>& store, HostHooks& hooks) {
  if (!store) return;
  hooks.platform = [store](const PlatformRequest& request,
                           std::function<void(PlatformReply)> done) {
    store->Call(request, std::move(done));
  };
}

struct RunResult {
  int exit_code = kExitFailed;
  uint64_t restart_above = 0;  // as Host::restart_above
};

RunResult RunOnce(const DaemonOptions& options) {
  asio::io_context io(1);
  HostHooks hooks;
  UseStore(MakeRowStore(io, options), hooks);
  UseStore(MakePlatform(io, options), hooks);
  hooks.make_reducer = [&options](const HostPorts& ports) {
    return MakeReducer(options, ports);
  };
  Host host(io, ToHostOptions(options), std::move(hooks));
  host.HandleSignals();
  host.Start();
  io.run();
  return {host.exited() ? kExitDone : kExitFailed, host.restart_above()};
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
  if (!parsed.text.empty()) {
    std::cout << parsed.text;
    return kExitDone;
  }
  for (const std::string& error : parsed.errors) {
    std::cerr << "amaranthd: " << error << "\n";
  }
  if (!parsed.errors.empty()) return kExitUsage;
  NodeIdentity& identity = parsed.options.identity;
  identity.node.incarnation = NewIncarnation();
  if (identity.random_seed == 0) {
    identity.random_seed = identity.node.incarnation;
  }
  try {
    return Run(parsed.options);
  } catch (const std::exception& error) {
    std::cerr << "amaranthd: " << error.what() << "\n";
    return kExitFailed;
  }
}

}  // namespace
}  // namespace amaranth::pvt

int main(int argc, char** argv) {
  // A log collector that ends would end the node with its next line.
  std::signal(SIGPIPE, SIG_IGN);
  return amaranth::pvt::Main(argc, argv);
}
