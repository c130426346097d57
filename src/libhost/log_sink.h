#ifndef AMARANTHROUTE_LIBHOST_LOG_SINK_H_
#define AMARANTHROUTE_LIBHOST_LOG_SINK_H_

// Log lines with a fixed prefix for each part, as text or JSON.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "amaranthroute/effect.h"
#include "amaranthroute/time.h"

namespace amaranth::pvt {

enum class LogFormat { kText, kJson };

struct LogSinkOptions {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kText;
  std::string node;
  // A wide failure logs the same thing thousands of times a second; without a
  // bound the log itself becomes the load. Each part has its own, so that a
  // noisy part cannot silence another.
  double lines_per_second = 50;
  double burst = 200;
};

class LogSink {
 public:
  using WriteLine = std::function<void(LogLevel, const std::string& line)>;

  // Writes to standard output by spdlog.
  explicit LogSink(LogSinkOptions options);
  // Hands each line to `write` instead.
  LogSink(LogSinkOptions options, WriteLine write);

  void Write(TimePoint now, const WriteLog& log);

 private:
  struct Allowance {
    double lines = 0;
    TimePoint since{};
    uint64_t left_out = 0;
  };

  bool Allow(TimePoint now, const std::string& part);
  std::string Format(const WriteLog& log) const;

  LogSinkOptions options_;
  WriteLine write_;
  std::map<std::string, Allowance> allowances_;
};

// "debug", "info", "warning" or "error"; nothing for other text.
std::optional<LogLevel> ParseLogLevel(std::string_view text);
std::string_view ToString(LogLevel level);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_LOG_SINK_H_
