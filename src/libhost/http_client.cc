#include "libhost/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cerrno>
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

// Shuts a connection down, so that libcurl does not reuse it, and frees the
// bytes that it has received, which the kernel would hold for as long as
// libcurl keeps the socket.
void DiscardConnection(int fd) {
  ::shutdown(fd, SHUT_RDWR);
  constexpr int kMaxReads = 1024;
  std::array<char, 16384> discarded;
  for (int i = 0; i < kMaxReads; ++i) {
    if (::recv(fd, discarded.data(), discarded.size(), MSG_DONTWAIT) <= 0) {
      return;
    }
  }
}

// Returns the number of bytes that wait to be read, at least 1.
uint64_t ReadableBytes(int fd) {
  int bytes = 0;
  if (::ioctl(fd, FIONREAD, &bytes) != 0) bytes = 0;
  return static_cast<uint64_t>(std::max(bytes, 1));
}

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
        DiscardConnection(fd);
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
    // Bytes received since the last byte of a head or body; counted from the
    // first read without one on.
    uint64_t bytes_without_progress = 0;
    uint64_t transfer = 0;    // id; 0 if idle
    uint16_t local_port = 0;  // known once it has been idle
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
      transfer->is_connection_usable = [this](const Endpoint& remote,
                                              uint16_t local_port) {
        return IsConnectionUsable(remote, local_port);
      };
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

  // libcurl does not tell which socket it uses for a transfer.
  void IndexIdle(curl_socket_t fd, SocketWatch& watch) {
    if (watch.local_port != 0) return;
    asio::ip::tcp::endpoint local;
    socklen_t length = static_cast<socklen_t>(local.capacity());
    if (::getsockname(fd, local.data(), &length) != 0) return;
    watch.local_port = local.port();
    used_before_[{watch.endpoint, watch.local_port}] = fd;
  }

  // Returns false if a connection that was used before can be read from: it was
  // closed, or bytes have followed the earlier response. They belong to no
  // request (RFC 9112 section 9.2), but libcurl would take them for the
  // response to the next one.
  bool IsConnectionUsable(const Endpoint& remote, uint16_t local_port) const {
    const auto found = used_before_.find({remote, local_port});
    if (found == used_before_.end()) return true;
    char byte = 0;
    const ssize_t size =
        ::recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
    DiscardConnection(found->second);
    return false;
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
    used_before_.erase({watch->endpoint, watch->local_port});
    watch->events = CURL_POLL_REMOVE;
    asio::error_code ignored;
    watch->descriptor.close(ignored);
    return 0;
  }

  static int OnSocket(CURL* easy, curl_socket_t fd, int what, void* self,
                      void*) {
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
    watch.transfer = 0;
    watch.bytes_without_progress = 0;
    if (what == CURL_POLL_REMOVE) {
      impl.IndexIdle(fd, watch);
    } else {
      watch.transfer = TransferOf(easy).id;
    }
    impl.StartWaits(fd, found->second);
    return 0;
  }

  // An idle connection is read from, too: whatever arrives on it belongs to no
  // request.
  static bool WaitsForInput(const SocketWatch& watch) {
    return watch.events == CURL_POLL_REMOVE ? watch.connected
                                            : WaitsFor(watch, CURL_POLL_IN);
  }

  static bool WaitsFor(const SocketWatch& watch, int what) {
    return watch.events == what || watch.events == CURL_POLL_INOUT;
  }

  void StartWaits(curl_socket_t fd, const SocketWatchPtr& watch) {
    if (WaitsForInput(*watch) && !watch->reading) {
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
    if (is_read && watch->events == CURL_POLL_REMOVE) {
      DiscardConnection(fd);
      return;
    }
    if (!WaitsFor(*watch, what)) return;
    const HttpTransfer* const reading =
        is_read ? FindActive(watch->transfer) : nullptr;
    const uint64_t before = reading == nullptr ? 0 : reading->response_bytes();
    const uint64_t waiting =
        watch->bytes_without_progress > 0 ? ReadableBytes(fd) : 1;
    int ready = is_read ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
    if (error) ready = CURL_CSELECT_ERR;
    int running = 0;
    curl_multi_socket_action(multi_, fd, ready, &running);
    CompleteTransfers();
    if (multi_ == nullptr || !watch->descriptor.is_open()) return;
    HttpTransfer* const still_reading =
        is_read ? FindActive(watch->transfer) : nullptr;
    if (still_reading != nullptr && still_reading == reading) {
      const bool progress = reading->response_bytes() > before;
      watch->bytes_without_progress =
          progress ? 0 : watch->bytes_without_progress + waiting;
      if (watch->bytes_without_progress > options_.max_response_header_bytes) {
        still_reading->SetTooLarge();
        return CompleteTransfer(still_reading->easy(), CURLE_RECV_ERROR);
      }
    }
    StartWaits(fd, watch);
  }

  HttpTransfer* FindActive(uint64_t id) {
    const auto found = active_.find(id);
    return found == active_.end() ? nullptr : found->second.get();
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

  static HttpTransfer& TransferOf(CURL* easy) {
    HttpTransfer* transfer = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
    return *transfer;
  }

  void CompleteTransfer(CURL* easy, CURLcode code) {
    HttpTransfer& ended = TransferOf(easy);
    if (ended.met_unusable_connection()) return Restart(ended);
    const auto found = active_.find(ended.id);
    std::unique_ptr<HttpTransfer> transfer = std::move(found->second);
    active_.erase(found);
    HttpClientResult result = transfer->Finish(code);
    curl_multi_remove_handle(multi_, easy);
    Done done = std::move(transfer->done);
    Recycle(std::move(transfer));
    done(std::move(result));
  }

  // Nothing of the request was sent.
  void Restart(HttpTransfer& transfer) {
    curl_multi_remove_handle(multi_, transfer.easy());
    transfer.UseNewConnection();
    curl_multi_add_handle(multi_, transfer.easy());
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
  // Sockets of the connections that have been idle, by their addresses.
  std::map<std::pair<Endpoint, uint16_t>, curl_socket_t> used_before_;
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
