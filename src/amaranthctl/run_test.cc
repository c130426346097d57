#include "amaranthctl/run.h"

#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <sstream>
#include <thread>

#include "amaranthctl/node_http.h"

namespace amaranth::pvt {
namespace {

using asio::ip::tcp;

// Answers one connection with fixed bytes, after the request's headers came.
class OneAnswer {
 public:
  explicit OneAnswer(const std::string& answer)
      : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this, answer] { Serve(answer); }) {}
  ~OneAnswer() { Join(); }

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
  bool lost = false;
  HttpRequest asked;
  std::ostringstream out;
  std::ostringstream err;

  ExitCode Run(std::vector<std::string> words) {
    options.words = std::move(words);
    asked = HttpRequest{"", "", {}, {}};
    const AskNode ask =
        [this](const HttpRequest& request) -> Outcome<HttpResponse> {
      asked = request;
      if (lost) {
        return Error{ErrorCode::kUnavailable, "timeout"};
      }
      return response;
    };
    return RunCommand(options, ask, out, err);
  }

  void Answer(int status, const std::string& body) {
    response = HttpResponse{status, {}, Body(body)};
  }
};

TEST(CtlRun, CommandsAskForTheRightThing) {
  Answer(200, R"({"ready":true,"settings":[]})");
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
  for (const auto& [words, target] : cases) {
    CHECK(Run(words) == ExitCode::kOk);
    STRCMP_EQUAL(target.c_str(), asked.target.c_str());
    STRCMP_EQUAL("GET", asked.method.c_str());
  }
}

TEST(CtlRun, ChangesCarryAuthorVersionAndToken) {
  options.author = "eva";
  options.token = "secret";
  options.expected_version = 3;
  Answer(200, R"({"version":4})");
  CHECK(Run({"settings", "set", "/", "tier", "critical"}) == ExitCode::kOk);
  STRCMP_EQUAL("version 4 is in force\n", out.str().c_str());
  STRCMP_EQUAL("POST", asked.method.c_str());
  CHECK(FindHeader(asked.headers, "Authorization") == "Bearer secret");
  CHECK(asked.body.view() ==
        R"({"author":"eva","changes":[{"name":"tier","path":"",)"
        R"("value":"critical"}],"expected_version":3})");
  options.expected_version.reset();
  CHECK(Run({"settings", "unset", "m/s", "tier"}) == ExitCode::kOk);
  CHECK(asked.body.view() ==
        R"({"author":"eva","changes":[{"name":"tier","path":"m/s",)"
        R"("value":null}]})");
  Answer(202, R"({"draining":true})");
  CHECK(Run({"drain"}) == ExitCode::kOk);
  STRCMP_EQUAL("/drain", asked.target.c_str());
}

TEST(CtlRun, WrongCommandsAskNothing) {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"statsu"},
      {"status", "x"},
      {"settings"},
      {"settings", "put"},
      {"settings", "set", "/", "tier"},
      {"settings", "get", "a", "b", "c"},
      {"explain"}};
  for (const std::vector<std::string>& words : wrong) {
    CHECK(Run(words) == ExitCode::kUsage);
    CHECK(asked.target.empty());
  }
}

TEST(CtlRun, ExitCodesTellWhatHappened) {
  Answer(409, R"({"error":"conflict","message":"version 9 is in force"})");
  CHECK(Run({"settings", "unset", "/", "tier"}) == ExitCode::kRefused);
  CHECK(err.str().find("version 9 is in force") != std::string::npos);
  Answer(401, R"({"error":"the operators' token is missing"})");
  CHECK(Run({"drain"}) == ExitCode::kRefused);
  Answer(503, R"({"error":"platform"})");
  CHECK(Run({"settings", "unset", "/", "tier"}) == ExitCode::kNodeNotReady);
  Answer(200, R"({"ready":false})");
  CHECK(Run({"status"}) == ExitCode::kNodeNotReady);
  Answer(200, "<html>");
  CHECK(Run({"status"}) == ExitCode::kUnreachable);
  Answer(200, R"({"settings":[]})");
  CHECK(Run({"settings", "get", "/", "tire"}) == ExitCode::kRefused);
}

// The answer to a change is lost. "Failed" would be a guess: the operator is
// told that the outcome is unknown. A read that is lost changes nothing.
TEST(CtlRun, LostAnswersOfChangesAreCalledUnknown) {
  lost = true;
  CHECK(Run({"status"}) == ExitCode::kUnreachable);
  CHECK(err.str().find("unknown") == std::string::npos);
  CHECK(Run({"settings", "unset", "/", "tier"}) == ExitCode::kUnreachable);
  CHECK(err.str().find("unknown") != std::string::npos);
}

TEST_GROUP(CtlHttp){};

TEST(CtlHttp, RequestAndAnswerPassWhole) {
  OneAnswer node(
      "HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\nConnection: close\r\n\r\n"
      "taken");
  HttpRequest request{"POST", "/settings?a=%20", {{"X-One", "1"}}, Body("{}")};
  const Outcome<HttpResponse> answer =
      AskNodeByHttp(node.address(), request, std::chrono::seconds(10));
  CHECK(answer.has_value());
  CHECK_EQUAL(409, answer.value().status);
  CHECK(answer.value().body.view() == "taken");
  const std::string sent = node.Join();
  CHECK(sent.find("POST /settings?a=%20 HTTP/1.1\r\n") == 0);
  CHECK(sent.find("X-One: 1\r\n") != std::string::npos);
  CHECK(sent.find("Content-Length: 2\r\n") != std::string::npos);
}

TEST(CtlHttp, TruncatedAnswersAndClosedPortsAreErrors) {
  Endpoint gone;
  {
    OneAnswer node("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    gone = node.address();
    CHECK(!AskNodeByHttp(gone, HttpRequest(), std::chrono::seconds(10)));
  }
  CHECK(!AskNodeByHttp(gone, HttpRequest(), std::chrono::seconds(10)));
}

}  // namespace amaranth::pvt
