#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "amaranthroute/reducer.h"
#include "libnode/caller_headers.h"

namespace amaranth::pvt {
namespace {

std::optional<SendServer> SentIn(const Effects& effects) {
  for (const Effect& effect : effects) {
    const SendServer* send = std::get_if<SendServer>(&effect);
    if (send != nullptr) return *send;
  }
  return std::nullopt;
}

HttpRequest Announcement(const std::string& server, const char* address) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/amaranth/v1/announce";
  request.body = Body(R"({"server":")" + server + R"(","service":")" + server +
                      R"(","address":")" + address + R"(","slots":10})");
  return request;
}

HttpRequest CallTo(const std::string& service, const std::string& context) {
  HttpRequest request;
  request.headers = {{std::string(kServiceHeader), service},
                     {std::string(kDeadlineHeader), "5000"}};
  if (!context.empty()) {
    request.headers.push_back({std::string(kContextHeader), context});
  }
  return request;
}

}  // namespace

// A node whose callers name each sending, with two backend servers beside it.
// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(DeploymentRulesGroup) {
  std::optional<Node> node;
  TimePoint now = FromMicros(1'000'000);
  CallId next_call = 1;

  void setup() override {
    NodeIdentity identity;
    identity.node = {"a1", 1};
    identity.use_platform = false;
    identity.rules.ids_name_sendings = true;
    node.emplace(identity);
    node->Start(now);
    Arrive(Announcement("front", "10.0.0.1:1"));
    Arrive(Announcement("deep", "10.0.0.1:2"));
  }

  Effects Arrive(HttpRequest request) {
    return node->Reduce({now, CallerRequest{next_call++, std::move(request)}});
  }

  SendServer SendNested(const std::string& context) {
    return *SentIn(Arrive(CallTo("deep", context)));
  }
};

// The caller gets a 500: its server's call was broken off after a second
// although the server below was at work on it and there were four seconds left.
// Usually such calls take 10 ms; this one waits for services further down that
// are busy.
TEST(DeploymentRulesGroup, ASlowNestedCallIsNotBrokenOff) {
  const SendServer front = *SentIn(Arrive(CallTo("front", "")));
  const std::string context(FindHeader(front.request.headers, kContextHeader));
  const SendServer first = SendNested(context);
  now += std::chrono::milliseconds(10);
  node->Reduce({now, ServerReplied{first.dispatch, HttpResponse()}});
  const SendServer second = SendNested(context);
  CHECK(second.timeout > std::chrono::milliseconds(4500));
}

}  // namespace amaranth::pvt
