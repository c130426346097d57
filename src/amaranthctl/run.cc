#include "amaranthctl/run.h"

#include "amaranthctl/render.h"
#include "amaranthctl/replay.h"

namespace amaranth::pvt {
namespace {

constexpr int kFirstNonSuccessStatus = 300;
constexpr int kFirstSuccessStatus = 200;
constexpr int kServiceUnavailable = 503;

ExitCode ReportRefusal(const HttpResponse& response, std::ostream& err) {
  err << "amaranthctl: the node refused (" << response.status
      << "): " << RefusalText(std::string(response.body.view())) << "\n";
  return response.status == kServiceUnavailable ? ExitCode::kNodeNotReady
                                                : ExitCode::kRefused;
}

// Warns if the request was a change: it may have taken effect although its
// answer was lost, so it must not be reported as failed.
ExitCode ReportUnreachable(const Command& command, const Error& error,
                           std::ostream& err) {
  err << "amaranthctl: no response from the node: " << error << "\n";
  if (command.is_change) {
    err << "amaranthctl: the outcome of the change is unknown; check "
           "'settings history' or 'status' before retrying\n";
  }
  return ExitCode::kUnreachable;
}

ExitCode PrintAnswer(const Command& command, const CtlOptions& options,
                     const std::string& body, std::ostream& out,
                     std::ostream& err) {
  const Outcome<std::string> text = Render(command, options, body);
  if (!text) {
    err << "amaranthctl: " << text.error() << "\n";
    return text.error().code == ErrorCode::kNotFound ? ExitCode::kRefused
                                                     : ExitCode::kUnreachable;
  }
  out << text.value();
  const bool not_ready = command.view == View::kStatus && !IsReady(body);
  return not_ready ? ExitCode::kNodeNotReady : ExitCode::kOk;
}

}  // namespace

ExitCode RunCommand(const CtlOptions& options, const SendRequest& send,
                    std::ostream& out, std::ostream& err) {
  if (!options.positionals.empty() &&
      options.positionals[0] == kReplayCommand) {
    return RunReplay(options, out, err);
  }
  const Outcome<Command> command = BuildCommand(options);
  if (!command) {
    err << "amaranthctl: " << command.error() << "\n";
    return ExitCode::kUsage;
  }
  const Outcome<HttpResponse> response = send(command.value().request);
  if (!response) {
    return ReportUnreachable(command.value(), response.error(), err);
  }
  const int status = response.value().status;
  if (status < kFirstSuccessStatus || status >= kFirstNonSuccessStatus) {
    return ReportRefusal(response.value(), err);
  }
  return PrintAnswer(command.value(), options,
                     std::string(response.value().body.view()), out, err);
}

}  // namespace amaranth::pvt
