#include "libhost/log_sink.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "libhost/unblocking_sink.h"

namespace amaranth::pvt {
namespace {

struct LevelName {
  LogLevel level;
  std::string_view name;
  spdlog::level::level_enum spdlog_level;
};

constexpr std::array<LevelName, 4> kLevels = {{
    {LogLevel::kDebug, "debug", spdlog::level::debug},
    {LogLevel::kInfo, "info", spdlog::level::info},
    {LogLevel::kWarning, "warning", spdlog::level::warn},
    {LogLevel::kError, "error", spdlog::level::err},
}};

const LevelName& NameOf(LogLevel level) {
  return kLevels[static_cast<size_t>(level)];
}

std::shared_ptr<spdlog::logger> StdoutLogger(LogFormat format) {
  auto logger = std::make_shared<spdlog::logger>(
      "amaranthd", std::make_shared<UnblockingSink>(STDOUT_FILENO));
  logger->set_level(spdlog::level::debug);
  logger->set_pattern(format == LogFormat::kJson
                          ? R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z",%v})"
                          : "%Y-%m-%dT%H:%M:%S.%f%z %l %v");
  return logger;
}

}  // namespace

LogSink::LogSink(LogSinkOptions options) : options_(std::move(options)) {
  write_ = [logger = StdoutLogger(options_.format)](LogLevel level,
                                                    const std::string& line) {
    logger->log(NameOf(level).spdlog_level, "{}", line);
  };
}

LogSink::LogSink(LogSinkOptions options, WriteLine write)
    : options_(std::move(options)), write_(std::move(write)) {}

void LogSink::Write(TimePoint now, const WriteLog& log) {
  if (log.level < options_.level) return;
  if (!Allow(now, log.part)) return;
  write_(log.level, Format(log));
}

bool LogSink::Allow(TimePoint now, const std::string& part) {
  const auto [entry, is_new] =
      allowances_.emplace(part, Allowance{options_.burst, now, 0});
  Allowance& allowance = entry->second;
  const double seconds =
      std::chrono::duration<double>(now - allowance.since).count();
  allowance.since = now;
  allowance.lines = std::min(
      options_.burst, allowance.lines + seconds * options_.lines_per_second);
  if (allowance.lines < 1) {
    ++allowance.left_out;
    return false;
  }
  allowance.lines -= 1;
  if (allowance.left_out > 0) {
    const std::string count = std::to_string(allowance.left_out);
    allowance.left_out = 0;
    write_(LogLevel::kWarning,
           Format({LogLevel::kWarning, part, "lines left out: " + count}));
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
  // The logger's pattern puts the time in front and the braces around.
  const std::string object =
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return object.substr(1, object.size() - 2);
}

std::optional<LogLevel> ParseLogLevel(std::string_view text) {
  for (const LevelName& entry : kLevels) {
    if (entry.name == text) return entry.level;
  }
  return std::nullopt;
}

std::string_view ToString(LogLevel level) { return NameOf(level).name; }

}  // namespace amaranth::pvt
