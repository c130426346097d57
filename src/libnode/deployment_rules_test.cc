#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "amaranthroute/reducer.h"
#include "libnode/fakes/find_effect.h"
#include "libnode/shared/caller_headers.h"

namespace amaranth::pvt {
namespace {

HttpRequest MakeAnnouncement(const std::string& server, const char* address) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/amaranth/v1/announce";
  request.body = Body(R"({"server":")" + server + R"(","service":")" + server +
                      R"(","address":")" + address + R"(","slots":10})");
  return request;
}

HttpRequest MakeReadyAnnouncement(const std::string& server,
                                  uint64_t started_ms, uint64_t sequence) {
  HttpRequest request = MakeAnnouncement(server, "10.0.0.1:3");
  nlohmann::json json = nlohmann::json::parse(request.body.view());
  json["started_ms"] = started_ms;
  json["sequence"] = sequence;
  request.body = Body(json.dump());
  return request;
}

HttpRequest LeaveRequest(const std::string& server) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/amaranth/v1/leave";
  request.body = Body(R"({"server":")" + server + R"("})");
  return request;
}

HttpRequest MakeCall(const std::string& service, const std::string& context) {
  HttpRequest request;
  request.headers = {{std::string(kServiceHeader), service},
                     {std::string(kDeadlineHeader), "5000"}};
  if (!context.empty()) {
    request.headers.push_back({std::string(kContextHeader), context});
  }
  return request;
}

}  // namespace

// A node with two backend servers on its host, whose callers give each sending
// of a request an id of its own.
// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(DeploymentRulesGroup) {
  std::optional<Node> node;
  TimePoint now = FromMicros(1'000'000);
  CallId next_call = 1;

  void setup() override {
    NodeIdentity identity;
    identity.node = {"a1", 1};
    identity.use_platform = false;
    identity.rules.request_id_per_send = true;
    identity.rules.announce_port = true;
    node.emplace(identity);
    node->Start(now);
    Announce(MakeAnnouncement("front", "10.0.0.1:1"));
    Announce(MakeAnnouncement("deep", "10.0.0.1:2"));
  }

  Effects SendRequest(HttpRequest request) {
    return node->Reduce({now, CallerRequest{next_call++, std::move(request)}});
  }

  void Announce(HttpRequest request) {
    node->Reduce({now, CallerRequest{next_call++, std::move(request),
                                     CallerKind::kAnnouncer}});
  }

  SendServer SendNested(const std::string& context) {
    return *FindEffect<SendServer>(SendRequest(MakeCall("deep", context)));
  }
};

// Guards against a timeout of a nested call that is still being processed. Such
// calls typically take 10 ms, and a timeout derived from that would be one
// second. This one waits for overloaded services that it calls itself and has
// four more seconds until its deadline; after a timeout the caller gets a 500.
TEST(DeploymentRulesGroup, ASlowNestedCallDoesNotTimeOutEarly) {
  const SendServer front =
      *FindEffect<SendServer>(SendRequest(MakeCall("front", "")));
  const std::string context(FindHeader(front.request.headers, kContextHeader));
  const SendServer first = SendNested(context);
  now += std::chrono::milliseconds(10);
  node->Reduce({now, ServerReplied{first.dispatch, HttpResponse()}});
  const SendServer second = SendNested(context);
  CHECK(second.timeout > std::chrono::milliseconds(4500));
}

// Guards against calls to a server that has left and is about to exit, which
// the caller sees as a 502. The node restarted between the server's last
// announcement and its leave message, and a delayed announcement that says
// "ready" arrives after that message.
TEST(DeploymentRulesGroup, ADelayedAnnouncementDoesNotRestoreAServerThatLeft) {
  Announce(LeaveRequest("gone"));
  now += std::chrono::seconds(1);
  Announce(MakeReadyAnnouncement("gone", 77, 12));
  CHECK_FALSE(
      FindEffect<SendServer>(SendRequest(MakeCall("gone", ""))).has_value());
}

TEST(DeploymentRulesGroup, ASuccessorOfAServerThatLeftIsUsed) {
  Announce(LeaveRequest("gone"));
  now += std::chrono::seconds(1);
  Announce(MakeReadyAnnouncement("gone", 99, 1));
  CHECK_TRUE(
      FindEffect<SendServer>(SendRequest(MakeCall("gone", ""))).has_value());
}

}  // namespace amaranth::pvt
