#include "libutil/duration_text.h"

#include <charconv>
#include <string>

namespace amaranth::pvt {
namespace {

Error Invalid(std::string_view text, const char* problem) {
  return {ErrorCode::kInvalid, "'" + std::string(text) + "' " + problem};
}

}  // namespace

Outcome<Duration> ParseDuration(std::string_view text, Duration max) {
  double number = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result read = std::from_chars(text.data(), end, number);
  const std::string_view unit(read.ptr, static_cast<size_t>(end - read.ptr));
  if (read.ec != std::errc() || (unit != "ms" && unit != "s")) {
    return Invalid(text, "is not a duration");
  }
  const double seconds = unit == "s" ? number : number / 1000;
  const double max_seconds = std::chrono::duration<double>(max).count();
  if (!(seconds >= 0 && seconds <= max_seconds)) {
    return Invalid(text, "is out of range");
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace amaranth::pvt
