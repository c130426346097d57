#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "amaranthroute/settings.h"

namespace amaranth {

namespace {

using std::chrono::milliseconds;

// Generates paths from a few names only, so that levels overlap and override
// each other.
rc::Gen<std::string> AnyPath() {
  return rc::gen::element<std::string>("", "m", "n", "m/s", "m/t", "m/*/c",
                                       "m/s/c", "m/t/c", "m/s/d");
}

rc::Gen<SettingsChange> AnyChange() {
  return rc::gen::apply(
      [](const std::string& path, int deadline, bool set) {
        SettingsChange change{path, "deadline_ms", std::nullopt};
        if (set) change.value = std::to_string(deadline);
        return change;
      },
      AnyPath(), rc::gen::inRange(1, 5000), rc::gen::arbitrary<bool>());
}

rc::Gen<SettingsTree> AnyTree() {
  return rc::gen::map(
      rc::gen::container<std::vector<SettingsChange>>(AnyChange()),
      [](const std::vector<SettingsChange>& changes) {
        return SettingsTree().Apply(changes);
      });
}

// Returns the deadline that `tree` sets at `path`, or `fallback` if it sets
// none.
Duration DeadlineAt(const SettingsTree& tree, const std::string& path,
                    Duration fallback) {
  const auto level = tree.levels().find(path);
  if (level == tree.levels().end()) return fallback;
  const auto value = level->second.find("deadline_ms");
  if (value == level->second.end()) return fallback;
  return milliseconds(std::stoi(value->second));
}

// Returns the value of setting `name` and sets `origin` to its level.
std::string FindValue(const std::vector<ExplainedValue>& explained,
                      const std::string& name, std::string& origin) {
  for (const ExplainedValue& value : explained) {
    if (value.name != name) continue;
    origin = value.origin;
    return value.value;
  }
  return "";
}

}  // namespace

TEST_GROUP(SettingsTree){};

TEST(SettingsTree, TableDefaultsMatchStructDefaults) {
  EffectiveSettings from_table;
  for (const SettingDefinition& row : SettingDefinitions()) {
    row.apply(from_table, std::string(row.default_value));
  }
  CHECK(from_table == EffectiveSettings());
  for (const SettingDefinition& row : SettingDefinitions()) {
    const SettingsTree tree = SettingsTree().Set(
        "", std::string(row.name), std::string(row.default_value));
    CHECK(tree.Validate().empty());
  }
}

TEST(SettingsTree, ServiceClassOverridesAnyServiceClassOverridesService) {
  SettingsTree tree = SettingsTree().Set("m/s", "deadline_ms", "10");
  CHECK(tree.Resolve("m", "s", "c").deadline == milliseconds(10));
  tree = tree.Set("m/*/c", "deadline_ms", "20");
  CHECK(tree.Resolve("m", "s", "c").deadline == milliseconds(20));
  CHECK(tree.Resolve("m", "s", "d").deadline == milliseconds(10));
  tree = tree.Set("m/s/c", "deadline_ms", "30");
  CHECK(tree.Resolve("m", "s", "c").deadline == milliseconds(30));
  CHECK(tree.Resolve("m", "t", "c").deadline == milliseconds(20));
}

TEST(SettingsTree, ValidateReturnsAllErrors) {
  const SettingsTree tree = SettingsTree()
                                .Set("", "tier", "golden")
                                .Set("", "nonsense", "1")
                                .Set("m", "retry_ratio", "1.5")
                                .Set("m/s/c", "queue_capacity", "5")
                                .Set("m/*", "deadline_ms", "5")
                                .Set("m//c", "deadline_ms", "5");
  CHECK_EQUAL(6u, tree.Validate().size());
}

TEST(SettingsTree, TargetAboveDeadlineIsFoundAcrossLevels) {
  const SettingsTree tree = SettingsTree()
                                .Set("m/s", "deadline_ms", "100")
                                .Set("m/*/c", "target_p99_ms", "500");
  CHECK_EQUAL(1u, tree.Validate().size());
  CHECK(tree.Set("m/s/c", "target_p99_ms", "90").Validate().empty());
}

TEST(SettingsTree, ExplainReturnsTheLevel) {
  const SettingsTree tree = SettingsTree()
                                .Set("", "deadline_ms", "100")
                                .Set("m/*/c", "tier", "critical");
  const std::vector<ExplainedValue> explained = tree.Explain("m/s/c");
  std::string origin;
  CHECK(FindValue(explained, "deadline_ms", origin) == "100");
  CHECK(origin.empty());
  CHECK(FindValue(explained, "tier", origin) == "critical");
  CHECK(origin == "m/*/c");
  CHECK(FindValue(explained, "retry_credits", origin) == "3");
  CHECK(origin == "default");
}

TEST(SettingsTree, EqualNumbersMakeEqualTrees) {
  CHECK(SettingsTree().Set("", "retry_ratio", "0.50") ==
        SettingsTree().Set("", "retry_ratio", "0.5"));
  CHECK(ToText(SettingsTree().Set("", "deadline_ms", "007")) ==
        R"({"":{"deadline_ms":7}})");
}

TEST(SettingsTree, ChangeRequestsAreParsed) {
  const auto changes = ParseSettingsChanges(
      R"({"changes":[{"path":"","name":"deadline_ms","value":5},
                     {"path":"m","name":"tier","value":null}]})");
  CHECK(changes.has_value());
  CHECK(changes.value()[0] == (SettingsChange{"", "deadline_ms", "5"}));
  CHECK(changes.value()[1] == (SettingsChange{"m", "tier", std::nullopt}));
  for (const char* text : {"", "[]", "{}", R"({"changes":[{"path":1}]})"}) {
    CHECK_FALSE(ParseSettingsChanges(text).has_value());
  }
}

