// Stand-in for one backend server: announces itself to its host's node, runs
// requests in its slots, makes nested calls through the node, and injects the
// faults set at /_standin/fault. Serves counts of the requests that it ran at
// /_standin/effects.

#include <curl/curl.h>
#include <signal.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "effect_log.h"
#include "http_server.h"
#include "node_client.h"
#include "slot_queue.h"

namespace amaranth::testsuite {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kAnnouncePeriod(500);
constexpr milliseconds kAnnounceTimeout(1000);
// After its node has confirmed the leave, a server exits once it has been idle
// for this long, so that calls that the node had already sent are answered.
constexpr milliseconds kIdleBeforeExit(300);
constexpr milliseconds kNestedTimeout(60'000);
constexpr milliseconds kHangTime(3'600'000);
// Factor on the service time directly after the start. Decreases linearly to 1
// during the cold start.
constexpr double kColdStartFactor = 5.0;

struct NestedCall {
  std::string service;
  std::string method;  // empty: the method of the parent request
};

struct Options {
  std::string name;
  std::string service;
  std::string ip;
  std::string node;
  std::string announce_address;
  std::string ports_file;
  uint16_t port = 0;
  uint32_t slots = 0;
  int connections = 0;
  milliseconds service_time{0};
  milliseconds cold_start{0};
  size_t body_bytes = 0;
  std::vector<NestedCall> calls;
};

// Faults to inject, set at /_standin/fault.
struct Faults {
  int service_ms = -1;  // -1: value of the --service-ms flag
  std::string crash_on_token;
  bool hang = false;
  double error_rate = 0;
  bool truncate = false;
  bool refuse = false;  // sheds each request: 503 before it runs
};

std::vector<NestedCall> ParseCalls(const std::string& text) {
  std::vector<NestedCall> calls;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    const size_t colon = item.find(':');
    NestedCall call;
    call.service = item.substr(0, colon);
    if (colon != std::string::npos) call.method = item.substr(colon + 1);
    calls.push_back(call);
  }
  return calls;
}

class Backend {
 public:
  explicit Backend(Options options)
      : options_(std::move(options)),
        slots_(options_.slots),
        server_({options_.ip, options_.port, options_.connections},
                [this](Exchange& exchange) { Handle(exchange); }) {}

  uint16_t port() const { return server_.port(); }

  // Announces itself until SIGTERM or SIGINT, then leaves and waits until it is
  // idle. Returns at once on another signal before the node has confirmed the
  // leave.
  void RunUntilSignal(const sigset_t& signals) {
    const timespec period{0, std::chrono::nanoseconds(kAnnouncePeriod).count()};
    do {
      PostToNode("/amaranth/v1/announce", Announcement());
    } while (sigtimedwait(&signals, nullptr, &period) < 0);
    std::cerr << "backend: " << options_.name << " is leaving\n";
    while (!PostToNode("/amaranth/v1/leave", {{"server", options_.name}})) {
      if (sigtimedwait(&signals, nullptr, &period) >= 0) return;
    }
    while (!IsIdle()) std::this_thread::sleep_for(milliseconds(10));
    std::cerr << "backend: " << options_.name
              << " exits, no requests in flight\n";
  }

 private:
  bool IsIdle() const {
    const Clock::time_point last(Clock::duration(last_request_end_.load()));
    return in_flight_ == 0 && Clock::now() - last >= kIdleBeforeExit;
  }

  json Announcement() const {
    std::string address = options_.announce_address;
    if (address.empty()) {
      address = options_.ip + ":" + std::to_string(port());
    }
    return {{"server", options_.name},
            {"service", options_.service},
            {"address", address},
            {"slots", options_.slots},
            {"draining", false}};
  }

  bool PostToNode(const std::string& target, const json& body) {
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = Body(body.dump());
    const std::optional<HttpResponse> response =
        CallNode(options_.node, request, kAnnounceTimeout);
    return response && response->status < 300;
  }

  void Handle(Exchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.target == "/_standin/effects") {
      exchange.Answer(JsonResponse(200, effects_.ToJson()));
    } else if (request.target == "/_standin/fault") {
      exchange.Answer(SetFaults(request));
    } else if (request.target == "/health") {
      exchange.Answer(JsonResponse(200, R"({"status":"ok"})"));
    } else {
      ++in_flight_;
      Serve(exchange);
      last_request_end_ = Clock::now().time_since_epoch().count();
      --in_flight_;
    }
  }

