#include <CppUTest/TestHarness.h>

#include "libnode/fakes/fake_fleet.h"
#include "libnode/settings/settings_document.h"

namespace amaranth::pvt {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(DiscoveryAfterOutage) { FakeFleet fleet{6}; };

// Guards against nodes that stay alone although the platform answers again,
// because it was away at each of their first tries to find the others.
TEST(DiscoveryAfterOutage, NodesFindEachOtherOnceThePlatformAnswers) {
  fleet.lists_seeds = false;
  fleet.rules.settings_source = SettingsSource::kWatch;
  fleet.rules.peer_row_spread = seconds(1);
  SettingsDocument document;
  document.version = 1;
  fleet.SetDocument(1, ToText(document));
  fleet.SetPlatform(PlatformMode::kDown);
  for (const char* node : {"a1", "a2", "a3"}) fleet.AddNode(node, "a", true);
  FakeServerOptions server;
  server.name = "s1";
  server.service = "catalogue";
  fleet.AddServer("a2", server);
  fleet.At(milliseconds(5300), [&] { fleet.SetPlatform(PlatformMode::kUp); });
  fleet.RunFor(seconds(10));
  const uint64_t call = fleet.Call("a1", MakeRequest("GET", "catalogue"));
  CHECK(fleet.RunUntil([&] { return fleet.AnswerOf(call) != nullptr; },
                       seconds(3)));
  CHECK_EQUAL(200, fleet.AnswerOf(call)->response.status);
}

}  // namespace amaranth::pvt
