#include "amaranthctl/replay.h"

#include <fstream>
#include <nlohmann/json.hpp>

#include "amaranthroute/event_log.h"

namespace amaranth::pvt {
namespace {

void PrintReport(const ReplayReport& report, const CtlOptions& options,
                 std::ostream& out) {
  if (options.output == Output::kJson) {
    const nlohmann::ordered_json json = {
        {"events", report.events},
        {"effects", report.effects},
        {"differing", report.differing},
        {"first_difference", report.first_difference}};
    out << json.dump() << "\n";
    return;
  }
  out << report.events << " events, " << report.effects << " effects, "
      << report.differing << " with effects that differ from the log";
  if (report.differing > 0)
    out << ", first at line " << report.first_difference;
  out << "\n";
}

}  // namespace

ExitCode RunReplay(const CtlOptions& options, std::ostream& out,
                   std::ostream& err) {
  if (options.positionals.size() != 2) {
    err << "amaranthctl: usage: replay FILE\n";
    return ExitCode::kUsage;
  }
  std::ifstream log(options.positionals[1]);
  if (!log) {
    err << "amaranthctl: cannot read " << options.positionals[1] << "\n";
    return ExitCode::kUsage;
  }
  const Outcome<ReplayReport> report =
      ReplayLog(log, options.trace ? &out : nullptr);
  if (!report) {
    err << "amaranthctl: " << report.error() << "\n";
    return ExitCode::kUsage;
  }
  PrintReport(report.value(), options, out);
  return report.value().differing == 0 ? ExitCode::kOk : ExitCode::kRefused;
}

}  // namespace amaranth::pvt
