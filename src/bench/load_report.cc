#include "bench/load_report.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace amaranth::bench {
namespace {

constexpr double kLowestMicros = 1;
constexpr double kHighestMicros = 1e8;
constexpr unsigned kBinCount = 1852;  // 1.01^1852 is about 1e8

struct Percentile {
  const char* name;
  double fraction;
};
constexpr std::array<Percentile, 5> kPercentiles = {{{"p50", 0.5},
                                                     {"p90", 0.9},
                                                     {"p99", 0.99},
                                                     {"p99.9", 0.999},
                                                     {"max", 1.0}}};

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram(
          Axis(kBinCount, kLowestMicros, kHighestMicros))) {}

void LatencyHistogram::Add(double micros) {
  histogram_(micros);
  ++count_;
}

double LatencyHistogram::Quantile(double fraction) const {
  const double rank = std::ceil(fraction * static_cast<double>(count_));
  if (count_ == 0) return 0;
  double seen = 0;
  const Axis& axis = histogram_.axis();
  for (int i = -1; i <= axis.size(); ++i) {
    seen += histogram_.at(i);
    if (seen >= rank) return axis.value(i + 1);
  }
  return kHighestMicros;
}

std::string LoadReport::ToText() const {
  std::array<char, 200> line{};
  std::string text;
  const double answered = static_cast<double>(latency.count());
  std::snprintf(line.data(), line.size(),
                "sent %llu in %.1f s, complete answers %.0f (%.0f/s)\n",
                static_cast<unsigned long long>(sent), seconds, answered,
                answered / seconds);
  text += line.data();
  for (const Percentile& entry : kPercentiles) {
    std::snprintf(line.data(), line.size(), "  %-6s %10.3f ms\n", entry.name,
                  latency.Quantile(entry.fraction) / 1000);
    text += line.data();
  }
  for (const auto& [outcome, count] : outcomes) {
    text += "  " + outcome + ": " + std::to_string(count) + "\n";
  }
  text += "  crossed " + std::to_string(crossed) + ", duplicates " +
          std::to_string(duplicates) + ", unfinished " +
          std::to_string(unfinished) + "\n";
  return text;
}

std::string LoadReport::ToJson() const {
  nlohmann::json json = {{"sent", sent},
                         {"seconds", seconds},
                         {"answered", latency.count()},
                         {"crossed", crossed},
                         {"duplicates", duplicates},
                         {"unfinished", unfinished},
                         {"outcomes", outcomes}};
  for (const Percentile& entry : kPercentiles) {
    json["ms"][entry.name] = latency.Quantile(entry.fraction) / 1000;
  }
  return json.dump();
}

}  // namespace amaranth::bench
