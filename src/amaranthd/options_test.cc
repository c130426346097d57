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

  static bool Names(const ParsedOptions& parsed, const std::string& flag) {
    for (const std::string& error : parsed.errors) {
      if (error.find("--" + flag + " ") != std::string::npos) return true;
    }
    return false;
  }
};

TEST(Options, FlagsAndVariablesTogether) {
  variables = {{"AMARANTH_NODE_NAME", "from-variable"},
               {"AMARANTH_DATA_CENTRE", "dc1"},
               {"AMARANTH_PLATFORM_SECRET_KEY", "secret"}};
  const ParsedOptions parsed =
      Parse({"--node-name", "n1", "--seeds", "10.0.0.1:7,[::1]:8,::1:8",
             "--platform-table", "127.0.0.1:5", "--platform-objects",
             "127.0.0.1:6", "--log-format=json"});
  CHECK_EQUAL(1u, parsed.errors.size());  // [::1] is no IP number
  CHECK(Names(parsed, "seeds"));
  CHECK(parsed.options.identity.node.name == "n1");
  CHECK(parsed.options.identity.data_centre == "dc1");
  CHECK((parsed.options.identity.seeds[0] == Endpoint{"10.0.0.1", 7}));
  CHECK((parsed.options.identity.seeds[2] == Endpoint{"::1", 8}));
  CHECK(parsed.options.identity.use_platform);
  CHECK(parsed.options.platform->secret_key == "secret");
  CHECK(parsed.options.log_format == LogFormat::kJson);
}

// The node is killed for its memory while callers send large bodies: what it
// may hold of them was set for hosts with more memory.
TEST(Options, BodiesHeldStayWithinTheMemoryOfTheProcess) {
  const auto held = [this](const char* limit) {
    return Parse({"--node-name", "n1", "--data-centre", "d", "--max-body-bytes",
                  "1000000", "--max-buffered-bytes", "100000000",
                  "--memory-limit-mb", limit})
        .options.identity.max_buffered_bytes;
  };
  CHECK_EQUAL(100'000'000u, held("0"));
  CHECK_EQUAL(100'000'000u, held("500"));
  CHECK_EQUAL(75'497'472u, held("160"));
  CHECK_EQUAL(1'000'000u, held("1"));
}

TEST(Options, EveryErrorIsNamedAtOnce) {
  const ParsedOptions parsed =
      Parse({"--node-name", "bad name", "--ip", "localhost", "--caller-port",
             "70000", "--platform-table", "127.0.0.1:5", "--log-level", "loud",
             "--max-body-bytes", "0", "--max-buffered-bytes", "many"});
  for (const char* flag :
       {"node-name", "data-centre", "ip", "caller-port", "platform-objects",
        "log-level", "max-body-bytes", "max-buffered-bytes"}) {
    CHECK_TEXT(Names(parsed, flag), flag);
  }
  CHECK_EQUAL(8u, parsed.errors.size());
}

TEST(Options, UnknownFlagAndStrayWordAreErrors) {
  CHECK(!Parse({"--no-such-flag"}).errors.empty());
  CHECK(!Parse({"--node-name", "n", "--data-centre", "d", "stray"})
             .errors.empty());
}

TEST(Options, HelpNamesEachVariable) {
  const ParsedOptions parsed = Parse({"--help"});
  CHECK(parsed.errors.empty());
  CHECK(parsed.text.find("AMARANTH_OPERATOR_TOKEN") != std::string::npos);
  CHECK(parsed.text.find("Platform") != std::string::npos);
}

}  // namespace amaranth::pvt
