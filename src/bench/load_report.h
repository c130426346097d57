#ifndef AMARANTHROUTE_BENCH_LOAD_REPORT_H_
#define AMARANTHROUTE_BENCH_LOAD_REPORT_H_

// The results of a load run: latencies, verdicts, and answers that belong to
// another request.

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace amaranth::bench {

// Latencies from 1 us to 100 s, in logarithmic bins about 1% wide.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(double micros);
  uint64_t count() const { return count_; }
  // Returns the upper edge, in microseconds, of the bin that contains the
  // `fraction` quantile (0 to 1); 0 if the histogram is empty.
  double Quantile(double fraction) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> histogram_;
  uint64_t count_ = 0;
};

struct LoadReport {
  LatencyHistogram latency;  // complete answers with a 2xx status
  std::map<std::string, uint64_t>
      outcomes;  // "ok", or status, verdict and reason
  uint64_t sent = 0;
  uint64_t crossed = 0;     // answers with another request's token
  uint64_t duplicates = 0;  // answers whose X-Echo-Runs is not 1
  uint64_t unfinished = 0;  // without an answer when the run ended
  double seconds = 0;

  std::string ToText() const;
  std::string ToJson() const;
};

}  // namespace amaranth::bench

#endif  // AMARANTHROUTE_BENCH_LOAD_REPORT_H_
