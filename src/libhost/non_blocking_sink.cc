#include "libhost/non_blocking_sink.h"

#include <poll.h>
#include <unistd.h>

#include <climits>

namespace amaranth::pvt {

// Longer lines are truncated. A pipe that poll() reports as writable accepts
// this many bytes without blocking and atomically, so that lines of several
// processes do not interleave.
constexpr size_t kMaxLineBytes = PIPE_BUF;

bool NonBlockingSink::IsWritable() const {
  pollfd state{descriptor_, POLLOUT, 0};
  return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

void NonBlockingSink::WriteLine(const char* data, size_t size) const {
  // A failed write is ignored, as there is nowhere else to report it.
  [[maybe_unused]] const ssize_t written = ::write(descriptor_, data, size);
}

spdlog::memory_buf_t NonBlockingSink::FormatLine(
    const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes);
    line[kMaxLineBytes - 1] = '\n';
  }
  return line;
}

void NonBlockingSink::sink_it_(const spdlog::details::log_msg& message) {
  if (!IsWritable()) {
    ++dropped_lines_;
    return;
  }
  const spdlog::memory_buf_t line = FormatLine(message);
  WriteLine(line.data(), line.size());
  if (dropped_lines_ == 0 || !IsWritable()) return;
  const std::string text =
      R"("level":"warning","part":"log","text":"lines dropped, log not read: )" +
      std::to_string(dropped_lines_) + "\"";
  dropped_lines_ = 0;
  const spdlog::details::log_msg notice(message.logger_name,
                                        spdlog::level::warn, text);
  const spdlog::memory_buf_t notice_line = FormatLine(notice);
  WriteLine(notice_line.data(), notice_line.size());
}

}  // namespace amaranth::pvt
