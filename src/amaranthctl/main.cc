#include <cstdlib>
#include <iostream>

#include "amaranthctl/node_http.h"
#include "amaranthctl/options.h"
#include "amaranthctl/run.h"

int main(int argc, char** argv) {
  namespace pvt = amaranth::pvt;
  const pvt::ParsedCtlOptions parsed = pvt::ParseCtlOptions(
      argc, argv, [](const char* name) { return std::getenv(name); });
  if (!parsed.errors.empty()) {
    for (const std::string& error : parsed.errors) {
      std::cerr << "amaranthctl: " << error << "\n";
    }
    return static_cast<int>(pvt::ExitCode::kUsage);
  }
  if (!parsed.help_text.empty()) {
    std::cout << parsed.help_text;
    return static_cast<int>(pvt::ExitCode::kOk);
  }
  const pvt::CtlOptions& options = parsed.options;
  const pvt::SendRequest send =
      [&options](const amaranth::HttpRequest& request) {
        return pvt::SendHttpRequest(options.node, request, options.timeout);
      };
  return static_cast<int>(pvt::RunCommand(options, send, std::cout, std::cerr));
}