  HttpResponse SetFaults(const HttpRequest& request) {
    const json body = json::parse(request.body.view(), nullptr, false);
    if (!body.is_object()) return JsonResponse(400, R"({"error":"not JSON"})");
    std::lock_guard<std::mutex> lock(mutex_);
    faults_.service_ms = body.value("service_ms", faults_.service_ms);
    faults_.crash_on_token =
        body.value("crash_on_token", faults_.crash_on_token);
    faults_.hang = body.value("hang", faults_.hang);
    faults_.error_rate = body.value("error_rate", faults_.error_rate);
    faults_.truncate = body.value("truncate", faults_.truncate);
    faults_.refuse = body.value("refuse", faults_.refuse);
    return JsonResponse(200, "{}");
  }

  Faults faults() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return faults_;
  }

  void Serve(Exchange& exchange) {
    const HttpRequest& request = exchange.request();
    const Clock::time_point arrival = Clock::now();
    SlotGuard slot(slots_);
    const Faults faults = this->faults();
    if (faults.refuse || IsPastDeadline(request, arrival) ||
        exchange.WaitForClose(milliseconds(0))) {
      effects_.RecordRefusal();
      exchange.Answer(JsonResponse(faults.refuse ? 503 : 504, "{}"));
      return;
    }
    effects_.RecordStart(request);
    Run(exchange, faults);
    effects_.RecordFinish();
  }

  void Run(Exchange& exchange, const Faults& faults) {
    const std::string token(FindHeader(exchange.request().headers, "X-Token"));
    if (!faults.crash_on_token.empty() && token == faults.crash_on_token) {
      std::cerr << "backend: " << options_.name << " crashes on " << token
                << "\n";
      std::abort();
    }
    const milliseconds time = faults.hang ? kHangTime : ServiceTime(faults);
    if (exchange.WaitForClose(time)) return;  // caller closed the connection
    if (InjectsError(faults)) {
      exchange.Answer(JsonResponse(500, R"({"error":"fault"})"));
      return;
    }
    const HttpResponse response = RunNestedCalls(exchange.request(), token);
    if (faults.truncate) {
      exchange.AnswerTruncated(response);
    } else {
      exchange.Answer(response);
    }
  }

  static bool IsPastDeadline(const HttpRequest& request,
                             Clock::time_point arrival) {
    const std::string text(
        FindHeader(request.headers, "X-Amaranth-Deadline-Ms"));
    if (text.empty()) return false;
    const milliseconds deadline(std::strtoll(text.c_str(), nullptr, 10));
    return Clock::now() - arrival >= deadline;
  }

  milliseconds ServiceTime(const Faults& faults) const {
    milliseconds time = options_.service_time;
    if (faults.service_ms >= 0) time = milliseconds(faults.service_ms);
    const Clock::duration age = Clock::now() - start_;
    if (age >= options_.cold_start) return time;
    const double cold_fraction =
        1.0 - std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(options_.cold_start);
    return std::chrono::duration_cast<milliseconds>(
        time * (1.0 + (kColdStartFactor - 1.0) * cold_fraction));
  }

  // Spreads errors evenly and deterministically: the k-th request fails if the
  // integer part of k * rate exceeds that of (k - 1) * rate, so that the same
  // requests fail in each run.
  bool InjectsError(const Faults& faults) {
    const uint64_t count = ++error_checks_;
    return static_cast<uint64_t>(count * faults.error_rate) !=
           static_cast<uint64_t>((count - 1) * faults.error_rate);
  }

  // Makes the nested calls in order and returns the response. The first nested
  // call that fails determines the status and Retry-After of the response.
  HttpResponse RunNestedCalls(const HttpRequest& request,
                              const std::string& token) {
    json answer = {{"service", options_.service},
                   {"server", options_.name},
                   {"token", token},
                   {"nested", json::array()}};
    for (const NestedCall& call : options_.calls) {
      const std::optional<HttpResponse> nested = CallNested(request, call);
      if (!nested || nested->status >= 300) {
        return NestedFailure(std::move(answer), call, nested);
      }
      answer["nested"].push_back(
          json::parse(nested->body.view(), nullptr, false));
    }
    if (options_.body_bytes > 0) {
      answer["padding"] = std::string(options_.body_bytes, 'x');
    }
    return JsonResponse(200, answer.dump());
  }

  static HttpResponse NestedFailure(json answer, const NestedCall& call,
                                    const std::optional<HttpResponse>& nested) {
    answer["failed_nested"] = call.service;
    if (!nested) return JsonResponse(502, answer.dump());
    answer["failure"] = json::parse(nested->body.view(), nullptr, false);
    HttpResponse response = JsonResponse(nested->status, answer.dump());
    const std::string_view retry_after =
        FindHeader(nested->headers, "Retry-After");
    if (!retry_after.empty()) {
      SetHeader(response.headers, "Retry-After", retry_after);
    }
    return response;
  }

  std::optional<HttpResponse> CallNested(const HttpRequest& incoming,
                                         const NestedCall& call) const {
    HttpRequest request;
    request.method = call.method.empty() ? incoming.method : call.method;
    request.target = incoming.target;
    request.headers = {{"X-Amaranth-Service", call.service}};
    for (const char* name : {"X-Amaranth-Context", "X-Token"}) {
      const std::string_view value = FindHeader(incoming.headers, name);
      if (!value.empty()) SetHeader(request.headers, name, value);
    }
    return CallNode(options_.node, request, kNestedTimeout);
  }

  const Options options_;
  const Clock::time_point start_ = Clock::now();
  mutable std::mutex mutex_;
  Faults faults_;
  EffectLog effects_;
  SlotQueue slots_;
  std::atomic<int> in_flight_{0};
  std::atomic<int64_t> last_request_end_{
      Clock::now().time_since_epoch().count()};
  std::atomic<uint64_t> error_checks_{0};
  HttpServer server_;  // last: its threads use the members above
};

