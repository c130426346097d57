#ifndef AMARANTHROUTE_BENCH_LOAD_REPORT_H_
#define AMARANTHROUTE_BENCH_LOAD_REPORT_H_

// What a load run found: latencies, verdicts, and answers that were not one's
// own.

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace amaranth::bench {

// Latencies from 1 us to 100 s in steps of about 1 in 100.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(double micros);
  uint64_t count() const { return count_; }
  // The latency that `share` of all stayed at or under, to the upper edge of
  // its step; 0 if there are none.
  double Quantile(double share) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> histogram_;
  uint64_t count_ = 0;
};

struct LoadReport {
  LatencyHistogram latency;                  // whole answers with a 2xx status
  std::map<std::string, uint64_t> outcomes;  // "ok", or verdict and reason
  uint64_t sent = 0;
  uint64_t crossed = 0;     // an answer with another request's token
  uint64_t duplicates = 0;  // answers that say their request ran before
  uint64_t unfinished = 0;  // no answer when the run ended
  double seconds = 0;

  std::string Text() const;
  std::string Json() const;
};

}  // namespace amaranth::bench

#endif  // AMARANTHROUTE_BENCH_LOAD_REPORT_H_
