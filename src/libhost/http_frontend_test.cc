#include "libhost/http_frontend.h"

#include <CppUTest/TestHarness.h>

#include "libhost/framing.h"
#include "libhost/test_io.h"

namespace amaranth::pvt {

TEST_GROUP(HttpFrontend) {
  asio::io_context io;
  std::shared_ptr<HttpIntake> intake = std::make_shared<HttpIntake>(
      HttpIntake{1, std::make_shared<MemoryBudget>(64u << 20)});
  std::vector<std::pair<CallId, HttpRequest>> requests;
  std::vector<CallId> gone;
  std::unique_ptr<HttpFrontend> frontend;

  void Open(const HttpFrontendOptions& options = {}) {
    HttpFrontendHooks hooks;
    hooks.on_request = [this](CallId call, HttpRequest request) {
      requests.emplace_back(call, std::move(request));
    };
    hooks.on_caller_gone = [this](CallId call) { gone.push_back(call); };
    frontend = std::make_unique<HttpFrontend>(io, Endpoint{"127.0.0.1", 0},
                                              options, intake, hooks);
  }

  std::shared_ptr<RawConnection> Connect() {
    return RawConnection::Connect(io, frontend->port());
  }

  bool Until(const std::function<bool()>& condition) {
    return RunUntil(io, condition);
  }

  static HttpResponse Text(std::string text) {
    return {200, {{"Content-Type", "text/plain"}}, Body(std::move(text))};
  }
};

TEST(HttpFrontend, DeliversMethodTargetHeadersAndBody) {
  Open();
  const auto peer = Connect();
  peer->Write(
      "PATCH /a?b=c HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nConnection: X-Two\r\n"
      "X-Two: 2\r\nContent-Length: 4\r\n\r\nbody");
  CHECK(Until([&] { return requests.size() == 1; }));
  const HttpRequest& request = requests[0].second;
  CHECK(request.method == "PATCH");
  CHECK(request.target == "/a?b=c");
  CHECK(FindHeader(request.headers, "x-one") == "1");
  CHECK(FindHeader(request.headers, "x-two").empty());
  CHECK(FindHeader(request.headers, "content-length").empty());
  CHECK(request.body.view() == "body");
}

// Guards against a planned stop that cuts off the second of two requests which
// were read from one connection.
TEST(HttpFrontend, ClosesAfterTheLastPipelinedAnswer) {
  Open();
  const auto peer = Connect();
  peer->Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return requests.size() == 2; }));
  frontend->CloseAfterAnswers();
  frontend->Answer(requests[0].first, Text("first"));
  CHECK(Until([&] { return CountOf(peer->received, "first") == 1; }));
  frontend->Answer(requests[1].first, Text("second"));
  CHECK(Until([&] { return CountOf(peer->received, "second") == 1; }));
  CHECK(Until([&] { return peer->ended; }));
}

TEST(HttpFrontend, PipelinedAnswersKeepRequestOrder) {
  // Three requests are pipelined on one connection and one is sent on another;
  // the reducer answers in reverse order. Each caller must get its own answers
  // in request order, because HTTP/1.1 matches answers to requests by order
  // alone.
  Open();
  const auto peer = Connect();
  peer->Write(
      "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
      "DELETE /3 HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return requests.size() == 3; }));
  const auto other = Connect();
  other->Write("OPTIONS /4 HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return requests.size() == 4; }));
  for (const int index : {3, 2, 1, 0}) {
    CHECK(frontend->Answer(requests[index].first,
                           Text("answer" + requests[index].second.target)));
  }
  CHECK(Until([&] { return CountOf(peer->received, "answer") == 3; }));
  CHECK(Until([&] { return CountOf(other->received, "answer/4") == 1; }));
  CHECK(peer->received.find("answer/1") < peer->received.find("answer/2"));
  CHECK(peer->received.find("answer/2") < peer->received.find("answer/3"));
  CHECK_EQUAL(0u, CountOf(peer->received, "answer/4"));
  CHECK_EQUAL(0u, frontend->open_calls());
  CHECK(Until([&] { return frontend->unwritten_answers() == 0; }));
  CHECK_EQUAL(0u, intake->budget->used());
}

TEST(HttpFrontend, DisconnectIsReportedAndLateAnswerIsDropped) {
  // The caller disconnects while its request runs. The reducer is notified so
  // that it may cancel; its late answer must not be sent to anyone.
  Open();
  const auto peer = Connect();
  const std::string sent = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx";
  peer->Write(sent);
  CHECK(Until([&] { return requests.size() == 1; }));
  CHECK_EQUAL(sent.size(), intake->budget->used());
  peer->Close();
  CHECK(Until([&] { return gone.size() == 1; }));
  CHECK_EQUAL(requests[0].first, gone[0]);
  CHECK(!frontend->Answer(requests[0].first, Text("late")));
  CHECK_EQUAL(0u, frontend->open_calls());
  // Whoever still holds the body holds its memory.
  CHECK_EQUAL(sent.size(), intake->budget->used());
  requests.clear();
  CHECK_EQUAL(0u, intake->budget->used());
}

TEST(HttpFrontend, SecondAnswerIsDropped) {
  Open();
  const auto peer = Connect();
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return requests.size() == 1; }));
  CHECK(frontend->Answer(requests[0].first, Text("one")));
  CHECK(!frontend->Answer(requests[0].first, Text("two")));
  CHECK(Until([&] { return CountOf(peer->received, "one") == 1; }));
  CHECK_EQUAL(0u, CountOf(peer->received, "two"));
}

