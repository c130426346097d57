#include "libhost/unblocking_sink.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

namespace amaranth::pvt {

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(UnblockingSinkGroup) {
  std::array<int, 2> ends{};
  std::unique_ptr<spdlog::logger> logger;

  void setup() override {
    CHECK_EQUAL(0, ::pipe(ends.data()));
    logger = std::make_unique<spdlog::logger>(
        "test", std::make_shared<UnblockingSink>(ends[1]));
    logger->set_pattern("{%v}");
  }

  void teardown() override {
    ::close(ends[0]);
    ::close(ends[1]);
  }

  std::string ReadAll() {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string all;
    std::array<char, 4096> part{};
    ssize_t got = 0;
    while ((got = ::read(ends[0], part.data(), part.size())) > 0) {
      all.append(part.data(), static_cast<size_t>(got));
    }
    return all;
  }
};

// Every request hangs: the log collector has stopped reading, the pipe is full,
// and the node's thread waits in a write.
TEST(UnblockingSinkGroup, AFullPipeLosesLinesAndStopsNobody) {
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) logger->info(line);
  ReadAll();
  logger->info("read again");
  const std::string later = ReadAll();
  CHECK(later.find("{read again}\n") == 0);
  CHECK(later.find("lines left out") != std::string::npos);
}

TEST(UnblockingSinkGroup, ALongLineIsCutAndStillEnds) {
  logger->info(std::string(10'000, 'y'));
  const std::string line = ReadAll();
  CHECK_EQUAL(4096u, line.size());
  CHECK_EQUAL('\n', line.back());
}

}  // namespace amaranth::pvt
