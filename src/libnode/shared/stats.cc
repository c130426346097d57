#include "libnode/shared/stats.h"

#include <boost/histogram.hpp>
#include <sstream>
#include <tuple>

namespace amaranth::pvt {
namespace {

namespace bh = boost::histogram;

// 100 buckets from 50 us to 60 s in steps of about 15 %: accurate enough for
// percentiles, and small enough for one histogram per tenant, class and
// outcome.
constexpr int kBuckets = 100;
constexpr double kLowestMicros = 50;
constexpr double kHighestMicros = 60e6;

// Callers choose tenant names. Beyond this many series all new ones of an
// outcome share one, so that memory use stays bounded.
constexpr size_t kMaxSeries = 2000;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<uint64_t>;
using LatencyHistogram = bh::histogram<std::tuple<LogAxis>, Storage>;

LatencyHistogram MakeLatencyHistogram() {
  return bh::make_histogram_with(
      Storage(), LogAxis(kBuckets, kLowestMicros, kHighestMicros, "latency"));
}

int64_t UpperEdge(const LatencyHistogram& histogram, int index) {
  if (index < 0) return static_cast<int64_t>(kLowestMicros);
  if (index >= kBuckets) return static_cast<int64_t>(kHighestMicros);
  return static_cast<int64_t>(histogram.axis(0).bin(index).upper());
}

int64_t Percentile(const HistogramSummary& summary, double share) {
  const double wanted = share * static_cast<double>(summary.count);
  double seen = 0;
  for (const HistogramSummary::Bucket& bucket : summary.buckets) {
    seen += static_cast<double>(bucket.count);
    if (seen >= wanted) return bucket.le_us;
  }
  return 0;
}

}  // namespace

struct Stats::Series {
  LatencyHistogram histogram = MakeLatencyHistogram();
  uint64_t count = 0;
  int64_t sum_us = 0;
};

Stats::Stats() = default;
Stats::~Stats() = default;

void Stats::Count(std::string_view counter, std::string_view label,
                  uint64_t amount) {
  auto group = counters_.find(counter);
  if (group == counters_.end()) {
    group = counters_.try_emplace(std::string(counter)).first;
  }
  auto value = group->second.find(label);
  if (value == group->second.end()) {
    value = group->second.try_emplace(std::string(label), 0).first;
  }
  value->second += amount;
}

uint64_t Stats::CountOf(const std::string& counter,
                        const std::string& label) const {
  const auto group = counters_.find(counter);
  if (group == counters_.end()) return 0;
  const auto value = group->second.find(label);
  return value == group->second.end() ? 0 : value->second;
}

Stats::Series& Stats::SeriesOf(SeriesKey key) {
  const auto found = series_.find(key);
  if (found != series_.end()) return *found->second;
  if (series_.size() >= kMaxSeries) {
    key.tenant = "other";
    key.request_class = "other";
  }
  std::unique_ptr<Series>& series = series_[std::move(key)];
  if (!series) series = std::make_unique<Series>();
  return *series;
}

void Stats::Observe(const std::string& tenant, const std::string& request_class,
                    std::string_view outcome, Duration latency) {
  Series& series = SeriesOf({tenant, request_class, std::string(outcome)});
  series.histogram(static_cast<double>(latency.count()));
  ++series.count;
  series.sum_us += latency.count();
}

std::vector<HistogramSummary> Stats::Histograms() const {
  std::vector<HistogramSummary> summaries;
  for (const auto& [key, series] : series_) {
    HistogramSummary summary;
    summary.tenant = key.tenant;
    summary.request_class = key.request_class;
    summary.outcome = key.outcome;
    summary.count = series->count;
    summary.sum_us = series->sum_us;
    for (int i = -1; i <= kBuckets; ++i) {
      const uint64_t count = series->histogram.at(i);
      if (count == 0) continue;
      summary.buckets.push_back({UpperEdge(series->histogram, i), count});
    }
    summary.p50_us = Percentile(summary, 0.50);
    summary.p90_us = Percentile(summary, 0.90);
    summary.p99_us = Percentile(summary, 0.99);
    summary.p999_us = Percentile(summary, 0.999);
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

std::string Stats::PrometheusText() const {
  std::ostringstream out;
  for (const auto& [name, values] : counters_) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [label, value] : values) {
      out << name;
      if (!label.empty()) out << "{" << label << "}";
      out << " " << value << "\n";
    }
  }
  out << "# TYPE amaranth_latency_seconds histogram\n";
  for (const HistogramSummary& summary : Histograms()) {
    const std::string labels = "tenant=\"" + summary.tenant + "\",class=\"" +
                               summary.request_class + "\",outcome=\"" +
                               summary.outcome + "\"";
    uint64_t cumulative = 0;
    for (const HistogramSummary::Bucket& bucket : summary.buckets) {
      cumulative += bucket.count;
      out << "amaranth_latency_seconds_bucket{" << labels << ",le=\""
          << static_cast<double>(bucket.le_us) / 1e6 << "\"} " << cumulative
          << "\n";
    }
    out << "amaranth_latency_seconds_bucket{" << labels << ",le=\"+Inf\"} "
        << summary.count << "\n"
        << "amaranth_latency_seconds_sum{" << labels << "} "
        << static_cast<double>(summary.sum_us) / 1e6 << "\n"
        << "amaranth_latency_seconds_count{" << labels << "} " << summary.count
        << "\n";
  }
  return out.str();
}

}  // namespace amaranth::pvt
