#include "libhost/http_frontend.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/address.hpp>
#include <charconv>
#include <restinio/http_server.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libhost/framing.h"
#include "libhost/frontend_socket.h"
#include "libhost/refusal.h"

namespace amaranth::pvt {
namespace {

// The reducer answers every call by its deadline, so the timeout of RESTinio is
// only a last resort: its answer would carry no verdict.
constexpr std::chrono::hours kHandlingTimeout{24};

class FrontendState;

// RESTinio reports connection errors only through its logger.
class FrontendLogger {
 public:
  explicit FrontendLogger(FrontendState* state) : state_(state) {}

  template <typename Builder>
  void trace(Builder&&) const noexcept {}
  template <typename Builder>
  void info(Builder&&) const noexcept {}
  template <typename Builder>
  void warn(Builder&&) const noexcept {}
  template <typename Builder>
  void error(Builder&& builder) const {
    Report(builder());
  }

 private:
  void Report(const std::string& message) const;

  FrontendState* state_;
};

class FrontendListener {
 public:
  explicit FrontendListener(FrontendState* state) : state_(state) {}

  void state_changed(const restinio::connection_state::notice_t& notice);

 private:
  FrontendState* state_;
};

struct FrontendTraits
    : restinio::traits_t<restinio::asio_timer_manager_t, FrontendLogger,
                         restinio::details::autodetect_request_handler_type,
                         restinio::noop_strand_t, FrontendSocket> {
  using connection_state_listener_t = FrontendListener;
  // The name is RESTinio's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<FrontendTraits>;

struct OpenCall {
  restinio::request_handle_t request;
  // Also owned by the body of the request, which may outlive the call.
  std::shared_ptr<const MemoryLease> memory;
};

struct Connection {
  std::vector<CallId> calls;
  size_t unwritten = 0;
};

// A buffer for RESTinio that shares the body. RESTinio writes a shared buffer
// without copying it.
class BodyBuffer {
 public:
  explicit BodyBuffer(Body body) : body_(std::move(body)) {}
  const char* data() const { return body_.view().data(); }
  size_t size() const { return body_.size(); }

 private:
  Body body_;
};

struct ParseFailure {
  std::string_view text;  // substring of the text that RESTinio logs
  int status;
  Reason reason;
  std::string_view detail;
};

constexpr std::array<ParseFailure, 9> kParseFailures = {{
    {"HPE_CB_url", 414, Reason::kTooLarge, "request target over the limit"},
    {"HPE_CB_header_field", 431, Reason::kTooLarge,
     "header name or count over the limit"},
    {"HPE_CB_header_value", 431, Reason::kTooLarge,
     "header value over the limit"},
    {"HPE_HEADER_OVERFLOW", 431, Reason::kTooLarge, "headers over the limit"},
    {"HPE_CB_headers_complete", 413, Reason::kTooLarge, "body over the limit"},
    {"HPE_CB_body", 413, Reason::kTooLarge, "body over the limit"},
    {"read socket error: No buffer space", 503, Reason::kTooLarge,
     "no buffer memory left"},
    {"read socket error: End of file", 400, Reason::kBadRequest,
     "request cut short"},
    {"parser error", 400, Reason::kBadRequest, "malformed HTTP"},
}};

const ParseFailure* FindParseFailure(std::string_view message) {
  for (const ParseFailure& failure : kParseFailures) {
    if (message.find(failure.text) != std::string_view::npos) return &failure;
  }
  return nullptr;
}

// Returns the id in a prefix such as "[connection:12] ", or 0 without such a
// prefix.
uint64_t ParseConnectionId(std::string_view message) {
  constexpr std::string_view kPrefix = "[connection:";
  uint64_t id = 0;
  if (message.substr(0, kPrefix.size()) != kPrefix) return id;
  for (const char c : message.substr(kPrefix.size())) {
    if (c < '0' || c > '9') break;
    id = id * 10 + static_cast<uint64_t>(c - '0');
  }
  return id;
}

HttpRequest ToRequest(const restinio::request_handle_t& handle) {
  HttpRequest request;
  const restinio::http_request_header_t& header = handle->header();
  request.method = header.method().c_str();
  request.target = header.request_target();
  request.headers.reserve(header.fields_count());
  header.for_each_field([&](const restinio::http_header_field_t& field) {
    request.headers.push_back({field.name(), field.value()});
  });
  RemoveFramingHeaders(request.headers);
  // RESTinio exposes the body as const, but nothing else uses the request:
  // moving the body out avoids a second copy of every large body.
  request.body = Body(std::move(const_cast<std::string&>(handle->body())));
  return request;
}

// Returns the Content-Length for an answer to HEAD. It is the length of the
// body that GET would return, which only the backend server knows.
size_t LengthForHead(const HttpResponse& response) {
  const std::string_view text = FindHeader(response.headers, "Content-Length");
  size_t length = response.body.size();
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

// The connections and open calls of one frontend. The request handler of the
// RESTinio server owns a reference, so that connections that outlive the
// frontend can still use it.
class FrontendState {
 public:
  FrontendState(HttpFrontendOptions options, std::shared_ptr<HttpIntake> intake,
                HttpFrontendHooks hooks)
      : options_(std::move(options)),
        intake_(std::move(intake)),
        hooks_(std::move(hooks)) {}

  const HttpFrontendOptions& options() const { return options_; }
  size_t open_calls() const { return calls_.size(); }
  size_t unwritten() const { return unwritten_; }

  restinio::request_handling_status_t OnRequest(
      const restinio::request_handle_t& handle) {
    MemoryLease lease = FrontendSocket::Current()
                            ? FrontendSocket::Current()->TakeUnparsed()
                            : MemoryLease();
    if (stopped_) return restinio::request_rejected();
    const CallId call = intake_->next_call++;
    const bool upgrade = handle->header().connection() ==
                         restinio::http_connection_header_t::upgrade;
    HttpRequest request = ToRequest(handle);
    // Pipelined requests that were read together share one lease, and one that
    // is handled later has none yet.
    const bool fits = lease.bytes() >= request.body.size() ||
                      TakeLease(request.body.size(), lease);
    const std::shared_ptr<const MemoryLease> memory =
        std::make_shared<const MemoryLease>(std::move(lease));
    request.body = request.body.WithOwner(memory);
    calls_.emplace(call, OpenCall{handle, memory});
    connections_[handle->connection_id()].calls.push_back(call);
    if (upgrade) {
      Refuse(call, 501, Reason::kBadRequest, "no protocol upgrades here");
    } else if (!fits) {
      Refuse(call, 503, Reason::kTooLarge, "no buffer memory left");
    } else {
      hooks_.on_request(call, std::move(request));
    }
    return restinio::request_accepted();
  }

  bool Answer(CallId call, const HttpResponse& response) {
    const bool close_requested =
        FindHeader(response.headers, "Connection") == "close";
    // A close would cut off requests that were read from the connection after
    // this one.
    const bool may_close = closing_ && OpenCallsBeside(call) == 0;
    return Write(call, response, may_close || close_requested);
  }

  void OnClosed(uint64_t connection_id) {
    const auto found = connections_.find(connection_id);
    if (found == connections_.end()) return;
    const Connection connection = std::move(found->second);
    connections_.erase(found);
    unwritten_ -= connection.unwritten;
    for (const CallId call : connection.calls) {
      RemoveCall(call);
      if (!stopped_) hooks_.on_caller_gone(call);
    }
  }

  // Sends a refusal only if the connection has no unanswered call and no partly
  // written answer: the caller would take it for the answer to an earlier
  // request.
  void OnError(const std::string& message) {
    const ParseFailure* failure = FindParseFailure(message);
    const auto found = connections_.find(ParseConnectionId(message));
    const size_t calls =
        found == connections_.end() ? 0 : found->second.calls.size();
    if (hooks_.on_error) hooks_.on_error(message, calls);
    if (failure == nullptr) return;
    if (found != connections_.end() &&
        (!found->second.calls.empty() || found->second.unwritten > 0)) {
      return;
    }
    LingeringClose::PendingResponse() = SerializeRefusal(MakeRefusal(
        failure->status, failure->reason, options_.node_name, failure->detail));
  }

  void set_closing() { closing_ = true; }

  void Stop() {
    stopped_ = true;
    closing_ = true;
    calls_.clear();
    connections_.clear();
    unwritten_ = 0;
    hooks_ = {};
  }

 private:
  void Refuse(CallId call, int status, Reason reason, std::string_view detail) {
    Write(call, MakeRefusal(status, reason, options_.node_name, detail), true);
  }

  size_t OpenCallsBeside(CallId call) const {
    const auto found = calls_.find(call);
    if (found == calls_.end()) return 0;
    const auto connection =
        connections_.find(found->second.request->connection_id());
    return connection == connections_.end()
               ? 0
               : connection->second.calls.size() - 1;
  }

  bool Write(CallId call, const HttpResponse& response, bool close) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) return false;
    const restinio::request_handle_t request = found->second.request;
    RemoveCall(call);
    Connection& connection = connections_[request->connection_id()];
    connection.calls.erase(
        std::remove(connection.calls.begin(), connection.calls.end(), call),
        connection.calls.end());
    ++connection.unwritten;
    ++unwritten_;
    if (request->header().method() == restinio::http_method_head()) {
      WriteHeadResponse(*request, response, close);
    } else {
      WriteResponse(*request, response, close);
    }
    return true;
  }

  void RemoveCall(CallId call) { calls_.erase(call); }

  bool TakeLease(uint64_t bytes, MemoryLease& lease) const {
    lease = MemoryLease(intake_->budget, MemoryUse::kRequest);
    return lease.Resize(bytes);
  }

  static restinio::http_status_line_t StatusLine(const HttpResponse& response) {
    const bool valid = response.status >= 200 && response.status <= 999;
    const int status = valid ? response.status : 500;
    return {restinio::http_status_code_t(static_cast<uint16_t>(status)),
            std::string(ReasonPhrase(status))};
  }

  template <typename Builder>
  static void AddHeaders(Builder& builder, const HttpResponse& response,
                         bool close) {
    for (const Header& header : response.headers) {
      if (IsFramingHeader(header.name) || !IsWritableHeader(header)) continue;
      builder.append_header(header.name, header.value);
    }
    if (close) builder.connection_close();
  }

  restinio::write_status_cb_t MakeWriteCallback(restinio::connection_id_t id) {
    return [this, id](const asio::error_code&) {
      const auto found = connections_.find(id);
      if (found == connections_.end() || found->second.unwritten == 0) return;
      --found->second.unwritten;
      --unwritten_;
    };
  }

  void WriteResponse(restinio::request_t& request, const HttpResponse& response,
                     bool close) {
    auto builder = request.create_response(StatusLine(response));
    AddHeaders(builder, response, close);
    builder.set_body(std::make_shared<BodyBuffer>(response.body));
    builder.done(MakeWriteCallback(request.connection_id()));
  }

  void WriteHeadResponse(restinio::request_t& request,
                         const HttpResponse& response, bool close) {
    auto builder = request.create_response<restinio::user_controlled_output_t>(
        StatusLine(response));
    AddHeaders(builder, response, close);
    builder.set_content_length(LengthForHead(response));
    builder.done(MakeWriteCallback(request.connection_id()));
  }

  HttpFrontendOptions options_;
  std::shared_ptr<HttpIntake> intake_;
  HttpFrontendHooks hooks_;
  std::unordered_map<CallId, OpenCall> calls_;
  std::unordered_map<uint64_t, Connection> connections_;
  size_t unwritten_ = 0;
  bool closing_ = false;
  bool stopped_ = false;
};

void FrontendLogger::Report(const std::string& message) const {
  state_->OnError(message);
}

void FrontendListener::state_changed(
    const restinio::connection_state::notice_t& notice) {
  if (restinio::holds_alternative<restinio::connection_state::closed_t>(
          notice.cause())) {
    state_->OnClosed(notice.connection_id());
  }
}

}  // namespace

namespace {

// Keeps objects alive until the io_context is destroyed, after all pending
// handlers. RESTinio's connections point into their server (connection count)
// and are owned by handlers. If the server were destroyed with the frontend,
// each connection that outlives it would write to freed memory when the process
// exits with callers connected.
class RetainedObjects : public asio::execution_context::service {
 public:
  static asio::execution_context::id id;

