// Stand-in for the platform: an in-memory table service and object store on one
// port. Faults are set at /_standin/fault; counters are served at
// /_standin/counts.

#include <signal.h>

#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "http_server.h"
#include "platform_model.h"

namespace amaranth::testsuite {
namespace {

using nlohmann::json;

enum class Mode { kOk, kDown, kSlow };

struct Faults {
  Mode mode = Mode::kOk;
  int delay_ms = 0;      // kSlow: delay before each answer
  int lose_answers = 0;  // number of writes to apply without an answer
  std::set<std::string> refuse_from;  // access keys whose requests are dropped
};

Mode ParseMode(const std::string& text) {
  if (text == "down") return Mode::kDown;
  return text == "slow" ? Mode::kSlow : Mode::kOk;
}

// Returns KEY from "AWS4-HMAC-SHA256 Credential=KEY/DATE/...", empty if absent.
std::string AccessKey(const HttpRequest& request) {
  const std::string_view text = FindHeader(request.headers, "Authorization");
  constexpr std::string_view kStart = "Credential=";
  const size_t start = text.find(kStart);
  if (start == std::string_view::npos) return {};
  const std::string_view rest = text.substr(start + kStart.size());
  return std::string(rest.substr(0, rest.find('/')));
}

bool IsWrite(const HttpRequest& request) {
  const std::string_view target = FindHeader(request.headers, "X-Amz-Target");
  if (target.empty()) return request.method == "PUT";
  return target.find("Put") != std::string_view::npos ||
         target.find("Write") != std::string_view::npos;
}

class Platform {
 public:
  Platform(const std::string& ip, uint16_t port)
      : server_({ip, port, 4096},
                [this](Exchange& exchange) { Handle(exchange); }) {}

  uint16_t port() const { return server_.port(); }

 private:
  void Handle(Exchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.target == "/_standin/fault") {
      exchange.Answer(SetFaults(request));
    } else if (request.target == "/_standin/counts") {
      exchange.Answer(Counts());
    } else {
      Serve(exchange);
    }
  }

  void Serve(Exchange& exchange) {
    const HttpRequest& request = exchange.request();
    const Faults faults = this->faults();
    const bool key_refused = faults.refuse_from.count(AccessKey(request)) > 0;
    if (faults.mode == Mode::kDown || key_refused) {
      exchange.Drop();
      return;
    }
    const HttpResponse response = model_.Handle(request);
    if (IsWrite(request) && ConsumeLostAnswer()) {
      exchange.Drop();
      return;
    }
    if (faults.mode == Mode::kSlow) {
      exchange.WaitForClose(std::chrono::milliseconds(faults.delay_ms));
    }
    exchange.Answer(response);
  }

  Faults faults() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return faults_;
  }

  bool ConsumeLostAnswer() {
    std::lock_guard<std::mutex> lock(mutex_);
    if (faults_.lose_answers == 0) return false;
    --faults_.lose_answers;
    ++answers_lost_;
    return true;
  }

  HttpResponse SetFaults(const HttpRequest& request) {
    const json body = json::parse(request.body.view(), nullptr, false);
    if (!body.is_object()) return JsonResponse(400, R"({"error":"not JSON"})");
    std::lock_guard<std::mutex> lock(mutex_);
    if (body.contains("mode")) {
      faults_.mode = ParseMode(body["mode"].get<std::string>());
    }
    faults_.delay_ms = body.value("delay_ms", faults_.delay_ms);
    faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
    faults_.refuse_from = body.value("refuse_from", faults_.refuse_from);
    return JsonResponse(200, "{}");
  }

  HttpResponse Counts() const {
    const PlatformCounts counts = model_.counts();
    std::lock_guard<std::mutex> lock(mutex_);
    const json body = {{"reads", counts.reads},
                       {"writes", counts.writes},
                       {"transactions", counts.transactions},
                       {"cancelled", counts.cancelled},
                       {"answers_lost", answers_lost_}};
    return JsonResponse(200, body.dump());
  }

  mutable std::mutex mutex_;
  Faults faults_;
  uint64_t answers_lost_ = 0;
  PlatformModel model_;
  HttpServer server_;  // last: its threads use the members above
};

int Main(int argc, char** argv) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  cxxopts::Options flags("platform_standin", "Stand-in for the platform");
  cxxopts::OptionAdder add = flags.add_options();
  add("ip", "own IP address",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("port", "own port, 0 for any free port",
      cxxopts::value<uint16_t>()->default_value("0"));
  add("ports-file", "file to write its port to, as JSON",
      cxxopts::value<std::string>()->default_value(""));
  const cxxopts::ParseResult parsed = flags.parse(argc, argv);

  Platform platform(parsed["ip"].as<std::string>(),
                    parsed["port"].as<uint16_t>());
  WritePortFile(parsed["ports-file"].as<std::string>(), platform.port());
  int received = 0;
  sigwait(&signals, &received);
  std::_Exit(0);
}

}  // namespace
}  // namespace amaranth::testsuite

int main(int argc, char** argv) {
  try {
    return amaranth::testsuite::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "platform: " << error.what() << "\n";
    return 2;
  }
}
