#ifndef AMARANTHROUTE_LIBHOST_NON_BLOCKING_SINK_H_
#define AMARANTHROUTE_LIBHOST_NON_BLOCKING_SINK_H_

// Writes log lines to a file descriptor without blocking. If the reader of a
// pipe stops reading (for example, a stuck log collector), the pipe fills up,
// and a blocking write would stall the node's only thread, so that every
// request hangs. A line for which there is no room is therefore dropped and
// counted, and the count is written after the next line that fits.

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string>

namespace amaranth::pvt {

class NonBlockingSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  // Does not own `descriptor`.
  explicit NonBlockingSink(int descriptor) : descriptor_(descriptor) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  bool IsWritable() const;
  void WriteLine(const char* data, size_t size) const;
  spdlog::memory_buf_t FormatLine(const spdlog::details::log_msg& message);

  int descriptor_;
  uint64_t dropped_lines_ = 0;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_NON_BLOCKING_SINK_H_
