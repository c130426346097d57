#include "libhost/log_sink.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace amaranth::pvt {

TEST_GROUP(LogSink) {
  std::vector<std::string> lines;

  LogSink MakeSink(LogSinkOptions options) {
    options.node = "n1";
    return {options, [this](LogLevel, const std::string& line) {
              lines.push_back(line);
            }};
  }
};

TEST(LogSink, TextHasNodeAndPart) {
  LogSink sink = MakeSink({});
  sink.Write(FromMicros(1), {LogLevel::kInfo, "entry", "server chosen"});
  sink.Write(FromMicros(2), {LogLevel::kDebug, "entry", "below the level"});
  CHECK_EQUAL(1u, lines.size());
  STRCMP_EQUAL("n1 entry: server chosen", lines[0].c_str());
}

TEST(LogSink, JsonEscapesTextFromCallers) {
  LogSinkOptions options;
  options.format = LogFormat::kJson;
  LogSink sink = MakeSink(options);
  sink.Write(FromMicros(1), {LogLevel::kInfo, "entry", "bad \"id\"\n\xff"});
  CHECK_EQUAL(1u, lines.size());
  STRCMP_EQUAL(
      "\"level\":\"info\",\"node\":\"n1\",\"part\":\"entry\","
      "\"text\":\"bad \\\"id\\\"\\n\xEF\xBF\xBD\"",
      lines[0].c_str());
}

TEST(LogSink, RateLimitAppliesPerPartAndCountsDroppedLines) {
  LogSinkOptions options;
  options.burst = 3;
  options.lines_per_second = 1;
  LogSink sink = MakeSink(options);
  for (int i = 0; i < 10; ++i) {
    sink.Write(FromMicros(1), {LogLevel::kInfo, "entry", "shed"});
  }
  sink.Write(FromMicros(1), {LogLevel::kInfo, "members", "joined"});
  CHECK_EQUAL(4u, lines.size());
  sink.Write(FromMicros(2'000'000), {LogLevel::kInfo, "entry", "later"});
  CHECK_EQUAL(6u, lines.size());
  STRCMP_EQUAL("n1 entry: lines dropped over the rate limit: 7",
               lines[4].c_str());
}

}  // namespace amaranth::pvt
