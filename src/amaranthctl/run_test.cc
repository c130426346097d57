#include "amaranthctl/run.h"

#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <sstream>
#include <thread>

#include "amaranthctl/node_http.h"

namespace amaranth::pvt {
namespace {

using asio::ip::tcp;

// Accepts one connection and sends fixed bytes after it received the request's
// headers.
class SingleResponseServer {
 public:
  explicit SingleResponseServer(const std::string& answer)
      : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this, answer] { Serve(answer); }) {}
  ~SingleResponseServer() { Join(); }

  Endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  std::string Join() {
    if (thread_.joinable()) {
      thread_.join();
    }
    return request_;
  }

 private:
  void Serve(const std::string& answer) {
    tcp::socket socket = acceptor_.accept();
    asio::read_until(socket, asio::dynamic_buffer(request_), "\r\n\r\n");
    asio::write(socket, asio::buffer(answer));
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::string request_;
  std::thread thread_;
};

}  // namespace

TEST_GROUP(CtlRun) {
  CtlOptions options;
  HttpResponse response;
  bool response_lost = false;
  HttpRequest sent_request;
  std::ostringstream out;
  std::ostringstream err;

  ExitCode Run(std::vector<std::string> positionals) {
    options.positionals = std::move(positionals);
    sent_request = HttpRequest{"", "", {}, {}};
    const SendRequest send =
        [this](const HttpRequest& request) -> Outcome<HttpResponse> {
      sent_request = request;
      if (response_lost) {
        return Error{ErrorCode::kUnavailable, "timeout"};
      }
      return response;
    };
    return RunCommand(options, send, out, err);
  }

  void SetResponse(int status, const std::string& body) {
    response = HttpResponse{status, {}, Body(body)};
  }
};

TEST(CtlRun, CommandsRequestTheRightTarget) {
  SetResponse(200, R"({"ready":true,"settings":[]})");
  options.since_us = 5;
  options.limit = 7;
  const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
      {{"status"}, "/status"},
      {{"servers"}, "/servers"},
      {{"settings", "get"}, "/settings?path="},
      {{"settings", "explain", "/"}, "/settings?path="},
      {{"settings", "get", "m/*/c d"}, "/settings?path=m%2F%2A%2Fc%20d"},
      {{"settings", "history"}, "/settings/history"},
      {{"settings", "export"}, "/settings/tree"},
      {{"histograms"}, "/histograms"},
      {{"explain", "a&b=\xc3\xa9"}, "/explain?request=a%26b%3D%C3%A9"},
      {{"events"}, "/events?since_us=5&limit=7"}};
  for (const auto& [positionals, target] : cases) {
    CHECK(Run(positionals) == ExitCode::kOk);
    STRCMP_EQUAL(target.c_str(), sent_request.target.c_str());
    STRCMP_EQUAL("GET", sent_request.method.c_str());
  }
}

TEST(CtlRun, ChangesSendAuthorVersionAndToken) {
  options.author = "eva";
  options.token = "secret";
  options.expected_version = 3;
  SetResponse(200, R"({"version":4})");
  CHECK(Run({"settings", "set", "/", "tier", "critical"}) == ExitCode::kOk);
  STRCMP_EQUAL("version 4 is in force\n", out.str().c_str());
  STRCMP_EQUAL("POST", sent_request.method.c_str());
  CHECK(FindHeader(sent_request.headers, "Authorization") == "Bearer secret");
  CHECK(sent_request.body.view() ==
        R"({"author":"eva","changes":[{"name":"tier","path":"",)"
        R"("value":"critical"}],"expected_version":3})");
  options.expected_version.reset();
  CHECK(Run({"settings", "unset", "m/s", "tier"}) == ExitCode::kOk);
  CHECK(sent_request.body.view() ==
        R"({"author":"eva","changes":[{"name":"tier","path":"m/s",)"
        R"("value":null}]})");
  SetResponse(202, R"({"draining":true})");
  CHECK(Run({"drain"}) == ExitCode::kOk);
  STRCMP_EQUAL("/drain", sent_request.target.c_str());
}