  explicit RetainedObjects(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  void Retain(std::shared_ptr<void> object) {
    objects_.push_back(std::move(object));
  }

 private:
  void shutdown() override {}

  std::vector<std::shared_ptr<void>> objects_;
};

asio::execution_context::id RetainedObjects::id;

}  // namespace

class HttpFrontend::Impl {
 public:
  Impl(asio::io_context& io, const Endpoint& listen,
       std::shared_ptr<FrontendState> state)
      : io_(io),
        state_(std::move(state)),
        server_(restinio::external_io_context(io), Settings(listen)) {
    server_.open_sync();
  }

  asio::io_context& io() { return io_; }
  FrontendState& state() { return *state_; }
  uint16_t port() const { return port_; }
  void CloseAcceptor() { server_.close_sync(); }

 private:
  restinio::server_settings_t<FrontendTraits> Settings(const Endpoint& listen) {
    const HttpFrontendOptions& options = state_->options();
    restinio::server_settings_t<FrontendTraits> settings;
    const std::shared_ptr<FrontendState> state = state_;
    settings.address(asio::ip::make_address(listen.ip))
        .port(listen.port)
        .logger(state.get())
        .connection_state_listener(
            std::make_shared<FrontendListener>(state.get()))
        .request_handler([state](const restinio::request_handle_t& request) {
          return state->OnRequest(request);
        })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          port_ = acceptor.local_endpoint().port();
        })
        .socket_options_setter([](restinio::socket_options_t& socket) {
          socket.set_option(asio::ip::tcp::no_delay(true));
        })
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}
                .max_url_size(options.max_url_bytes)
                .max_field_name_size(options.max_header_bytes)
                .max_field_value_size(options.max_header_bytes)
                .max_field_count(options.max_header_count)
                .max_body_size(options.max_body_bytes))
        // RESTinio stops accepting permanently when the process runs out of
        // file descriptors; the limit prevents that.
        .max_parallel_connections(options.max_connections)
        .concurrent_accepts_count(4)
        .max_pipelined_requests(options.max_pipelined)
        .read_next_http_message_timelimit(options.read_timeout)
        .write_http_response_timelimit(options.write_timeout)
        .handle_request_timeout(kHandlingTimeout);
    return settings;
  }

  asio::io_context& io_;
  std::shared_ptr<FrontendState> state_;
  uint16_t port_ = 0;
  Server server_;
};

