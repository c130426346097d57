#include "amaranthctl/plot.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace amaranth::pvt {
namespace {

constexpr size_t kMaxLines = 24;
constexpr uint64_t kBarWidth = 50;

std::vector<PlotBucket> MergeBuckets(const std::vector<PlotBucket>& buckets) {
  const size_t per_line = (buckets.size() + kMaxLines - 1) / kMaxLines;
  std::vector<PlotBucket> merged;
  for (size_t i = 0; i < buckets.size(); ++i) {
    if (i % per_line == 0) {
      merged.push_back({});
    }
    merged.back().le_us = buckets[i].le_us;
    merged.back().count += buckets[i].count;
  }
  return merged;
}

// Returns at least 1 for a bucket that is not empty, so that the tail stays
// visible beside large buckets.
size_t BarLength(uint64_t count, uint64_t max_count) {
  const double fraction =
      static_cast<double>(count) / static_cast<double>(max_count);
  const size_t length = static_cast<size_t>(
      std::lround(fraction * static_cast<double>(kBarWidth)));
  return count > 0 ? std::max<size_t>(length, 1) : 0;
}

}  // namespace

std::string PlotText(const std::vector<PlotBucket>& buckets) {
  const std::vector<PlotBucket> lines = MergeBuckets(buckets);
  uint64_t max_count = 1;
  for (const PlotBucket& line : lines) {
    max_count = std::max(max_count, line.count);
  }
  std::string text;
  for (const PlotBucket& line : lines) {
    char label[48];
    std::snprintf(label, sizeof label, "<= %10.3f ms |",
                  static_cast<double>(line.le_us) / 1e3);
    text += label + std::string(BarLength(line.count, max_count), '#') + " " +
            std::to_string(line.count) + "\n";
  }
  return text;
}

}  // namespace amaranth::pvt
