#include "amaranthd/options.h"

#include <CppUTest/TestHarness.h>

#include <map>

namespace amaranth::pvt {

TEST_GROUP(Options) {
  std::map<std::string, std::string> variables;

  ParsedOptions Parse(std::vector<const char*> flags) {
    flags.insert(flags.begin(), "amaranthd");
    return ParseDaemonOptions(
        static_cast<int>(flags.size()), flags.data(), [this](const char* name) {
          const auto found = variables.find(name);
          return found == variables.end() ? nullptr : found->second.c_str();
        });
  }

  static bool HasErrorFor(const ParsedOptions& parsed,
                          const std::string& flag) {
    for (const std::string& error : parsed.errors) {
      if (error.find("--" + flag + " ") != std::string::npos) return true;
    }
    return false;
  }
};

TEST(Options, FlagsOverrideEnvironmentVariables) {
  variables = {{"AMARANTH_NODE_NAME", "from-variable"},
               {"AMARANTH_DATA_CENTRE", "dc1"},
               {"AMARANTH_PLATFORM_SECRET_KEY", "secret"}};
  const ParsedOptions parsed =
      Parse({"--node-name", "n1", "--seeds", "10.0.0.1:7,[::1]:8,::1:8",
             "--platform-table", "127.0.0.1:5", "--platform-objects",
             "127.0.0.1:6", "--log-format=json"});
  CHECK_EQUAL(1u, parsed.errors.size());  // [::1] is not an IP address
  CHECK(HasErrorFor(parsed, "seeds"));
  CHECK(parsed.options.identity.node.name == "n1");
  CHECK(parsed.options.identity.data_centre == "dc1");
  CHECK((parsed.options.identity.seeds[0] == Endpoint{"10.0.0.1", 7}));
  CHECK((parsed.options.identity.seeds[2] == Endpoint{"::1", 8}));
  CHECK(parsed.options.identity.use_platform);
  CHECK(parsed.options.platform->secret_key == "secret");
  CHECK(parsed.options.log_format == LogFormat::kJson);
}

// Guards against the node being killed for exceeding its memory limit while
// callers send large bodies: the default buffer limit assumes a host with more
// memory.
TEST(Options, MemoryLimitBoundsBufferedBodies) {
  const auto max_buffered_bytes_with = [this](const char* limit) {
    return Parse({"--node-name", "n1", "--data-centre", "d", "--max-body-bytes",
                  "1000000", "--max-buffered-bytes", "100000000",
                  "--memory-limit-mb", limit})
        .options.identity.max_buffered_bytes;
  };
  CHECK_EQUAL(100'000'000u, max_buffered_bytes_with("0"));
  CHECK_EQUAL(100'000'000u, max_buffered_bytes_with("500"));
  CHECK_EQUAL(75'497'472u, max_buffered_bytes_with("160"));
  CHECK_EQUAL(471'859u, max_buffered_bytes_with("1"));
}

// Guards against a deployment whose bound for settings is not the one that the
// nodes keep.
TEST(Options, TheBoundOfSettingsIsTakenFromTheDeployment) {
  const auto parse_bound = [this](const char* bound) {
    return Parse(
        {"--node-name", "n1", "--data-centre", "d", "--settings-bound", bound});
  };
  CHECK(parse_bound("2500ms").options.identity.rules.settings_bound ==
        std::chrono::milliseconds(2500));
  CHECK(HasErrorFor(parse_bound("100ms"), "settings-bound"));
  CHECK(HasErrorFor(parse_bound("soon"), "settings-bound"));
}

TEST(Options, AllErrorsAreReportedTogether) {
  const ParsedOptions parsed =
      Parse({"--node-name", "bad name", "--ip", "localhost", "--caller-port",
             "70000", "--platform-table", "127.0.0.1:5", "--log-level", "loud",
             "--max-body-bytes", "0", "--max-buffered-bytes", "many"});
  for (const char* flag :
       {"node-name", "data-centre", "ip", "caller-port", "platform-objects",
        "log-level", "max-body-bytes", "max-buffered-bytes"}) {
    CHECK_TEXT(HasErrorFor(parsed, flag), flag);
  }
  CHECK_EQUAL(8u, parsed.errors.size());
}

TEST(Options, UnknownFlagsAndExtraArgumentsAreErrors) {
  CHECK(!Parse({"--no-such-flag"}).errors.empty());
  CHECK(!Parse({"--node-name", "n", "--data-centre", "d", "stray"})
             .errors.empty());
}

TEST(Options, HelpListsEnvironmentVariables) {
  const ParsedOptions parsed = Parse({"--help"});
  CHECK(parsed.errors.empty());
  CHECK(parsed.help_text.find("AMARANTH_OPERATOR_TOKEN") != std::string::npos);
  CHECK(parsed.help_text.find("Platform") != std::string::npos);
}

}  // namespace amaranth::pvt