HttpFrontend::HttpFrontend(asio::io_context& io, const Endpoint& listen,
                           HttpFrontendOptions options,
                           std::shared_ptr<HttpIntake> intake,
                           HttpFrontendHooks hooks) {
  FrontendSocket::ThreadBudget() = intake->budget;
  impl_ = std::make_shared<Impl>(
      io, listen,
      std::make_shared<FrontendState>(std::move(options), std::move(intake),
                                      std::move(hooks)));
}

HttpFrontend::~HttpFrontend() {
  Stop();
  asio::use_service<RetainedObjects>(impl_->io()).Retain(impl_);
}

uint16_t HttpFrontend::port() const { return impl_->port(); }

bool HttpFrontend::Answer(CallId call, const HttpResponse& response) {
  return impl_->state().Answer(call, response);
}

size_t HttpFrontend::open_calls() const { return impl_->state().open_calls(); }

size_t HttpFrontend::unwritten_answers() const {
  return impl_->state().unwritten();
}

void HttpFrontend::CloseAfterAnswers() { impl_->state().set_closing(); }

void HttpFrontend::StopAccepting() {
  impl_->state().set_closing();
  impl_->CloseAcceptor();
}

void HttpFrontend::Stop() {
  impl_->CloseAcceptor();
  impl_->state().Stop();
}

}  // namespace amaranth::pvt
