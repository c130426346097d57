// Announcements of another writer among those of a backend server, through
// complete nodes in virtual time.

#include <CppUTest/TestHarness.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "libnode/fakes/fake_fleet.h"
#include "libnode/settings/settings_document.h"

namespace amaranth::pvt {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kStartedMs = 1000;

}  // namespace

TEST_GROUP(OddAnnouncement) {
  FakeFleet fleet{65};
  int sent = 0;

  void setup() override {
    fleet.rules.settings_source = SettingsSource::kWatch;
    SettingsDocument document;
    document.version = 1;
    Route route;
    route.name = "browse";
    route.host = "shop.example";
    route.prefix = "/";
    route.targets = {{"catalogue", 1}};
    document.routes = RouteTable({route});
    fleet.SetDocument(1, ToText(document));
    fleet.AddNode("a1", "a", true);
    fleet.AddNode("a2", "a", true);
    FakeServerOptions server;
    server.name = "s1";
    server.service = "catalogue";
    server.started_ms = kStartedMs;
    fleet.AddServer("a1", server);
    fleet.RunFor(seconds(5));
  }

  // Returns the status of a request through `node`.
  int Ask(const std::string& node) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/x";
    request.headers = {{"Host", "shop.example"},
                       {"X-Amaranth-Request-Id", "r" + std::to_string(++sent)}};
    const uint64_t call = fleet.Call(node, request);
    CHECK(fleet.RunUntil([&] { return fleet.AnswerOf(call) != nullptr; },
                         seconds(10)));
    return fleet.AnswerOf(call)->response.status;
  }

  // Sends the server's next announcement with some fields changed, and checks
  // that the server is used as before.
  void CheckHarmless(const Json& changes) {
    HttpRequest odd = fleet.NextAnnouncement("s1");
    Json body = Json::parse(odd.body.view());
    body.update(changes);
    odd.body = Body(body.dump());
    fleet.Call("a1", odd);
    for (int i = 0; i < 20; ++i) {
      fleet.RunFor(milliseconds(100));
      CHECK_EQUAL_TEXT(200, Ask("a1"), changes.dump().c_str());
      CHECK_EQUAL_TEXT(200, Ask("a2"), changes.dump().c_str());
    }
  }
};

// Guards against an id that cannot be sent and takes the place of the server at
// its address: callers got 400.
TEST(OddAnnouncement, AnIdThatCannotBeSentNamesNoServer) {
  const std::string control(1, '\0');
  CheckHarmless({{"server", control}, {"started_ms", kStartedMs + 1}});
  CheckHarmless({{"server", "s\x7f"}, {"started_ms", kStartedMs + 1}});
}

// Guards against numbers after which all that the server says is outdated.
TEST(OddAnnouncement, NumbersThatAreTooLargeAreRejected) {
  CheckHarmless({{"started_ms", UINT64_MAX}, {"draining", true}});
  CheckHarmless({{"started_ms", UINT64_MAX}});
  CheckHarmless({{"sequence", UINT64_MAX}, {"draining", true}});
  CheckHarmless({{"sequence", uint64_t{1} << 50}, {"draining", true}});
}

// Guards against a service without calls that takes the server's place.
TEST(OddAnnouncement, AServiceThatNoSettingsNameTakesNoPlace) {
  CheckHarmless({{"service", "nobody"}, {"started_ms", kStartedMs + 1}});
  CheckHarmless({{"server", "other"},
                 {"service", "nobody"},
                 {"started_ms", kStartedMs + 2}});
  CheckHarmless({{"service", "nobody"}});
}

// Guards against calls to an address at which there is no server.
TEST(OddAnnouncement, AProcessKeepsItsAddress) {
  CheckHarmless({{"address", "256.1.1.1:80"}});
  CheckHarmless({{"address", "10.9.9.9:80"}});
}

// Guards against a leave with an impossible start time that removes the server.
TEST(OddAnnouncement, ALeaveThatIsTooLargeIsRejected) {
  HttpRequest leave = fleet.LeaveMessage("s1");
  Json body = Json::parse(leave.body.view());
  body["started_ms"] = UINT64_MAX;
  leave.body = Body(body.dump());
  fleet.Call("a1", leave);
  fleet.RunFor(milliseconds(20));
  CHECK_EQUAL(200, Ask("a2"));
}

}  // namespace amaranth::pvt
