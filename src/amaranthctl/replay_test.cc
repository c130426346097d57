#include "amaranthctl/replay.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "amaranthroute/event_log.h"

namespace amaranth::pvt {

TEST_GROUP(Replay) {
  const std::string path = "replay_test." + std::to_string(::getpid()) + ".log";
  std::ostringstream out;
  std::ostringstream err;

  void teardown() override { std::remove(path.c_str()); }

  void WriteLog(uint64_t digest_offset) {
    NodeIdentity identity;
    identity.node = {"n1", 1};
    identity.use_platform = false;
    Node node(identity);
    std::ofstream log(path);
    log << FormatIdentity(identity, FromMicros(0)) << "\n";
    node.Start(FromMicros(0));
    const Event event{FromMicros(1000), StopRequested{}};
    log << FormatEvent(event, DigestOf(node.Reduce(event)) + digest_offset)
        << "\n";
  }

  ExitCode RunWith(const std::vector<std::string>& positionals) {
    CtlOptions options;
    options.positionals = positionals;
    return RunReplay(options, out, err);
  }
};

TEST(Replay, LogOfTheSameBuildReplaysWithoutDifference) {
  WriteLog(0);
  CHECK(RunWith({"replay", path}) == ExitCode::kOk);
  CHECK(out.str().find("1 events") == 0);
}

TEST(Replay, FirstDifferenceIsReportedByLine) {
  WriteLog(1);
  CHECK(RunWith({"replay", path}) == ExitCode::kRefused);
  CHECK(out.str().find("first at line 2") != std::string::npos);
}

TEST(Replay, MissingFileIsAUsageError) {
  CHECK(RunWith({"replay", path}) == ExitCode::kUsage);
  CHECK(RunWith({"replay"}) == ExitCode::kUsage);
}

}  // namespace amaranth::pvt
