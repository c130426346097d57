// Generates load over HTTP: an open loop at a given rate, or a closed loop that
// sends the next request on a connection when the previous answer has arrived.
// Each request carries a token in X-Token that the echo server (or another
// backend server with the same protocol) returns in X-Echo-Token.
//
// In the open loop latency is measured from the time at which a request was
// due. Otherwise a stall of the system would show in only one request per
// connection (coordinated omission).

#include <http_parser.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cxxopts.hpp>
#include <deque>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "bench/load_report.h"

namespace amaranth::bench {
namespace {

using Clock = std::chrono::steady_clock;

struct Options {
  asio::ip::tcp::endpoint target;
  std::string method;
  std::string path;
  std::vector<std::string> headers;
  double rate = 0;  // 0: closed loop
  size_t connections = 0;
  double seconds = 0;
  double warmup = 0;
  size_t body_bytes = 0;
  uint64_t run = 0;
  bool json = false;
};

struct ScheduledRequest {
  uint64_t token = 0;
  Clock::time_point due;
};

enum class ExchangeResult { kComplete, kConnectFailed, kConnectionLost };

double Micros(Clock::duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

// A keep-alive connection with at most one request in flight.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using FinishedCallback =
      std::function<void(Connection&, const ScheduledRequest&, ExchangeResult)>;

  Connection(asio::io_context& io, const Options& options,
             FinishedCallback on_finished)
      : socket_(io), options_(options), on_finished_(std::move(on_finished)) {
    http_parser_settings_init(&settings_);
    settings_.on_header_field = [](http_parser* parser, const char* at,
                                   size_t size) {
      return FromParser(parser).OnHeaderName({at, size});
    };
    settings_.on_header_value = [](http_parser* parser, const char* at,
                                   size_t size) {
      return FromParser(parser).OnHeaderValue({at, size});
    };
    settings_.on_body = [](http_parser* parser, const char* at, size_t size) {
      FromParser(parser).body.append(at, size);
      return 0;
    };
    settings_.on_message_complete = [](http_parser* parser) {
      FromParser(parser).response_complete_ = true;
      return 0;
    };
  }

  void Send(const ScheduledRequest& request) {
    current_ = request;
    echoed.clear();
    runs.clear();
    body.clear();
    response_complete_ = false;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    if (!socket_.is_open() && !Connect()) {
      Finish(ExchangeResult::kConnectFailed);
      return;
    }
    request_text_ = FormatRequest(request.token);
    asio::async_write(socket_, asio::buffer(request_text_),
                      [](const asio::error_code&, size_t) {});
    Read();
  }

  unsigned status() const { return parser_.status_code; }

  std::string echoed;
  std::string runs;
  std::string body;

 private:
  static Connection& FromParser(http_parser* parser) {
    return *static_cast<Connection*>(parser->data);
  }

  int OnHeaderName(std::string_view name) {
    header_value_ = nullptr;
    if (name == "X-Echo-Token") header_value_ = &echoed;
    if (name == "X-Echo-Runs") header_value_ = &runs;
    return 0;
  }

  int OnHeaderValue(std::string_view value) {
    if (header_value_ != nullptr) header_value_->append(value);
    return 0;
  }

  bool Connect() {
    asio::error_code error;
    socket_.connect(options_.target, error);
    if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
    if (error) socket_.close();
    return !error;
  }

  std::string FormatRequest(uint64_t token) const {
    std::string text =
        options_.method + " " + options_.path +
        " HTTP/1.1\r\nHost: load\r\nX-Token: " + std::to_string(token) + "\r\n";
    for (const std::string& header : options_.headers) text += header + "\r\n";
    if (options_.method != "GET") {
      text += "Content-Length: " + std::to_string(options_.body_bytes) + "\r\n";
    }
    text += "\r\n";
    if (options_.method != "GET") text.append(options_.body_bytes, 'b');
    return text;
  }

  void Read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](
                                const asio::error_code& error, size_t size) {
                              self->OnRead(error, size);
                            });
  }

  void OnRead(const asio::error_code& error, size_t size) {
    if (error) {
      HandleConnectionLoss();
      return;
    }
    const size_t consumed =
        http_parser_execute(&parser_, &settings_, buffer_.data(), size);
    if (consumed != size) {
      HandleConnectionLoss();
      return;
    }
    if (!response_complete_) {
      Read();
      return;
    }
    if (http_should_keep_alive(&parser_) == 0) socket_.close();
    Finish(ExchangeResult::kComplete);
  }

  void HandleConnectionLoss() {
    asio::error_code ignored;
    socket_.close(ignored);
    Finish(ExchangeResult::kConnectionLost);
  }

  void Finish(ExchangeResult result) { on_finished_(*this, current_, result); }

  asio::ip::tcp::socket socket_;
  const Options& options_;
  FinishedCallback on_finished_;
  ScheduledRequest current_;
  http_parser parser_{};
  http_parser_settings settings_{};
  std::string* header_value_ = nullptr;
  bool response_complete_ = false;
  std::string request_text_;
  std::array<char, 65536> buffer_{};
};

