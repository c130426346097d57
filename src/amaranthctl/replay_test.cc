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

  void WriteLog(uint64_t added_to_digest) {
    NodeIdentity identity;
    identity.node = {"n1", 1};
    identity.use_platform = false;
    Node node(identity);
    std::ofstream log(path);
    log << FormatIdentity(identity, FromMicros(0)) << "\n";
    node.Start(FromMicros(0));
    const Event event{FromMicros(1000), StopRequested{}};
    log << FormatEvent(event, DigestOf(node.Reduce(event)) + added_to_digest)
        << "\n";
  }

  ExitCode RunOn(const std::vector<std::string>& words) {
    CtlOptions options;
    options.words = words;
    return RunReplay(options, out, err);
  }
};

TEST(Replay, ALogOfTheSameBuildReplaysWhole) {
  WriteLog(0);
  CHECK(RunOn({"replay", path}) == ExitCode::kOk);
  CHECK(out.str().find("1 events") == 0);
}

TEST(Replay, OtherEffectsAreNamedByLine) {
  WriteLog(1);
  CHECK(RunOn({"replay", path}) == ExitCode::kRefused);
  CHECK(out.str().find("first at line 2") != std::string::npos);
}

TEST(Replay, AMissingFileIsAUsageError) {
  CHECK(RunOn({"replay", path}) == ExitCode::kUsage);
  CHECK(RunOn({"replay"}) == ExitCode::kUsage);
}

}  // namespace amaranth::pvt
