// Measures the overload decisions of each policy: real reducers and fake
// backend servers in virtual time. The columns are described in
// docs/PERFORMANCE.md.

#include <atomic>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bench/policy_cases.h"
#include "bench/policy_run.h"

namespace amaranth::bench {
namespace {

struct Options {
  std::string topology;
  std::string scenario;
  std::string policy;
  std::string csv;
  std::string series;
  int jobs = 1;
  RunOptions run;
};

struct Job {
  Topology topology;
  Scenario scenario;
  Policy policy = Policy::kAmaranth;
  RunResult result;
};

bool Matches(const std::string& filter, const std::string& name) {
  return filter.empty() || filter == name;
}

std::vector<Job> SelectJobs(const Options& options) {
  std::vector<Job> jobs;
  for (const Topology& topology : Topologies()) {
    if (!Matches(options.topology, topology.name)) continue;
    for (const Scenario& scenario : Scenarios()) {
      if (!Matches(options.scenario, scenario.name)) continue;
      for (const Policy policy : {Policy::kNone, Policy::kFixedLimit,
                                  Policy::kSlots, Policy::kAmaranth}) {
        if (!Matches(options.policy, ToString(policy))) continue;
        jobs.push_back({topology, scenario, policy, {}});
      }
    }
  }
  return jobs;
}

void WriteResult(std::ostream& out, const Job& job) {
  const RunResult& result = job.result;
  double allowed = 0;
  double good = 0;
  for (const TierResult& tier : result.tiers) {
    allowed += tier.allowed;
    good += static_cast<double>(tier.good);
  }
  out << job.topology.name << ',' << job.scenario.name << ','
      << ToString(job.policy);
  for (size_t tier = kTierCount; tier-- > 1;) {
    const TierResult& counts = result.tiers[tier];
    out << ',' << counts.good << ',' << static_cast<int64_t>(counts.allowed);
  }
  const double runs = static_cast<double>(std::max<uint64_t>(1, result.runs));
  out << ',' << good / allowed << ','
      << static_cast<double>(result.wasted_runs) / runs << ','
      << result.amplification << ',' << result.resends << ',' << result.recovery
      << ',' << result.real_seconds << '\n';
}

void WriteSeries(std::ostream& out, const Job& job) {
  for (size_t bin = 0; bin < job.result.bins.size(); ++bin) {
    out << job.topology.name << ',' << job.scenario.name << ','
        << ToString(job.policy) << ','
        << std::chrono::duration<double>(kBinLength * bin).count() << ','
        << job.result.bins[bin].offered << ',' << job.result.bins[bin].good
        << '\n';
  }
}

void RunAll(std::vector<Job>& jobs, const Options& options) {
  std::atomic<size_t> next{0};
  std::mutex output_mutex;
  const auto run_jobs = [&] {
    for (size_t index = next++; index < jobs.size(); index = next++) {
      Job& job = jobs[index];
      job.result = Run(job.topology, job.scenario, job.policy, options.run);
      const std::lock_guard<std::mutex> lock(output_mutex);
      WriteResult(std::cerr, job);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(options.jobs));
  for (int i = 0; i < options.jobs; ++i) threads.emplace_back(run_jobs);
  for (std::thread& thread : threads) thread.join();
}

Options ParseOptions(int argc, char** argv) {
  cxxopts::Options parser("policy_bench",
                          "Measures overload decisions under load.");
  Options options;
  parser.add_options()("topology", "run only this topology",
                       cxxopts::value(options.topology))(
      "scenario", "run only this scenario", cxxopts::value(options.scenario))(
      "policy", "run only this policy", cxxopts::value(options.policy))(
      "csv", "file for the results", cxxopts::value(options.csv))(
      "series", "file for the goodput over time",
      cxxopts::value(options.series))("jobs", "number of concurrent runs",
                                      cxxopts::value(options.jobs))(
      "seed", "random seed of the fleet", cxxopts::value(options.run.seed))(
      "quick", "3 s before, 5 s of and 10 s after the trigger")(
      "help", "print this help");
  const cxxopts::ParseResult parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help();
    std::exit(0);
  }
  if (parsed.count("quick") > 0) {
    options.run.before = std::chrono::seconds(3);
    options.run.trigger = std::chrono::seconds(5);
    options.run.after = std::chrono::seconds(10);
  }
  return options;
}

int Main(int argc, char** argv) {
  const Options options = ParseOptions(argc, argv);
  std::vector<Job> jobs = SelectJobs(options);
  RunAll(jobs, options);
  std::ofstream csv(options.csv);
  csv << "topology,scenario,policy,critical_good,critical_allowed,"
         "standard_good,standard_allowed,browse_good,browse_allowed,"
         "goodput_share,wasted_share,amplification,resends,recovery_s,"
         "real_s\n";
  for (const Job& job : jobs) WriteResult(csv, job);
  if (options.series.empty()) return 0;
  std::ofstream series(options.series);
  series << "topology,scenario,policy,time_s,offered,good\n";
  for (const Job& job : jobs) WriteSeries(series, job);
  return 0;
}

}  // namespace
}  // namespace amaranth::bench

int main(int argc, char** argv) {
  try {
    return amaranth::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "policy_bench: " << error.what() << '\n';
    return 2;
  }
}