class LoadTool {
 public:
  LoadTool(asio::io_context& io, const Options& options)
      : io_(io), options_(options), timer_(io) {
    for (size_t i = 0; i < options.connections; ++i) {
      idle_.push_back(std::make_shared<Connection>(
          io, options,
          [this](Connection& connection, const ScheduledRequest& request,
                 ExchangeResult result) {
            OnFinished(connection, request, result);
          }));
    }
  }

  LoadReport Run() {
    start_ = Clock::now();
    measure_from_ = start_ + Seconds(options_.warmup);
    end_ = measure_from_ + Seconds(options_.seconds);
    if (options_.rate > 0) {
      ScheduleNext();
    } else {
      FillIdle();
    }
    // Waits up to 5 s for the answers to requests sent near the end.
    io_.run_until(end_ + std::chrono::seconds(5));
    report_.unfinished = sent_measured_ - finished_measured_;
    report_.sent = sent_measured_;
    report_.seconds = options_.seconds;
    return report_;
  }

 private:
  static Clock::duration Seconds(double seconds) {
    return std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(seconds));
  }

  void ScheduleNext() {
    const Clock::time_point due =
        start_ + Seconds(scheduled_count_ / options_.rate);
    if (due >= end_) return;
    timer_.expires_at(due);
    timer_.async_wait([this](const asio::error_code& error) {
      if (!error) SendDue();
    });
  }

  void SendDue() {
    const Clock::time_point now = Clock::now();
    while (true) {
      const Clock::time_point due =
          start_ + Seconds(scheduled_count_ / options_.rate);
      if (due > now || due >= end_) break;
      scheduled_count_ += 1;
      Submit(due);
    }
    ScheduleNext();
  }

  void FillIdle() {
    while (!idle_.empty() && Clock::now() < end_) Submit(Clock::now());
  }

  void Submit(Clock::time_point due) {
    const ScheduledRequest request{options_.run << 32 | next_sequence_++, due};
    if (IsMeasured(request)) ++sent_measured_;
    queue_.push_back(request);
    SendQueued();
  }

  void SendQueued() {
    while (!queue_.empty() && !idle_.empty()) {
      const std::shared_ptr<Connection> connection = std::move(idle_.back());
      idle_.pop_back();
      const ScheduledRequest request = queue_.front();
      queue_.pop_front();
      connection->Send(request);
    }
  }

  bool IsMeasured(const ScheduledRequest& request) const {
    return request.due >= measure_from_;
  }

  void OnFinished(Connection& connection, const ScheduledRequest& request,
                  ExchangeResult result) {
    if (IsMeasured(request)) RecordResult(connection, request, result);
    // Posted, because a connect that fails at once calls OnFinished() from
    // Send(): sending the next request from here would recurse without bound.
    asio::post(io_, [this, finished = connection.shared_from_this()] {
      idle_.push_back(finished);
      if (options_.rate > 0) {
        SendQueued();
      } else {
        FillIdle();
      }
    });
  }

  void RecordResult(const Connection& connection,
                    const ScheduledRequest& request, ExchangeResult result) {
    ++finished_measured_;
    if (result != ExchangeResult::kComplete) {
      const bool connected = result != ExchangeResult::kConnectFailed;
      ++report_.outcomes[connected ? "broken off" : "not connected"];
      return;
    }
    if (connection.status() / 100 == 2) {
      ++report_.outcomes["ok"];
      report_.latency.Add(Micros(Clock::now() - request.due));
      if (connection.echoed != std::to_string(request.token)) ++report_.crossed;
      if (connection.runs != "1") ++report_.duplicates;
      return;
    }
    ++report_.outcomes[FailureLabel(connection)];
  }

  static std::string FailureLabel(const Connection& connection) {
    const nlohmann::json body =
        nlohmann::json::parse(connection.body, nullptr, false);
    if (!body.is_object()) return std::to_string(connection.status());
    return std::to_string(connection.status()) + " " +
           body.value("verdict", "?") + " " + body.value("reason", "?");
  }

  asio::io_context& io_;
  const Options& options_;
  asio::steady_timer timer_;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::deque<ScheduledRequest> queue_;
  Clock::time_point start_;
  Clock::time_point measure_from_;
  Clock::time_point end_;
  double scheduled_count_ = 0;
  uint64_t next_sequence_ = 1;
  uint64_t sent_measured_ = 0;
  uint64_t finished_measured_ = 0;
  LoadReport report_;
};

