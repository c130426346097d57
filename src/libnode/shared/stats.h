#ifndef AMARANTHROUTE_LIBNODE_SHARED_STATS_H_
#define AMARANTHROUTE_LIBNODE_SHARED_STATS_H_

// Counters, and latency histograms by tenant, class and outcome.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth::pvt {

// Summary of one latency histogram; times are in microseconds.
struct HistogramSummary {
  struct Bucket {
    int64_t le_us = 0;
    uint64_t count = 0;
  };
  std::string tenant;
  std::string request_class;
  std::string outcome;
  uint64_t count = 0;
  int64_t sum_us = 0;
  int64_t p50_us = 0;
  int64_t p90_us = 0;
  int64_t p99_us = 0;
  int64_t p999_us = 0;
  std::vector<Bucket> buckets;  // only those that are not empty
};

class Stats {
 public:
  Stats();
  ~Stats();
  Stats(const Stats&) = delete;
  Stats& operator=(const Stats&) = delete;

  // Adds to a counter. `counter` is a Prometheus name, `label` its label pair
  // or empty.
  void Count(std::string_view counter, std::string_view label = {},
             uint64_t amount = 1);
  uint64_t CountOf(const std::string& counter,
                   const std::string& label = {}) const;

  // Adds a latency to a histogram. `outcome` is "ok", "server-error", the text
  // of a Reason, or the name of another duration that the node observes.
  void Observe(const std::string& tenant, const std::string& request_class,
               std::string_view outcome, Duration latency);

  std::vector<HistogramSummary> Histograms() const;
  std::string PrometheusText() const;

 private:
  struct Series;
  struct SeriesKey {
    std::string tenant;
    std::string request_class;
    std::string outcome;
    bool operator<(const SeriesKey& other) const {
      return std::tie(tenant, request_class, outcome) <
             std::tie(other.tenant, other.request_class, other.outcome);
    }
  };
  Series& SeriesOf(SeriesKey key);

  std::map<std::string, std::map<std::string, uint64_t, std::less<>>,
           std::less<>>
      counters_;
  std::map<SeriesKey, std::unique_ptr<Series>> series_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SHARED_STATS_H_
