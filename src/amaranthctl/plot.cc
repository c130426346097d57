#include "amaranthctl/plot.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace amaranth::pvt {
namespace {

constexpr size_t kMaxLines = 24;
constexpr uint64_t kBarWidth = 50;

std::vector<PlotBucket> Fold(const std::vector<PlotBucket>& buckets) {
  const size_t per_line = (buckets.size() + kMaxLines - 1) / kMaxLines;
  std::vector<PlotBucket> folded;
  for (size_t i = 0; i < buckets.size(); ++i) {
    if (i % per_line == 0) {
      folded.push_back({});
    }
    folded.back().le_us = buckets[i].le_us;
    folded.back().count += buckets[i].count;
  }
  return folded;
}

// A bucket with few among many still shows: the tail is what one looks for.
size_t BarLength(uint64_t count, uint64_t most) {
  const double share = static_cast<double>(count) / static_cast<double>(most);
  const size_t length =
      static_cast<size_t>(std::lround(share * static_cast<double>(kBarWidth)));
  return count > 0 ? std::max<size_t>(length, 1) : 0;
}

}  // namespace

std::string PlotText(const std::vector<PlotBucket>& buckets) {
  const std::vector<PlotBucket> lines = Fold(buckets);
  uint64_t most = 1;
  for (const PlotBucket& line : lines) {
    most = std::max(most, line.count);
  }
  std::string text;
  for (const PlotBucket& line : lines) {
    char head[48];
    std::snprintf(head, sizeof head, "<= %10.3f ms |",
                  static_cast<double>(line.le_us) / 1e3);
    text += head + std::string(BarLength(line.count, most), '#') + " " +
            std::to_string(line.count) + "\n";
  }
  return text;
}

}  // namespace amaranth::pvt
