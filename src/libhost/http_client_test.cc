#include "libhost/http_client.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/read.hpp>
#include <optional>
#include <thread>

#include "libhost/test_io.h"

namespace amaranth::pvt {
namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(10);

bool IsWholeRequest(const RawConnection& peer) {
  const size_t end = peer.received.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  const size_t length = peer.received.find("Content-Length: ");
  if (length == std::string::npos) return true;
  const size_t size = std::stoul(peer.received.substr(length + 16));
  return peer.received.size() >= end + 4 + size;
}

// A listener with a full backlog: connecting to it hangs.
class FullBacklogListener {
 public:
  FullBacklogListener() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    sockaddr* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof address;
    CHECK_EQUAL(0, ::bind(listener_, generic, length));
    ::listen(listener_, 0);
    ::getsockname(listener_, generic, &length);
    port_ = ntohs(address.sin_port);
    for (int& fd : connecting_) {
      fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // Stays in progress, which fills the backlog.
      static_cast<void>(::connect(fd, generic, length));
    }
  }
  ~FullBacklogListener() {
    ::close(listener_);
    for (const int fd : connecting_) ::close(fd);
  }
  FullBacklogListener(const FullBacklogListener&) = delete;
  FullBacklogListener& operator=(const FullBacklogListener&) = delete;

  uint16_t port() const { return port_; }

 private:
  int listener_;
  uint16_t port_ = 0;
  std::array<int, 4> connecting_{};
};

// Accepts one connection, reads `read_before` bytes, writes `response`, and
// resets the connection after a pause.
class ResettingServer {
 public:
  ResettingServer(std::string response, size_t read_before,
                  std::chrono::milliseconds pause)
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this, response = std::move(response), read_before, pause] {
          asio::ip::tcp::socket socket(io_);
          acceptor_.accept(socket);
          std::string buffer(std::max<size_t>(1, read_before), ' ');
          asio::read(socket, asio::buffer(buffer));
          asio::write(socket, asio::buffer(response));
          std::this_thread::sleep_for(pause);
          socket.set_option(asio::socket_base::linger(true, 0));
        }) {}
  ~ResettingServer() { thread_.join(); }
  ResettingServer(const ResettingServer&) = delete;
  ResettingServer& operator=(const ResettingServer&) = delete;

  uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nX-Server: s\r\n\r\n" + body;
}

}  // namespace

TEST_GROUP(HttpClient) {
  asio::io_context io;
  std::vector<std::string> seen;  // complete requests, in order
  std::vector<HttpClientResult> results;

  bool Until(const std::function<bool()>& condition) {
    return RunUntil(io, condition);
  }

  // Returns a handler that records each complete request and calls `answer`
  // with it.
  std::function<void(RawConnection&)> RespondWith(
      const std::function<void(RawConnection&, const std::string&)>& answer) {
    return [this, answer](RawConnection& peer) {
      if (!IsWholeRequest(peer)) return;
      seen.push_back(std::exchange(peer.received, {}));
      answer(peer, seen.back());
    };
  }

  HttpClient::Done StoreResult() {
    return [this](HttpClientResult result) {
      results.push_back(std::move(result));
    };
  }

  static HttpRequest Post(std::string body) {
    return {"POST", "/do", {{"X-Id", "7"}}, Body(std::move(body))};
  }

  // Sends to a server that answers with `text` and then closes.
  HttpClientResult ResultOf(const std::string& text, HttpRequest request,
                            const HttpClientOptions& options = {}) {
    RawServer server(io,
                     RespondWith([&](RawConnection& peer, const std::string&) {
                       peer.Write(text);
                       io.post([&peer] { peer.Close(); });
                     }));
    HttpClient client(io, options);
    const size_t before = results.size();
    client.Send({"127.0.0.1", server.port()}, std::move(request),
                kRequestTimeout, StoreResult());
    CHECK(Until([&] { return results.size() == before + 1; }));
    return results.back();
  }
};

