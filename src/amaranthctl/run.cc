#include "amaranthctl/run.h"

#include "amaranthctl/render.h"
#include "amaranthctl/replay.h"

namespace amaranth::pvt {
namespace {

constexpr int kFirstFailure = 300;
constexpr int kFirstSuccess = 200;
constexpr int kUnavailable = 503;

ExitCode Refused(const HttpResponse& response, std::ostream& err) {
  err << "amaranthctl: the node refused (" << response.status
      << "): " << RefusalText(std::string(response.body.view())) << "\n";
  return response.status == kUnavailable ? ExitCode::kNodeNotReady
                                         : ExitCode::kRefused;
}

// A change whose answer was lost may be in force; "not done" would be a guess.
ExitCode Unreachable(const Command& command, const Error& error,
                     std::ostream& err) {
  err << "amaranthctl: no answer from the node: " << error << "\n";
  if (command.changes) {
    err << "amaranthctl: whether it was done is unknown; look at "
           "'settings history' or 'status' before trying again\n";
  }
  return ExitCode::kUnreachable;
}

ExitCode Show(const Command& command, const CtlOptions& options,
              const std::string& body, std::ostream& out, std::ostream& err) {
  const Outcome<std::string> text = Render(command, options, body);
  if (!text) {
    err << "amaranthctl: " << text.error() << "\n";
    return text.error().code == ErrorCode::kNotFound ? ExitCode::kRefused
                                                     : ExitCode::kUnreachable;
  }
  out << text.value();
  const bool not_ready = command.view == View::kStatus && !SaysReady(body);
  return not_ready ? ExitCode::kNodeNotReady : ExitCode::kOk;
}

}  // namespace

ExitCode RunCommand(const CtlOptions& options, const AskNode& ask,
                    std::ostream& out, std::ostream& err) {
  if (!options.words.empty() && options.words[0] == kReplayWord) {
    return RunReplay(options, out, err);
  }
  const Outcome<Command> command = BuildCommand(options);
  if (!command) {
    err << "amaranthctl: " << command.error() << "\n";
    return ExitCode::kUsage;
  }
  const Outcome<HttpResponse> response = ask(command.value().request);
  if (!response) {
    return Unreachable(command.value(), response.error(), err);
  }
  const int status = response.value().status;
  if (status < kFirstSuccess || status >= kFirstFailure) {
    return Refused(response.value(), err);
  }
  return Show(command.value(), options,
              std::string(response.value().body.view()), out, err);
}

}  // namespace amaranth::pvt
