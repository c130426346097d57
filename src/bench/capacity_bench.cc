// What a node costs at several sizes of fleet, and the line through the sizes:
// the source of docs/CAPACITY.md.

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
constexpr size_t kFirstOfRegionB = 3;
constexpr double kPlannedNodes = 1600;
constexpr size_t kPlannedServices = 140;
constexpr size_t kReplacements = 10;
constexpr size_t kSettingsChanges = 20;
// By then the head has moved; the time in force counts from the change's start.
constexpr Duration kPlatformTime = std::chrono::milliseconds(250);
constexpr double kPlannedCallsPerNode = 306;

struct Row {
  std::string phase;
  double nodes = 0;
  std::map<std::string, double> values;
};

double Heap() { return static_cast<double>(mallinfo2().uordblks); }

size_t ServicesFor(size_t nodes) {
  const size_t share =
      nodes * kPlannedServices / static_cast<size_t>(kPlannedNodes);
  return std::max<size_t>(3, share);
}

// Runs `action` for a span of virtual time and says what a node used a second.
Row Phase(const std::string& name, CapacityFleet& fleet, Duration length,
          const std::function<void()>& action) {
  fleet.TakePeakBytes();
  fleet.TakePeakNanos();
  fleet.TakePeakPlatformCalls();
  const Usage before = fleet.usage();
  action();
  const Usage used = fleet.usage() - before;
  const double seconds = static_cast<double>(length.count()) / 1e6;
  const double per_node = seconds * static_cast<double>(fleet.up());
  Row row;
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

void Print(const Row& row) {
  std::cout << row.phase << " n=" << row.nodes;
  for (const auto& [name, value] : row.values) {
    std::cout << "  " << name << '=' << value;
  }
  std::cout << std::endl;
}

double Seconds(Duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

void Replace(CapacityFleet& fleet) {
  for (size_t i = 0; i < kReplacements; ++i) {
    const size_t node = (i * 7 + 5) % fleet.size();
    fleet.Kill(node);
    fleet.RunFor(std::chrono::seconds(1));
    fleet.Restart(node);
    fleet.RunFor(std::chrono::seconds(1));
  }
  fleet.RunFor(std::chrono::seconds(10));
}

void LoseDataCentre(CapacityFleet& fleet) {
  for (size_t node = 0; node < fleet.size(); ++node) {
    if (fleet.DataCentreOf(node) == 0) fleet.Kill(node);
  }
  fleet.RunFor(std::chrono::seconds(30));
}

// The membership and settings phases at one size.
std::vector<Row> MeasureFleet(size_t nodes) {
  using std::chrono::seconds;
  const double empty = Heap();
  CapacityFleet fleet(nodes, kDataCentres, ServicesFor(nodes));
  fleet.StartAll();
  Duration joined{0};
  std::vector<Row> rows;
  rows.push_back(Phase("start of all", fleet, seconds(60), [&] {
    joined = fleet.RunUntilSeen(nodes, seconds(60));
    fleet.RunFor(seconds(60) - joined);
  }));
  rows.back().values["seen s"] = Seconds(joined);
  rows.push_back(
      Phase("quiet", fleet, seconds(20), [&] { fleet.RunFor(seconds(20)); }));
  rows.back().values["heap KB"] =
      (Heap() - empty) / 1024 / static_cast<double>(nodes);
  rows.push_back(
      Phase("replacements", fleet, seconds(30), [&] { Replace(fleet); }));
  // A tree of the planned size first: it is what each change carries.
  fleet.ChangeSettings(0, kPlannedServices);
  fleet.RunFor(seconds(10));
  const uint64_t version = fleet.settings_version();
  Duration slowest{0};
  rows.push_back(Phase("settings changes", fleet, seconds(100), [&] {
    for (size_t i = 0; i < kSettingsChanges; ++i) {
      fleet.ChangeSettings(i % nodes, 1);
      fleet.RunFor(kPlatformTime);
      const Duration taken = fleet.RunUntilInForce(seconds(4)) + kPlatformTime;
      slowest = std::max(slowest, taken);
      fleet.RunFor(seconds(5) - taken);
    }
  }));
  rows.back().values["slowest in force s"] = Seconds(slowest);
  rows.back().values["accepted"] =
      static_cast<double>(fleet.settings_version() - version);
  rows.push_back(Phase("region cut", fleet, seconds(30), [&] {
    fleet.CutFrom(kFirstOfRegionB);
    fleet.RunFor(seconds(30));
  }));
  rows.push_back(Phase("regions rejoin", fleet, seconds(40), [&] {
    fleet.Heal();
    joined = fleet.RunUntilSeen(nodes, seconds(40));
    fleet.RunFor(seconds(40) - joined);
  }));
  rows.back().values["seen s"] = Seconds(joined);
  rows.push_back(Phase("data centre lost", fleet, seconds(30),
                       [&] { LoseDataCentre(fleet); }));
  for (const Row& row : rows) Print(row);
  return rows;
}

// What a call costs, over what the same fleet costs without calls.
void AddCostOfCalls(Row& row, const Row& quiet) {
  const double calls = row.values["calls/s"];
  const auto more = [&](const std::string& figure) {
    return (row.values.at(figure) - quiet.values.at(figure)) / calls;
  };
  row.values["us/call"] = more("reducer us/s") + more("codec us/s");
  row.values["bytes/call"] = more("bytes/s");
}

// Calls of one hop each, at the planned rate; then with keys to claim.
std::vector<Row> MeasureCalls(size_t nodes, size_t entries) {
  using std::chrono::seconds;
  const double empty = Heap();
  CapacityFleet fleet(nodes, kDataCentres, ServicesFor(nodes));
  fleet.StartAll();
  fleet.RunUntilSeen(nodes, seconds(60));
  fleet.RunFor(seconds(40));
  std::vector<Row> rows;
  rows.push_back(
      Phase("no calls", fleet, seconds(5), [&] { fleet.RunFor(seconds(5)); }));
  fleet.SetCallRate(kPlannedCallsPerNode, 0, entries);
  fleet.RunFor(seconds(1));
  rows.push_back(
      Phase("calls", fleet, seconds(5), [&] { fleet.RunFor(seconds(5)); }));
  fleet.SetCallRate(kPlannedCallsPerNode, 0.05, entries);
  fleet.RunFor(seconds(1));
  rows.push_back(Phase("calls, 5% keyed", fleet, seconds(5),
                       [&] { fleet.RunFor(seconds(5)); }));
  rows.back().values["heap KB"] =
      (Heap() - empty) / 1024 / static_cast<double>(nodes);
  AddCostOfCalls(rows[1], rows[0]);
  AddCostOfCalls(rows[2], rows[0]);
  for (const Row& row : rows) Print(row);
  return rows;
}

// Least squares through one figure of one phase.
void Fit(const std::string& phase, const std::string& figure,
         const std::vector<Row>& rows) {
  double n = 0, x = 0, y = 0, xx = 0, xy = 0;
  for (const Row& row : rows) {
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
  for (const Row& row : rows) {
    if (row.phase != phase || row.values.count(figure) == 0) continue;
    squares +=
        std::pow(row.values.at(figure) - intercept - slope * row.nodes, 2);
  }
  std::cout << "fit," << phase << ',' << figure << ',' << slope << ','
            << intercept << ',' << std::sqrt(squares / (n - 2)) << ','
            << intercept + slope * kPlannedNodes << '\n';
}

void FitAll(const std::vector<Row>& rows) {
  std::cout << "fit,phase,figure,slope a node,intercept,standard error,at "
            << kPlannedNodes << " nodes\n";
  std::map<std::string, std::map<std::string, bool>> figures;
  for (const Row& row : rows) {
    for (const auto& [name, value] : row.values)
      figures[row.phase][name] = true;
  }
  for (const auto& [phase, names] : figures) {
    for (const auto& [name, present] : names) Fit(phase, name, rows);
  }
}

int Main(int argc, const char* const* argv) {
  cxxopts::Options options("capacity_bench",
                           "Measures what a node costs by size of fleet.");
  using Sizes = std::vector<size_t>;
  cxxopts::OptionAdder add = options.add_options();
  add("sizes", "Sizes for the membership phases",
      cxxopts::value<Sizes>()->default_value("10,50,200,400"));
  add("call-sizes", "Sizes for the phases with calls",
      cxxopts::value<Sizes>()->default_value("10,50,100"));
  add("entries", "Nodes that callers ask, in the phases with calls",
      cxxopts::value<size_t>()->default_value("100000"));
  add("placement", "Measure the placement methods only");
  add("help", "Print this page");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("placement") > 0) {
    MeasurePlacement(std::cout);
    return 0;
  }
  std::vector<Row> rows;
  for (const size_t nodes : parsed["sizes"].as<Sizes>()) {
    for (Row& row : MeasureFleet(nodes)) rows.push_back(std::move(row));
  }
  const size_t entries = parsed["entries"].as<size_t>();
  for (const size_t nodes : parsed["call-sizes"].as<Sizes>()) {
    for (Row& row : MeasureCalls(nodes, entries))
      rows.push_back(std::move(row));
  }
  FitAll(rows);
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