TEST(HttpClient, SendsTheRequestAndReturnsTheWholeResponse) {
  RawServer server(io, RespondWith([](RawConnection& peer, const std::string&) {
                     peer.Write(OkResponse("hello"));
                   }));
  HttpClient client(io, {});
  const Endpoint to{"127.0.0.1", server.port()};
  client.Send(to, {"PUT", "/a/../b?c=%20", {{"X-Id", "7"}}, Body("data")},
              kRequestTimeout, StoreResult());
  CHECK(Until([&] { return results.size() == 1; }));
  CHECK(results[0].response.has_value());
  CHECK_EQUAL(200, results[0].response->status);
  CHECK(results[0].response->body.view() == "hello");
  CHECK(FindHeader(results[0].response->headers, "x-server") == "s");
  CHECK(FindHeader(results[0].response->headers, "content-length").empty());
  CHECK_EQUAL(0u, seen[0].find("PUT /a/../b?c=%20 HTTP/1.1\r\n"));
  CHECK_EQUAL(1u, CountOf(seen[0], "X-Id: 7\r\n"));
  CHECK_EQUAL(0u, CountOf(seen[0], "Expect"));
  CHECK_EQUAL(0u, CountOf(seen[0], "Accept"));
  CHECK_EQUAL(1u, CountOf(seen[0], "\r\n\r\ndata"));
}

TEST(HttpClient, ReusesConnectionsAndDropsIdleOnesWhenAsked) {
  RawServer server(io, RespondWith([](RawConnection& peer, const std::string&) {
                     peer.Write(OkResponse("x"));
                   }));
  HttpClient client(io, {});
  const Endpoint to{"127.0.0.1", server.port()};
  for (size_t i = 1; i <= 5; ++i) {
    client.Send(to, Post("p"), kRequestTimeout, StoreResult());
    CHECK(Until([&] { return results.size() == i; }));
  }
  CHECK_EQUAL(1u, client.connections_opened());
  client.DropIdle(to);
  client.Send(to, Post("p"), kRequestTimeout, StoreResult());
  CHECK(Until([&] { return results.size() == 6; }));
  CHECK(results[5].response.has_value());
  CHECK_EQUAL(2u, client.connections_opened());
}

TEST(HttpClient, MethodsAreSentUnchanged) {
  RawServer server(
      io, RespondWith([](RawConnection& peer, const std::string& request) {
        peer.Write(request.substr(0, 4) == "HEAD"
                       ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
                       : OkResponse("y"));
      }));
  HttpClient client(io, {});
  for (const char* method :
       {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "GET"}) {
    client.Send({"127.0.0.1", server.port()}, {method, "/m", {}, Body()},
                kRequestTimeout, StoreResult());
    CHECK(Until([&] { return results.size() == seen.size(); }));
    CHECK(Until([&] { return client.in_flight() == 0; }));
    CHECK_EQUAL(0u, seen.back().find(std::string(method) + " /m HTTP/1.1"));
    CHECK(results.back().response.has_value());
  }
  CHECK(FindHeader(results[1].response->headers, "Content-Length") == "9");
}

TEST(HttpClient, FailedConnectionMeansNotRun) {
  // Nothing listens at the address: no byte of the request was sent, so it may
  // be retried elsewhere even if it is not idempotent.
  uint16_t port = 0;
  {
    RawServer server(io, nullptr);
    port = server.port();
  }
  HttpClient client(io, {});
  client.Send({"127.0.0.1", port}, Post("p"), kRequestTimeout, StoreResult());
  client.Send({"no-number", 80}, Post("p"), kRequestTimeout, StoreResult());
  CHECK(Until([&] { return results.size() == 2; }));
  for (const HttpClientResult& result : results) {
    CHECK(result.verdict == Verdict::kNotRun);
    CHECK(result.reason == Reason::kConnectFailed);
  }
}