// Guards against a stack overflow that crashed the node: an operator or a peer
// sent a value of a million nested arrays, and printing it recursed too deeply.
// Found with fuzz_settings.
TEST(SettingsTree, DeepNestingIsRejectedWithoutStackOverflow) {
  constexpr size_t kLevels = 1'000'000;
  const std::string deep =
      std::string(kLevels, '[') + std::string(kLevels, ']');
  const Outcome<SettingsTree> tree =
      ParseSettings("{\"\":{\"tier\":" + deep + "}}");
  CHECK(!tree || !tree.value().Validate().empty());
  const Outcome<std::vector<SettingsChange>> changes = ParseSettingsChanges(
      "{\"changes\":[{\"path\":\"\",\"name\":\"tier\",\"value\":" + deep +
      "}]}");
  CHECK(!changes || !SettingsTree().Apply(changes.value()).Validate().empty());
}

TEST(SettingsTree, ReferencePageMatchesTheTable) {
  std::ifstream page(AMARANTH_SOURCE_DIR
                     "/docs/operators/settings-reference.md");
  std::stringstream text;
  text << page.rdbuf();
  CHECK(text.str() == SettingsReference());
}

TEST(SettingsTree, HighestPrecedenceLevelApplies) {
  CHECK(rc::check("strongest level wins", [] {
    const SettingsTree tree = *AnyTree();
    Duration expected = EffectiveSettings().deadline;
    for (const char* path : {"", "m", "m/s", "m/*/c", "m/s/c"}) {
      expected = DeadlineAt(tree, path, expected);
    }
    RC_ASSERT(tree.Resolve("m", "s", "c").deadline == expected);
  }));
}

TEST(SettingsTree, TextRoundTrips) {
  CHECK(rc::check("text round trips", [] {
    const SettingsTree tree = *AnyTree();
    const std::string text = ToText(tree);
    const Outcome<SettingsTree> parsed = ParseSettings(text);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.value() == tree);
    RC_ASSERT(ToText(parsed.value()) == text);
  }));
}

TEST(SettingsTree, UnsetRevertsSet) {
  CHECK(rc::check("unset takes back set", [] {
    const SettingsTree tree = *AnyTree();
    const std::string path = *AnyPath();
    const SettingsTree without = tree.Unset(path, "deadline_ms");
    const SettingsTree with = without.Set(path, "deadline_ms", "77");
    RC_ASSERT(with != without);
    RC_ASSERT(with.Unset(path, "deadline_ms") == without);
    RC_ASSERT(ToText(with.Unset(path, "deadline_ms")) == ToText(without));
  }));
}

}  // namespace amaranth
