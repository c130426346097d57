// Load over HTTP: an open loop at a given rate, or a closed loop that sends as
// fast as answers come. Each request carries a token that the echo server (or
// another stand-in that echoes X-Token) gives back.
//
// In the open loop latency counts from the moment at which the request was due,
// so a stall of the system shows in full and not just in one request.

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

struct Job {
  uint64_t token = 0;
  Clock::time_point due;
};

enum class Ending { kWhole, kNotConnected, kBrokenOff };

double Micros(Clock::duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

// One kept-alive connection with at most one request on it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Done = std::function<void(Connection&, const Job&, Ending)>;

  Connection(asio::io_context& io, const Options& options, Done done)
      : socket_(io), options_(options), done_(std::move(done)) {
    http_parser_settings_init(&settings_);
    settings_.on_header_field = [](http_parser* parser, const char* at,
                                   size_t size) {
      return Self(parser).TakeField({at, size});
    };
    settings_.on_header_value = [](http_parser* parser, const char* at,
                                   size_t size) {
      return Self(parser).TakeValue({at, size});
    };
    settings_.on_body = [](http_parser* parser, const char* at, size_t size) {
      Self(parser).body.append(at, size);
      return 0;
    };
    settings_.on_message_complete = [](http_parser* parser) {
      Self(parser).complete_ = true;
      return 0;
    };
  }

  void Send(const Job& job) {
    job_ = job;
    echoed.clear();
    runs.clear();
    body.clear();
    complete_ = false;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    if (!socket_.is_open() && !Connect()) {
      Finish(Ending::kNotConnected);
      return;
    }
    request_ = Format(job.token);
    asio::async_write(socket_, asio::buffer(request_),
                      [](const asio::error_code&, size_t) {});
    Read();
  }

  unsigned status() const { return parser_.status_code; }

  std::string echoed;
  std::string runs;
  std::string body;

 private:
  static Connection& Self(http_parser* parser) {
    return *static_cast<Connection*>(parser->data);
  }

  int TakeField(std::string_view name) {
    value_ = nullptr;
    if (name == "X-Echo-Token") value_ = &echoed;
    if (name == "X-Echo-Runs") value_ = &runs;
    return 0;
  }

  int TakeValue(std::string_view value) {
    if (value_ != nullptr) value_->append(value);
    return 0;
  }

  bool Connect() {
    asio::error_code error;
    socket_.connect(options_.target, error);
    if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
    if (error) socket_.close();
    return !error;
  }

  std::string Format(uint64_t token) const {
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
      Drop();
      return;
    }
    const size_t parsed =
        http_parser_execute(&parser_, &settings_, buffer_.data(), size);
    if (parsed != size) {
      Drop();
      return;
    }
    if (!complete_) {
      Read();
      return;
    }
    if (http_should_keep_alive(&parser_) == 0) socket_.close();
    Finish(Ending::kWhole);
  }

  void Drop() {
    asio::error_code ignored;
    socket_.close(ignored);
    Finish(Ending::kBrokenOff);
  }

  void Finish(Ending ending) { done_(*this, job_, ending); }

  asio::ip::tcp::socket socket_;
  const Options& options_;
  Done done_;
  Job job_;
  http_parser parser_{};
  http_parser_settings settings_{};
  std::string* value_ = nullptr;
  bool complete_ = false;
  std::string request_;
  std::array<char, 65536> buffer_{};
};