TEST(HttpClient, RequestIsNotResentWhenPooledConnectionDies) {
  // The server receives a second request on a pooled connection, runs it, and
  // closes the connection without an answer. libcurl by itself would resend it
  // on a new connection, and it would run twice. It must be sent once, with
  // verdict may-have-run.
  RawServer server(io,
                   RespondWith([this](RawConnection& peer, const std::string&) {
                     if (seen.size() == 1) {
                       peer.Write(OkResponse("first"));
                     } else {
                       peer.Close();
                     }
                   }));
  HttpClient client(io, {});
  const Endpoint to{"127.0.0.1", server.port()};
  for (const char* method : {"POST", "GET", "DELETE"}) {
    seen.clear();
    results.clear();
    client.Send(to, Post("a"), kRequestTimeout, StoreResult());
    CHECK(Until([&] { return results.size() == 1; }));
    client.Send(to, {method, "/second", {}, Body()}, kRequestTimeout,
                StoreResult());
    CHECK(Until([&] { return results.size() == 2; }));
    CHECK(!results[1].response.has_value());
    CHECK(results[1].verdict == Verdict::kMayHaveRun);
    CHECK(results[1].reason == Reason::kConnectionLost);
    CHECK_EQUAL(2u, seen.size());
  }
}

TEST(HttpClient, PooledConnectionClosedBeforeTheRequestIsReplaced) {
  // The server closes the idle connection before the next request. That is
  // detected before anything is sent, so the request is sent on a new
  // connection.
  RawServer server(io, RespondWith([](RawConnection& peer, const std::string&) {
                     peer.Write(OkResponse("z"));
                   }));
  HttpClient client(io, {});
  const Endpoint to{"127.0.0.1", server.port()};
  client.Send(to, Post("a"), kRequestTimeout, StoreResult());
  CHECK(Until([&] { return results.size() == 1; }));
  server.peers[0]->Close();
  client.Send(to, Post("b"), kRequestTimeout, StoreResult());
  CHECK(Until([&] { return results.size() == 2; }));
  CHECK(results[1].response.has_value());
  CHECK_EQUAL(2u, client.connections_opened());
}

TEST(HttpClient, TruncatedOrUndelimitedBodyIsAnError) {
  // The server truncates its answer: short of its length, inside a chunk,
  // before the last chunk, in its headers, or with no length at all, where
  // complete and truncated bodies look the same. The caller must never get such
  // a body as an answer.
  for (const std::string& text : {
           std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
           std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "8\r\nhalf"),
           std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\nhalf\r\n"),
           std::string("HTTP/1.1 200 OK\r\n\r\nhalf"),
           std::string("HTTP/1.1 200 OK\r\nContent-Le"),
       }) {
    const HttpClientResult result = ResultOf(text, Post("p"));
    CHECK(!result.response.has_value());
    CHECK(result.verdict == Verdict::kMayHaveRun);
    CHECK(result.reason == Reason::kServerError);
  }
}

// Guards against a response that is cut off inside its head and passes as a
// whole one with an empty body, because a body may end with its connection.
TEST(HttpClient, ResponseThatEndsInItsHeadIsAnError) {
  HttpClientOptions options;
  options.accept_close_delimited_body = true;
  const std::string fields = "X-Id: 7\r\nX-Signature: s\r\n";
  for (const std::string& head : {
           "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\n",
           "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n" + fields + "\r\n",
           "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
           "HTTP/1.1 200 OK\r\n" +
               fields + "Connection: close\r\n\r\n",
           "HTTP/1.1 200 OK\r\n" + fields +
               "Transfer-Encoding: chunked\r\n\r\n",
           "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\n" + fields +
               "\r\n",
       }) {
    for (size_t length = 1; length < head.size(); ++length) {
      const HttpClientResult result =
          ResultOf(head.substr(0, length), Post("p"), options);
      CHECK(!result.response.has_value());
      CHECK(result.verdict == Verdict::kMayHaveRun);
    }
  }
  const std::string whole = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
  CHECK(ResultOf(whole, Post("p"), options).response.has_value());
}

// Guards against a trailer that is taken for a header field, such as the one
// that says that the request did not run.
TEST(HttpClient, TrailersAreNoHeaderFields) {
  const HttpClientResult result = ResultOf(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Kept: 1\r\n\r\n"
      "4\r\nhalf\r\n0\r\nX-Refused: 1\r\nX-Kept: 2\r\n\r\n",
      Post("p"));
  CHECK(result.response.has_value());
  CHECK(FindHeader(result.response->headers, "X-Refused").empty());
  CHECK(FindHeader(result.response->headers, "X-Kept") == "1");
}

