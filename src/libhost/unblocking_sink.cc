#include "libhost/unblocking_sink.h"

#include <poll.h>
#include <unistd.h>

#include <climits>

namespace amaranth::pvt {

// A pipe that polls as writable takes this many bytes without blocking, and
// whole, so that lines of several processes do not mix.
constexpr size_t kMaxLineBytes = PIPE_BUF;

bool UnblockingSink::HasRoom() const {
  pollfd state{descriptor_, POLLOUT, 0};
  return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

void UnblockingSink::WriteLine(const char* data, size_t size) const {
  // There is nowhere left to tell of a failure here.
  [[maybe_unused]] const ssize_t written = ::write(descriptor_, data, size);
}

spdlog::memory_buf_t UnblockingSink::Formatted(
    const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes);
    line[kMaxLineBytes - 1] = '\n';
  }
  return line;
}

void UnblockingSink::sink_it_(const spdlog::details::log_msg& message) {
  if (!HasRoom()) {
    ++left_out_;
    return;
  }
  const spdlog::memory_buf_t line = Formatted(message);
  WriteLine(line.data(), line.size());
  if (left_out_ == 0 || !HasRoom()) return;
  const std::string text =
      R"("level":"warning","part":"log","text":"lines left out as nobody read: )" +
      std::to_string(left_out_) + "\"";
  left_out_ = 0;
  const spdlog::details::log_msg told(message.logger_name, spdlog::level::warn,
                                      text);
  const spdlog::memory_buf_t told_line = Formatted(told);
  WriteLine(told_line.data(), told_line.size());
}

}  // namespace amaranth::pvt
