#ifndef AMARANTHROUTE_LIBHOST_UNBLOCKING_SINK_H_
#define AMARANTHROUTE_LIBHOST_UNBLOCKING_SINK_H_

// Where log lines leave the process. A reader that stops reading (a stuck log
// collector) fills the pipe; the next write would then stop the node's only
// thread, and callers would see every request hang. So a line that does not fit
// is left out and counted, and the count is told when there is room again.

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string>

namespace amaranth::pvt {

class UnblockingSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  // Does not own `descriptor`.
  explicit UnblockingSink(int descriptor) : descriptor_(descriptor) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  bool HasRoom() const;
  void WriteLine(const char* data, size_t size) const;
  spdlog::memory_buf_t Formatted(const spdlog::details::log_msg& message);

  int descriptor_;
  uint64_t left_out_ = 0;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBHOST_UNBLOCKING_SINK_H_