class LoadTool {
 public:
  LoadTool(asio::io_context& io, const Options& options)
      : io_(io), options_(options), timer_(io) {
    for (size_t i = 0; i < options.connections; ++i) {
      idle_.push_back(std::make_shared<Connection>(
          io, options,
          [this](Connection& connection, const Job& job, Ending ending) {
            OnDone(connection, job, ending);
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
    // Requests sent near the end get a while to come back.
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
    const Clock::time_point due = start_ + Seconds(scheduled_ / options_.rate);
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
          start_ + Seconds(scheduled_ / options_.rate);
      if (due > now || due >= end_) break;
      scheduled_ += 1;
      Submit(due);
    }
    ScheduleNext();
  }

  void FillIdle() {
    while (!idle_.empty() && Clock::now() < end_) Submit(Clock::now());
  }

  void Submit(Clock::time_point due) {
    const Job job{options_.run << 32 | next_sequence_++, due};
    if (Measured(job)) ++sent_measured_;
    waiting_.push_back(job);
    SendWaiting();
  }

  void SendWaiting() {
    while (!waiting_.empty() && !idle_.empty()) {
      const std::shared_ptr<Connection> connection = std::move(idle_.back());
      idle_.pop_back();
      const Job job = waiting_.front();
      waiting_.pop_front();
      connection->Send(job);
    }
  }

  bool Measured(const Job& job) const { return job.due >= measure_from_; }

  void OnDone(Connection& connection, const Job& job, Ending ending) {
    if (Measured(job)) Count(connection, job, ending);
    // Posted: a failing connect would otherwise recurse without end.
    asio::post(io_, [this, kept = connection.shared_from_this()] {
      idle_.push_back(kept);
      if (options_.rate > 0) {
        SendWaiting();
      } else {
        FillIdle();
      }
    });
  }

  void Count(const Connection& connection, const Job& job, Ending ending) {
    ++finished_measured_;
    if (ending != Ending::kWhole) {
      const bool connected = ending != Ending::kNotConnected;
      ++report_.outcomes[connected ? "broken off" : "not connected"];
      return;
    }
    if (connection.status() / 100 == 2) {
      ++report_.outcomes["ok"];
      report_.latency.Add(Micros(Clock::now() - job.due));
      if (connection.echoed != std::to_string(job.token)) ++report_.crossed;
      if (connection.runs != "1") ++report_.duplicates;
      return;
    }
    ++report_.outcomes[Failure(connection)];
  }

  static std::string Failure(const Connection& connection) {
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
  std::deque<Job> waiting_;
  Clock::time_point start_;
  Clock::time_point measure_from_;
  Clock::time_point end_;
  double scheduled_ = 0;
  uint64_t next_sequence_ = 1;
  uint64_t sent_measured_ = 0;
  uint64_t finished_measured_ = 0;
  LoadReport report_;
};

asio::ip::tcp::endpoint ToEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw std::runtime_error("--target takes IP:PORT");
  }
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<uint16_t>(std::stoul(text.substr(colon + 1)))};
}

Options Parse(int argc, char** argv) {
  cxxopts::Options flags("load_tool", "Load over HTTP.");
  cxxopts::OptionAdder add = flags.add_options();
  add("target", "ip:port", cxxopts::value<std::string>());
  add("method", "GET or POST",
      cxxopts::value<std::string>()->default_value("GET"));
  add("path", "target", cxxopts::value<std::string>()->default_value("/"));
  add("header", "'Name: value', may be repeated",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "X-Amaranth-Service: echo"));
  add("rate", "requests a second; 0 is a closed loop",
      cxxopts::value<double>()->default_value("0"));
  add("connections", "connections",
      cxxopts::value<size_t>()->default_value("32"));
  add("seconds", "measured time",
      cxxopts::value<double>()->default_value("10"));
  add("warmup", "seconds before", cxxopts::value<double>()->default_value("1"));
  add("body-bytes", "of a POST", cxxopts::value<size_t>()->default_value("0"));
  add("run", "number of this run, in the tokens",
      cxxopts::value<uint64_t>()->default_value("1"));
  add("json", "print JSON");
  const cxxopts::ParseResult given = flags.parse(argc, argv);
  Options options;
  options.target = ToEndpoint(given["target"].as<std::string>());
  options.method = given["method"].as<std::string>();
  options.path = given["path"].as<std::string>();
  options.headers = given["header"].as<std::vector<std::string>>();
  options.rate = given["rate"].as<double>();
  options.connections = given["connections"].as<size_t>();
  options.seconds = given["seconds"].as<double>();
  options.warmup = given["warmup"].as<double>();
  options.body_bytes = given["body-bytes"].as<size_t>();
  options.run = given["run"].as<uint64_t>();
  options.json = given.count("json") > 0;
  return options;
}

int Main(int argc, char** argv) {
  try {
    const Options options = Parse(argc, argv);
    asio::io_context io(1);
    LoadTool tool(io, options);
    const LoadReport report = tool.Run();
    std::cout << (options.json ? report.Json() + "\n" : report.Text());
    return report.crossed + report.duplicates == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "load_tool: " << error.what() << "\n";
    return 2;
  }
}

}  // namespace
}  // namespace amaranth::bench

int main(int argc, char** argv) { return amaranth::bench::Main(argc, argv); }
