#ifndef AMARANTHROUTE_LIBHOST_LOG_SINK_H_
#define AMARANTHROUTE_LIBHOST_LOG_SINK_H_

// Writes log lines with a fixed prefix for each part, as text or JSON, and
// limits their rate per part.

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
  // Rate limit of each part. A widespread failure logs the same line thousands
  // of times per second, and without a limit logging itself would overload the
  // node. The limit applies to each part separately, so that a part that logs a
  // lot does not suppress the lines of another.
  double lines_per_second = 50;
  double burst = 200;
};

class LogSink {
 public:
  using WriteLine = std::function<void(LogLevel, const std::string& line)>;

  // Writes to standard output through spdlog.
  explicit LogSink(LogSinkOptions options);
  // Passes each line to `write` instead.
  LogSink(LogSinkOptions options, WriteLine write);

  // Writes the line unless it is below the configured level or over the rate
  // limit. The number of dropped lines is logged before the part's next line.
  void Write(TimePoint now, const WriteLog& log);

 private:
  struct TokenBucket {
    double tokens = 0;  // lines that may be written now
    TimePoint last_refill{};
    uint64_t dropped = 0;
  };

  bool AllowLine(TimePoint now, const std::string& part);
  std::string Format(const WriteLog& log) const;

  LogSinkOptions options_;
  WriteLine write_;
  std::map<std::string, TokenBucket> buckets_;
};

// Parses "debug", "info", "warning" or "error"; returns nullopt for other text.
std::optional<LogLevel> ParseLogLevel(std::string_view text);
std::string_view ToString(LogLevel level);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_LOG_SINK_H_
