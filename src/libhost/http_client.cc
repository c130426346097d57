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

constexpr size_t kMaxSpareTransfers = 256;

void InitialiseCurl() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (result != CURLE_OK) throw std::runtime_error("libcurl does not start");
}

// "http://ip:port" for an IP number, else empty: there is no resolver here.
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

  // After this no pending handler does anything: they hold this object alive,
  // but libcurl's handles are gone.
  void Stop() {
    if (multi_ == nullptr) return;
    timer_.cancel();
    for (const auto& [id, transfer] : active_) {
      curl_multi_remove_handle(multi_, transfer->easy());
    }
    active_.clear();
    spare_.clear();
    curl_multi_cleanup(std::exchange(multi_, nullptr));
    watches_.clear();
  }

  uint64_t Send(const Endpoint& to, HttpRequest request, Duration timeout,
                const PlatformCredentials* signer, Done done) {
    const uint64_t id = next_id_++;
    const std::string& base = BaseOf(to);
    if (base.empty()) {
      FailLater(std::move(done), Reason::kConnectFailed);
      return id;
    }
    std::unique_ptr<HttpTransfer> transfer = TakeTransfer();
    if (!transfer->Prepare(base, std::move(request), timeout, signer)) {
      Spare(std::move(transfer));
      FailLater(std::move(done), Reason::kBadRequest);
      return id;
    }
    transfer->id = id;
    transfer->done = std::move(done);
    CURL* easy = transfer->easy();
    active_.emplace(id, std::move(transfer));
    adding_ = true;
    curl_multi_add_handle(multi_, easy);
    adding_ = false;
    Start();
    return id;
  }

  // libcurl closes a connection whose transfer is removed half-way, so a late
  // answer on it can reach nobody.
  void Cancel(uint64_t id) {
    const auto found = active_.find(id);
    if (found == active_.end()) return;
    std::unique_ptr<HttpTransfer> transfer = std::move(found->second);
    active_.erase(found);
    curl_multi_remove_handle(multi_, transfer->easy());
    HttpClientResult result = transfer->GiveUp(Reason::kCancelled);
    // The caller's own act: "could not connect" would be the wrong reason.
    result.reason = Reason::kCancelled;
    Done done = std::move(transfer->done);
    Spare(std::move(transfer));
    asio::post(io_, [done = std::move(done), result = std::move(result)] {
      done(result);
    });
  }

  // libcurl has no call for this. A connection shut down under it fails its
  // check for life, so it is never chosen again.
  void DropIdle(const Endpoint& endpoint) {
    for (const auto& [fd, watch] : watches_) {
      if (watch->endpoint == endpoint && watch->wants == CURL_POLL_REMOVE) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
  }

  size_t in_flight() const { return active_.size(); }
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  // One connection's socket. It stays registered while libcurl keeps the
  // connection idle: registering anew for each request costs two system calls.
  struct Watch {
    explicit Watch(asio::io_context& io) : descriptor(io) {}

    asio::posix::stream_descriptor descriptor;
    Endpoint endpoint;
    int wants = CURL_POLL_REMOVE;
    bool connected = false;  // an answer has been waited for on it
    bool reading = false;    // an async_wait is pending
    bool writing = false;
  };
  using WatchPtr = std::shared_ptr<Watch>;

  const std::string& BaseOf(const Endpoint& to) {
    const auto found = bases_.find(to);
    if (found != bases_.end()) return found->second;
    return bases_.emplace(to, BaseUrl(to)).first->second;
  }

  std::unique_ptr<HttpTransfer> TakeTransfer() {
    if (spare_.empty()) {
      std::unique_ptr<HttpTransfer> transfer =
          std::make_unique<HttpTransfer>(options_);
      CURL* easy = transfer->easy();
      curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Impl::OnOpen);
      curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
      curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::OnClose);
      curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
      return transfer;
    }
    std::unique_ptr<HttpTransfer> transfer = std::move(spare_.back());
    spare_.pop_back();
    return transfer;
  }

  void Spare(std::unique_ptr<HttpTransfer> transfer) {
    transfer->Clear();
    if (spare_.size() < kMaxSpareTransfers) {
      spare_.push_back(std::move(transfer));
    }
  }

  void FailLater(Done done, Reason reason) {
    HttpClientResult result;
    result.verdict = Verdict::kNotRun;
    result.reason = reason;
    asio::post(io_, [done = std::move(done), result] { done(result); });
  }

  static curl_socket_t OnOpen(void* self, curlsocktype, curl_sockaddr* to) {
    return static_cast<Impl*>(self)->Open(*to);
  }

  curl_socket_t Open(const curl_sockaddr& to) {
    const int fd = ::socket(to.family, to.socktype | SOCK_CLOEXEC, to.protocol);
    if (fd < 0) return CURL_SOCKET_BAD;
    WatchPtr watch = std::make_shared<Watch>(io_);
    // libcurl may close one attempt and begin the next under the same number in
    // one go; it then tells nothing, as it waits for the same as before.
    const auto stale = watches_.find(fd);
    if (stale != watches_.end()) {
      watch->wants = stale->second->wants;
      Forget(stale);
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
    if (options_.silence_limit.count() > 0) {
      // Unacknowledged bytes are given up after this; without it the system
      // sends them again for a quarter of an hour.
      const unsigned int millis =
          static_cast<unsigned int>(options_.silence_limit.count());
      ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis);
      const int probes = 2;
      ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    }
    ++connections_opened_;
    watches_.emplace(fd, watch);
    Arm(fd, watch);
    return fd;
  }

  // libcurl closes a socket that never connected by itself, without the call to
  // OnClose. Kept, its watch would stand for whatever gets the number next: a
  // caller's connection, which was then shut down without an answer. What never
  // connected cannot be idle, so that libcurl waits for it no longer means that
  // it is closed, or about to be.
  void Forget(std::unordered_map<curl_socket_t, WatchPtr>::iterator found) {
    const WatchPtr watch = std::move(found->second);
    watches_.erase(found);
    watch->wants = CURL_POLL_REMOVE;
    watch->descriptor.release();
  }

  static int OnClose(void* self, curl_socket_t fd) {
    return static_cast<Impl*>(self)->Close(fd);
  }

  int Close(curl_socket_t fd) {
    const auto found = watches_.find(fd);
    if (found == watches_.end()) return ::close(fd);
    const WatchPtr watch = std::move(found->second);
    watches_.erase(found);
    watch->wants = CURL_POLL_REMOVE;
    asio::error_code ignored;
    watch->descriptor.close(ignored);
    return 0;
  }

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*) {
    Impl& impl = *static_cast<Impl*>(self);
    const auto found = impl.watches_.find(fd);
    if (found == impl.watches_.end()) return 0;
    Watch& watch = *found->second;
    if (what == CURL_POLL_REMOVE && !watch.connected) {
      impl.Forget(found);
      return 0;
    }
    watch.connected |= what == CURL_POLL_IN || what == CURL_POLL_INOUT;
    watch.wants = what;
    impl.Arm(fd, found->second);
    return 0;
  }

  static bool Wants(const Watch& watch, int what) {
    return watch.wants == what || watch.wants == CURL_POLL_INOUT;
  }

  void Arm(curl_socket_t fd, const WatchPtr& watch) {
    if (Wants(*watch, CURL_POLL_IN) && !watch->reading) {
      watch->reading = true;
      Wait(fd, watch, asio::posix::stream_descriptor::wait_read);
    }
    if (Wants(*watch, CURL_POLL_OUT) && !watch->writing) {
      watch->writing = true;
      Wait(fd, watch, asio::posix::stream_descriptor::wait_write);
    }
  }

  void Wait(curl_socket_t fd, const WatchPtr& watch,
            asio::posix::stream_descriptor::wait_type type) {
    watch->descriptor.async_wait(type, [self = shared_from_this(), fd, watch,
                                        type](const asio::error_code& error) {
      self->OnReady(fd, watch, type, error);
    });
  }

  void OnReady(curl_socket_t fd, const WatchPtr& watch,
               asio::posix::stream_descriptor::wait_type type,
               const asio::error_code& error) {
    const bool is_read = type == asio::posix::stream_descriptor::wait_read;
    (is_read ? watch->reading : watch->writing) = false;
    if (multi_ == nullptr || !watch->descriptor.is_open()) return;
    const int what = is_read ? CURL_POLL_IN : CURL_POLL_OUT;
    if (!Wants(*watch, what)) return;
    int ready = is_read ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
    if (error) ready = CURL_CSELECT_ERR;
    int running = 0;
    curl_multi_socket_action(multi_, fd, ready, &running);
    Reap();
    if (multi_ != nullptr && watch->descriptor.is_open()) Arm(fd, watch);
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
      if (!adding_) KickSoon();
      return;
    }
    timer_.expires_after(std::chrono::milliseconds(millis));
    timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& error) {
          if (!error) self->Kick();
        });
  }

  // Sends what was just added in this turn, not behind all that is queued for
  // the next one. What has ended already is told on a later turn, as promised.
  void Start() {
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    if (static_cast<size_t>(running) < active_.size()) KickSoon();
  }

  void KickSoon() {
    if (kick_pending_) return;
    kick_pending_ = true;
    asio::post(io_, [self = shared_from_this()] {
      self->kick_pending_ = false;
      self->Kick();
    });
  }

  void Kick() {
    if (multi_ == nullptr) return;
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    Reap();
  }

  void Reap() {
    int queued = 0;
    while (multi_ != nullptr) {
      CURLMsg* message = curl_multi_info_read(multi_, &queued);
      if (message == nullptr) return;
      if (message->msg == CURLMSG_DONE) {
        End(message->easy_handle, message->data.result);
      }
    }
  }

  void End(CURL* easy, CURLcode code) {
    HttpTransfer* ended = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &ended);
    const auto found = active_.find(ended->id);
    std::unique_ptr<HttpTransfer> transfer = std::move(found->second);
    active_.erase(found);
    HttpClientResult result = transfer->Finish(code);
    curl_multi_remove_handle(multi_, easy);
    Done done = std::move(transfer->done);
    Spare(std::move(transfer));
    done(std::move(result));
  }

  asio::io_context& io_;
  HttpClientOptions options_;
  asio::steady_timer timer_;
  CURLM* multi_ = nullptr;
  bool kick_pending_ = false;
  bool adding_ = false;  // a transfer, which is started right after
  uint64_t next_id_ = 1;
  uint64_t connections_opened_ = 0;
  std::unordered_map<uint64_t, std::unique_ptr<HttpTransfer>> active_;
  std::vector<std::unique_ptr<HttpTransfer>> spare_;
  std::unordered_map<curl_socket_t, WatchPtr> watches_;
  std::map<Endpoint, std::string> bases_;
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
                                const PlatformCredentials& signer, Done done) {
  return impl_->Send(to, std::move(request), timeout, &signer, std::move(done));
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