cxxopts::Options Flags() {
  cxxopts::Options flags("backend_standin", "Stand-in for a backend server");
  cxxopts::OptionAdder add = flags.add_options();
  add("name", "name of this server", cxxopts::value<std::string>());
  add("service", "service that it provides", cxxopts::value<std::string>());
  add("ip", "own IP address",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("port", "own port, 0 for any free port",
      cxxopts::value<uint16_t>()->default_value("0"));
  add("node", "address (ip:port) of the callers' port of its host's node",
      cxxopts::value<std::string>());
  add("announce-address", "address to announce instead of its own",
      cxxopts::value<std::string>()->default_value(""));
  add("slots", "maximum number of requests run concurrently",
      cxxopts::value<uint32_t>()->default_value("100"));
  add("connections", "maximum number of open connections",
      cxxopts::value<int>()->default_value("750"));
  add("service-ms", "service time of a request in milliseconds",
      cxxopts::value<int>()->default_value("5"));
  add("cold-start-ms", "duration of the cold start in milliseconds",
      cxxopts::value<int>()->default_value("0"));
  add("calls", "nested calls: service[:METHOD],...",
      cxxopts::value<std::string>()->default_value(""));
  add("body-bytes", "bytes of padding in each answer",
      cxxopts::value<size_t>()->default_value("0"));
  add("ports-file", "file to write its port to, as JSON",
      cxxopts::value<std::string>()->default_value(""));
  return flags;
}

Options ParseOptions(int argc, char** argv) {
  const cxxopts::ParseResult flags = Flags().parse(argc, argv);
  Options options;
  options.name = flags["name"].as<std::string>();
  options.service = flags["service"].as<std::string>();
  options.ip = flags["ip"].as<std::string>();
  options.node = flags["node"].as<std::string>();
  options.announce_address = flags["announce-address"].as<std::string>();
  options.ports_file = flags["ports-file"].as<std::string>();
  options.port = flags["port"].as<uint16_t>();
  options.slots = flags["slots"].as<uint32_t>();
  options.connections = flags["connections"].as<int>();
  options.service_time = milliseconds(flags["service-ms"].as<int>());
  options.cold_start = milliseconds(flags["cold-start-ms"].as<int>());
  options.body_bytes = flags["body-bytes"].as<size_t>();
  options.calls = ParseCalls(flags["calls"].as<std::string>());
  return options;
}

int Main(int argc, char** argv) {
  // Blocks the signals before any thread starts, so that only the main thread
  // receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);

  const Options options = ParseOptions(argc, argv);
  Backend backend(options);
  WritePortFile(options.ports_file, backend.port());
  backend.RunUntilSignal(signals);
  // Exits without joining the threads of idle connections, which are still
  // running.
  std::_Exit(0);
}

}  // namespace
}  // namespace amaranth::testsuite

int main(int argc, char** argv) {
  try {
    return amaranth::testsuite::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "backend: " << error.what() << "\n";
    return 2;
  }
}