TEST(HttpFrontend, HeadHasLengthButNoBody) {
  Open();
  const auto peer = Connect();
  peer->Write("HEAD / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return requests.size() == 2; }));
  HttpResponse head = Text("");
  head.headers.push_back({"Content-Length", "12"});
  frontend->Answer(requests[0].first, head);
  frontend->Answer(requests[1].first, Text("whole"));
  CHECK(Until([&] { return CountOf(peer->received, "whole") == 1; }));
  CHECK_EQUAL(1u, CountOf(peer->received, "Content-Length: 12\r\n"));
  CHECK_EQUAL(1u, CountOf(peer->received, "\r\n\r\nHTTP/1.1"));
}

// Checks that a request that cannot become a call is refused with `status` and
// verdict not-run, and that the next connection is still served.
static void CheckRefused(HttpFrontend& frontend, asio::io_context& io,
                         std::vector<std::pair<CallId, HttpRequest>>& requests,
                         const std::string& sent, const std::string& status) {
  const auto peer = RawConnection::Connect(io, frontend.port());
  peer->Write(sent);
  CHECK(RunUntil(io, [&] { return peer->ended; }));
  CHECK_EQUAL(0u, peer->received.find("HTTP/1.1 " + status));
  CHECK_EQUAL(1u, CountOf(peer->received, "\"verdict\":\"not-run\""));
  const size_t before = requests.size();
  const auto next = RawConnection::Connect(io, frontend.port());
  next->Write("GET /next HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(io, [&] { return requests.size() == before + 1; }));
  frontend.Answer(requests.back().first, {200, {}, Body("served")});
  CHECK(RunUntil(io, [&] { return CountOf(next->received, "served") == 1; }));
}

TEST(HttpFrontend, RefusesMalformedAndOversizedRequestsAndKeepsServing) {
  // For malformed requests and each exceeded limit, the caller gets a status
  // and "not-run" instead of a connection reset, which it would have to treat
  // as "may have run".
  HttpFrontendOptions options;
  options.max_body_bytes = 100;
  options.max_url_bytes = 50;
  options.max_header_bytes = 200;
  options.max_header_count = 5;
  Open(options);
  const std::string long_text(300, 'a');
  std::string many;
  for (int i = 0; i < 9; ++i) many += "X-" + std::to_string(i) + ": v\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"\x01\x02 nonsense\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nBad Header\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 5\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       "400"},
      {"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "400"},
      {"GET /" + long_text + " HTTP/1.1\r\n\r\n", "414"},
      {"GET / HTTP/1.1\r\nX: " + long_text + "\r\n\r\n", "431"},
      {"GET / HTTP/1.1\r\n" + many + "\r\n", "431"},
      {"POST / HTTP/1.1\r\nContent-Length: 300\r\n\r\n" + long_text, "413"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n12c\r\n" +
           long_text + "\r\n0\r\n\r\n",
       "413"},
      {"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
       "501"},
  };
  for (const auto& [sent, status] : cases) {
    CheckRefused(*frontend, io, requests, sent, status);
  }
  CHECK_EQUAL(0u, intake->budget->used());
}

TEST(HttpFrontend, GarbageAfterAnOpenCallGetsNoResponse) {
  // A call is open and the same connection then sends garbage. A refusal would
  // be taken for the answer to the open call, so the connection is closed
  // without a response, and the reducer is notified that the caller is gone.
  Open();
  const auto peer = Connect();
  peer->Write("GET /open HTTP/1.1\r\n\r\n\x01garbage\r\n\r\n");
  CHECK(Until([&] { return peer->ended; }));
  CHECK(peer->received.empty());
  CHECK_EQUAL(1u, gone.size());
}

TEST(HttpFrontend, RefusesImmediatelyOverTheMemoryLimit) {
  // Callers use all of the node's buffer memory. One more body is refused with
  // 503, not run and Retry-After; once memory is free, calls are accepted
  // again.
  intake->budget = std::make_shared<MemoryBudget>(1600);
  Open();
  const std::string post =
      "POST / HTTP/1.1\r\nContent-Length: 700\r\n\r\n" + std::string(700, 'b');
  const auto first = Connect();
  first->Write(post);
  CHECK(Until([&] { return requests.size() == 1; }));
  const auto second = Connect();
  second->Write(post);
  CHECK(Until([&] { return second->ended; }));
  CHECK_EQUAL(0u, second->received.find("HTTP/1.1 503"));
  CHECK_EQUAL(1u, CountOf(second->received, "Retry-After: 1"));
  frontend->Answer(requests[0].first, Text("freed"));
  CHECK(Until([&] { return CountOf(first->received, "freed") == 1; }));
  requests.clear();
  CHECK_EQUAL(0u, intake->budget->used());
  CheckRefused(*frontend, io, requests, "\x01\r\n\r\n", "400");
}

TEST(HttpFrontend, CountsPartiallyReceivedBodies) {
  // Incomplete bodies of slow uploads count towards the memory limit, too, also
  // on later connections than those that the acceptor has prepared sockets for.
  intake->budget = std::make_shared<MemoryBudget>(1600);
  Open();
  for (size_t i = 1; i <= 8; ++i) {
    const auto earlier = Connect();
    earlier->Write("GET / HTTP/1.1\r\n\r\n");
    CHECK(Until([&] { return requests.size() == i; }));
    frontend->Answer(requests.back().first, Text("served"));
    CHECK(Until([&] { return CountOf(earlier->received, "served") == 1; }));
    earlier->Close();
  }
  const std::string part =
      "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(600, 'b');
  const auto first = Connect();
  first->Write(part);
  CHECK(Until([&] { return intake->budget->used() > 600; }));
  const auto second = Connect();
  second->Write(part);
  CHECK(Until([&] { return second->ended; }));
  CHECK_EQUAL(0u, second->received.find("HTTP/1.1 503"));
  first->Close();
  CHECK(Until([&] { return intake->budget->used() == 0; }));
}

TEST(HttpFrontend, StopAcceptingClosesAfterTheAnswer) {
  Open();
  const auto peer = Connect();
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return requests.size() == 1; }));
  frontend->StopAccepting();
  frontend->Answer(requests[0].first, Text("last"));
  CHECK(Until([&] { return peer->ended; }));
  CHECK_EQUAL(1u, CountOf(peer->received, "Connection: close"));
  CHECK_EQUAL(1u, CountOf(peer->received, "last"));
}

