// A backend server that echoes requests, for measuring the latency that the
// system adds. Announces itself to its node, answers each request with the
// request's token, and reports how many times it has run that token.

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libhost/http_client.h"
#include "libhost/http_frontend.h"

namespace amaranth::bench {
namespace {

constexpr std::chrono::milliseconds kAnnouncePeriod{500};
constexpr Duration kAnnounceTimeout = std::chrono::seconds(1);

struct Options {
  std::string ip;
  std::string name;
  std::string service;
  uint32_t slots = 0;
  uint16_t port = 0;
  Endpoint node;
  std::chrono::microseconds service_time{0};
};

// Counts how many times each token ran. A token is run << 32 | sequence, where
// run is the number of a load_tool run.
class RunCounts {
 public:
  unsigned Add(uint64_t token) {
    const uint64_t sequence = token & 0xffffffffu;
    if (sequence > kMaxSequence) return 0;
    std::vector<uint8_t>& counts = runs_[token >> 32];
    if (counts.size() <= sequence) counts.resize(2 * sequence + 1024);
    return ++counts[sequence];
  }

 private:
  static constexpr uint64_t kMaxSequence = 50'000'000;

  std::unordered_map<uint64_t, std::vector<uint8_t>> runs_;
};

class EchoServer {
 public:
  EchoServer(asio::io_context& io, Options options)
      : io_(io),
        options_(std::move(options)),
        client_(io, {}),
        announce_timer_(io) {
    pvt::HttpFrontendHooks hooks;
    hooks.on_request = [this](CallId call, const HttpRequest& request) {
      HandleRequest(call, request);
    };
    hooks.on_caller_gone = [](CallId) {};
    frontend_ = std::make_unique<pvt::HttpFrontend>(
        io, Endpoint{options_.ip, options_.port}, pvt::HttpFrontendOptions{},
        std::make_shared<pvt::HttpIntake>(), std::move(hooks));
  }

  uint16_t port() const { return frontend_->port(); }

  void Announce() {
    if (options_.node.port == 0) return;
    const Endpoint own_address{options_.ip, port()};
    const nlohmann::json body = {{"server", options_.name},
                                 {"service", options_.service},
                                 {"address", ToString(own_address)},
                                 {"slots", options_.slots}};
    client_.Send(options_.node,
                 {"POST", "/amaranth/v1/announce", {}, Body(body.dump())},
                 kAnnounceTimeout, [](const HttpClientResult&) {});
    announce_timer_.expires_after(kAnnouncePeriod);
    announce_timer_.async_wait([this](const asio::error_code& error) {
      if (!error) Announce();
    });
  }

 private:
  void HandleRequest(CallId call, const HttpRequest& request) {
    if (options_.service_time.count() == 0) {
      Echo(call, request);
      return;
    }
    const auto timer =
        std::make_shared<asio::steady_timer>(io_, options_.service_time);
    timer->async_wait([this, timer, call, request](const asio::error_code&) {
      Echo(call, request);
    });
  }

  void Echo(CallId call, const HttpRequest& request) {
    const std::string token(FindHeader(request.headers, "X-Token"));
    HttpResponse response;
    const uint64_t token_number = std::strtoull(token.c_str(), nullptr, 10);
    response.headers = {
        {"X-Echo-Token", token},
        {"X-Echo-Runs", std::to_string(counts_.Add(token_number))}};
    response.body = request.body.size() > 0 ? request.body : Body(token);
    frontend_->Answer(call, response);
  }

  asio::io_context& io_;
  Options options_;
  pvt::HttpClient client_;
  asio::steady_timer announce_timer_;
  std::unique_ptr<pvt::HttpFrontend> frontend_;
  RunCounts counts_;
};

Endpoint ToEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  return {text.substr(0, colon),
          static_cast<uint16_t>(std::stoul(text.substr(colon + 1)))};
}

Options Parse(int argc, char** argv) {
  cxxopts::Options parser("echo_server",
                          "A backend server that echoes requests.");
  cxxopts::OptionAdder add = parser.add_options();
  add("ip", "IP address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("port", "port to listen on; 0 for any free port",
      cxxopts::value<uint16_t>()->default_value("0"));
  add("name", "name of the backend server",
      cxxopts::value<std::string>()->default_value("echo-1"));
  add("service", "service",
      cxxopts::value<std::string>()->default_value("echo"));
  add("slots", "slots", cxxopts::value<uint32_t>()->default_value("1000"));
  add("node", "IP:PORT of the node to announce to; none if empty",
      cxxopts::value<std::string>()->default_value(""));
  add("work-us", "service time of each request in microseconds",
      cxxopts::value<int64_t>()->default_value("0"));
  const cxxopts::ParseResult parsed = parser.parse(argc, argv);
  Options options;
  options.ip = parsed["ip"].as<std::string>();
  options.port = parsed["port"].as<uint16_t>();
  options.name = parsed["name"].as<std::string>();
  options.service = parsed["service"].as<std::string>();
  options.slots = parsed["slots"].as<uint32_t>();
  options.node = ToEndpoint(parsed["node"].as<std::string>());
  options.service_time =
      std::chrono::microseconds(parsed["work-us"].as<int64_t>());
  return options;
}

int Main(int argc, char** argv) {
  try {
    asio::io_context io(1);
    EchoServer server(io, Parse(argc, argv));
    std::cout << server.port() << std::endl;
    server.Announce();
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "echo_server: " << error.what() << "\n";
    return 1;
  }
}

}  // namespace
}  // namespace amaranth::bench

int main(int argc, char** argv) { return amaranth::bench::Main(argc, argv); }
