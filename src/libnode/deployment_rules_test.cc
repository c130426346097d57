#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "amaranthroute/reducer.h"
#include "libnode/shared/caller_headers.h"

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

HttpRequest ReadyAnnouncement(const std::string& server, uint64_t started_ms,
                              uint64_t sequence) {
  HttpRequest request = Announcement(server, "10.0.0.1:3");
  nlohmann::json json = nlohmann::json::parse(request.body.view());
  json["started_ms"] = started_ms;
  json["sequence"] = sequence;
  request.body = Body(json.dump());
  return request;
}

HttpRequest Leave(const std::string& server) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/amaranth/v1/leave";
  request.body = Body(R"({"server":")" + server + R"("})");
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
    identity.rules.announce_port = true;
    node.emplace(identity);
    node->Start(now);
    Announce(Announcement("front", "10.0.0.1:1"));
    Announce(Announcement("deep", "10.0.0.1:2"));
  }

  Effects Arrive(HttpRequest request) {
    return node->Reduce({now, CallerRequest{next_call++, std::move(request)}});
  }

  void Announce(HttpRequest request) {
    node->Reduce({now, CallerRequest{next_call++, std::move(request),
                                     CallerKind::kAnnouncer}});
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

// Calls reach a server that has left and is about to end: the caller sees a
// 502. The node was started again between the server's last announcement and
// its leave, and an announcement that says "ready" was held up until after it.
TEST(DeploymentRulesGroup, ALateAnnouncementDoesNotBringBackAServerThatLeft) {
  Announce(Leave("gone"));
  now += std::chrono::seconds(1);
  Announce(ReadyAnnouncement("gone", 77, 12));
  CHECK_FALSE(SentIn(Arrive(CallTo("gone", ""))).has_value());
}

TEST(DeploymentRulesGroup, ASuccessorOfAServerThatLeftIsUsed) {
  Announce(Leave("gone"));
  now += std::chrono::seconds(1);
  Announce(ReadyAnnouncement("gone", 99, 1));
  CHECK_TRUE(SentIn(Arrive(CallTo("gone", ""))).has_value());
}

}  // namespace amaranth::pvt
