#include "amaranthctl/options.h"

#include <CppUTest/TestHarness.h>

#include <map>

namespace amaranth::pvt {

TEST_GROUP(CtlOptions) {
  std::map<std::string, std::string> variables;

  ParsedCtlOptions Parse(std::vector<const char*> arguments) {
    arguments.insert(arguments.begin(), "amaranthctl");
    return ParseCtlOptions(
        static_cast<int>(arguments.size()), arguments.data(),
        [this](const char* name) {
          const auto found = variables.find(name);
          return found == variables.end() ? nullptr : found->second.c_str();
        });
  }
};

TEST(CtlOptions, FlagsOverrideVariablesAndDefaults) {
  variables = {{"AMARANTH_NODE", "127.0.0.1:5"},
               {"AMARANTH_TOKEN", "secret"},
               {"AMARANTH_PLOT", "true"},
               {"AMARANTH_OUTPUT", "json"}};
  const ParsedCtlOptions parsed =
      Parse({"settings", "get", "--node", "::1:9", "--output=table", "/"});
  CHECK(parsed.errors.empty());
  CHECK(parsed.options.node == (Endpoint{"::1", 9}));
  CHECK(parsed.options.token == "secret");
  CHECK(parsed.options.output == Output::kTable);
  CHECK(parsed.options.plot);
  CHECK(parsed.options.timeout == std::chrono::seconds(10));
  CHECK(parsed.options.positionals ==
        std::vector<std::string>({"settings", "get", "/"}));
  CHECK(!parsed.options.expected_version);
}

TEST(CtlOptions, AllErrorsAreReportedTogether) {
  variables = {{"AMARANTH_PLOT", "maybe"}};
  const ParsedCtlOptions parsed = Parse(
      {"events", "--node", "localhost:1", "--output", "xml", "--limit", "0",
       "--since-us", "-1", "--timeout-ms", "9x", "--expected-version", "v2"});
  CHECK_EQUAL(7u, parsed.errors.size());
}

TEST(CtlOptions, NodeMustBeIpAddressAndPort) {
  for (const char* invalid : {"", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536",
                              ":80", "1.2.3.4:8x", "host:80"}) {
    CHECK_EQUAL(1u, Parse({"status", "--node", invalid}).errors.size());
  }
  CHECK_EQUAL(1u, Parse({"status"}).errors.size());
}

TEST(CtlOptions, UnknownFlagsAreErrors) {
  CHECK_EQUAL(1u, Parse({"--no-such-flag", "status"}).errors.size());
  CHECK_EQUAL(1u, Parse({"status", "--node"}).errors.size());
}

TEST(CtlOptions, HelpListsCommandsVariablesAndExitCodes) {
  const std::string help = Parse({"--help"}).help_text;
  for (const char* part : {"settings unset PATH NAME", "[AMARANTH_NODE]",
                           "Exit codes:", "--expected-version"}) {
    CHECK(help.find(part) != std::string::npos);
  }
  CHECK(help.find("words") == std::string::npos);
  CHECK(Parse({"--version"}).help_text == "amaranthctl 0.1.0\n");
}

}  // namespace amaranth::pvt
