// Measures the cost per node at several fleet sizes and fits a line through the
// sizes. Produces the figures of docs/CAPACITY.md.

#include <malloc.h>

#include <cmath>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "bench/capacity_fleet.h"
#include "bench/placement.h"

namespace amaranth::bench {
namespace {

constexpr size_t kDataCentres = 5;
constexpr size_t kFirstDataCentreOfRegionB = 3;
constexpr double kPlannedNodes = 1600;
constexpr size_t kPlannedServices = 140;
constexpr size_t kReplacementCount = 10;
constexpr size_t kSettingsChangeCount = 20;
// Virtual time after a settings change by which its platform calls are done and
// the head has moved. It is included in the reported time until the change is
// in force.
constexpr Duration kHeadMoveTime = std::chrono::milliseconds(250);
constexpr double kPlannedCallsPerNode = 306;

struct PhaseResult {
  std::string phase;
  double nodes = 0;
  std::map<std::string, double> values;
};

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

size_t ServicesFor(size_t nodes) {
  const size_t share =
      nodes * kPlannedServices / static_cast<size_t>(kPlannedNodes);
  return std::max<size_t>(3, share);
}

// Runs `action`, which takes `length` of virtual time, and returns the cost per
// node and second. Values with "fleet" in their name are for all nodes
// together; values named "peak ..." are the highest within one second, of any
// one node unless "fleet" is in the name.
PhaseResult MeasurePhase(const std::string& name, CapacityFleet& fleet,
                         Duration length, const std::function<void()>& action) {
  fleet.TakePeakBytes();
  fleet.TakePeakNanos();
  fleet.TakePeakPlatformCalls();
  const Usage before = fleet.usage();
  action();
  const Usage used = fleet.usage() - before;
  const double seconds = static_cast<double>(length.count()) / 1e6;
  const double per_node = seconds * static_cast<double>(fleet.up());
  PhaseResult row;
  row.phase = name;
  row.nodes = static_cast<double>(fleet.size());
  row.values["bytes/s"] = static_cast<double>(used.bytes) / per_node;
  row.values["peak bytes/s"] = static_cast<double>(fleet.TakePeakBytes());
  row.values["messages/s"] = static_cast<double>(used.messages) / per_node;
  row.values["reducer us/s"] =
      static_cast<double>(used.reducer_ns) / 1e3 / per_node;
  row.values["codec us/s"] =
      static_cast<double>(used.codec_ns) / 1e3 / per_node;
  row.values["peak us/s"] = static_cast<double>(fleet.TakePeakNanos()) / 1e3;
  row.values["fleet reads/s"] =
      static_cast<double>(used.platform_reads) / seconds;
  row.values["fleet writes/s"] =
      static_cast<double>(used.platform_writes) / seconds;
  row.values["fleet rows/s"] =
      static_cast<double>(used.platform_rows) / seconds;
  row.values["peak fleet platform calls/s"] =
      static_cast<double>(fleet.TakePeakPlatformCalls());
  const double calls = static_cast<double>(used.calls_ok + used.calls_failed);
  if (calls > 0) {
    row.values["calls/s"] = calls / per_node;
    row.values["failed calls %"] =
        100 * static_cast<double>(used.calls_failed) / calls;
  }
  return row;
}

void Print(const PhaseResult& row) {
  std::cout << row.phase << " n=" << row.nodes;
  for (const auto& [name, value] : row.values) {
    std::cout << "  " << name << '=' << value;
  }
  std::cout << std::endl;
}

double ToSeconds(Duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

void ReplaceHosts(CapacityFleet& fleet) {
  for (size_t i = 0; i < kReplacementCount; ++i) {
    const size_t node = (i * 7 + 5) % fleet.size();
    fleet.Kill(node);
    fleet.RunFor(std::chrono::seconds(1));
    fleet.Restart(node);
    fleet.RunFor(std::chrono::seconds(1));
  }
  fleet.RunFor(std::chrono::seconds(10));
}

void KillDataCentre(CapacityFleet& fleet) {
  for (size_t node = 0; node < fleet.size(); ++node) {
    if (fleet.DataCentreOf(node) == 0) fleet.Kill(node);
  }
  fleet.RunFor(std::chrono::seconds(30));
}

// Runs the membership and settings phases with a fleet of `nodes`.
std::vector<PhaseResult> MeasureFleet(size_t nodes) {
  using std::chrono::seconds;
  const double heap_before = HeapBytes();
  CapacityFleet fleet(nodes, kDataCentres, ServicesFor(nodes));
  fleet.StartAll();
  Duration join_time{0};
  std::vector<PhaseResult> rows;
  rows.push_back(MeasurePhase("start of all", fleet, seconds(60), [&] {
    join_time = fleet.RunUntilMembersSeen(nodes, seconds(60));
    fleet.RunFor(seconds(60) - join_time);
  }));
  rows.back().values["seen s"] = ToSeconds(join_time);
  rows.push_back(MeasurePhase("quiet", fleet, seconds(20),
                              [&] { fleet.RunFor(seconds(20)); }));
  rows.back().values["heap KB"] =
      (HeapBytes() - heap_before) / 1024 / static_cast<double>(nodes);
  rows.push_back(MeasurePhase("replacements", fleet, seconds(30),
                              [&] { ReplaceHosts(fleet); }));
  // Fills the settings tree to its planned size first: every change sends the
  // whole tree.
  fleet.ChangeSettings(0, kPlannedServices);
  fleet.RunFor(seconds(10));
  const uint64_t version = fleet.settings_version();
  Duration slowest{0};
  rows.push_back(MeasurePhase("settings changes", fleet, seconds(100), [&] {
    for (size_t i = 0; i < kSettingsChangeCount; ++i) {
      fleet.ChangeSettings(i % nodes, 1);
      fleet.RunFor(kHeadMoveTime);
      const Duration delay =
          fleet.RunUntilSettingsInForce(seconds(4)) + kHeadMoveTime;
      slowest = std::max(slowest, delay);
      fleet.RunFor(seconds(5) - delay);
    }
  }));
  rows.back().values["slowest in force s"] = ToSeconds(slowest);
  rows.back().values["accepted"] =
      static_cast<double>(fleet.settings_version() - version);
  rows.push_back(MeasurePhase("region cut", fleet, seconds(30), [&] {
    fleet.PartitionFrom(kFirstDataCentreOfRegionB);
    fleet.RunFor(seconds(30));
  }));
  rows.push_back(MeasurePhase("regions rejoin", fleet, seconds(40), [&] {
    fleet.Heal();
    join_time = fleet.RunUntilMembersSeen(nodes, seconds(40));
    fleet.RunFor(seconds(40) - join_time);
  }));
  rows.back().values["seen s"] = ToSeconds(join_time);
  rows.push_back(MeasurePhase("data centre lost", fleet, seconds(30),
                              [&] { KillDataCentre(fleet); }));
  for (const PhaseResult& row : rows) Print(row);
  return rows;
}

// Adds the cost per call: the difference to the same fleet without calls,
// divided by the call rate.
void AddCallCost(PhaseResult& row, const PhaseResult& baseline) {
  const double calls = row.values["calls/s"];
  const auto cost_per_call = [&](const std::string& figure) {
    return (row.values.at(figure) - baseline.values.at(figure)) / calls;
  };
  row.values["us/call"] =
      cost_per_call("reducer us/s") + cost_per_call("codec us/s");
  row.values["bytes/call"] = cost_per_call("bytes/s");
}

// Measures calls of one hop each at the planned rate, first without
// idempotency keys and then with keys in 5% of the calls.
std::vector<PhaseResult> MeasureCalls(size_t nodes, size_t entries) {
  using std::chrono::seconds;
  const double heap_before = HeapBytes();
  CapacityFleet fleet(nodes, kDataCentres, ServicesFor(nodes));
  fleet.StartAll();
  fleet.RunUntilMembersSeen(nodes, seconds(60));
  fleet.RunFor(seconds(40));
  std::vector<PhaseResult> rows;
  rows.push_back(MeasurePhase("no calls", fleet, seconds(5),
                              [&] { fleet.RunFor(seconds(5)); }));
  fleet.SetCallRate(kPlannedCallsPerNode, 0, entries);
  fleet.RunFor(seconds(1));
  rows.push_back(MeasurePhase("calls", fleet, seconds(5),
                              [&] { fleet.RunFor(seconds(5)); }));
  fleet.SetCallRate(kPlannedCallsPerNode, 0.05, entries);
  fleet.RunFor(seconds(1));
  rows.push_back(MeasurePhase("calls, 5% keyed", fleet, seconds(5),
                              [&] { fleet.RunFor(seconds(5)); }));
  rows.back().values["heap KB"] =
      (HeapBytes() - heap_before) / 1024 / static_cast<double>(nodes);
  AddCallCost(rows[1], rows[0]);
  AddCallCost(rows[2], rows[0]);
  for (const PhaseResult& row : rows) Print(row);
  return rows;
}

// Prints the least-squares line of one figure of one phase over fleet size.
void FitLine(const std::string& phase, const std::string& figure,
             const std::vector<PhaseResult>& rows) {
  double n = 0, x = 0, y = 0, xx = 0, xy = 0;
  for (const PhaseResult& row : rows) {
    if (row.phase != phase || row.values.count(figure) == 0) continue;
    const double value = row.values.at(figure);
    n += 1;
    x += row.nodes;
    y += value;
    xx += row.nodes * row.nodes;
    xy += row.nodes * value;
  }
  if (n < 3) return;
  const double slope = (n * xy - x * y) / (n * xx - x * x);
  const double intercept = (y - slope * x) / n;
  double squares = 0;
  for (const PhaseResult& row : rows) {
    if (row.phase != phase || row.values.count(figure) == 0) continue;
    squares +=
        std::pow(row.values.at(figure) - intercept - slope * row.nodes, 2);
  }
  std::cout << "fit," << phase << ',' << figure << ',' << slope << ','
            << intercept << ',' << std::sqrt(squares / (n - 2)) << ','
            << intercept + slope * kPlannedNodes << '\n';
}

void FitAllFigures(const std::vector<PhaseResult>& rows) {
  std::cout << "fit,phase,figure,slope a node,intercept,standard error,at "
            << kPlannedNodes << " nodes\n";
  std::map<std::string, std::map<std::string, bool>> figures;
  for (const PhaseResult& row : rows) {
    for (const auto& [name, value] : row.values)
      figures[row.phase][name] = true;
  }
  for (const auto& [phase, names] : figures) {
    for (const auto& [name, present] : names) FitLine(phase, name, rows);
  }
}

int Main(int argc, const char* const* argv) {
  cxxopts::Options options(
      "capacity_bench", "Measures the cost per node at several fleet sizes.");
  using Sizes = std::vector<size_t>;
  cxxopts::OptionAdder add = options.add_options();
  add("sizes", "Fleet sizes for the membership and settings phases",
      cxxopts::value<Sizes>()->default_value("10,50,200,400"));
  add("call-sizes", "Fleet sizes for the phases with calls",
      cxxopts::value<Sizes>()->default_value("10,50,100"));
  add("entries", "Number of entry nodes in the phases with calls",
      cxxopts::value<size_t>()->default_value("100000"));
  add("placement", "Measure only the placement methods");
  add("help", "Print this help");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("placement") > 0) {
    MeasurePlacement(std::cout);
    return 0;
  }
  std::vector<PhaseResult> rows;
  for (const size_t nodes : parsed["sizes"].as<Sizes>()) {
    for (PhaseResult& row : MeasureFleet(nodes)) rows.push_back(std::move(row));
  }
  const size_t entries = parsed["entries"].as<size_t>();
  for (const size_t nodes : parsed["call-sizes"].as<Sizes>()) {
    for (PhaseResult& row : MeasureCalls(nodes, entries))
      rows.push_back(std::move(row));
  }
  FitAllFigures(rows);
  return 0;
}

}  // namespace
}  // namespace amaranth::bench

int main(int argc, char** argv) {
  try {
    return amaranth::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "capacity_bench: " << error.what() << '\n';
    return 2;
  }
}