TEST(CtlRun, InvalidCommandsSendNothing) {
  const std::vector<std::vector<std::string>> invalid = {
      {},
      {"statsu"},
      {"status", "x"},
      {"settings"},
      {"settings", "put"},
      {"settings", "set", "/", "tier"},
      {"settings", "get", "a", "b", "c"},
      {"explain"}};
  for (const std::vector<std::string>& positionals : invalid) {
    CHECK(Run(positionals) == ExitCode::kUsage);
    CHECK(sent_request.target.empty());
  }
}

TEST(CtlRun, ExitCodesReportTheResult) {
  SetResponse(409, R"({"error":"conflict","message":"version 9 is in force"})");
  CHECK(Run({"settings", "unset", "/", "tier"}) == ExitCode::kRefused);
  CHECK(err.str().find("version 9 is in force") != std::string::npos);
  SetResponse(401, R"({"error":"the operators' token is missing"})");
  CHECK(Run({"drain"}) == ExitCode::kRefused);
  SetResponse(503, R"({"error":"platform"})");
  CHECK(Run({"settings", "unset", "/", "tier"}) == ExitCode::kNodeNotReady);
  SetResponse(200, R"({"ready":false})");
  CHECK(Run({"status"}) == ExitCode::kNodeNotReady);
  SetResponse(200, "<html>");
  CHECK(Run({"status"}) == ExitCode::kUnreachable);
  SetResponse(200, R"({"settings":[]})");
  CHECK(Run({"settings", "get", "/", "tire"}) == ExitCode::kRefused);
}

// If the answer to a change is lost, the change may have taken effect, so the
// operator must be told that the outcome is unknown. A lost answer to a read
// has no such effect.
TEST(CtlRun, LostAnswerOfAChangeIsReportedAsUnknown) {
  response_lost = true;
  CHECK(Run({"status"}) == ExitCode::kUnreachable);
  CHECK(err.str().find("unknown") == std::string::npos);
  CHECK(Run({"settings", "unset", "/", "tier"}) == ExitCode::kUnreachable);
  CHECK(err.str().find("unknown") != std::string::npos);
}

TEST_GROUP(CtlHttp){};

TEST(CtlHttp, RequestAndResponseAreTransferredWhole) {
  SingleResponseServer node(
      "HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\nConnection: close\r\n\r\n"
      "taken");
  HttpRequest request{"POST", "/settings?a=%20", {{"X-One", "1"}}, Body("{}")};
  const Outcome<HttpResponse> answer =
      SendHttpRequest(node.address(), request, std::chrono::seconds(10));
  CHECK(answer.has_value());
  CHECK_EQUAL(409, answer.value().status);
  CHECK(answer.value().body.view() == "taken");
  const std::string sent_text = node.Join();
  CHECK(sent_text.find("POST /settings?a=%20 HTTP/1.1\r\n") == 0);
  CHECK(sent_text.find("X-One: 1\r\n") != std::string::npos);
  CHECK(sent_text.find("Content-Length: 2\r\n") != std::string::npos);
}

// Guards against a head that is cut off and passes as an empty answer.
TEST(CtlHttp, AResponseThatEndsInItsHeadIsAnError) {
  SingleResponseServer node("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n");
  CHECK(!SendHttpRequest(node.address(), HttpRequest(),
                         std::chrono::seconds(10)));
}

TEST(CtlHttp, TruncatedResponsesAndClosedPortsAreErrors) {
  Endpoint closed_address;
  {
    SingleResponseServer node(
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    closed_address = node.address();
    CHECK(!SendHttpRequest(closed_address, HttpRequest(),
                           std::chrono::seconds(10)));
  }
  CHECK(!SendHttpRequest(closed_address, HttpRequest(),
                         std::chrono::seconds(10)));
}

}  // namespace amaranth::pvt
