#include "libhost/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cstring>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libhost/http_transfer.h"

namespace amaranth::pvt {
namespace {

constexpr size_t kMaxIdleTransfers = 256;

void InitialiseCurl() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (result != CURLE_OK) throw std::runtime_error("cannot initialize libcurl");
}

// Returns "http://ip:port", or an empty string unless `to` has an IP address
// and a port: names are not resolved.
std::string BaseUrl(const Endpoint& to) {
  asio::error_code error;
  const asio::ip::address address = asio::ip::make_address(to.ip, error);
  if (error || to.port == 0) return {};
  const std::string ip = address.is_v6() ? "[" + to.ip + "]" : to.ip;
  return "http://" + ip + ":" + std::to_string(to.port);
}

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, const HttpClientOptions& options)
      : io_(io), options_(options), timer_(io) {
    InitialiseCurl();
    multi_ = curl_multi_init();
    if (multi_ == nullptr) throw std::runtime_error("libcurl: no multi handle");
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(options_.max_idle_connections));
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING,
                      static_cast<long>(CURLPIPE_NOTHING));
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  ~Impl() { Stop(); }

  // Removes all transfers. Pending handlers keep this object alive, but do
  // nothing afterwards because the libcurl handles are gone.
  void Stop() {
    if (multi_ == nullptr) return;
    timer_.cancel();
    for (const auto& [id, transfer] : active_) {
      curl_multi_remove_handle(multi_, transfer->easy());
    }
    active_.clear();
    idle_transfers_.clear();
    curl_multi_cleanup(std::exchange(multi_, nullptr));
    watches_.clear();
  }

  uint64_t Send(const Endpoint& to, HttpRequest request, Duration timeout,
                const PlatformCredentials* credentials, Done done) {
    const uint64_t id = next_id_++;
    const std::string& base_url = CachedBaseUrl(to);
    if (base_url.empty()) {
      PostFailure(std::move(done), Reason::kConnectFailed);
      return id;
    }
    std::unique_ptr<HttpTransfer> transfer = TakeTransfer();
    if (!transfer->Prepare(base_url, std::move(request), timeout,
                           credentials)) {
      Recycle(std::move(transfer));
      PostFailure(std::move(done), Reason::kBadRequest);
      return id;
    }
    transfer->id = id;
    transfer->done = std::move(done);
    CURL* easy = transfer->easy();
    active_.emplace(id, std::move(transfer));
    adding_ = true;
    curl_multi_add_handle(multi_, easy);
    adding_ = false;
    StartTransfer();
    return id;
  }

  // libcurl closes the connection of a transfer that is removed before its end,
  // so a late answer on it cannot be delivered to another request.
  void Cancel(uint64_t id) {
    const auto found = active_.find(id);
    if (found == active_.end()) return;
    std::unique_ptr<HttpTransfer> transfer = std::move(found->second);
    active_.erase(found);
    curl_multi_remove_handle(multi_, transfer->easy());
    HttpClientResult result = transfer->FailureResult(Reason::kCancelled);
    // FailureResult reports kConnectFailed for an unsent request, which would
    // be wrong for a cancelled one.
    result.reason = Reason::kCancelled;
    Done done = std::move(transfer->done);
    Recycle(std::move(transfer));
    asio::post(io_, [done = std::move(done), result = std::move(result)] {
      done(result);
    });
  }

  // libcurl has no function for this. A connection that is shut down here fails
  // the liveness check of libcurl, so it is not reused.
  void DropIdle(const Endpoint& endpoint) {
    for (const auto& [fd, watch] : watches_) {
      if (watch->endpoint == endpoint && watch->events == CURL_POLL_REMOVE) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
  }

  size_t in_flight() const { return active_.size(); }
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  // The socket of one connection. It stays registered with asio while libcurl
  // keeps the connection idle, because registering it for each request would
  // cost two system calls.
  struct SocketWatch {
    explicit SocketWatch(asio::io_context& io) : descriptor(io) {}

    asio::posix::stream_descriptor descriptor;
    Endpoint endpoint;
    int events = CURL_POLL_REMOVE;
    bool connected = false;  // libcurl has waited for input on it
    bool reading = false;    // an async_wait is pending
    bool writing = false;
  };
  using SocketWatchPtr = std::shared_ptr<SocketWatch>;

  const std::string& CachedBaseUrl(const Endpoint& to) {
    const auto found = base_urls_.find(to);
    if (found != base_urls_.end()) return found->second;
    return base_urls_.emplace(to, BaseUrl(to)).first->second;
  }

  std::unique_ptr<HttpTransfer> TakeTransfer() {
    if (idle_transfers_.empty()) {
      std::unique_ptr<HttpTransfer> transfer =
          std::make_unique<HttpTransfer>(options_);
      CURL* easy = transfer->easy();
      curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Impl::OnOpenSocket);
      curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
      curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::OnCloseSocket);
      curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
      return transfer;
    }
    std::unique_ptr<HttpTransfer> transfer = std::move(idle_transfers_.back());
    idle_transfers_.pop_back();
    return transfer;
  }

  void Recycle(std::unique_ptr<HttpTransfer> transfer) {
    transfer->Clear();
    if (idle_transfers_.size() < kMaxIdleTransfers) {
      idle_transfers_.push_back(std::move(transfer));
    }
  }

  void PostFailure(Done done, Reason reason) {
    HttpClientResult result;
    result.verdict = Verdict::kNotRun;
    result.reason = reason;
    asio::post(io_, [done = std::move(done), result] { done(result); });
  }

  static curl_socket_t OnOpenSocket(void* self, curlsocktype,
                                    curl_sockaddr* to) {
    return static_cast<Impl*>(self)->OpenSocket(*to);
  }

  curl_socket_t OpenSocket(const curl_sockaddr& to) {
    const int fd = ::socket(to.family, to.socktype | SOCK_CLOEXEC, to.protocol);
    if (fd < 0) return CURL_SOCKET_BAD;
    SocketWatchPtr watch = std::make_shared<SocketWatch>(io_);
    // libcurl may close a connection attempt and start the next one with the
    // same descriptor number in one step. It then reports no change, because it
    // waits for the same events as before.
    const auto stale = watches_.find(fd);
    if (stale != watches_.end()) {
      watch->events = stale->second->events;
      ReleaseWatch(stale);
    }
    asio::ip::tcp::endpoint remote;
    if (to.addrlen <= remote.capacity()) {
      remote.resize(to.addrlen);
      std::memcpy(remote.data(), &to.addr, to.addrlen);
    }
    watch->endpoint = {remote.address().to_string(), remote.port()};
    asio::error_code error;
    watch->descriptor.assign(fd, error);
    if (error) {
      ::close(fd);
      return CURL_SOCKET_BAD;
    }
    if (options_.ack_timeout.count() > 0) {
      // Closes the connection when sent bytes stay unacknowledged for this
      // long; by default the system retransmits them for about 15 minutes.
      const unsigned int millis =
          static_cast<unsigned int>(options_.ack_timeout.count());
      ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis);
      const int probes = 2;
      ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    }
    ++connections_opened_;
    watches_.emplace(fd, watch);
    StartWaits(fd, watch);
    return fd;
  }

  // Removes the watch of a socket without closing it. libcurl closes a socket
  // that never connected by itself, without calling OnCloseSocket. A watch left
  // behind would refer to whatever gets the descriptor number next, such as the
  // connection of a caller, which DropIdle would shut down without an answer. A
  // socket that never connected cannot be idle, so when libcurl stops waiting
  // for it, it is closed or about to be.
  void ReleaseWatch(
      std::unordered_map<curl_socket_t, SocketWatchPtr>::iterator found) {
    const SocketWatchPtr watch = std::move(found->second);
    watches_.erase(found);
    watch->events = CURL_POLL_REMOVE;
    watch->descriptor.release();
  }

  static int OnCloseSocket(void* self, curl_socket_t fd) {
    return static_cast<Impl*>(self)->CloseSocket(fd);
  }

  int CloseSocket(curl_socket_t fd) {
    const auto found = watches_.find(fd);
    if (found == watches_.end()) return ::close(fd);
    const SocketWatchPtr watch = std::move(found->second);
    watches_.erase(found);
    watch->events = CURL_POLL_REMOVE;
    asio::error_code ignored;
    watch->descriptor.close(ignored);
    return 0;
  }

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*) {
    Impl& impl = *static_cast<Impl*>(self);
    const auto found = impl.watches_.find(fd);
    if (found == impl.watches_.end()) return 0;
    SocketWatch& watch = *found->second;
    if (what == CURL_POLL_REMOVE && !watch.connected) {
      impl.ReleaseWatch(found);
      return 0;
    }
    watch.connected |= what == CURL_POLL_IN || what == CURL_POLL_INOUT;
    watch.events = what;
    impl.StartWaits(fd, found->second);
    return 0;
  }

  static bool WaitsFor(const SocketWatch& watch, int what) {
    return watch.events == what || watch.events == CURL_POLL_INOUT;
  }

  void StartWaits(curl_socket_t fd, const SocketWatchPtr& watch) {
    if (WaitsFor(*watch, CURL_POLL_IN) && !watch->reading) {
      watch->reading = true;
      StartWait(fd, watch, asio::posix::stream_descriptor::wait_read);
    }
    if (WaitsFor(*watch, CURL_POLL_OUT) && !watch->writing) {
      watch->writing = true;
      StartWait(fd, watch, asio::posix::stream_descriptor::wait_write);
    }
  }

  void StartWait(curl_socket_t fd, const SocketWatchPtr& watch,
                 asio::posix::stream_descriptor::wait_type type) {
    watch->descriptor.async_wait(type, [self = shared_from_this(), fd, watch,
                                        type](const asio::error_code& error) {
      self->OnReady(fd, watch, type, error);
    });
  }

  void OnReady(curl_socket_t fd, const SocketWatchPtr& watch,
               asio::posix::stream_descriptor::wait_type type,
               const asio::error_code& error) {
    const bool is_read = type == asio::posix::stream_descriptor::wait_read;
    (is_read ? watch->reading : watch->writing) = false;
    if (multi_ == nullptr || !watch->descriptor.is_open()) return;
    const int what = is_read ? CURL_POLL_IN : CURL_POLL_OUT;
    if (!WaitsFor(*watch, what)) return;
    int ready = is_read ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
    if (error) ready = CURL_CSELECT_ERR;
    int running = 0;
    curl_multi_socket_action(multi_, fd, ready, &running);
    CompleteTransfers();
    if (multi_ != nullptr && watch->descriptor.is_open()) StartWaits(fd, watch);
  }

  static int OnTimer(CURLM*, long millis, void* self) {
    static_cast<Impl*>(self)->SetTimer(millis);
    return 0;
  }

  void SetTimer(long millis) {
    if (millis < 0) {
      timer_.cancel();
      return;
    }
    if (millis == 0) {
      if (!adding_) PostProcessTimeouts();
      return;
    }
    timer_.expires_after(std::chrono::milliseconds(millis));
    timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& error) {
          if (!error) self->ProcessTimeouts();
        });
  }

  // Sends a transfer that was just added in this turn, instead of after
  // everything that is queued for the next turn. Transfers that have already
  // ended are reported on a later turn, as Send promises.
  void StartTransfer() {
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    if (static_cast<size_t>(running) < active_.size()) PostProcessTimeouts();
  }

  void PostProcessTimeouts() {
    if (timeouts_posted_) return;
    timeouts_posted_ = true;
    asio::post(io_, [self = shared_from_this()] {
      self->timeouts_posted_ = false;
      self->ProcessTimeouts();
    });
  }

  void ProcessTimeouts() {
    if (multi_ == nullptr) return;
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    CompleteTransfers();
  }

  void CompleteTransfers() {
    int queued = 0;
    while (multi_ != nullptr) {
      CURLMsg* message = curl_multi_info_read(multi_, &queued);
      if (message == nullptr) return;
      if (message->msg == CURLMSG_DONE) {
        CompleteTransfer(message->easy_handle, message->data.result);
      }
    }
  }

  void CompleteTransfer(CURL* easy, CURLcode code) {
    HttpTransfer* ended = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &ended);
    const auto found = active_.find(ended->id);
    std::unique_ptr<HttpTransfer> transfer = std::move(found->second);
    active_.erase(found);
    HttpClientResult result = transfer->Finish(code);
    curl_multi_remove_handle(multi_, easy);
    Done done = std::move(transfer->done);
    Recycle(std::move(transfer));
    done(std::move(result));
  }

  asio::io_context& io_;
  HttpClientOptions options_;
  asio::steady_timer timer_;
  CURLM* multi_ = nullptr;
  bool timeouts_posted_ = false;
  bool adding_ = false;  // in curl_multi_add_handle; Send starts the transfer
  uint64_t next_id_ = 1;
  uint64_t connections_opened_ = 0;
  std::unordered_map<uint64_t, std::unique_ptr<HttpTransfer>> active_;
  std::vector<std::unique_ptr<HttpTransfer>> idle_transfers_;
  std::unordered_map<curl_socket_t, SocketWatchPtr> watches_;
  std::map<Endpoint, std::string> base_urls_;
};

HttpClient::HttpClient(asio::io_context& io, const HttpClientOptions& options)
    : impl_(std::make_shared<Impl>(io, options)) {}

HttpClient::~HttpClient() { impl_->Stop(); }

uint64_t HttpClient::Send(const Endpoint& to, HttpRequest request,
                          Duration timeout, Done done) {
  return impl_->Send(to, std::move(request), timeout, nullptr, std::move(done));
}

uint64_t HttpClient::SendSigned(const Endpoint& to, HttpRequest request,
                                Duration timeout,
                                const PlatformCredentials& credentials,
                                Done done) {
  return impl_->Send(to, std::move(request), timeout, &credentials,
                     std::move(done));
}

void HttpClient::Cancel(uint64_t id) { impl_->Cancel(id); }

void HttpClient::DropIdle(const Endpoint& endpoint) {
  impl_->DropIdle(endpoint);
}

size_t HttpClient::in_flight() const { return impl_->in_flight(); }

uint64_t HttpClient::connections_opened() const {
  return impl_->connections_opened();
}

}  // namespace amaranth::pvt
