#include <cstdint>
#include <string_view>

#include "amaranthroute/settings.h"
#include "fuzz/require.h"
#include "libnode/settings/settings_document.h"

namespace {

// Documents are either rejected, or can be sent on to peers.
void RequireDocumentCanBeSent(std::string_view text) {
  const amaranth::Outcome<amaranth::pvt::SettingsDocument> document =
      amaranth::pvt::ParseDocument(text);
  if (!document) return;
  amaranth::pvt::Require(
      amaranth::pvt::ParseDocument(amaranth::pvt::ToText(document.value()))
          .has_value(),
      "settings document is accepted after a round trip");
}

}  // namespace

// Snapshots come from peers and the object store, changes from operators. They
// are either rejected, or parse to a settings tree that is equal after a round
// trip through text. Validate() and Resolve() must not crash on it.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using amaranth::pvt::Require;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const amaranth::Outcome<std::vector<amaranth::SettingsChange>> changes =
      amaranth::ParseSettingsChanges(text);
  if (changes) {
    const amaranth::SettingsTree changed =
        amaranth::SettingsTree().Apply(changes.value());
    static_cast<void>(changed.Validate());
    static_cast<void>(changed.Resolve("m", "s", "c"));
  }
  const amaranth::Outcome<amaranth::SettingsTree> tree =
      amaranth::ParseSettings(text);
  if (tree) {
    static_cast<void>(tree.value().Validate());
    static_cast<void>(tree.value().Resolve("m", "s", "c"));
    const amaranth::Outcome<amaranth::SettingsTree> reparsed =
        amaranth::ParseSettings(amaranth::ToText(tree.value()));
    Require(reparsed && reparsed.value() == tree.value(),
            "settings tree is equal after a round trip");
  }
  RequireDocumentCanBeSent(text);
  return 0;
}