// Guards against bytes after a whole response that are taken for the response
// to the next request, for example as a refusal that proves it not run.
TEST(HttpClient, BytesOnAnIdleConnectionAnswerNoRequest) {
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  RawServer server(io, RespondWith([](RawConnection& peer, const std::string&) {
                     peer.Write(OkResponse("own"));
                   }));
  HttpClient client(io, {});
  const Endpoint to{"127.0.0.1", server.port()};
  for (const bool seen_while_idle : {true, false}) {
    results.clear();
    client.Send(to, Post("a"), kRequestTimeout, StoreResult());
    CHECK(Until([&] { return results.size() == 1; }));
    RawConnection& peer = *server.peers.back();
    peer.WriteNow(refusal);
    if (seen_while_idle) CHECK(Until([&] { return peer.ended; }));
    client.Send(to, Post("b"), kRequestTimeout, StoreResult());
    CHECK(Until([&] { return results.size() == 2; }));
    CHECK(results[1].response.has_value());
    CHECK(results[1].response->body.view() == "own");
  }
  CHECK_EQUAL(3u, client.connections_opened());
}

// Guards against a response without end that is read until the timeout of its
// request because its bytes bring it no further.
TEST(HttpClient, EndlessChunkExtensionIsAnError) {
  RawServer server(io, RespondWith([](RawConnection& peer, const std::string&) {
                     peer.Write(
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         "\r\n4;x=" +
                         std::string(16u << 20, 'y'));
                   }));
  HttpClient client(io, {});
  client.Send({"127.0.0.1", server.port()}, Post("p"), kRequestTimeout,
              StoreResult());
  CHECK(Until([&] { return results.size() == 1; }));
  CHECK(results[0].verdict == Verdict::kMayHaveRun);
  CHECK(results[0].reason == Reason::kTooLarge);
}

// Guards against responses that are each within the limit and together take
// more memory than the process has.
TEST(HttpClient, ResponsesShareOneBudget) {
  constexpr size_t kSize = 1u << 20;
  constexpr size_t kRequests = 8;
  HttpClientOptions options;
  options.budget = std::make_shared<MemoryBudget>(4 * kSize);
  RawServer server(io, RespondWith([](RawConnection& peer, const std::string&) {
                     peer.Write(OkResponse(std::string(kSize, 'x')));
                   }));
  HttpClient client(io, options);
  uint64_t most = 0;
  for (size_t i = 0; i < kRequests; ++i) {
    client.Send({"127.0.0.1", server.port()}, Post("p"), kRequestTimeout,
                StoreResult());
  }
  CHECK(Until([&] {
    most = std::max(most, options.budget->used());
    return results.size() == kRequests;
  }));
  const auto whole = [](const HttpClientResult& result) {
    return result.response.has_value();
  };
  CHECK(std::any_of(results.begin(), results.end(), whole));
  CHECK(!std::all_of(results.begin(), results.end(), whole));
  CHECK(most <= options.budget->limit());
  results.clear();
  CHECK_EQUAL(0u, options.budget->used());
}

TEST(HttpClient, ChunkedAndInterimResponsesAreRead) {
  const HttpClientResult chunked = ResultOf(
      "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nhalf\r\n4\r\nmore\r\n0\r\n\r\n",
      Post("p"));
  CHECK(chunked.response.has_value());
  CHECK(chunked.response->body.view() == "halfmore");
  const HttpClientResult interim = ResultOf(
      "HTTP/1.1 102 Processing\r\nX-Not: 1\r\n\r\n" + OkResponse("real"),
      Post("p"));
  CHECK(interim.response.has_value());
  CHECK(FindHeader(interim.response->headers, "X-Not").empty());
}

