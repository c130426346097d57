#include "libhost/non_blocking_sink.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

namespace amaranth::pvt {

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(NonBlockingSinkGroup) {
  std::array<int, 2> pipe_ends{};
  std::unique_ptr<spdlog::logger> logger;

  void setup() override {
    CHECK_EQUAL(0, ::pipe(pipe_ends.data()));
    logger = std::make_unique<spdlog::logger>(
        "test", std::make_shared<NonBlockingSink>(pipe_ends[1]));
    logger->set_pattern("{%v}");
  }

  void teardown() override {
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
  }

  std::string ReadAll() {
    ::fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
    std::string all;
    std::array<char, 4096> part{};
    ssize_t got = 0;
    while ((got = ::read(pipe_ends[0], part.data(), part.size())) > 0) {
      all.append(part.data(), static_cast<size_t>(got));
    }
    return all;
  }
};

// Guards against every request hanging: a log collector stops reading, the pipe
// fills up, and the node's thread blocks in a write.
TEST(NonBlockingSinkGroup, FullPipeDropsLinesWithoutBlocking) {
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) logger->info(line);
  ReadAll();
  logger->info("read again");
  const std::string later = ReadAll();
  CHECK(later.find("{read again}\n") == 0);
  CHECK(later.find("lines dropped") != std::string::npos);
}

TEST(NonBlockingSinkGroup, LongLineIsTruncatedAndEndsWithNewline) {
  logger->info(std::string(10'000, 'y'));
  const std::string line = ReadAll();
  CHECK_EQUAL(4096u, line.size());
  CHECK_EQUAL('\n', line.back());
}

}  // namespace amaranth::pvt
