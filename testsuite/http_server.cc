#include "http_server.h"

#include <http_parser.h>
#include <poll.h>

#include <array>
#include <asio.hpp>
#include <cstdio>
#include <fstream>
#include <thread>
#include <utility>

namespace amaranth::testsuite {
namespace {

using asio::ip::tcp;

// Request being parsed, filled in by the callbacks of http_parser.
struct IncomingRequest {
  HttpRequest request;
  std::string body;
  bool last_was_value = false;
  bool complete = false;
  bool keep_alive = true;
};

IncomingRequest& IncomingOf(http_parser* parser) {
  return *static_cast<IncomingRequest*>(parser->data);
}

int OnUrl(http_parser* parser, const char* data, size_t size) {
  IncomingOf(parser).request.target.append(data, size);
  return 0;
}

int OnHeaderField(http_parser* parser, const char* data, size_t size) {
  IncomingRequest& incoming = IncomingOf(parser);
  if (incoming.last_was_value || incoming.request.headers.empty()) {
    incoming.request.headers.emplace_back();
  }
  incoming.last_was_value = false;
  incoming.request.headers.back().name.append(data, size);
  return 0;
}

int OnHeaderValue(http_parser* parser, const char* data, size_t size) {
  IncomingRequest& incoming = IncomingOf(parser);
  incoming.last_was_value = true;
  incoming.request.headers.back().value.append(data, size);
  return 0;
}

int OnBody(http_parser* parser, const char* data, size_t size) {
  IncomingOf(parser).body.append(data, size);
  return 0;
}

// Pauses the parser, so that a pipelined request is not parsed before this one
// has been handled.
int OnMessageComplete(http_parser* parser) {
  IncomingRequest& incoming = IncomingOf(parser);
  incoming.complete = true;
  incoming.keep_alive = http_should_keep_alive(parser) != 0;
  incoming.request.method =
      http_method_str(static_cast<http_method>(parser->method));
  http_parser_pause(parser, 1);
  return 0;
}

http_parser_settings ParserSettings() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = OnUrl;
  settings.on_header_field = OnHeaderField;
  settings.on_header_value = OnHeaderValue;
  settings.on_body = OnBody;
  settings.on_message_complete = OnMessageComplete;
  return settings;
}

std::string Serialize(const HttpResponse& response) {
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) + " " +
      http_status_str(static_cast<http_status>(response.status)) + "\r\n";
  for (const Header& header : response.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  text += "\r\n";
  text += response.body.view();
  return text;
}

class SocketExchange : public Exchange {
 public:
  SocketExchange(tcp::socket& socket, const HttpRequest& request)
      : socket_(socket), request_(request) {}

  const HttpRequest& request() const override { return request_; }

  void Answer(const HttpResponse& response) override {
    Send(Serialize(response));
  }

  void AnswerTruncated(const HttpResponse& response) override {
    const std::string text = Serialize(response);
    Send(text.substr(0, text.size() - (response.body.size() + 1) / 2));
    Drop();
  }

  void Drop() override {
    asio::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    open_ = false;
  }

  bool WaitForClose(Duration time) override {
    pollfd poll_entry{socket_.native_handle(), POLLRDHUP, 0};
    const int millis = static_cast<int>(ToMillis(time));
    return ::poll(&poll_entry, 1, millis) > 0;
  }

  bool open() const { return open_; }

 private:
  void Send(const std::string& text) {
    asio::error_code error;
    asio::write(socket_, asio::buffer(text), error);
    if (error) open_ = false;
  }

  tcp::socket& socket_;
  const HttpRequest& request_;
  bool open_ = true;
};

// Serves one connection until either side closes it or a request is malformed.
class Session {
 public:
  Session(tcp::socket socket, const ExchangeHandler& handler)
      : socket_(std::move(socket)), handler_(handler) {
    http_parser_init(&parser_, HTTP_REQUEST);
  }

  void Run() {
    while (ReadRequest()) {
      SocketExchange exchange(socket_, incoming_.request);
      handler_(exchange);
      if (!exchange.open() || !incoming_.keep_alive) return;
    }
  }

 private:
  bool ReadRequest() {
    incoming_ = IncomingRequest();
    incoming_.request.target.clear();
    parser_.data = &incoming_;
    while (!incoming_.complete) {
      if (buffered_.empty() && !ReadSome()) return false;
      if (!ParseBuffered()) return false;
    }
    incoming_.request.body = Body(std::move(incoming_.body));
    return true;
  }

  bool ReadSome() {
    asio::error_code error;
    const size_t size = socket_.read_some(asio::buffer(chunk_), error);
    buffered_.append(chunk_.data(), size);
    return !error;
  }

  bool ParseBuffered() {
    static const http_parser_settings settings = ParserSettings();
    const size_t parsed_size = http_parser_execute(
        &parser_, &settings, buffered_.data(), buffered_.size());
    const bool paused = HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED;
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK && !paused) return false;
    buffered_.erase(0, parsed_size);
    if (paused) http_parser_pause(&parser_, 0);
    return true;
  }

  tcp::socket socket_;
  const ExchangeHandler& handler_;
  http_parser parser_;
  IncomingRequest incoming_;
  std::string buffered_;
  std::array<char, 65536> chunk_;
};

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(const Options& options, ExchangeHandler handler)
      : handler_(std::move(handler)),
        max_connections_(options.max_connections),
        acceptor_(io_, tcp::endpoint(asio::ip::make_address(options.ip),
                                     options.port)) {
    acceptor_.listen(1024);
  }

  uint16_t port() const { return acceptor_.local_endpoint().port(); }

  void Accept() {
    while (true) {
      tcp::socket socket(io_);
      asio::error_code error;
      acceptor_.accept(socket, error);
      if (error || connections_ >= max_connections_) continue;
      ++connections_;
      asio::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::thread([self = shared_from_this(),
                   moved = std::move(socket)]() mutable {
        auto session =
            std::make_unique<Session>(std::move(moved), self->handler_);
        session->Run();
        --self->connections_;
      }).detach();
    }
  }

 private:
  const ExchangeHandler handler_;
  const int max_connections_;
  std::atomic<int> connections_{0};
  asio::io_context io_;
  tcp::acceptor acceptor_;
};

HttpServer::HttpServer(const Options& options, ExchangeHandler handler)
    : impl_(std::make_shared<Impl>(options, std::move(handler))) {
  std::thread([impl = impl_] { impl->Accept(); }).detach();
}

HttpServer::~HttpServer() = default;

uint16_t HttpServer::port() const { return impl_->port(); }

void WritePortFile(const std::string& path, uint16_t port) {
  if (path.empty()) return;
  const std::string partial = path + ".partial";
  std::ofstream(partial) << "{\"port\": " << port << "}\n";
  std::rename(partial.c_str(), path.c_str());
}

HttpResponse JsonResponse(int status, std::string json) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = Body(std::move(json));
  return response;
}

}  // namespace amaranth::testsuite