TEST(HttpFrontend, ConnectionsMayOutliveTheFrontend) {
  // The process exits with callers connected, one of them waiting for its
  // answer. The frontend is destroyed first, its connections only with the
  // io_context: a server freed with the frontend would be written to by them
  // (use after free, visible with AddressSanitizer).
  Open();
  const auto idle = Connect();
  const auto waiting = Connect();
  waiting->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return requests.size() == 1; }));
  frontend.reset();
  CHECK(gone.empty());
  CHECK_EQUAL(0u, intake->budget->used());
}

TEST(HttpFrontend, ConnectionCloseInAnswerClosesTheConnection) {
  Open();
  const auto peer = Connect();
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return requests.size() == 1; }));
  HttpResponse response = Text("last");
  response.headers.push_back({"Connection", "close"});
  frontend->Answer(requests[0].first, response);
  CHECK(Until([&] { return peer->ended; }));
  CHECK_EQUAL(1u, CountOf(peer->received, "Connection: close"));
}

TEST(HttpFrontend, CallIdsAreUniqueAcrossFrontends) {
  Open();
  HttpFrontendHooks hooks;
  std::vector<CallId> operator_calls;
  hooks.on_request = [&](CallId call, const HttpRequest&) {
    operator_calls.push_back(call);
  };
  hooks.on_caller_gone = [](CallId) {};
  HttpFrontend operators(io, {"127.0.0.1", 0}, {}, intake, hooks);
  const auto peer = Connect();
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  const auto other = RawConnection::Connect(io, operators.port());
  other->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return requests.size() + operator_calls.size() == 2; }));
  CHECK(requests[0].first != operator_calls[0]);
  CHECK(!operators.Answer(requests[0].first, Text("crossed")));
}

TEST(HttpFrontend, HeaderWithLineBreakIsOmittedFromAnswer) {
  Open();
  const auto peer = Connect();
  peer->Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Until([&] { return requests.size() == 1; }));
  HttpResponse response = Text("body");
  response.headers.push_back({"X-Evil", "a\r\nContent-Length: 0"});
  frontend->Answer(requests[0].first, response);
  CHECK(Until([&] { return CountOf(peer->received, "body") == 1; }));
  CHECK_EQUAL(0u, CountOf(peer->received, "X-Evil"));
}

}  // namespace amaranth::pvt