TEST(HttpClient, RedirectIsReturnedNotFollowed) {
  const HttpClientResult result = ResultOf(
      "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
      Post("p"));
  CHECK(result.response.has_value());
  CHECK_EQUAL(302, result.response->status);
  CHECK_EQUAL(1u, seen.size());
}

TEST(HttpClient, TooLargeAnswerIsAnError) {
  HttpClientOptions options;
  options.max_response_bytes = 100;
  const HttpClientResult result =
      ResultOf(OkResponse(std::string(500, 'x')), Post("p"), options);
  CHECK(result.verdict == Verdict::kMayHaveRun);
  CHECK(result.reason == Reason::kTooLarge);
}

// Guards against a response that is passed on with a status which is none
// (RFC 9110 section 15).
TEST(HttpClient, ResponseWithAnInvalidStatusIsAnError) {
  for (const char* status : {"000", "099", "20", "2xx", "-20", "+200", "0200",
                             "1000", "600", "999"}) {
    const HttpClientResult result =
        ResultOf(std::string("HTTP/1.1 ") + status +
                     " OK\r\nContent-Length: 2\r\n\r\nok",
                 Post("p"));
    CHECK_TEXT(!result.response.has_value(), status);
    CHECK(result.verdict == Verdict::kMayHaveRun);
  }
  for (const int status : {200, 204, 404, 599}) {
    const HttpClientResult result =
        ResultOf("HTTP/1.1 " + std::to_string(status) +
                     " OK\r\nContent-Length: 0\r\n\r\n",
                 Post("p"));
    CHECK(result.response.has_value());
  }
}

// Guards against the received part of a response that passes as the whole,
// because the connection is reset while the request is still being written.
TEST(HttpClient, ResponseThatIsResetDuringTheUploadIsAnError) {
  HttpClientOptions options;
  options.accept_close_delimited_body = true;
  for (const size_t read_before :
       {size_t{0}, size_t{1} << 16, size_t{8} << 20}) {
    for (const int pause_ms : {0, 1, 20}) {
      ResettingServer server("HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\npart",
                             read_before, std::chrono::milliseconds(pause_ms));
      std::optional<HttpClientResult> result;
      HttpClient client(io, options);
      client.Send({"127.0.0.1", server.port()},
                  Post(std::string(size_t{48} << 20, 'u')), kRequestTimeout,
                  [&](HttpClientResult ended) { result = std::move(ended); });
      CHECK(Until([&] { return result.has_value(); }));
      CHECK(!result->response.has_value());
      CHECK(result->verdict == Verdict::kMayHaveRun);
    }
  }
}

TEST(HttpClient, NonHttpResponseIsAServerError) {
  const HttpClientResult result = ResultOf("SSH-2.0-what\r\n\r\n", Post("p"));
  CHECK(!result.response.has_value());
  CHECK(result.verdict == Verdict::kMayHaveRun);
}

// Guards against closing a connection of a caller without an answer. When an
// attempt to connect to a backend server is cancelled, libcurl closes the
// socket by itself without a callback. The descriptor number is then reused for
// the connection of a caller, and DropIdle would shut that down as an idle
// connection to the server.
TEST(HttpClient, UnconnectedSocketIsForgottenOnceClosed) {
  FullBacklogListener full;
  std::vector<std::array<int, 2>> others(20);
  {
    HttpClient client(io, {});
    const Endpoint to{"127.0.0.1", full.port()};
    const uint64_t id =
        client.Send(to, Post("p"), kRequestTimeout, StoreResult());
    CHECK(Until([&] { return client.connections_opened() == 1; }));
    for (int i = 0; i < 20; ++i) io.poll();
    client.Cancel(id);
    CHECK(Until([&] { return results.size() == 1; }));
    for (std::array<int, 2>& pair : others) {
      CHECK_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()));
    }
    client.DropIdle(to);
    for (const std::array<int, 2>& pair : others) {
      CHECK_EQUAL(1, ::send(pair[0], "x", 1, MSG_NOSIGNAL));
      CHECK_EQUAL(1, ::send(pair[1], "x", 1, MSG_NOSIGNAL));
    }
  }
  for (const std::array<int, 2>& pair : others) {
    for (const int fd : pair) CHECK_EQUAL(0, ::close(fd));
  }
}

