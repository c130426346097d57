#include "libhost/log_sink.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "libhost/non_blocking_sink.h"

namespace amaranth::pvt {
namespace {

struct LevelInfo {
  LogLevel level;
  std::string_view name;
  spdlog::level::level_enum spdlog_level;
};

constexpr std::array<LevelInfo, 4> kLevels = {{
    {LogLevel::kDebug, "debug", spdlog::level::debug},
    {LogLevel::kInfo, "info", spdlog::level::info},
    {LogLevel::kWarning, "warning", spdlog::level::warn},
    {LogLevel::kError, "error", spdlog::level::err},
}};

const LevelInfo& LevelInfoOf(LogLevel level) {
  return kLevels[static_cast<size_t>(level)];
}

std::shared_ptr<spdlog::logger> MakeStdoutLogger(LogFormat format) {
  auto logger = std::make_shared<spdlog::logger>(
      "amaranthd", std::make_shared<NonBlockingSink>(STDOUT_FILENO));
  logger->set_level(spdlog::level::debug);
  logger->set_pattern(format == LogFormat::kJson
                          ? R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z",%v})"
                          : "%Y-%m-%dT%H:%M:%S.%f%z %l %v");
  return logger;
}

}  // namespace

LogSink::LogSink(LogSinkOptions options) : options_(std::move(options)) {
  write_ = [logger = MakeStdoutLogger(options_.format)](
               LogLevel level, const std::string& line) {
    logger->log(LevelInfoOf(level).spdlog_level, "{}", line);
  };
}

LogSink::LogSink(LogSinkOptions options, WriteLine write)
    : options_(std::move(options)), write_(std::move(write)) {}

void LogSink::Write(TimePoint now, const WriteLog& log) {
  if (log.level < options_.level) return;
  if (!AllowLine(now, log.part)) return;
  write_(log.level, Format(log));
}

bool LogSink::AllowLine(TimePoint now, const std::string& part) {
  const auto [entry, is_new] =
      buckets_.emplace(part, TokenBucket{options_.burst, now, 0});
  TokenBucket& bucket = entry->second;
  const double seconds =
      std::chrono::duration<double>(now - bucket.last_refill).count();
  bucket.last_refill = now;
  bucket.tokens = std::min(options_.burst,
                           bucket.tokens + seconds * options_.lines_per_second);
  if (bucket.tokens < 1) {
    ++bucket.dropped;
    return false;
  }
  bucket.tokens -= 1;
  if (bucket.dropped > 0) {
    const std::string count = std::to_string(bucket.dropped);
    bucket.dropped = 0;
    write_(LogLevel::kWarning,
           Format({LogLevel::kWarning, part,
                   "lines dropped over the rate limit: " + count}));
  }
  return true;
}

std::string LogSink::Format(const WriteLog& log) const {
  if (options_.format == LogFormat::kText) {
    return options_.node + " " + log.part + ": " + log.text;
  }
  const nlohmann::json fields = {{"level", ToString(log.level)},
                                 {"node", options_.node},
                                 {"part", log.part},
                                 {"text", log.text}};
  // The logger's pattern adds the time and the enclosing braces.
  const std::string object =
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return object.substr(1, object.size() - 2);
}

std::optional<LogLevel> ParseLogLevel(std::string_view text) {
  for (const LevelInfo& entry : kLevels) {
    if (entry.name == text) return entry.level;
  }
  return std::nullopt;
}

std::string_view ToString(LogLevel level) { return LevelInfoOf(level).name; }

}  // namespace amaranth::pvt