asio::ip::tcp::endpoint ToEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw std::runtime_error("invalid --target: expected IP:PORT");
  }
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<uint16_t>(std::stoul(text.substr(colon + 1)))};
}

Options Parse(int argc, char** argv) {
  cxxopts::Options parser("load_tool", "Generates load over HTTP.");
  cxxopts::OptionAdder add = parser.add_options();
  add("target", "IP:PORT to send to", cxxopts::value<std::string>());
  add("method", "GET or POST",
      cxxopts::value<std::string>()->default_value("GET"));
  add("path", "target", cxxopts::value<std::string>()->default_value("/"));
  add("header", "header field as 'Name: value'; may be repeated",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "X-Amaranth-Service: echo"));
  add("rate", "requests per second; 0 for a closed loop",
      cxxopts::value<double>()->default_value("0"));
  add("connections", "connections",
      cxxopts::value<size_t>()->default_value("32"));
  add("seconds", "length of the measurement in seconds",
      cxxopts::value<double>()->default_value("10"));
  add("warmup", "seconds before the measurement",
      cxxopts::value<double>()->default_value("1"));
  add("body-bytes", "body size of a POST in bytes",
      cxxopts::value<size_t>()->default_value("0"));
  add("run", "number of this run, part of each token",
      cxxopts::value<uint64_t>()->default_value("1"));
  add("json", "print the report as JSON");
  const cxxopts::ParseResult parsed = parser.parse(argc, argv);
  Options options;
  options.target = ToEndpoint(parsed["target"].as<std::string>());
  options.method = parsed["method"].as<std::string>();
  options.path = parsed["path"].as<std::string>();
  options.headers = parsed["header"].as<std::vector<std::string>>();
  options.rate = parsed["rate"].as<double>();
  options.connections = parsed["connections"].as<size_t>();
  options.seconds = parsed["seconds"].as<double>();
  options.warmup = parsed["warmup"].as<double>();
  options.body_bytes = parsed["body-bytes"].as<size_t>();
  options.run = parsed["run"].as<uint64_t>();
  options.json = parsed.count("json") > 0;
  return options;
}

int Main(int argc, char** argv) {
  try {
    const Options options = Parse(argc, argv);
    asio::io_context io(1);
    LoadTool tool(io, options);
    const LoadReport report = tool.Run();
    std::cout << (options.json ? report.ToJson() + "\n" : report.ToText());
    return report.crossed + report.duplicates == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "load_tool: " << error.what() << "\n";
    return 2;
  }
}

}  // namespace
}  // namespace amaranth::bench

int main(int argc, char** argv) { return amaranth::bench::Main(argc, argv); }