TEST(HttpClient, CancelEndsOnceAndLateAnswerIsDiscarded) {
  // A request is cancelled while the server runs it; the server then answers.
  // That answer must not be taken for the answer to the next request.
  std::vector<RawConnection*> waiting;
  RawServer server(io,
                   RespondWith([&](RawConnection& peer, const std::string&) {
                     waiting.push_back(&peer);
                   }));
  HttpClient client(io, {});
  const Endpoint to{"127.0.0.1", server.port()};
  const uint64_t id =
      client.Send(to, Post("a"), kRequestTimeout, StoreResult());
  CHECK(Until([&] { return waiting.size() == 1; }));
  client.Cancel(id);
  client.Cancel(id);
  CHECK(Until([&] { return results.size() == 1; }));
  CHECK(results[0].verdict == Verdict::kMayHaveRun);
  waiting[0]->Write(OkResponse("late"));
  client.Send(to, Post("b"), kRequestTimeout, StoreResult());
  CHECK(Until([&] { return waiting.size() == 2; }));
  waiting[1]->Write(OkResponse("own"));
  CHECK(Until([&] { return results.size() == 2; }));
  CHECK(results[1].response->body.view() == "own");
  CHECK_EQUAL(2u, client.connections_opened());
}

TEST(HttpClient, TimeoutClosesTheConnection) {
  // The server receives the request and does not answer. After the timeout the
  // request may have run, and its late answer must not be taken for the answer
  // to a later request.
  RawServer server(io,
                   RespondWith([this](RawConnection& peer, const std::string&) {
                     if (seen.size() > 1) peer.Write(OkResponse("own"));
                   }));
  HttpClient client(io, {});
  const Endpoint to{"127.0.0.1", server.port()};
  client.Send(to, Post("a"), std::chrono::milliseconds(30), StoreResult());
  CHECK(Until([&] { return results.size() == 1; }));
  CHECK(results[0].verdict == Verdict::kMayHaveRun);
  CHECK(results[0].reason == Reason::kConnectionLost);
  client.Send(to, Post("b"), kRequestTimeout, StoreResult());
  CHECK(Until([&] { return results.size() == 2; }));
  CHECK(results[1].response.has_value());
  CHECK_EQUAL(2u, client.connections_opened());
}

TEST(HttpClient, RequestWithLineBreakInHeaderIsNotSent) {
  HttpClient client(io, {});
  client.Send({"127.0.0.1", 1}, {"GET", "/", {{"X", "a\r\nX-Evil: 1"}}, Body()},
              kRequestTimeout, StoreResult());
  client.Send({"127.0.0.1", 1}, {"GET", "/ HTTP/1.1\r\nX: 1", {}, Body()},
              kRequestTimeout, StoreResult());
  CHECK(Until([&] { return results.size() == 2; }));
  CHECK(results[0].verdict == Verdict::kNotRun);
  CHECK(results[1].reason == Reason::kBadRequest);
}

TEST(HttpClient, SignedRequestHasAnAwsSignature) {
  RawServer server(io, RespondWith([](RawConnection& peer, const std::string&) {
                     peer.Write(OkResponse(""));
                   }));
  HttpClient client(io, {});
  const Endpoint to{"127.0.0.1", server.port()};
  const PlatformCredentials signer{"access", "secret", "local", "s3"};
  client.SendSigned(to, {"PUT", "/bucket/key", {}, Body("object")},
                    kRequestTimeout, signer, StoreResult());
  CHECK(Until([&] { return results.size() == 1; }));
  CHECK_EQUAL(1u, CountOf(seen[0],
                          "Authorization: AWS4-HMAC-SHA256 "
                          "Credential=access/"));
  client.Send(to, Post("plain"), kRequestTimeout, StoreResult());
  CHECK(Until([&] { return results.size() == 2; }));
  CHECK_EQUAL(0u, CountOf(seen[1], "Authorization"));
}

}  // namespace amaranth::pvt
